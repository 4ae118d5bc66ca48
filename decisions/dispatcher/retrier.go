package dispatcher

import (
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/gatekeeper"
	"filbertstile.example/filbertstile/decisions/router"
)

// handleRefusal requeues a request that a host did not run. The host is not tried
// again for the request if it was unreachable or refused for another reason than a
// lack of capacity.
func (c *Core) handleRefusal(now time.Time, e Refused) []Command {
	req := c.requests[e.ID]
	if req == nil {
		return nil
	}
	req.lastErr = filbertstile.ErrRequest{Code: e.Code, Step: "send", Peer: e.Host, Detail: e.Host + " refused the request: " + e.Code}
	c.removeHost(req, e.Host, func(r router.Replica) router.Replica { return withRefusal(now, r, e) })
	switch e.Code {
	case gatekeeper.CodeBusy, gatekeeper.CodeDisplaced, gatekeeper.CodeColdStart:
		// The host may have capacity later.
	default:
		req.tried = append(req.tried, e.Host)
	}
	if len(req.hosts) > 0 {
		// Another host may still offer a slot.
		return nil
	}
	if req.callerDisconnected {
		c.removeRequest(req)
		return nil
	}
	if !e.Reached && !c.spendRetry() {
		return c.rejectSent(req, filbertstile.ErrRequest{
			Code: CodeRetryBudget, Run: req.runState(), Step: "send", Peer: e.Host, RetryAfter: time.Second, Detail: "the host is unreachable, and the retry budget is spent",
		})
	}
	c.requeue(now, req)
	return nil
}

// withRefusal returns the replica after it refused a request.
func withRefusal(now time.Time, r router.Replica, e Refused) router.Replica {
	if !e.Reached {
		return r.WithFailure(now, minCooldown, maxCooldown)
	}
	if e.Load.Limit > 0 {
		r = r.WithReport(e.Load)
	}
	switch e.Code {
	case gatekeeper.CodeBackendOverloaded, gatekeeper.CodeBackendUnreachable, gatekeeper.CodeBackendFailing:
		return r.WithFailure(now, minCooldown, maxCooldown)
	case gatekeeper.CodeBusy, gatekeeper.CodeDisplaced:
		return r.WithBusy(now.Add(max(e.RetryAfter, minCooldown/4)))
	}
	return r.WithCooldown(now.Add(max(e.RetryAfter, minCooldown/4)))
}

// spendRetry takes one retry from the retry budget and reports whether the budget
// had one.
func (c *Core) spendRetry() bool {
	if c.retryBudget < 1 {
		return false
	}
	c.retryBudget--
	return true
}

// rejectSent rejects a request that was sent and that no host runs any more.
func (c *Core) rejectSent(req *requestState, err filbertstile.ErrRequest) []Command {
	c.removeRequest(req)
	return []Command{Reject{ID: req.request.ID, Err: err}}
}

// handleFailure retries or rejects a request whose attempt failed. It is retried only
// if it did not run or is idempotent, within the retry budget. A caller that has
// received a part of the response gets the rest only from the same weights.
func (c *Core) handleFailure(now time.Time, e AttemptFailed) []Command {
	req := c.requests[e.ID]
	if req == nil {
		return nil
	}
	c.removeHost(req, e.Host, func(r router.Replica) router.Replica { return r.WithFailure(now, minCooldown, maxCooldown) })
	if req.callerDisconnected {
		c.removeRequest(req)
		return nil
	}
	req.tried = append(req.tried, e.Host)
	err := filbertstile.ErrRequest{Code: CodeBackendFailed, Step: e.Step, Peer: e.Host, RetryAfter: time.Second, Detail: e.Detail}
	req.lastErr = err
	if e.Delivered {
		req.resumed = true
		req.pinnedWhole = e.Whole
	}
	req.mayHaveRun = req.mayHaveRun || !e.NotRun
	err.Run = req.runState()
	if req.mayHaveRun && req.request.Once {
		err.Code = CodeContactLost
		err.RetryAfter = 0
		return c.rejectSent(req, err)
	}
	if !e.NotRun && !req.request.Idempotent || !c.spendRetry() {
		return c.rejectSent(req, err)
	}
	c.requeue(now, req)
	return nil
}

// State is the state of the core, for dumps and reports.
type State struct {
	// Requests is the number of requests that have not ended.
	Requests int
	// Waiting describes the queues of all services.
	Waiting  []QueueState
	Replicas []router.Replica
	Buckets  []BucketState
	// Budget is the number of retries that may be made now.
	Budget float64
	Trust  string
}

// QueueState is the state of the queue of one service.
type QueueState struct {
	Service string
	Length  int
	// PerSecond is the recent number of requests sent per second.
	PerSecond float64
}

// BucketState is the state of an account's token bucket at this entry. Its fields
// are those of limiter.Bucket.
type BucketState struct {
	Account   string
	PerSecond float64
	Tokens    float64
	Demand    float64
	Granted   bool
}

// State returns the state of the core.
func (c *Core) State() State {
	s := State{Requests: len(c.requests), Replicas: c.replicas.All(), Budget: c.retryBudget, Trust: string(c.trust)}
	for _, name := range c.serviceNames() {
		q := c.queues[name]
		s.Waiting = append(s.Waiting, QueueState{Service: name, Length: len(q.requests), PerSecond: q.drainRate})
	}
	for _, name := range sortedKeys(c.buckets) {
		b := c.buckets[name]
		s.Buckets = append(s.Buckets, BucketState{Account: name, PerSecond: b.PerSecond, Tokens: b.Tokens, Demand: b.Demand, Granted: b.Granted})
	}
	return s
}
