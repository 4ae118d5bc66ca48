// Package placer decides at an entry which replica runs a request, which requests
// are queued, and which are rejected at once. It is for entries that send requests
// directly to replicas whose engines batch and queue requests themselves. A request
// that is queued in a replica can go elsewhere only by being withdrawn and sent again, so
// requests that exceed the replicas' slots are queued here, by priority. A request whose response cannot begin
// within its target latency is rejected while the caller still has time to retry.
package placer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"filbertstile.example/filbertstile"
)

const (
	// queueTimeoutShare is the share of the target latency that a request may spend
	// in the queue; the rest is for reading its prompt and for the first step.
	queueTimeoutShare = 0.45
	// placementRateWeight is the weight of the latest second in the moving average
	// of the placement rate.
	placementRateWeight = 0.5
	// networkMargin is the part of the target latency that is reserved for the round
	// trip to the caller.
	networkMargin = 25 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the retry delay of rejected requests. A
	// shortage of slots lasts a second or two, and callers may wait it out: once a
	// response is late, it does not matter by how much.
	minRetryAfter = 900 * time.Millisecond
	maxRetryAfter = 1900 * time.Millisecond
	// retryAfterDivisor limits the retry delay: it is at most the time until the
	// deadline, divided by retryAfterDivisor.
	retryAfterDivisor = 3
)

// WithdrawMargin is how long before the version of its replica is due to end a request is
// withdrawn whose response has not begun. It covers a timer that fires late on a host whose
// share of the processor is used up, and the way of the close to the replica.
const WithdrawMargin = 150 * time.Millisecond

// Config configures a Placer.
type Config struct {
	// Self is the name of the entry.
	Self string
	// Region is the region of the entry.
	Region string
	// Seed seeds the random part of the decisions.
	Seed uint64
	// ColdBurst and ColdSlack bound the number of requests to a cold replica in one
	// second: PoolSpec.ColdRequestsPerSecond x ColdBurst + ColdSlack.
	ColdBurst float64
	ColdSlack float64
}

// Fleet describes the replicas and the entries that send requests to them.
type Fleet struct {
	Replicas filbertstile.Table[filbertstile.Replica]
	Pools    filbertstile.Table[filbertstile.PoolSpec]
	// OutOfService is the set of failure domains that are out of service.
	OutOfService map[string]bool
	// Regions maps failure domains to their regions.
	Regions map[string]string
	// Entries is the number of entries that send requests to the replicas.
	Entries int
	// GroupReplicas is the set of IDs of the model engines of the entry's group; the
	// engines of other groups get only requests for which no engine of the group is
	// eligible. It is nil if there is only one group.
	GroupReplicas map[string]bool
	// GroupEntries is the number of entries in the group, including this one.
	GroupEntries int
	// Senders are the names of the entries that share the limits that replicas name, this one
	// included unless it stops; empty means only this one.
	Senders []string
}

// senders returns the number of entries that send requests to the replica, and
// whether the replica belongs to another group.
func (f Fleet) senders(x filbertstile.Replica) (entries int, otherGroup bool) {
	spec, _ := f.Pools.Get(x.Service)
	if f.GroupReplicas == nil || spec.Engine == nil {
		return f.Entries, false
	}
	if f.GroupReplicas[x.ID] {
		return f.GroupEntries, false
	}
	return f.Entries, true
}

// VersionFloor is the minimum version of a model's weights with which a replica may
// start a request.
type VersionFloor struct {
	// Version is the current minimum; 0 if there is none.
	Version int64
	// Next lists the versions that become the minimum later, in ascending order. They matter
	// before that time, as a replica may start a request some time after it was sent.
	Next []DueVersion
}

// DueVersion is a version that becomes the minimum at a time.
type DueVersion struct {
	Version int64
	At      time.Time
}

// end returns the time from which the version is below the minimum, and whether there is one.
func (f VersionFloor) end(version int64) (time.Time, bool) {
	var out time.Time
	for _, n := range f.Next {
		if n.Version > version && (out.IsZero() || n.At.Before(out)) {
			out = n.At
		}
	}
	return out, !out.IsZero()
}

// Request describes a request that needs a replica.
type Request struct {
	Service string
	// Regions lists the regions that may serve the request; empty means all.
	Regions []string
	// Priority orders requests; 0 is the highest priority.
	Priority int
	// VersionFloor is the minimum version of the weights.
	VersionFloor VersionFloor
	// Tried lists the IDs of replicas that must not be chosen again.
	Tried []string
	// Arrived is the time at which the request arrived at the entry.
	Arrived time.Time
	// TargetLatency is the time within which the caller expects the response to begin.
	TargetLatency time.Duration
	// Deadline is the time at which the caller stops waiting.
	Deadline time.Time
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// Repeatable is true if the request may be sent again after it has been withdrawn.
	Repeatable bool
	// PreferIdle asks for the replica with the fewest requests in flight, as the request may
	// crash it.
	PreferIdle bool
}

