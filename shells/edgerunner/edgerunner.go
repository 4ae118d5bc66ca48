// Package edgerunner runs an entry that sends requests directly to replicas. It keeps the
// entry's view of the configuration, the replicas and the other processes, and admits or
// rejects callers' requests according to this view.
package edgerunner

import (
	"context"
	"math"
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
	"filbertstile.example/filbertstile/decisions/suspector"
	"filbertstile.example/filbertstile/outside/tracker"
	"filbertstile.example/filbertstile/shells/forwarder"
	"filbertstile.example/filbertstile/shells/sharer"
	"filbertstile.example/filbertstile/transport/messenger"
	"filbertstile.example/filbertstile/transport/pulser"
)

const (
	// heartbeatInterval is the time between two heartbeats of an entry. A killed entry is
	// detected after pulser.HeartbeatTimeout.
	heartbeatInterval = 400 * time.Millisecond
	// otherGroupsInterval is the time between two heartbeats to the entries of other
	// groups, each of which two entries of the group tell of all of it.
	otherGroupsInterval = 800 * time.Millisecond
	// loadInterval is the minimum time between two messages that tell the other entries of
	// the group which of this entry's loads on replicas have changed.
	loadInterval = 25 * time.Millisecond
	// allLoadsInterval is the time between two such messages with all loads, as datagrams
	// may be lost.
	allLoadsInterval = 500 * time.Millisecond
	// demandInterval is the time between two such messages that include the rates at which
	// requests arrive at this entry.
	demandInterval = 200 * time.Millisecond
	// multiGroupLoadInterval replaces loadInterval if there are several groups, as each
	// entry then has fewer requests.
	multiGroupLoadInterval = 50 * time.Millisecond
	// revokeMargin is subtracted from Bounds.RevokeTimeout, as timers fire late on a busy
	// host.
	revokeMargin = 400 * time.Millisecond
	// maxViewAge is the maximum time since the store last confirmed the view. An entry
	// with an older view is not ready, and callers are directed to other entries.
	maxViewAge = 2900 * time.Millisecond
	// refreshInterval is the minimum time between two updates of what the entry works out
	// from its sources and peers. All changes within it take one update.
	refreshInterval = 100 * time.Millisecond
	// listsTimeout is how long after its start an entry waits for the lists of the members and of
	// the marks before it uses replicas without them.
	listsTimeout = 5 * time.Second
	// maintenanceInterval is the time between two checks for expired connections and for
	// changes of readiness.
	maintenanceInterval = 500 * time.Millisecond
)

// Sources are the entry's copies of the objects in the store.
type Sources struct {
	Routing  *tracker.Tracker[filbertstile.Routing]
	Replicas *tracker.Tracker[filbertstile.Replica]
	Marks    *tracker.Tracker[filbertstile.Mark]
	Weights  *tracker.Tracker[filbertstile.WeightsVersion]
	Members  *tracker.Tracker[filbertstile.Member]
	// Contacts, if not nil, are the entries of this one's failure domain. They are read only
	// until the members are listed, most often by another entry.
	Contacts *tracker.Tracker[filbertstile.Member]
}

// Bounds are time limits that operators set.
type Bounds struct {
	// RevokeTimeout is the maximum time for which a key may still work after its
	// withdrawal.
	RevokeTimeout time.Duration
	// RolloutTimeout is the maximum time until requests run only on a newly chosen version
	// of the weights or a later one.
	RolloutTimeout time.Duration
	// StopTimeout is the time from the signal to stop until the process is killed.
	StopTimeout time.Duration
	// SettleTime is the time after its start from which an entry must keep the other bounds.
	SettleTime time.Duration
}

