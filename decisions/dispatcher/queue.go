package dispatcher

import (
	"slices"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/router"
)

// queue holds the requests that wait for a replica of one service. Its tiers are
// scheduled by stride scheduling.
type queue struct {
	service  string
	requests []*requestState
	// passes holds the pass value of each tier: the tier with the lowest is next.
	passes map[string]float64
	// virtualTime is the highest pass value of the requests sent so far.
	virtualTime float64
	// drained counts the requests sent since measuredAt. drainRate is the moving
	// average of requests sent per second.
	drained    int
	measuredAt time.Time
	drainRate  float64
}

func (c *Core) queueFor(service string, now time.Time) *queue {
	q, ok := c.queues[service]
	if !ok {
		q = &queue{service: service, passes: make(map[string]float64), measuredAt: now}
		c.queues[service] = q
	}
	return q
}

// shed rejects the newest request of the lowest rank.
func (c *Core) shed(q *queue) []Command {
	lowest := 0
	for i, req := range q.requests {
		if req.tier.Rank <= q.requests[lowest].tier.Rank {
			lowest = i
		}
	}
	return c.rejectQueued(q, lowest, CodeOverloaded, "the queue of the service is full")
}

// rejectQueued removes a queued request and rejects it, unless its caller has
// disconnected. The rejection is final and is sent at once.
func (c *Core) rejectQueued(q *queue, i int, code, detail string) []Command {
	req := q.requests[i]
	q.requests = slices.Delete(q.requests, i, i+1)
	delete(c.requests, req.request.ID)
	if req.callerDisconnected {
		return nil
	}
	err := filbertstile.ErrRequest{Code: code, Run: req.runState(), Step: "wait", Peer: c.config.Self.Name, RetryAfter: c.drainTime(q), Detail: detail}
	if req.lastErr.Code != "" {
		err.Detail += "; last attempt: " + req.lastErr.Detail
		err.Peer = req.lastErr.Peer
		err.Step = req.lastErr.Step
	}
	return []Command{Reject{ID: req.request.ID, Err: err}}
}

// expectedWait returns how long a new request of the tier would be queued: until
// the queued requests of its tier are sent at the tier's share of the drain rate.
func (c *Core) expectedWait(q *queue, tier filbertstile.Tier) time.Duration {
	if len(q.requests) < minQueueForDrainRate || q.drainRate <= 0 {
		return 0
	}
	ahead := 0
	weights := c.weight(tier)
	var countedTiers []string
	for _, req := range q.requests {
		switch {
		case req.tier.Name == tier.Name:
			ahead++
		case !slices.Contains(countedTiers, req.tier.Name):
			countedTiers = append(countedTiers, req.tier.Name)
			weights += req.weight
		}
	}
	share := q.drainRate * c.weight(tier) / weights
	return time.Duration(float64(ahead) / share * float64(time.Second))
}

// drainTime returns how long it takes to send all queued requests at the drain rate,
// at least minRetryAfter and at most maxCooldown, or 1 s if the rate is unknown.
func (c *Core) drainTime(q *queue) time.Duration {
	if q.drainRate <= 0 {
		return time.Second
	}
	d := time.Duration(float64(len(q.requests)+1) / q.drainRate * float64(time.Second))
	return min(max(d, minRetryAfter), maxCooldown)
}

func (c *Core) updateDrainRate(now time.Time, q *queue) {
	dt := now.Sub(q.measuredAt)
	if dt < drainRateInterval {
		return
	}
	q.drainRate += drainRateWeight * (float64(q.drained)/dt.Seconds() - q.drainRate)
	q.drained = 0
	q.measuredAt = now
}

// rejectExpired removes the requests whose caller has disconnected, whose deadline
// has passed, or that were queued for longer than MaxWait and have no partial
// response.
func (c *Core) rejectExpired(now time.Time, q *queue) []Command {
	var out []Command
	for i := 0; i < len(q.requests); {
		req := q.requests[i]
		switch {
		case req.callerDisconnected:
			out = append(out, c.rejectQueued(q, i, CodeDeadline, "the caller has disconnected")...)
		case !req.request.Deadline.After(now):
			out = append(out, c.rejectQueued(q, i, CodeDeadline, "the deadline passed while the request was queued")...)
		case now.Sub(req.queuedAt) > c.config.MaxWait && !req.resumed:
			out = append(out, c.rejectQueued(q, i, c.waitTimeoutCode(now, q, req), "no replica had capacity within the maximum wait")...)
		default:
			i++
		}
	}
	return out
}

// waitTimeoutCode returns the code for a request that was queued for longer than
// MaxWait: CodeOverloaded if there are replicas that only lack capacity, or
// CodeNoReplica.
func (c *Core) waitTimeoutCode(now time.Time, q *queue, req *requestState) string {
	query := c.query(now, q, req)
	query.Tried = nil
	for _, r := range c.replicas.All() {
		if router.Eligible(query, r) {
			return CodeOverloaded
		}
	}
	return CodeNoReplica
}

// next returns the request to send next, of those that are not blocked: the first of
// the tier that is furthest behind its share. It returns nil if there is none.
func (q *queue) next(blocked map[*requestState]bool) *requestState {
	var best *requestState
	for _, req := range q.requests {
		if blocked[req] || best != nil && req.tier.Name == best.tier.Name {
			continue
		}
		if best == nil || q.before(req, best) {
			best = req
		}
	}
	return best
}

// pass returns the pass value of the tier. The value is at most 1 behind the virtual
// time, so that a tier that was idle does not catch up on all of its share.
func (q *queue) pass(tier string) float64 { return max(q.passes[tier], q.virtualTime-1) }

// before reports whether a is sent before b: requests with a partial response go
// first, then the tier with the lower pass value, then the higher rank.
func (q *queue) before(a, b *requestState) bool {
	if a.resumed != b.resumed {
		return a.resumed
	}
	pa, pb := q.pass(a.tier.Name), q.pass(b.tier.Name)
	if pa != pb {
		return pa < pb
	}
	return a.tier.Rank > b.tier.Rank
}

// requeue inserts a request at the front of its queue, ahead of the requests that
// have not been sent yet.
func (c *Core) requeue(now time.Time, req *requestState) {
	q := c.queueFor(req.request.Service, now)
	req.queuedAt = now
	q.requests = slices.Insert(q.requests, 0, req)
}