// Grant is the permission to send a request to a replica. The holder must call
// Placer.Release once.
type Grant struct {
	Replica filbertstile.Replica
	// InFlight is the estimated number of requests that were already in flight at the
	// replica.
	InFlight int
	// PendingTokens is the number of prompt tokens that the replica had yet to read.
	PendingTokens int
	// ExpectedVersion is the version of the weights that the replica must be asked to
	// verify; 0 if the request has no floor, or if the replica's host has just reported
	// the version.
	ExpectedVersion int64
	// Version is the version of the weights that the replica runs; 0 if it has no engine.
	Version int64
	// StartBy is the time at which the holder must withdraw the request if its response has
	// not begun, as a newer version becomes the minimum soon after. SendBy is the time until
	// which the request may be sent to begin in time. Both are zero if there is no such time.
	StartBy time.Time
	SendBy  time.Time
	// promptTokens is the length of the request's prompt; 0 after the replica has read
	// it.
	promptTokens int
	// hasLimitToken is true if the request counts toward the limit of its replica.
	hasLimitToken bool
	// sent is true if the request may have been sent.
	sent bool
	// answered is true if a response has been read.
	answered bool
	// Waited is the time that the request spent in the queue.
	Waited time.Duration
}

// ErrRejected reports that a request gets no replica.
type ErrRejected struct {
	Step   string
	Reason string
	// RetryAfter is the delay before the caller should retry.
	RetryAfter time.Duration
	// QueueLength is the number of queued requests.
	QueueLength int
	// AnyEligible is true if at least one replica may run the request, if only after a pause
	// that it has asked for.
	AnyEligible bool
}

// Error returns the step and the reason.
func (e ErrRejected) Error() string { return e.Step + ": " + e.Reason }

type queuedRequest struct {
	request  Request
	queuedAt time.Time
	grant    chan Grant
	// hopeless receives a value if no replica is eligible any more.
	hopeless chan struct{}
}

// Placer assigns requests to replicas. It is safe for concurrent use.
type Placer struct {
	config Config

	mu        sync.Mutex
	rng       *rand.Rand
	fleet     Fleet
	byID      map[string]*replicaState
	byAddress map[string]*replicaState
	byHash    map[uint32]*replicaState
	queue     []*queuedRequest
	// peerLoads are the latest loads reported by the other entries, by entry name and
	// replica hash.
	peerLoads map[string]map[uint32]EntryLoad
	// placementRates are moving averages of the placements per second, by service.
	placementRates map[string]float64
	// placements are the numbers of placements since ratesUpdatedAt, by service.
	placements     map[string]int
	ratesUpdatedAt time.Time
	// announced are the announcements of replicas, by ID.
	announced map[string]*announced
	// tokenDueAt is the time at which the queue is served for a limited replica; zero if no
	// such time is set.
	tokenDueAt time.Time
	// requestedAt is the time of the latest request.
	requestedAt time.Time
}

// New returns a placer without replicas.
func New(c Config) *Placer {
	return &Placer{
		config: c, rng: rand.New(rand.NewPCG(c.Seed, 1)), byID: make(map[string]*replicaState), byAddress: make(map[string]*replicaState),
		byHash: make(map[uint32]*replicaState), placementRates: make(map[string]float64), placements: make(map[string]int), peerLoads: make(map[string]map[uint32]EntryLoad),
		announced: make(map[string]*announced),
	}
}

// SetFleet replaces the fleet. The state of replicas that remain is kept, unless they
// have restarted.
func (p *Placer) SetFleet(now time.Time, f Fleet) {
	p.mu.Lock()
	defer p.mu.Unlock()
	sendersChanged := !slices.Equal(p.fleet.Senders, f.Senders)
	byID := make(map[string]*replicaState, f.Replicas.Len())
	byAddress := make(map[string]*replicaState, f.Replicas.Len())
	byHash := make(map[uint32]*replicaState, f.Replicas.Len())
	for _, x := range f.Replicas.All() {
		r := p.byID[x.ID]
		if r == nil || !r.replica.Born.Equal(x.Born) {
			r = &replicaState{senderRank: -1, newUntil: now.Add(newReplicaTime)}
		}
		if p.fleet.OutOfService[x.Domain] && !f.OutOfService[x.Domain] {
			r.newUntil = now.Add(newReplicaTime)
		}
		r.replica, r.region = x, f.Regions[x.Domain]
		r.entries, r.otherGroup = f.senders(x)
		if sendersChanged {
			r.senderRank = -1
		}
		byID[x.ID] = r
		byAddress[x.Address] = r
		byHash[HashOf(x.ID)] = r
	}
	p.fleet, p.byID, p.byAddress, p.byHash = f, byID, byAddress, byHash
	p.retainAnnouncements(now)
	p.divideLimits(now)
	p.sumPeerLoads()
	p.serveQueue(now)
}

// SetReplicaLoad sets the load that a host process reported for the replica at the
// address. A report about a different start of the replica is ignored.
func (p *Placer) SetReplicaLoad(now time.Time, address string, l ReplicaLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.byAddress[address]
	if r == nil || !r.replica.Born.IsZero() && !l.Born.IsZero() && !r.replica.Born.Equal(l.Born) {
		return
	}
	r.load, r.loadAt, r.localAtLoad = l, now, r.localRequests
	p.serveQueue(now)
}

