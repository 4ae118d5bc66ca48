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

	"filbertstile.example/filbertstile/decisions/estimator"
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
	byService map[string]*candidates
	queue     []*queuedRequest
	// peerLoads are the latest loads reported by the other entries, by entry name and
	// replica hash.
	peerLoads map[string]map[uint32]EntryLoad
	// peerCounts are the latest counts of placements by the other entries, by entry name.
	peerCounts map[string]*peerCounts
	// peerNames are the names of the live entries that report their loads.
	peerNames []string
	// placementRates are moving averages of the placements per second, by service.
	placementRates map[string]float64
	// placements are the numbers of placements since ratesUpdatedAt, by service.
	placements     map[string]int
	ratesUpdatedAt time.Time
	// announced are the announcements of replicas, by ID.
	announced map[string]*announced
	// paced holds the services whose engines report a pace.
	paced map[string]bool
	// outputs estimates the outputs of requests.
	outputs *estimator.Outputs
	costs   Costs
	firsts  firstEvents
	// work is the average work of requests, by service.
	work map[string]*estimator.Work
	// tokenDueAt is the time at which the queue is served for a limited replica; zero if no
	// such time is set.
	tokenDueAt time.Time
	// admissions are the admissions by priority, by service.
	admissions map[string]*admission
	// requestedAt is the time of the latest request.
	requestedAt time.Time
	// obstacles counts what was in the way when a replica was last chosen.
	obstacles obstacleCounts
}

// New returns a placer without replicas.
func New(c Config) *Placer {
	return &Placer{
		config: c, rng: rand.New(rand.NewPCG(c.Seed, 1)), byID: make(map[string]*replicaState), byAddress: make(map[string]*replicaState),
		byHash: make(map[uint32]*replicaState), placementRates: make(map[string]float64), placements: make(map[string]int), peerLoads: make(map[string]map[uint32]EntryLoad), peerCounts: make(map[string]*peerCounts),
		announced: make(map[string]*announced), paced: make(map[string]bool), outputs: estimator.NewOutputs(), work: make(map[string]*estimator.Work), admissions: make(map[string]*admission),
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
	byService := make(map[string]*candidates)
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
		if byService[x.Service] == nil {
			byService[x.Service] = &candidates{}
		}
		byService[x.Service].add(r)
	}
	p.fleet, p.byID, p.byAddress, p.byHash, p.byService = f, byID, byAddress, byHash, byService
	p.setAdmissions(f)
	p.setAdmissionPeers(now)
	p.setTurns()
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
	if l.Pace > 0 && !p.paced[r.replica.Service] {
		p.paced[r.replica.Service] = true
		p.setTurns()
	}
	p.serveQueue(now)
}

// Acquire returns a grant for the request, after it has waited in the queue if
// necessary. It returns ErrRejected if there is none, and the context's error if the
// context ends first.
func (p *Placer) Acquire(ctx context.Context, req Request) (Grant, error) {
	now := time.Now()
	p.mu.Lock()
	p.requestedAt = now
	p.arrive(now, &req)
	best, anyEligible := p.chooseAdmitted(now, req, latencyBudget(now, req))
	if best == nil && req.ticket != nil && !now.Before(req.Arrived.Add(p.queueTimeout(now, req))) {
		best, anyEligible = p.chooseLast(now, req)
	}
	if best != nil {
		g := p.place(now, best, req)
		p.mu.Unlock()
		return g, nil
	}
	if err := p.checkQueueable(now, req, anyEligible); err != nil {
		p.mu.Unlock()
		return Grant{}, err
	}
	timeout := p.queueTimeout(now, req)
	w := &queuedRequest{request: req, queuedAt: now, grant: make(chan Grant, 1), hopeless: make(chan struct{}, 1)}
	p.enqueue(w)
	p.serveQueueAtToken(now)
	p.mu.Unlock()
	timer := time.NewTimer(req.Arrived.Add(timeout).Sub(now))
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
	g := Grant{Replica: r.replica, InFlight: r.inFlight(now), PendingTokens: r.pendingTokens(), promptTokens: req.PromptTokens, placedAt: now, timedFrom: now}
	if req.VersionFloor.Version > 0 && !r.hasFreshLoad(now) {
		g.ExpectedVersion = r.replica.Version
	}
	if spec := p.engine(req.Service); spec != nil {
		g.Version = r.version(now)
		g.expectedFirst = r.timeToFirstEvent(*spec, g.InFlight, req.PromptTokens)
		if end, ok := req.VersionFloor.end(g.Version); ok {
			g.StartBy = end.Add(-WithdrawMargin)
			g.SendBy = g.StartBy.Add(-r.startTime(*spec, req, g.InFlight))
		}
	}
	r.localRequests++
	r.localTokens += req.PromptTokens
	p.expectOutput(now, r, &g, req)
	p.takeMemory(now, r, &g, req)
	if r.coldTokens >= 1 { // a request beyond the entry's share uses none of it
		r.coldTokens--
	}
	r.countPlaced(now)
	p.takeLimitToken(now, &g)
	p.countPlacement(now, req.Service)
	p.admitted(req)
	return g
}

// ResponseStarted records that the response to the request has begun, which means that
// its prompt has been read. It says nothing of the time of an event.
func (p *Placer) ResponseStarted(g *Grant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g.timedFrom = time.Time{}
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
	if a := p.admissions[g.Replica.Service]; a != nil && o == Completed {
		a.admitter.Ended(now.Sub(g.placedAt))
	}
	p.outputEnded(now, r, g, o)
	r.freeMemory(g)
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
	p.updateViews(now)
	kept := p.queue[:0]
	for _, w := range p.queue {
		var best *replicaState
		if p.admits(now, w.request) {
			best, _ = p.choose(now, w.request, latencyBudget(now, w.request))
		}
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
