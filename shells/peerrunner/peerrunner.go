// Package peerrunner runs the host process of a model engine. It reports the engine's
// load to the entries, exchanges weights with the other hosts, and runs the installer,
// which brings the engine to the version that operators have chosen.
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
	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/decisions/distributor"
	"filbertstile.example/filbertstile/outside/tracker"
	"filbertstile.example/filbertstile/shells/fetcher"
	"filbertstile.example/filbertstile/shells/installer"
	"filbertstile.example/filbertstile/shells/sharer"
	"filbertstile.example/filbertstile/transport/messenger"
	"filbertstile.example/filbertstile/transport/pulser"
)

const (
	// heartbeatInterval is the time between two heartbeats. Changes of the engine's
	// version or loading state are sent immediately.
	heartbeatInterval = 400 * time.Millisecond
	// digestAnnouncePeriod is how long the digest of a manifest that this process got
	// is included in each heartbeat.
	digestAnnouncePeriod = 1500 * time.Millisecond
	// syncInterval is the maximum time between two updates of what the fetcher should
	// hold; news of a version or of a manifest lead to one at once.
	syncInterval = 300 * time.Millisecond
	// syncRetryDelay is the delay before a manifest is read again after a failure.
	syncRetryDelay = 250 * time.Millisecond
	// idleSessionTimeout is how long the session to another host is kept without a
	// request. Its keepalives would cost as much as the host's heartbeats.
	idleSessionTimeout = 3 * time.Second
	// manifestTimeout is the timeout for reading a manifest from the origin.
	manifestTimeout = 3 * time.Second
	// uploadShare is the share of the link's rate that uploads of weights may use.
	uploadShare = 0.88
	// pieceBytes is the size of the frames that carry a chunk. Callers' requests reach the
	// engine on connections of their own, and do not wait for a frame.
	pieceBytes = 16 << 10
	// maxUploads is the maximum number of uploads of chunks in progress. With 8, a chunk
	// waited for 7 others, and the first complete copy in a region came a tenth later.
	maxUploads = 5
	// weightMemoryDivisor limits the chunks held to 1/weightMemoryDivisor of the
	// process's memory.
	weightMemoryDivisor = 4
)

// Sources provide the objects of the store that the host needs.
type Sources struct {
	// Weights are the versions of weights that operators have chosen.
	Weights *tracker.Tracker[filbertstile.WeightsVersion]
	Members *tracker.Tracker[filbertstile.Member]
	// Contacts are the entries of the host's failure domain. They are read only until the
	// members are listed, most often by an entry.
	Contacts *tracker.Tracker[filbertstile.Member]
	// Routing reads the configuration from the store once.
	Routing func(ctx context.Context) (filbertstile.Routing, error)
	// NewRoutingCopy returns an empty copy of the configuration, which entries fill.
	NewRoutingCopy func() *tracker.Tracker[filbertstile.Routing]
}

// Config configures a Peer.
type Config struct {
	Self filbertstile.Member
	// Regions maps failure domains to their regions.
	Regions map[string]string
	Network filbertstile.Network
	// EngineAddress is the address at which entries reach the engine.
	EngineAddress string
	Engine        filbertstile.Engine
	// Origin returns a client of the origin at the address.
	Origin func(address string) filbertstile.Origin
	// RolloutTimeout is the time within which a newly chosen version must run
	// everywhere.
	RolloutTimeout time.Duration
	// LinkBytesPerSecond is the rate of the host's link; 0 if it is not known.
	LinkBytesPerSecond float64
	// MemoryBytes is the memory of the process.
	MemoryBytes int64
	// Clock is the clock of the sources.
	Clock   func() time.Duration
	Log     *reporter.Log
	Metrics metrics.Registry
}

// Peer is the host process of a model engine.
type Peer struct {
	config       Config
	sources      Sources
	weightSource *weightSource
	client       *messenger.Client
	pulser       *pulser.Pulser
	sharer       *sharer.Sharer
	installer    *installer.Installer
	// members and fetcherWants were last passed to the fetcher.
	members      distributor.MembersChanged
	fetcherWants []distributor.Want
	// rolloutRank is this host's place in the order of switches, as of the last sync.
	rolloutRank atomic.Pointer[rolloutRank]
	// manifestRetries delays reads of manifests after one that does not fit the configuration, and
	// engineReads the reads of the configuration that follow. originReads delays those because the origin
	// is not reached.
	manifestRetries, engineReads, originReads backoff
	// originAddress is the address of the origin of the weights.
	originAddress string
	// syncRequested makes syncLoop update the fetcher before the next interval.
	syncRequested chan struct{}
	fetcher       atomic.Pointer[fetcher.Fetcher]
	report        atomic.Pointer[filbertstile.EngineReport]
	draining      atomic.Bool
	started       time.Time

	mu    sync.Mutex
	model string
	// originRegion is the region of the origin of the weights.
	originRegion string
	// originCopyTime is the time that the origin's link needs for a version; 0 if it is not known.
	originCopyTime time.Duration
	// learnedAt is when this process learned that operators have chosen a version, on the
	// sources' clock.
	learnedAt         map[filbertstile.WeightsVersion]time.Duration
	newestVersion     filbertstile.WeightsVersion
	roster            roster
	stagedChunksAdded bool
	// stagedRead has each stagedChunk for which the engine has answered since the start.
	stagedRead sync.Map
}

