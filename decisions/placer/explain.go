package placer

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/admitter"
)

// Decision is what would happen to a request now.
type Decision string

// Decisions.
const (
	// WouldPlace means that the request would be sent to a replica at once.
	WouldPlace Decision = "Place"
	// WouldQueue means that the request would wait for a free replica.
	WouldQueue Decision = "Queue"
	// WouldReject means that the request would be rejected at once.
	WouldReject Decision = "Reject"
)

// Candidate is a replica of the request's service, as the entry sees it for the request.
type Candidate struct {
	Replica string
	Address string
	Domain  string
	// OwnGroup is true if the replica belongs to the entry's group.
	OwnGroup bool
	// Eligible is true if the replica may run the request at all, and Obstacle says why it is not
	// free now; empty if it is.
	Eligible bool
	Obstacle string
	// InFlight is the estimated number of requests in flight, and Slots the number that the
	// replica runs at once.
	InFlight int
	Slots    int
	// Waiting is the number of requests that are queued at the replica, as its host reported.
	Waiting int
	// PendingTokens is the number of prompt tokens that the replica has yet to read, and Pace how
	// much slower than its specification it works; 0 if that is not known.
	PendingTokens int
	Pace          float64
	// FirstEvent is the expected time until the response begins, as text; empty for plain services.
	FirstEvent string
	// Score is the score without its random part; the lowest of the free candidates is chosen.
	Score float64
}

// Explanation says where a request would go now, and why.
type Explanation struct {
	Decision Decision
	// Replica is the replica that would be chosen. Entries add a small random part to the scores, so
	// that another one with a similar score may be chosen.
	Replica string
	// Reason is the rule that decided, and Short what a rejected request does not get.
	Reason string
	Short  filbertstile.Resource
	// RetryAfter is about the delay that a rejected caller would be told, as text.
	RetryAfter string
	// Queued is the number of queued requests that would go first.
	Queued int
	// Reserve is the number of free slots that are left to more urgent requests, and Free the number
	// of free slots; both are 0 if the service has no admission by priority.
	Reserve int
	Free    int
	// Candidates lists the replicas of the service: the free ones in the order of their score, then
	// the others.
	Candidates []Candidate
}

// Explain returns what would happen to the request now. It sends and records nothing. A request that only
// the floor of its route would admit counts as held back.
func (p *Placer) Explain(now time.Time, req Request) Explanation {
	p.mu.Lock()
	defer p.mu.Unlock()
	budget := latencyBudget(now, req)
	var out Explanation
	delay := p.laterDelay(req.Service, p.engine(req.Service))
	for r := range p.all(req.Service) {
		r.usePace(now, delay)
	}
	held := p.explainAdmission(now, &req, &out)
	out.Candidates = p.candidatesFor(now, req, budget)
	out.Queued = p.queuedAhead(req)
	var best *replicaState
	anyEligible := true
	if held {
		p.obstacles = obstacleCounts{ObstacleReserve: 1}
	} else {
		best, anyEligible = p.choose(now, req, budget)
		if best == nil && req.ticket != nil && !now.Before(req.Arrived.Add(p.queueTimeout(now, req))) {
			best, anyEligible = p.chooseLast(now, req)
		}
	}
	if best != nil {
		out.Decision, out.Replica, out.Reason = WouldPlace, best.replica.ID, "the free replica with the lowest score"
		return out
	}
	err := p.checkQueueable(now, req, anyEligible)
	if err == nil {
		out.Decision, out.Reason = WouldQueue, "no replica is free, and one is expected within the queue timeout"
		if held {
			out.Reason = "free slots are left to more urgent requests, and further ones are expected within the queue timeout"
		}
		return out
	}
	out.Decision, out.Reason = WouldReject, err.Error()
	var rejected ErrRejected
	if errors.As(err, &rejected) {
		out.Reason, out.Short, out.RetryAfter = rejected.Reason, rejected.Short, rejected.RetryAfter.Round(time.Millisecond).String()
	}
	return out
}

// explainAdmission gives the request a ticket that records nothing, and reports whether slots are held
// back from it.
func (p *Placer) explainAdmission(now time.Time, req *Request, out *Explanation) (held bool) {
	a := p.admissions[req.Service]
	if a == nil {
		return false
	}
	c := admitter.Class{Priority: req.classPriority(), Late: req.cameBack()}
	req.ticket = &ticket{queueTimeout: -1, class: c, settled: true}
	p.updateView(now, *req)
	out.Reserve, out.Free = a.admitter.Reserve(now, c, a.view), a.view.Free
	return !p.admits(now, *req)
}

// candidatesFor returns the replicas of the request's service.
func (p *Placer) candidatesFor(now time.Time, req Request, maxLatency time.Duration) []Candidate {
	var out []Candidate
	spec := p.engine(req.Service)
	for r := range p.all(req.Service) {
		inFlight := r.inFlight(now)
		c := Candidate{
			Replica: r.replica.ID, Address: r.replica.Address, Domain: r.replica.Domain, OwnGroup: !r.otherGroup, Eligible: p.eligible(now, req, r),
			InFlight: inFlight, Slots: max(1, r.replica.Slots), Waiting: r.load.Waiting, PendingTokens: r.pendingTokens(), Pace: r.pace(), Score: p.score(req, r, spec, inFlight, 0),
		}
		if spec != nil {
			c.FirstEvent = r.timeToFirstEvent(*spec, inFlight, req.PromptTokens).Round(time.Millisecond).String()
		}
		switch {
		case !c.Eligible:
			c.Obstacle = p.ineligibility(now, req, r)
		case now.Before(r.cooldownUntil):
			c.Obstacle = "it is in a cooldown after a failure, or as it was full"
		default:
			c.Obstacle = p.obstacle(now, req, r, spec, inFlight, maxLatency).String()
		}
		out = append(out, c)
	}
	slices.SortStableFunc(out, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(rankOf(a), rankOf(b)), cmp.Compare(a.Score, b.Score))
	})
	return out
}

// rankOf orders candidates: free, eligible, others.
func rankOf(c Candidate) int {
	switch {
	case c.Eligible && c.Obstacle == "":
		return 0
	case c.Eligible:
		return 1
	}
	return 2
}

// ineligibility returns why the replica may not run the request.
func (p *Placer) ineligibility(now time.Time, req Request, r *replicaState) string {
	x := r.replica
	switch {
	case x.Leaving:
		return "it is leaving"
	case p.fleet.OutOfService[x.Domain]:
		return "its failure domain is out of service"
	case len(req.Regions) > 0 && !slices.Contains(req.Regions, r.region):
		return "its region may not serve the request"
	case r.hasFreshLoad(now) && r.load.Loading:
		return "it is loading weights"
	case p.hasEngine(req.Service) && r.version(now) == 0:
		return "it has no weights"
	case p.hasEngine(req.Service) && r.version(now) < req.VersionFloor.Version:
		return "the version of its weights has been replaced"
	case p.declines(now, x.ID):
		return "it has announced that it wants no requests"
	}
	return "its limit of requests is used by other entries or used up"
}
