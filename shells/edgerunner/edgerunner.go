// Package edgerunner runs an entry that sends requests straight to replicas: it
// holds the entry's view of configuration, replicas and peers, and judges what
// callers may do by it.
package edgerunner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/base/sleeper"
	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/decisions/grouper"
	"filbertstile.example/filbertstile/decisions/matcher"
	"filbertstile.example/filbertstile/decisions/placer"
	"filbertstile.example/filbertstile/outside/tracker"
	"filbertstile.example/filbertstile/shells/forwarder"
	"filbertstile.example/filbertstile/shells/installer"
	"filbertstile.example/filbertstile/transport/pulser"
)

const (
	// pulseEvery is the time between two heartbeats of an entry; a killed entry
	// is noticed after pulser.HeardFor.
	pulseEvery = 400 * time.Millisecond
	// farEvery is the same towards entries of other groups, of which two may get
	// lost before the entry is taken for dead.
	farEvery = 800 * time.Millisecond
	// shareEvery bounds how often an entry tells the others what has changed of
	// what it has in hand; every shareAgain it tells all, as datagrams are lost.
	shareEvery = 25 * time.Millisecond
	shareAgain = 500 * time.Millisecond
	// shareSlowly is the same where there are several groups, whose entries have
	// fewer requests each.
	shareSlowly = 50 * time.Millisecond
	// revokeMargin is kept from the time within which a withdrawn key must stop
	// working: timers fire late on a busy machine.
	revokeMargin = 400 * time.Millisecond
	// currentFor is how old the store's last confirmation may be for an entry to
	// be named to callers.
	currentFor = 2900 * time.Millisecond
	// sweepEvery is the time between two looks for what has expired.
	sweepEvery = 500 * time.Millisecond
)

// Sources are the entry's copies of what the store holds.
type Sources struct {
	Routing  *tracker.Tracker[filbertstile.Routing]
	Replicas *tracker.Tracker[filbertstile.Replica]
	Marks    *tracker.Tracker[filbertstile.Mark]
	Weights  *tracker.Tracker[filbertstile.WeightsVersion]
	Members  *tracker.Tracker[filbertstile.Member]
}

// Bounds are the times that operators set.
type Bounds struct {
	// Revoke is how long after its withdrawal a key may still work.
	Revoke time.Duration
	// Version is the time within which a named version must be in force.
	Version time.Duration
	// Stop is the time from the signal to stop until the process is killed.
	Stop time.Duration
	// Settle is the time that an entry has after its start until it must keep
	// the other bounds.
	Settle time.Duration
}

// Config puts an entry together.
type Config struct {
	Self    filbertstile.Member
	Regions map[string]string
	Bounds  Bounds
	Budget  forwarder.BudgetConfig
	Placer  placer.Config
	Link    forwarder.Link
	Log     *reporter.Log
	Metrics metrics.Registry
	// Sweep is called now and then to close unused connections.
	Sweep func()
}

// Edge is an entry.
type Edge struct {
	config    Config
	sources   Sources
	placer    *placer.Placer
	forwarder *forwarder.Forwarder
	pulser    *pulser.Pulser
	matcher   atomic.Pointer[matcher.Matcher]
	leaving   atomic.Bool
	// leftAt is when the planned stop began, in Unix nanoseconds.
	leftAt  atomic.Int64
	inHand  atomic.Int64
	started time.Time

	// division is this entry's part of the system, as of the last Refresh.
	division atomic.Pointer[grouper.Division]

	mu     sync.Mutex
	named  map[string][]naming
	digest map[filbertstile.WeightsVersion]string
	ready  bool
	// listed tells that the versions named before this start are known.
	listed bool
	// hosts is when an entry last said that it hears a host.
	hosts map[string]time.Time
	// toldFar is when entries of other groups were last told something, and
	// toldLeaving whether they know that this entry leaves.
	toldFar     time.Time
	toldLeaving bool
}

// naming is when this entry learned of a version.
type naming struct {
	version int64
	at      time.Time
}

// New returns an entry without sources.
func New(c Config) *Edge {
	e := &Edge{
		config: c, placer: placer.New(c.Placer), started: time.Now(),
		named: make(map[string][]naming), digest: make(map[filbertstile.WeightsVersion]string), hosts: make(map[string]time.Time),
	}
	e.division.Store(&grouper.Division{Groups: 1})
	e.forwarder = forwarder.New(forwarder.Config{
		Placer: e.placer, Link: c.Link, Budget: c.Budget, Log: c.Log, Floor: e.floor, Observe: e.observe,
	})
	return e
}

// Connect gives the entry its sources and its heartbeats. It is called once,
// before Run.
func (e *Edge) Connect(s Sources, conn pulser.Conn, incarnation int64) {
	e.sources = s
	e.pulser = pulser.New(pulser.Config{
		Self: e.config.Self, Conn: conn, Log: e.config.Log, Incarnation: incarnation, Compose: e.compose,
		Interval: pulseEvery, OnHeartbeat: e.heard, OnChange: e.Refresh,
	})
}