// Config configures an Edge.
type Config struct {
	// Self is the entry.
	Self filbertstile.Member
	// Regions maps failure domains to their regions.
	Regions     map[string]string
	Bounds      Bounds
	RetryBudget forwarder.RetryBudgetConfig
	Placer      placer.Config
	Link        forwarder.Link
	// Prober tells whether a replica's process has ended.
	Prober forwarder.Prober
	// BufferBytes is the memory for the bodies of responses; 0 means a default.
	BufferBytes int64
	Log         *reporter.Log
	Metrics     metrics.Registry
	// Messages connects to the other entries, so that a few of them read the store for all.
	// If it is nil, the entry always reads the store itself.
	Messages *messenger.Client
	// Clock is the clock of the sources and of planned stops: it keeps running while the host
	// is suspended, and cannot be set. If it is nil, the runtime's clock is used, which does not.
	Clock func() time.Duration
	// EraRecord, if not nil, tells whether the store has come back from an older copy since entries
	// last compared what they have in force.
	EraRecord filbertstile.EraRecord
	// CloseExpiredConns closes the connections to replicas that have been idle for too
	// long. It is called periodically.
	CloseExpiredConns func()
}

// Edge is an entry. It is safe for concurrent use after Connect has returned.
type Edge struct {
	config    Config
	sources   Sources
	placer    *placer.Placer
	forwarder *forwarder.Forwarder
	pulser    *pulser.Pulser
	suspector *suspector.Suspector
	// news makes shareNews send news about replicas.
	news chan struct{}
	// sharer keeps the sources up to date; nil if the entry always reads the store.
	sharer *sharer.Sharer
	// matcher holds the routing in use; nil before the first routing is known.
	matcher atomic.Pointer[matcher.Matcher]
	// routingMu is held while a newer routing is put in use.
	routingMu sync.Mutex
	// leaving is true after a planned stop has begun.
	leaving atomic.Bool
	// leavingSince is the time of the signal to stop, on Config.Clock. leavingOnce sets it.
	leavingSince atomic.Int64
	leavingOnce  sync.Once
	// pauses knows whether the process has just stood still.
	pauses *pauseDetector
	// inFlight is the number of calls in flight.
	inFlight atomic.Int64
	// startedAt is the time of New, on the sources' clock.
	startedAt time.Duration
	// outageSeenAt is the time, on the sources' clock, at which the store was last seen to be
	// unavailable to most entries; 0 if it never was.
	outageSeenAt atomic.Int64

	// division is the division of the system into groups, as of the last refresh.
	division atomic.Pointer[grouper.Division]
	// dividedFrom is what division was worked out from; nil before the first time.
	dividedFrom *divisionInputs
	// refreshRequested makes refreshLoop update the entry's view.
	refreshRequested chan struct{}
	senders          *senderCounter
	// comparison compares the configuration with those of other entries, and fetchRequested makes
	// fetchLost get a later one.
	comparison     *comparison
	fetchRequested chan struct{}
	// recordRequested makes keepEraRecord look at the record of the store's eras.
	recordRequested chan struct{}
	// divided is true after the division has been worked out from the list of the members.
	divided atomic.Bool
	// series are the metrics whose names depend on the engines and the configuration.
	series *series
	// replicasKnown is true after the placer has got the first complete list of replicas.
	replicasKnown atomic.Bool

	mu sync.Mutex
	// chosenVersions lists the versions that operators have chosen, by model, in ascending
	// order.
	chosenVersions map[string][]chosenVersion
	// manifests are the manifests of versions that hosts have announced.
	manifests map[filbertstile.WeightsVersion]announcedManifest
	// loggedReady is the readiness that was last logged.
	loggedReady bool
	// versionsListed is true after the versions chosen before the start are known.
	versionsListed bool
	// peerHosts holds, by host name, the time at which another entry last reported that
	// it receives the host's heartbeats.
	peerHosts map[string]time.Time
	// otherGroupsSentAt is the time of the last heartbeat to entries of other groups; zero
	// if the next one is due at once.
	otherGroupsSentAt time.Time
	// otherGroupsSentLeaving is true if that heartbeat announced the planned stop.
	otherGroupsSentLeaving bool
}

