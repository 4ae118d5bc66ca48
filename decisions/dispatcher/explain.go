package dispatcher

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/limiter"
	"filbertstile.example/filbertstile/decisions/placer"
	"filbertstile.example/filbertstile/decisions/router"
)

// Explanation says what would happen to a request now, and why.
type Explanation struct {
	// Rejected has a Code if the request would be rejected before a replica is sought.
	Rejected filbertstile.ErrRequest
	// Priority is the number of ranks between the account's tier and the highest.
	Priority  int
	Placement placer.Explanation
}

// Explain returns what would happen to the request now. It sends and records nothing.
func (c *Core) Explain(now time.Time, r Request) Explanation {
	account, service, refusal := c.checkCaller(r)
	if refusal.Code != "" {
		return Explanation{Rejected: refusal}
	}
	b, ok := c.buckets[account.Name]
	if !ok {
		b = limiter.NewBucket(account, now, c.entries)
	}
	if _, admitted := b.WithRefill(now, account, c.entries).WithRequest(); !admitted {
		return Explanation{Rejected: filbertstile.ErrRequest{Code: CodeRateLimited, Detail: fmt.Sprintf("account %s exceeds its rate of %v requests per second", account.Name, account.RatePerSecond)}}
	}
	if !r.Deadline.After(now) {
		return Explanation{Rejected: filbertstile.ErrRequest{Code: CodeDeadline, Detail: "the deadline passed before the request arrived"}}
	}
	tier, _ := c.view.Config.Tiers.Get(account.Tier)
	q := c.queues[service.Name]
	if q == nil {
		q = &queue{service: service.Name}
	}
	req := &requestState{request: r, queuedAt: now, tier: tier, weight: c.weight(tier)}
	return Explanation{Priority: c.topRank() - tier.Rank, Placement: c.explainPlacement(now, q, req)}
}

// explainPlacement returns what would happen to an admitted request.
func (c *Core) explainPlacement(now time.Time, q *queue, req *requestState) placer.Explanation {
	query, replicas := c.query(now, q, req), c.replicas.All()
	var out placer.Explanation
	for _, x := range router.Candidates(query, replicas) {
		r := x.Replica
		out.Candidates = append(out.Candidates, placer.Candidate{
			Replica: r.Host.Name, Address: r.Host.Address, Domain: r.Host.Domain, OwnGroup: true, Eligible: x.Eligible, Obstacle: x.Obstacle,
			InFlight: r.EstimatedRequests(), Slots: r.Load.Limit, Waiting: r.Load.Waiting, Score: x.Score,
		})
	}
	ofLowestRank := true
	for _, other := range q.requests {
		ofLowestRank = ofLowestRank && req.tier.Rank <= other.tier.Rank
		if other.tier.Name == req.tier.Name {
			out.Queued++
		}
	}
	rejectAs := func(reason string) placer.Explanation {
		out.Decision, out.Reason, out.Short, out.RetryAfter = placer.WouldReject, reason, filbertstile.ResourceSlots, c.drainTime(q).Round(time.Millisecond).String()
		return out
	}
	if expected := c.expectedWait(q, req.tier); expected > min(c.config.MaxWait, req.request.Deadline.Sub(now)) {
		return rejectAs(fmt.Sprintf("requests of tier %s would wait for %v", req.tier.Name, expected.Round(time.Millisecond)))
	}
	if len(q.requests) >= c.config.MaxQueue && ofLowestRank {
		return rejectAs("the queue of the service is full")
	}
	if !c.isReached(q, req) {
		out.Decision, out.Reason = placer.WouldQueue, "requests ahead of it in the queue wait for a replica with room"
		return out
	}
	// The random choice of the explanation must not change those of requests.
	chosen := router.Choose(query, replicas, rand.New(rand.NewPCG(c.config.Seed, uint64(now.UnixNano()))))
	switch {
	case len(chosen) == 0:
		out.Decision, out.Reason = placer.WouldQueue, fmt.Sprintf("no replica has room; the request waits for at most %v", c.config.MaxWait)
		return out
	case len(chosen) > 1:
		out.Reason = "no replica is mostly free: the request is offered to the least loaded ones, and the first that has a slot runs it"
	case chosen[0].EstimatedRequests() >= chosen[0].Load.Limit:
		out.Reason = "no slot is free: the less loaded of two replicas with room in the host's queue"
	default:
		out.Reason = "the less loaded of two of the nearest replicas with a free slot; prompts with the same beginning go to the same replica"
	}
	out.Decision, out.Replica = placer.WouldPlace, chosen[0].Host.Name
	return out
}

// isReached reports whether a replica would be sought for the new request while those ahead of it in the
// queue find none.
func (c *Core) isReached(q *queue, req *requestState) bool {
	with := *q
	with.requests = append(slices.Clone(q.requests), req)
	blocked := make(map[*requestState]bool)
	for range maxMisses {
		next := with.next(blocked)
		if next == req {
			return true
		}
		blocked[next] = true
	}
	return false
}

// ShortOf returns what a request did not get that ends with the code and has not run.
func ShortOf(code string) filbertstile.Resource {
	switch code {
	case CodeOverloaded:
		return filbertstile.ResourceSlots
	case CodeNoReplica, CodeBackendFailed, CodeContactLost:
		return filbertstile.ResourceReplicas
	case CodeRateLimited:
		return filbertstile.ResourceRate
	case CodeRetryBudget:
		return filbertstile.ResourceRetryBudget
	case CodeDeadline:
		return filbertstile.ResourceTime
	case CodeStale:
		return filbertstile.ResourceConfiguration
	}
	return filbertstile.ResourceNone
}