// Acquire returns a grant for the request, after it has waited in the queue if
// necessary. It returns ErrRejected if there is none, and the context's error if the
// context ends first.
func (p *Placer) Acquire(ctx context.Context, req Request) (Grant, error) {
	now := time.Now()
	p.mu.Lock()
	p.requestedAt = now
	best, anyEligible := p.choose(now, req, latencyBudget(now, req))
	if best != nil {
		g := p.place(now, best, req)
		p.mu.Unlock()
		return g, nil
	}
	if err := p.checkQueueable(now, req, anyEligible); err != nil {
		p.mu.Unlock()
		return Grant{}, err
	}
	w := &queuedRequest{request: req, queuedAt: now, grant: make(chan Grant, 1), hopeless: make(chan struct{}, 1)}
	p.enqueue(w)
	p.serveQueueAtToken(now)
	p.mu.Unlock()
	timer := time.NewTimer(req.Arrived.Add(queueTimeout(req)).Sub(now))
	defer timer.Stop()
	select {
	case g := <-w.grant:
		return g, nil
	case <-timer.C:
	case <-w.hopeless:
	case <-ctx.Done():
	}
	return p.leaveQueue(ctx, w)
}

func (p *Placer) place(now time.Time, r *replicaState, req Request) Grant {
	g := Grant{Replica: r.replica, InFlight: r.inFlight(now), PendingTokens: r.pendingTokens(), promptTokens: req.PromptTokens}
	if req.VersionFloor.Version > 0 && !r.hasFreshLoad(now) {
		g.ExpectedVersion = r.replica.Version
	}
	if spec := p.engine(req.Service); spec != nil {
		g.Version = r.version(now)
		if end, ok := req.VersionFloor.end(g.Version); ok {
			g.StartBy = end.Add(-WithdrawMargin)
			g.SendBy = g.StartBy.Add(-r.startTime(*spec, req, g.InFlight))
		}
	}
	r.localRequests++
	r.localTokens += req.PromptTokens
	r.coldTokens--
	p.takeLimitToken(now, &g)
	p.countPlacement(now, req.Service)
	return g
}

// ResponseStarted records that the response to the request has begun, which means that
// its prompt has been read.
func (p *Placer) ResponseStarted(g *Grant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.promptRead(g)
	p.serveQueue(time.Now())
}

// Answered records that the head of a response to the request has been read.
func (p *Placer) Answered(g *Grant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g.answered = true
	if r := p.byID[g.Replica.ID]; r != nil {
		r.unanswered = 0
	}
}

// NeedsResponse reports whether a response of the replica is needed even if its caller has
// left: the replica has asked for a pause, which the response may prolong, or may have asked
// for one in responses that were not read.
func (p *Placer) NeedsResponse(id string) bool {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if x := p.announced[id]; x != nil && now.Before(x.pausedUntil) {
		return true
	}
	r := p.byID[id]
	return r != nil && r.unanswered >= maxUnanswered
}

func (p *Placer) promptRead(g *Grant) {
	if r := p.byID[g.Replica.ID]; r != nil && g.promptTokens > 0 {
		r.localTokens = max(0, r.localTokens-g.promptTokens)
	}
	g.promptTokens = 0
}

func (p *Placer) countPlacement(now time.Time, service string) {
	p.placements[service]++
	if now.Sub(p.ratesUpdatedAt) < time.Second {
		return
	}
	for s, n := range p.placements {
		rate := float64(n)
		if p.ratesUpdatedAt.IsZero() {
			p.placementRates[s] = rate
		} else {
			seconds := now.Sub(p.ratesUpdatedAt).Seconds()
			p.placementRates[s] = p.placementRates[s]*(1-placementRateWeight) + rate/seconds*placementRateWeight
		}
		p.placements[s] = 0
	}
	p.ratesUpdatedAt = now
}

// Release ends the grant. It returns the end of the replica's cooldown, which may
// have passed; zero if the replica is unknown or never had a cooldown.
func (p *Placer) Release(g *Grant, o Outcome) (cooldownUntil time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.release(time.Now(), g, o)
}

func (p *Placer) release(now time.Time, g *Grant, o Outcome) time.Time {
	p.returnLimitToken(g)
	r := p.byID[g.Replica.ID]
	if r == nil {
		return time.Time{}
	}
	p.promptRead(g)
	if o == Abandoned && g.sent && !g.answered {
		r.unanswered++
	}
	r.requestEnded(now, o)
	p.serveQueue(now)
	return r.cooldownUntil
}

// serveQueue places queued requests in order. A request for which no replica is free
// does not block later ones, as these may be for other services or regions.
func (p *Placer) serveQueue(now time.Time) {
	kept := p.queue[:0]
	for _, w := range p.queue {
		best, _ := p.choose(now, w.request, latencyBudget(now, w.request))
		if best == nil {
			kept = append(kept, w)
			continue
		}
		g := p.place(now, best, w.request)
		g.Waited = now.Sub(w.queuedAt)
		w.grant <- g
	}
	clear(p.queue[len(kept):])
	p.queue = kept
	p.serveQueueAtToken(now)
}
