// Package peerrunner runs the host process beside a model engine: it reports the
// engine's load to the entries, moves weights among the hosts, and has the
// installer bring the engine to the version that operators have named.
package peerrunner

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/base/sleeper"
	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/decisions/distributor"
	"filbertstile.example/filbertstile/outside/tracker"
	"filbertstile.example/filbertstile/shells/fetcher"
	"filbertstile.example/filbertstile/shells/installer"
	"filbertstile.example/filbertstile/transport/messenger"
	"filbertstile.example/filbertstile/transport/pulser"
)

const (
	// pulseEvery is the time between two reports of the engine's state, beside
	// those that tell of a change.
	pulseEvery = 400 * time.Millisecond
	// digestNews is how long the digest of a manifest is told with each report.
	digestNews = 1500 * time.Millisecond
	// syncEvery is the time between two looks at what the host should hold.
	syncEvery = 100 * time.Millisecond
	// learnPause is the time before the origin is asked again for a manifest.
	learnPause = 250 * time.Millisecond
	// learnTimeout bounds reading a manifest.
	learnTimeout = 3 * time.Second
	// uploadShare is the part of the link's rate that uploads of weights use.
	uploadShare = 0.88
	// uploads bounds the chunks that wait to be sent.
	uploads = 8
	// weightMemoryShare bounds the chunks held, as a part of the process's memory.
	weightMemoryShare = 4
)

// Sources are the host's copies of what the store holds.
type Sources struct {
	Weights *tracker.Tracker[filbertstile.WeightsVersion]
	Members *tracker.Tracker[filbertstile.Member]
	// Routing reads the configuration once.
	Routing func(ctx context.Context) (filbertstile.Routing, error)
}

// Config puts a host process together.
type Config struct {
	Self    filbertstile.Member
	Regions map[string]string
	Network filbertstile.Network
	// EngineAddress is where entries reach the engine.
	EngineAddress string
	Engine        filbertstile.Engine
	// Origin returns a client of the origin at the address.
	Origin func(address string) filbertstile.Origin
	// Within is the time within which a named version must be in force.
	Within time.Duration
	// LinkBytesPerSecond is the rate of the host's link; 0 if it is not known.
	LinkBytesPerSecond float64
	// MemoryBytes is the memory of the process.
	MemoryBytes int64
	Log         *reporter.Log
	Metrics     metrics.Registry
}

// Peer is the host process beside an engine.
type Peer struct {
	config    Config
	sources   Sources
	library   *library
	client    *messenger.Client
	pulser    *pulser.Pulser
	installer *installer.Installer
	// told are the hosts that the fetcher was told of last.
	told    []filbertstile.Member
	fetcher atomic.Pointer[fetcher.Fetcher]
	report  atomic.Pointer[filbertstile.EngineReport]
	closing atomic.Bool
	// resumable tells that all streams of the service may go on elsewhere.
	resumable atomic.Bool
	started   time.Time

	mu    sync.Mutex
	model string
	// originRegion is where the origin of weights stands.
	originRegion string
	named        map[filbertstile.WeightsVersion]time.Time
	wanted       filbertstile.WeightsVersion
	roster       roster
	seeded       bool
}

// New returns a host process that does not run yet.
func New(c Config) *Peer {
	p := &Peer{
		config: c, library: newLibrary(c.Log), started: time.Now(),
		client: messenger.NewClient(messenger.ClientConfig{Network: c.Network, Sender: c.Self.Name}),
		named:  make(map[filbertstile.WeightsVersion]time.Time), roster: roster{alive: make(map[string]time.Time)},
	}
	p.installer = installer.New(installer.Config{Engine: c.Engine, Log: c.Log, Wanted: p.due, Chunks: p.chunks, Seen: p.seen, Cuts: p.resumable.Load})
	return p
}

// Connect gives the process its sources and its heartbeats. It is called once,
// before Run.
func (p *Peer) Connect(s Sources, conn pulser.Conn, incarnation int64) {
	p.sources = s
	p.pulser = pulser.New(pulser.Config{
		Self: p.config.Self, Conn: conn, Log: p.config.Log, Incarnation: incarnation, Compose: p.compose,
		Interval: pulseEvery, OnHeartbeat: p.heard, OnChange: func() {},
	})
}

// Run serves the other hosts at the listener until the context ends.
func (p *Peer) Run(ctx context.Context, l net.Listener) error {
	server, err := messenger.NewServer(messenger.ServerConfig{Handler: p.handle, Concurrency: handlers})
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	wg.Go(func() { p.sources.Weights.Run(ctx) })
	wg.Go(func() { p.sources.Members.Run(ctx) })
	wg.Go(func() { p.pulser.Run(ctx) })
	wg.Go(func() { p.installer.Run(ctx) })
	wg.Go(func() { p.keep(ctx) })
	err = server.Serve(ctx, l)
	wg.Wait()
	p.client.Close()
	return err
}