// New returns an entry without sources; Connect sets them.
func New(c Config) *Edge {
	started := time.Now()
	if c.Clock == nil {
		c.Clock = func() time.Duration { return time.Since(started) }
	}
	c.Placer.Self = c.Self.Name
	e := &Edge{
		config: c, placer: placer.New(c.Placer), startedAt: c.Clock(), senders: newSenderCounter(c.Clock),
		chosenVersions: make(map[string][]chosenVersion), manifests: make(map[filbertstile.WeightsVersion]announcedManifest), peerHosts: make(map[string]time.Time),
		refreshRequested: make(chan struct{}, 1), suspector: suspector.New(suspector.Config{Self: c.Self.Name}), news: make(chan struct{}, 1),
		comparison: newComparison(c.EraRecord != nil), fetchRequested: make(chan struct{}, 1), recordRequested: make(chan struct{}, 1),
	}
	e.pauses = newPauseDetector(c.Clock, c.Log)
	e.registerGauges()
	e.series = newSeries(c.Metrics)
	e.division.Store(&grouper.Division{Groups: 1})
	e.forwarder = forwarder.New(forwarder.Config{
		Placer: e.placer, Link: c.Link, RetryBudget: c.RetryBudget, BufferBytes: c.BufferBytes, Log: c.Log, VersionFloor: e.versionFloor, OnRequestEnd: e.recordRequestEnd, OnRefused: e.CountRefused,
		Suspector: e.suspector, Prober: c.Prober, OnNews: e.announceNews, Situation: e.situation,
	})
	return e
}

// Connect sets the entry's sources and the connection for heartbeats. It must be called
// once, before Run. The incarnation must be higher after each start of the process.
func (e *Edge) Connect(s Sources, conn pulser.Conn, incarnation int64) {
	e.sources = s
	e.pulser = pulser.New(pulser.Config{
		Self: e.config.Self, Conn: conn, Log: e.config.Log, Incarnation: incarnation, Compose: e.compose,
		Interval: heartbeatInterval, OnHeartbeat: e.handleHeartbeat, OnChange: e.Refresh,
	})
	e.sharer = e.newSharer()
}

// Run keeps the entry's view up to date, and exchanges heartbeats and loads with other
// processes, until the context ends.
func (e *Edge) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { e.sources.Routing.Run(ctx) })
	wg.Go(func() { e.sources.Replicas.Run(ctx) })
	wg.Go(func() { e.sources.Marks.Run(ctx) })
	wg.Go(func() { e.sources.Weights.Run(ctx) })
	wg.Go(func() { e.sources.Members.Run(ctx) })
	if e.sources.Contacts != nil {
		wg.Go(func() { e.sources.Contacts.Run(ctx) })
	}
	wg.Go(func() { e.pulser.Run(ctx) })
	wg.Go(func() { e.pauses.run(ctx) })
	wg.Go(func() { e.sendLoads(ctx) })
	wg.Go(func() { e.shareNews(ctx) })
	wg.Go(func() { e.refreshLoop(ctx) })
	wg.Go(func() { e.fetchLost(ctx) })
	if e.config.EraRecord != nil {
		wg.Go(func() { e.keepEraRecord(ctx) })
	}
	if e.sharer != nil {
		wg.Go(func() { e.sharer.Run(ctx) })
	}
	serving := false
	for sleeper.Sleep(ctx, maintenanceInterval) == nil {
		e.placer.Tick()
		e.checkOutage()
		if now := e.placer.Serving(); now != serving {
			serving = now
			e.Refresh()
		}
		if !e.replicasKnown.Load() {
			e.Refresh() // listsTimeout may have passed
		}
		e.config.CloseExpiredConns()
		if e.config.Messages != nil {
			e.config.Messages.CloseIdle(idleSessionTimeout)
		}
		e.logReadiness()
		if _, read, write := e.comparison.recordWork(); read || write && e.isReader() {
			e.requestRecord()
		}
	}
	wg.Wait()
}

// routing returns the latest known version of the routing, and whether there is one. It
// never returns an older version than the one in use.
func (e *Edge) routing() (filbertstile.Routing, bool) {
	r, ok := e.sources.Routing.View().Rows.Get(filbertstile.Routing{}.Key())
	if m := e.matcher.Load(); m != nil && (!ok || r.Version < m.Routing().Version) {
		return m.Routing(), true
	}
	return r, ok
}