// Run keeps the entry's view until the context ends.
func (e *Edge) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { e.sources.Routing.Run(ctx) })
	wg.Go(func() { e.sources.Replicas.Run(ctx) })
	wg.Go(func() { e.sources.Marks.Run(ctx) })
	wg.Go(func() { e.sources.Weights.Run(ctx) })
	wg.Go(func() { e.sources.Members.Run(ctx) })
	wg.Go(func() { e.pulser.Run(ctx) })
	wg.Go(func() { e.share(ctx) })
	for sleeper.Sleep(ctx, sweepEvery) == nil {
		e.config.Sweep()
		e.noteReady()
	}
	wg.Wait()
}

// Refresh brings routes, replicas and peers into force. Trackers call it after
// each change.
func (e *Edge) Refresh() {
	now := time.Now()
	if e.pulser == nil {
		return
	}
	routing, known := e.routing()
	if known {
		if m := e.matcher.Load(); m == nil || m.Routing().Version < routing.Version {
			e.matcher.Store(matcher.New(routing))
			e.config.Log.Event(reporter.ChangeApplied, reporter.Fields{"Config": routing.Version, "Routes": routing.Routes.Len()})
		}
	}
	if e.learnVersions(now) {
		e.pulser.SendNow()
	}
	out := make(map[string]bool)
	for _, m := range e.sources.Marks.View().Rows.All() {
		out[m.Name] = m.Out
	}
	replicas := e.sources.Replicas.View()
	d := e.divide(replicas.Rows, routing.Pools)
	entries := 1 + d.LivePeerCount
	e.placer.RetainPeers(now, d.LiveGroupPeers)
	e.placer.SetFleet(now, placer.Fleet{
		Replicas: replicas.Rows, Pools: routing.Pools, OutOfService: out, Regions: e.config.Regions, Entries: entries,
		GroupReplicas: d.GroupReplicas, GroupEntries: 1 + len(d.LiveGroupPeers),
	})
	e.forwarder.SetEntries(entries)
	e.config.Log.Event(reporter.ReplicasChanged, reporter.Fields{
		"Replicas": replicas.Rows.Len(), "Revision": replicas.Revision, "Out": len(out), "Entries": entries,
		"Groups": d.Groups, "Group": d.Group, "Near": len(d.LiveGroupPeers), "Own": len(d.GroupReplicas),
	})
}

// routing returns the configuration in force: versions never go back.
func (e *Edge) routing() (filbertstile.Routing, bool) {
	r, ok := e.sources.Routing.View().Rows.Get(filbertstile.Routing{}.Key())
	if m := e.matcher.Load(); m != nil && (!ok || r.Version < m.Routing().Version) {
		return m.Routing(), true
	}
	return r, ok
}

// learnVersions notes when versions were named, and reports whether one is news.
func (e *Edge) learnVersions(now time.Time) bool {
	news := false
	view := e.sources.Weights.View()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, w := range view.Rows.All() {
		list := e.named[w.Model]
		if len(list) > 0 && list[len(list)-1].version >= w.Version {
			continue
		}
		at := now
		if !e.listed {
			// It may have been named long before this start.
			at = e.started.Add(e.config.Bounds.Settle - e.config.Bounds.Version)
		}
		news = true
		e.named[w.Model] = append(list, naming{version: w.Version, at: at})
		e.config.Log.Event(reporter.VersionNamed, reporter.Fields{"Model": w.Model, "Version": w.Version, "Revision": view.Revision})
	}
	e.listed = e.listed || view.Listed
	return news
}

// floor returns the version of the weights that replicas of the service must run.
func (e *Edge) floor(service string) placer.Floor {
	m := e.matcher.Load()
	if m == nil {
		return placer.Floor{}
	}
	spec, ok := m.Routing().Pools.Get(service)
	if !ok || spec.Engine == nil {
		return placer.Floor{}
	}
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	var out placer.Floor
	for _, n := range e.named[spec.Engine.Model] {
		due := n.at.Add(e.config.Bounds.Version)
		if !now.Before(due.Add(-installer.EntryMargin)) {
			out.Version = n.version
		} else if out.NextVersion == 0 {
			out.NextVersion, out.NextAt = n.version, due
		}
	}
	return out
}

// heard takes in a heartbeat.
func (e *Edge) heard(p *wire.Pulse) {
	e.hearHosts(p.GetHeard())
	if e.hearWeights(p.GetWeights()) {
		e.pulser.SendNow()
	}
	if p.GetAllLoads() || len(p.GetLoads()) > 0 {
		hands := make(map[uint32]placer.EntryLoad, len(p.GetLoads()))
		for _, l := range p.GetLoads() {
			hands[l.GetReplica()] = placer.EntryLoad{Requests: int(l.GetRequests()), Tokens: int(l.GetTokens())}
		}
		e.placer.SetPeerLoads(time.Now(), p.GetName(), hands, p.GetAllLoads())
	}
	if r := p.GetReplica(); r != nil {
		e.placer.SetReplicaLoad(time.Now(), r.GetAddress(), placer.ReplicaLoad{
			Born: time.UnixMilli(r.GetBorn()), Running: int(r.GetRunning()), Waiting: int(r.GetWaiting()),
			Version: r.GetVersion(), Loading: r.GetLoading(),
		})
	}
}

