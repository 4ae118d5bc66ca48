package dispatcher

import (
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/gatekeeper"
	"filbertstile.example/filbertstile/decisions/router"
)

// refused puts a request that a host did not run back in line. A host that
// could not be reached, or refuses for good, is not tried again for it.
func (c *Core) refused(now time.Time, e Refused) []Command {
	x := c.requests[e.ID]
	if x == nil {
		return nil
	}
	x.last = filbertstile.ErrRequest{Code: e.Code, Step: "send", Peer: e.Host, Detail: e.Host + " refused: " + e.Code}
	c.leave(x, e.Host, func(r router.Replica) router.Replica { return refusedBy(now, r, e) })
	switch e.Code {
	case gatekeeper.CodeBusy, gatekeeper.CodeDisplaced, gatekeeper.CodeColdStart:
		// There may be room later.
	default:
		x.tried = append(x.tried, e.Host)
	}
	if len(x.hosts) > 0 {
		// Another host may still offer a slot.
		return nil
	}
	if x.gone {
		delete(c.requests, e.ID)
		return nil
	}
	if !e.Reached && !c.spend() {
		return c.drop(x, filbertstile.ErrRequest{
			Code: CodeRetryBudget, Run: x.run(), Step: "send", Peer: e.Host, RetryAfter: time.Second, Detail: "the host could not be reached, and too many requests are being repeated",
		})
	}
	c.again(now, x)
	return nil
}

func refusedBy(now time.Time, r router.Replica, e Refused) router.Replica {
	if !e.Reached {
		return r.WithFailure(now, firstHold, longest)
	}
	if e.Load.Limit > 0 {
		r = r.WithReport(e.Load)
	}
	switch e.Code {
	case gatekeeper.CodeBackendOverloaded, gatekeeper.CodeBackendUnreachable, gatekeeper.CodeBackendFailing:
		return r.WithFailure(now, firstHold, longest)
	case gatekeeper.CodeBusy, gatekeeper.CodeDisplaced:
		return r.WithBusy(now.Add(max(e.RetryAfter, firstHold/4)))
	}
	return r.WithBackoff(now.Add(max(e.RetryAfter, firstHold/4)))
}

// spend takes one retry out of the budget.
func (c *Core) spend() bool {
	if c.budget < 1 {
		return false
	}
	c.budget--
	return true
}

// drop ends a request that is with no host.
func (c *Core) drop(x *row, err filbertstile.ErrRequest) []Command {
	delete(c.requests, x.request.ID)
	return []Command{Reject{ID: x.request.ID, Err: err}}
}

// broke decides about a request whose answer was cut off: it is repeated only
// if it did not run or is idempotent, within the budget. A caller that has a
// part of the answer gets the rest from the same release only.
func (c *Core) broke(now time.Time, e Broke) []Command {
	x := c.requests[e.ID]
	if x == nil {
		return nil
	}
	c.leave(x, e.Host, func(r router.Replica) router.Replica { return r.WithFailure(now, firstHold, longest) })
	if x.gone {
		delete(c.requests, e.ID)
		return nil
	}
	x.tried = append(x.tried, e.Host)
	err := filbertstile.ErrRequest{Code: CodeBroken, Step: e.Step, Peer: e.Host, RetryAfter: time.Second, Detail: e.Detail}
	x.last = err
	if e.Delivered {
		x.resumed = true
		x.whole = e.Whole
	}
	x.lost = x.lost || !e.NotRun
	err.Run = x.run()
	if x.lost && x.request.Once {
		err.Code = CodeLost
		err.RetryAfter = 0
		return c.drop(x, err)
	}
	if !e.NotRun && !x.request.Idempotent || !c.spend() {
		return c.drop(x, err)
	}
	c.again(now, x)
	return nil
}

// State is the state of the core, for dumps and reports.
type State struct {
	Requests int
	Waiting  []Waiting
	Replicas []router.Replica
	Buckets  []BucketState
	Budget   float64
	Trust    string
}

// Waiting is the line of one service.
type Waiting struct {
	Service   string
	Length    int
	PerSecond float64
}

// BucketState is an account's part here.
type BucketState struct {
	Account   string
	PerSecond float64
	Tokens    float64
	Demand    float64
	Granted   bool
}

// State returns the state of the core.
func (c *Core) State() State {
	s := State{Requests: len(c.requests), Replicas: c.replicas.All(), Budget: c.budget, Trust: string(c.trust)}
	for _, name := range c.services() {
		l := c.lines[name]
		s.Waiting = append(s.Waiting, Waiting{Service: name, Length: len(l.waiting), PerSecond: l.perSecond})
	}
	for _, name := range sortedKeys(c.buckets) {
		b := c.buckets[name]
		s.Buckets = append(s.Buckets, BucketState{Account: name, PerSecond: b.PerSecond, Tokens: b.Tokens, Demand: b.Demand, Granted: b.Granted})
	}
	return s
}