// New returns a host process. It does nothing before Run is called.
func New(c Config) *Peer {
	p := &Peer{
		config: c, weightSource: newWeightSource(c.Log), started: time.Now(),
		client:    messenger.NewClient(messenger.ClientConfig{Network: c.Network, Sender: c.Self.Name}),
		learnedAt: make(map[filbertstile.WeightsVersion]time.Duration), roster: roster{lastListed: make(map[string]time.Time)},
		syncRequested:   make(chan struct{}, 1),
		manifestRetries: backoff{initial: minManifestRetryDelay, limit: maxManifestRetryDelay},
		engineReads:     backoff{initial: minEngineReadDelay, limit: maxEngineReadDelay},
		originReads:     backoff{initial: originPatience, limit: maxOriginReadDelay},
	}
	p.installer = installer.New(installer.Config{Engine: c.Engine, Log: c.Log, Clock: c.Clock, Wanted: p.wantedVersions, Chunks: p.chunks, OnReport: p.handleReport, MayCancelRunning: p.mayCancelRunning})
	return p
}

// Connect sets the sources and the connection for heartbeats. It must be called once,
// before Run.
func (p *Peer) Connect(s Sources, conn pulser.Conn, incarnation int64) {
	p.sources = s
	p.pulser = pulser.New(pulser.Config{
		Self: p.config.Self, Conn: conn, Log: p.config.Log, Incarnation: incarnation, Compose: p.composeHeartbeats,
		Interval: heartbeatInterval, OnHeartbeat: p.handleHeartbeat, OnChange: func() {},
	})
	p.sharer = p.newSharer()
}

// Run serves the requests of other hosts at the listener until the context ends.
func (p *Peer) Run(ctx context.Context, l net.Listener) error {
	server, err := messenger.NewServer(messenger.ServerConfig{Handler: p.handle, Concurrency: maxHandlers})
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	wg.Go(func() { p.sources.Weights.Run(ctx) })
	wg.Go(func() { p.sources.Members.Run(ctx) })
	wg.Go(func() { p.sources.Contacts.Run(ctx) })
	wg.Go(func() { p.pulser.Run(ctx) })
	wg.Go(func() { p.sharer.Run(ctx) })
	wg.Go(func() { p.installer.Run(ctx) })
	wg.Go(func() { p.syncLoop(ctx) })
	err = server.Serve(ctx, l)
	wg.Wait()
	p.client.Close()
	return err
}

// maxHandlers is the maximum number of requests of other hosts that are handled at the
// same time.
const maxHandlers = 256

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

// syncLoop starts the fetcher, and then keeps its list of versions and hosts up to
// date until the context ends.
func (p *Peer) syncLoop(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	pause := syncInterval
	for p.awaitSync(ctx, pause) {
		pause = p.syncPause()
		p.client.CloseIdle(idleSessionTimeout)
		if p.fetcher.Load() == nil {
			if err := p.startFetcher(ctx, &wg); err != nil {
				p.config.Log.Event(reporter.StepFailed, reporter.Fields{"Step": "start fetcher", "Error": err})
				pause = syncRetryDelay
				continue
			}
		}
		if ctx.Err() != nil {
			return
		}
		if err := p.syncFetcher(ctx); err != nil {
			p.config.Log.Event(reporter.SourceFailed, reporter.Fields{"Step": "read manifest", "Error": err})
			pause = syncRetryDelay
		}
	}
}