// share tells the other entries what this one has in hand at the replicas.
func (e *Edge) share(ctx context.Context) {
	last := time.Now()
	for sleeper.Sleep(ctx, e.sharePause()) == nil {
		all := time.Since(last) >= shareAgain
		hands := e.placer.LocalLoads(all)
		if len(hands) == 0 && !all {
			continue
		}
		if all {
			last = time.Now()
		}
		p := &wire.Pulse{Leaving: e.leaving.Load(), Current: e.current(), AllLoads: all}
		for id, h := range hands {
			p.Loads = append(p.Loads, &wire.EntryLoad{Replica: placer.HashOf(id), Requests: int32(h.Requests), Tokens: int32(h.Tokens)})
		}
		e.pulser.Send(pulser.Message{Pulse: p, To: e.division.Load().LiveGroupPeers})
	}
}

func (e *Edge) sharePause() time.Duration {
	if e.division.Load().Groups > 1 {
		return shareSlowly
	}
	return shareEvery
}

// hearWeights takes in the digests of manifests, and reports whether one is
// news that hosts wait for.
func (e *Edge) hearWeights(list []*wire.WeightsVersion) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	news := false
	for _, w := range list {
		key := filbertstile.WeightsVersion{Model: w.GetModel(), Version: w.GetVersion()}
		if e.digest[key] == "" && w.GetManifest() != "" {
			e.digest[key] = w.GetManifest()
			e.toldFar = time.Time{}
			news = true
		}
	}
	return news
}

// current tells whether the store confirmed this entry's view a moment ago.
func (e *Edge) current() bool {
	age, known := e.sources.Routing.Age()
	return known && age < currentFor
}

// Ready tells whether the entry takes requests.
func (e *Edge) Ready() bool {
	return !e.leaving.Load() && e.matcher.Load() != nil && e.sources.Replicas.View().Listed && e.current()
}

func (e *Edge) noteReady() {
	ready := e.Ready()
	e.mu.Lock()
	changed := ready != e.ready
	e.ready = ready
	e.mu.Unlock()
	if !changed {
		return
	}
	age, known := e.sources.Routing.Age()
	event := reporter.ViewStale
	if ready {
		event = reporter.ProcessReady
	}
	e.config.Log.Event(event, reporter.Fields{"Age": age.String(), "Known": known, "Leaving": e.leaving.Load()})
}

// Leaving tells whether a planned stop has begun.
func (e *Edge) Leaving() bool { return e.leaving.Load() }

// Leave begins a planned stop, and returns when callers no longer hold the
// entry's address and nothing is in hand, or the time is over. It returns when the
// process must have ended.
func (e *Edge) Leave(ctx context.Context, hold time.Duration) time.Time {
	e.leftAt.Store(time.Now().UnixNano())
	e.leaving.Store(true)
	e.config.Log.Event(reporter.ProcessLeaving, reporter.Fields{"InHand": e.inHand.Load()})
	e.pulser.SendNow()
	last := time.Now().Add(e.config.Bounds.Stop - stopMargin)
	if sleeper.Sleep(ctx, min(hold+drainExtra, e.config.Bounds.Stop/2)) != nil {
		return last
	}
	for e.inHand.Load() > 0 && time.Now().Before(last) {
		if sleeper.Sleep(ctx, drainPoll) != nil {
			return last
		}
	}
	return last
}

const (
	drainPoll = 20 * time.Millisecond
	// drainExtra is for callers that are slow to learn of other addresses.
	drainExtra = 700 * time.Millisecond
	// stopMargin is kept from the moment at which the process is killed.
	stopMargin = 300 * time.Millisecond
)

func (e *Edge) observe(c *forwarder.Call, status string, took time.Duration) {
	metrics.GetOrRegisterCounter("Requests."+status, e.config.Metrics).Inc(1)
	// A histogram, as a timer of this library brings a goroutine that never ends.
	if h, ok := e.config.Metrics.GetOrRegister("Requests.TookMicroseconds."+string(c.Route.Kind), newHistogram).(metrics.Histogram); ok {
		h.Update(took.Microseconds())
	}
}

// The library's own recommendation: 1,028 samples, weighted to the last five
// minutes.
const (
	sampleSize  = 1028
	sampleDecay = 0.015
)

func newHistogram() metrics.Histogram {
	return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleDecay))
}

// Dump is the state of an entry.
type Dump struct {
	Self     filbertstile.Member
	Config   int64
	Ready    bool
	Heard    []string
	Waiting  int
	Replicas []placer.State
}

// Dump returns the entry's tables.
func (e *Edge) Dump() Dump {
	d := Dump{Self: e.config.Self, Ready: e.Ready(), Heard: e.pulser.PeerNames()}
	if m := e.matcher.Load(); m != nil {
		d.Config = m.Routing().Version
	}
	d.Replicas, d.Waiting = e.placer.Dump(time.Now())
	return d
}