// handlers bounds the requests of other hosts that are answered at a time.
const handlers = 256

func (p *Peer) handle(ctx context.Context, req *wire.Request, s *messenger.Stream) {
	f := p.fetcher.Load()
	if f == nil {
		return
	}
	switch req.GetKind().(type) {
	case *wire.Request_Chunk:
		f.HandleChunk(ctx, req, s)
	case *wire.Request_Holdings:
		f.HandleHoldings(ctx, req, s)
	}
}

// keep makes the fetcher hold what the host should hold.
func (p *Peer) keep(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	pause := syncEvery
	for sleeper.Sleep(ctx, pause) == nil {
		pause = syncEvery
		if p.fetcher.Load() == nil {
			if err := p.begin(ctx, &wg); err != nil {
				p.config.Log.Event(reporter.StepFailed, reporter.Fields{"Step": "read configuration", "Error": err})
				pause = learnPause
			}
			continue
		}
		if err := p.sync(ctx); err != nil {
			p.config.Log.Event(reporter.SourceFailed, reporter.Fields{"Step": "learn manifest", "Error": err})
			pause = learnPause
		}
	}
}

// begin reads the configuration and starts the fetcher.
func (p *Peer) begin(ctx context.Context, wg *sync.WaitGroup) error {
	r, err := p.sources.Routing(ctx)
	if err != nil {
		return err
	}
	spec, _ := r.Pools.Get(p.config.Self.Service)
	if spec.Engine == nil {
		return filbertstile.ErrField{Step: "read configuration", Field: p.config.Self.Service, Problem: "has no engine"}
	}
	region := ""
	for _, s := range r.Pools.All() {
		if s.Origin != "" {
			p.library.setOrigin(p.config.Origin(s.Origin))
			region = p.config.Regions[s.OriginDomain]
		}
	}
	p.mu.Lock()
	p.model, p.originRegion = spec.Engine.Model, region
	p.mu.Unlock()
	p.resumable.Store(resumable(r, p.config.Self.Service))
	f, err := fetcher.New(fetcher.Config{
		Self: p.config.Self, Client: p.client, Source: p.library, Log: p.config.Log, Metrics: p.config.Metrics,
		Core: distributor.Config{
			Self: p.config.Self, SourceRegion: region, Limits: limits(), Seed: uint64(p.started.UnixNano()),
		},
		MemoryBytes: p.config.MemoryBytes / weightMemoryShare, Uploads: uploads, UploadBytesPerSecond: p.config.LinkBytesPerSecond * uploadShare, Completed: func(distributor.Completed) {},
		Learned: p.library.take,
	})
	if err != nil {
		return err
	}
	wg.Go(func() { f.Run(ctx) })
	p.fetcher.Store(f)
	return nil
}

// resumable tells whether all streams that lead to the service may go on at
// another replica.
func resumable(r filbertstile.Routing, service string) bool {
	for _, x := range r.Routes.All() {
		leads := slices.ContainsFunc(x.Targets, func(t filbertstile.Target) bool { return t.Service == service })
		if leads && !x.Retryable() {
			return false
		}
	}
	return true
}

// limits follow every host of a region of up to a dozen, and divide what comes
// from other regions among as many: at a few megabytes a version, the links of
// single importers would be what the region waits for.
func limits() distributor.Limits {
	l := distributor.DefaultLimits()
	l.RingPeersPerSide, l.SourcePeers, l.MaxImporters, l.MaxOriginFetches = 6, 12, 12, 2
	l.MaxPeerFetches, l.MaxFetchesPerPeer = 5, 2
	l.MinHedgeDelay = slowChunk
	return l
}

// slowChunk is what a host takes that serves all its uploads at once, three times
// over: some 30 ms each at the rate of its link.
const slowChunk = 800 * time.Millisecond

// sync tells the fetcher which versions to hold and which hosts live.
func (p *Peer) sync(ctx context.Context) error {
	f := p.fetcher.Load()
	if m := p.members(); !slices.Equal(m, p.told) {
		p.told = m
		f.SetMembers(m)
	}
	w, ok := p.target()
	if !ok {
		// Nothing is named: the origin knows the newest version.
		ctx, cancel := context.WithTimeout(ctx, learnTimeout)
		defer cancel()
		named, _, err := p.library.learn(ctx, filbertstile.WeightsVersion{Model: p.model})
		if err != nil {
			return err
		}
		p.name(named)
		w = named
	}
	err := p.learn(ctx, w)
	p.library.forget(w.Model, w.Version-keptVersions+1)
	p.seed(ctx, w)
	f.SetWanted(p.wants(w))
	return err
}