// handleHeartbeat processes a heartbeat, or a message of sendLoads, of another process.
func (e *Edge) handleHeartbeat(p *wire.Pulse) {
	e.recordPeerHosts(p.GetHeard())
	e.learnEvidence(p.GetEvidence())
	e.learnLimits(p.GetName(), p.GetLimits())
	e.learnInForce(p)
	newVersion := e.recordReportedVersions(p.GetName(), p.GetWeights())
	if e.learnManifests(p.GetWeights()) || newVersion {
		e.pulser.SendNow()
	}
	if p.GetAllDemands() {
		e.placer.SetPeerDemands(p.GetName(), readDemands(p.GetDemands()))
	}
	if p.GetAllLoads() || len(p.GetLoads()) > 0 {
		loads := make(map[uint32]placer.EntryLoad, len(p.GetLoads()))
		for _, l := range p.GetLoads() {
			loads[l.GetReplica()] = placer.EntryLoad{
				Requests: int(l.GetRequests()), Tokens: int(l.GetTokens()), Output: time.Duration(max(0, l.GetOutputMilliseconds())) * time.Millisecond,
				SeenPace: filbertstile.ValidPace(float64(l.GetSeenPacePercent()) / 100), Memory: max(0, int(l.GetMemoryTokens())),
			}
		}
		e.placer.SetPeerLoads(time.Now(), p.GetName(), loads, p.GetAllLoads())
	}
	if p.GetAllPlaced() || len(p.GetPlaced()) > 0 {
		placed := make(map[uint32]uint32, len(p.GetPlaced()))
		for _, c := range p.GetPlaced() {
			placed[c.GetReplica()] = c.GetCount()
		}
		e.placer.SetPeerCounts(time.Now(), p.GetName(), placed, p.GetAllPlaced())
	}
	if r := p.GetReplica(); r != nil {
		e.placer.SetReplicaLoad(time.Now(), r.GetAddress(), placer.ReplicaLoad{
			Born: time.UnixMilli(r.GetBorn()), Running: int(r.GetRunning()), Waiting: int(r.GetWaiting()),
			Version: r.GetVersion(), Loading: r.GetLoading(), Pace: filbertstile.ValidPace(float64(r.GetPacePercent()) / 100),
		})
	}
}

// sendLoads sends the loads that this entry puts on replicas to the other entries of its
// group, until the context ends.
func (e *Edge) sendLoads(ctx context.Context) {
	lastAll, lastDemands := time.Now(), time.Now()
	time.AfterFunc(pulser.HeartbeatTimeout, e.Refresh)
	for sleeper.Sleep(ctx, e.nextLoadInterval()) == nil {
		if e.senders.tick() {
			e.Refresh()
			time.AfterFunc(pulser.HeartbeatTimeout, e.Refresh)
		}
		all := time.Since(lastAll) >= allLoadsInterval
		loads := e.placer.LocalLoads(all)
		p := e.newPulse()
		if time.Since(lastDemands) >= demandInterval {
			lastDemands = time.Now()
			p.Demands, p.AllDemands = e.demands()
		}
		if len(loads) == 0 && !all && !p.GetAllDemands() {
			continue
		}
		if all {
			lastAll = time.Now()
		}
		p.AllLoads = all
		for id, l := range loads {
			p.Loads = append(p.Loads, &wire.EntryLoad{
				Replica: placer.HashOf(id), Requests: int32(l.Requests), Tokens: int32(l.Tokens), OutputMilliseconds: int32(min(l.Output.Milliseconds(), math.MaxInt32)),
				SeenPacePercent: int32(l.SeenPace * 100), MemoryTokens: int32(min(l.Memory, math.MaxInt32)),
			})
		}
		d := e.division.Load()
		if d.Groups > 1 {
			p.AllPlaced = all
			for id, n := range e.placer.LocalCounts(all) {
				p.Placed = append(p.Placed, &wire.PlacementCount{Replica: placer.HashOf(id), Count: n})
			}
		}
		e.pulser.Send(pulser.Message{Pulse: p, To: d.LiveGroupPeers})
	}
}

// nextLoadInterval returns the time until sendLoads sends again.
func (e *Edge) nextLoadInterval() time.Duration {
	if e.division.Load().Groups > 1 {
		return multiGroupLoadInterval
	}
	return loadInterval
}