// awaitSync waits until the next update of the fetcher is due, and returns false if the
// context has ended.
func (p *Peer) awaitSync(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.syncRequested:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// Refresh requests an update of what the fetcher should hold. It must be called after each
// change of a source, and does not block.
func (p *Peer) Refresh() {
	select {
	case p.syncRequested <- struct{}{}:
	default:
	}
}

// startFetcher waits for the configuration and starts the fetcher. It returns nil without
// one if the context has ended.
func (p *Peer) startFetcher(ctx context.Context, wg *sync.WaitGroup) error {
	r, ok := p.awaitRouting(ctx)
	if !ok {
		return nil
	}
	region := p.applyRouting(r)
	f, err := fetcher.New(fetcher.Config{
		Self: p.config.Self, Client: p.client, Source: p.weightSource, Log: p.config.Log, Metrics: p.config.Metrics,
		Core: distributor.Config{
			Self: p.config.Self, SourceRegion: region, Limits: distributor.SmallReleaseLimits(), Seed: uint64(p.started.UnixNano()),
		},
		MemoryBytes: p.config.MemoryBytes / weightMemoryDivisor, MaxUploads: maxUploads, UploadBytesPerSecond: p.config.LinkBytesPerSecond * uploadShare, PieceBytes: pieceBytes, OnCompleted: func(distributor.Completed) {},
		OnManifest: func(digest filbertstile.Digest, m filbertstile.Manifest, peer string) error {
			defer p.Refresh() // chunks may be staged at the engine
			return p.weightSource.addReceivedManifest(digest, m, peer)
		},
	})
	if err != nil {
		return err
	}
	wg.Go(func() { f.Run(ctx) })
	p.fetcher.Store(f)
	return nil
}

// applyRouting takes over what the configuration says of the engine and of the origin of its weights, and
// returns the region of the origin.
func (p *Peer) applyRouting(r filbertstile.Routing) (originRegion string) {
	spec, _ := r.Pools.Get(p.config.Self.Service)
	copyTime := time.Duration(0)
	for _, s := range r.Pools.All() {
		if s.Origin != "" {
			copyTime = spec.Engine.CopyTime(s.OriginBytesPerSecond)
			if s.Origin != p.originAddress {
				p.originAddress = s.Origin
				p.weightSource.setOrigin(p.config.Origin(s.Origin))
			}
			originRegion = p.config.Regions[s.OriginDomain]
		}
	}
	p.weightSource.setEngine(*spec.Engine)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.model, p.originRegion, p.originCopyTime = spec.Engine.Model, originRegion, copyTime
	return originRegion
}

// syncFetcher updates the fetcher's list of hosts and its list of wanted versions.
func (p *Peer) syncFetcher(ctx context.Context) error {
	f := p.fetcher.Load()
	members := distributor.MembersChanged{Members: p.liveHosts(), Listed: p.sources.Members.View().Listed}
	if !members.Listed {
		members.Expected = p.expectedHosts()
	}
	if !slices.Equal(members.Members, p.members.Members) || members.Listed != p.members.Listed || members.Expected != p.members.Expected {
		p.members = members
		p.rolloutRank.Store(rankAmong(members.Members, p.config.Self))
		f.SetMembers(members)
	}
	p.findOrigin(ctx)
	w, ok := p.targetVersion()
	if !ok {
		// No version is known to be chosen, so the newest one of the origin is used. Most
		// hosts learn of it from those that have read its manifest.
		if time.Since(p.started) < p.manifestDelay() {
			return nil
		}
		newest, read, err := p.readManifest(ctx, filbertstile.WeightsVersion{Model: p.model})
		if !read {
			return err
		}
		p.recordVersion(newest)
		w = newest
	}
	err := p.ensureManifest(ctx, w)
	if err == nil {
		err = p.checkManifests(ctx)
	}
	p.weightSource.removeOlder(w.Model, w.Version-keptVersions+1)
	p.addStagedChunks(ctx, w)
	if wants := p.versionsToHold(w); !slices.Equal(wants, p.fetcherWants) {
		p.fetcherWants = wants
		f.SetWanted(wants)
	}
	return err
}

// liveHosts returns the hosts of the service that entries list as alive, or all that
// are registered if no lists arrive. It is the host itself until others are known.
func (p *Peer) liveHosts() []filbertstile.Member {
	now := time.Now()
	settle := oneGroupSettleTime
	if p.hasSeveralGroups() {
		settle = settleTime
	}
	p.mu.Lock()
	alive := p.roster.aliveFunc(now, settle)
	p.mu.Unlock()
	var out []filbertstile.Member
	for _, m := range p.sources.Members.View().Rows.All() {
		self := m.Name == p.config.Self.Name
		if m.Role == filbertstile.RoleHost && m.Service == p.config.Self.Service && (self || alive(m.Name)) {
			out = append(out, m)
		}
	}
	if len(out) == 0 {
		out = append(out, p.config.Self)
	}
	return out
}

func (p *Peer) chunks(w filbertstile.WeightsVersion) (filbertstile.Manifest, [][]byte, bool) {
	digest, ok := p.weightSource.digest(w)
	f := p.fetcher.Load()
	if !ok || f == nil {
		return filbertstile.Manifest{}, nil, false
	}
	return f.ChunkStore().AllChunks(digest)
}

// handleReport records the engine's report, and sends a heartbeat immediately if the
// version, the loading state, the pace or draining has changed.
func (p *Peer) handleReport(r filbertstile.EngineReport, draining bool) {
	old := p.report.Swap(&r)
	if p.draining.Swap(draining) != draining || old == nil || old.Loading != r.Loading || old.Version != r.Version || pacePercent(old.Pace) != pacePercent(r.Pace) {
		if old != nil && old.Version != r.Version && r.Version > 0 {
			p.config.Log.Event(reporter.SwitchDone, reporter.Fields{"Version": r.Version, "From": old.Version, "Born": r.Born.UnixMilli()})
		}
		p.pulser.SendNow()
	}
}