// learn makes sure that the manifest of a version is known. Two hosts near the
// origin read it from there; the others hear of it and get it from them, which
// leaves the origin's link to the chunks.
func (p *Peer) learn(ctx context.Context, w filbertstile.WeightsVersion) error {
	if p.library.read(w) {
		return nil
	}
	if _, heard := p.library.digest(w); heard || !p.learnsNow(w) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, learnTimeout)
	defer cancel()
	_, _, err := p.library.learn(ctx, w)
	p.pulser.SendNow()
	return err
}

// learnsNow tells whether this host is to read the manifest itself.
func (p *Peer) learnsNow(w filbertstile.WeightsVersion) bool {
	p.mu.Lock()
	waited := time.Since(p.named[w])
	p.mu.Unlock()
	if waited >= p.hearWait() {
		return true
	}
	var near []string
	for _, m := range p.members() {
		if m.Region == p.originRegion {
			near = append(near, m.Name)
		}
	}
	i := slices.Index(near, p.config.Self.Name)
	return i >= 0 && i < firstReaders
}

const (
	// firstReaders is the number of hosts that read a new manifest at once.
	firstReaders = 2
	// hearWait is how long the others wait to hear of it; longWait is the same where
	// it goes through entries of several groups, as all hosts' reading it would fill
	// the origin's link.
	hearWait = 600 * time.Millisecond
	longWait = 1500 * time.Millisecond
)

func (p *Peer) hearWait() time.Duration {
	if p.large() {
		return longWait
	}
	return hearWait
}

// seed takes over what lies beside the engine since before this process
// started, so that it need not come over the link.
func (p *Peer) seed(ctx context.Context, w filbertstile.WeightsVersion) {
	digest, ok := p.library.digest(w)
	r := p.report.Load()
	if p.seeded || !ok || r == nil {
		return
	}
	doc := p.library.document(digest)
	if doc == nil {
		return
	}
	p.seeded = true
	f := p.fetcher.Load()
	for i, ref := range doc.Chunks {
		data, err := p.config.Engine.Staged(ctx, w.Model, i)
		if err != nil {
			return // nothing lies there
		}
		if f.Add(digest, i, ref, data) != nil {
			continue // it is of another version, or spoilt
		}
	}
}

// members returns the hosts of the service that an entry hears; where no entry
// is heard, all that are registered.
func (p *Peer) members() []filbertstile.Member {
	now := time.Now()
	settle := time.Duration(0)
	if p.large() {
		settle = settleTime
	}
	p.mu.Lock()
	alive := p.roster.living(now, settle)
	p.mu.Unlock()
	var out []filbertstile.Member
	for _, m := range p.sources.Members.View().Rows.All() {
		own := m.Name == p.config.Self.Name
		if m.Role == filbertstile.RoleHost && m.Service == p.config.Self.Service && (own || alive(m.Name)) {
			out = append(out, m)
		}
	}
	return out
}

func (p *Peer) chunks(w filbertstile.WeightsVersion) (filbertstile.Manifest, [][]byte, bool) {
	digest, ok := p.library.digest(w)
	f := p.fetcher.Load()
	if !ok || f == nil {
		return filbertstile.Manifest{}, nil, false
	}
	return f.Shelf().All(digest)
}

// seen takes in the engine's report.
func (p *Peer) seen(r filbertstile.EngineReport, closing bool) {
	old := p.report.Swap(&r)
	if p.closing.Swap(closing) != closing || old == nil || old.Loading != r.Loading || old.Version != r.Version {
		if old != nil && old.Version != r.Version && r.Version > 0 {
			p.config.Log.Event(reporter.SwitchDone, reporter.Fields{"Version": r.Version, "From": old.Version, "Born": r.Born.UnixMilli()})
		}
		p.pulser.SendNow()
	}
}

// Dump is the state of a host process.
type Dump struct {
	Self    filbertstile.Member
	Report  *filbertstile.EngineReport
	Wanted  filbertstile.WeightsVersion
	Members []filbertstile.Member
	Weights []distributor.Progress
}

// Dump returns the process's tables.
func (p *Peer) Dump() Dump {
	d := Dump{Self: p.config.Self, Report: p.report.Load(), Members: p.members()}
	d.Wanted, _ = p.target()
	if f := p.fetcher.Load(); f != nil {
		d.Weights = f.Progress()
	}
	return d
}
