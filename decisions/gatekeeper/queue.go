package gatekeeper

import (
	"slices"
	"time"
)

// maxTierLag is the maximum lag of a tier's pass behind virtual time. It limits the
// number of starts in a row for a tier that had no requests for some time.
const maxTierLag = 1.0

// queue holds requests and schedules them by stride scheduling: tiers share the
// starts by weight, and the higher rank starts first if passes are equal.
type queue struct {
	requests []Request
	passes   []pass
	// virtualTime is the highest pass at which a request has started.
	virtualTime float64
}

// pass is the number of starts of a tier, divided by its weight.
type pass struct {
	tier  string
	value float64
}

func (q *queue) len() int { return len(q.requests) }

func (q *queue) push(r Request) { q.requests = append(q.requests, r) }

// tierPass returns the pass of the tier. A new tier begins at virtual time.
func (q *queue) tierPass(tier string) *pass {
	for i := range q.passes {
		if q.passes[i].tier == tier {
			return &q.passes[i]
		}
	}
	q.passes = append(q.passes, pass{tier: tier, value: q.virtualTime})
	return &q.passes[len(q.passes)-1]
}

// charge adds one start to the pass of the request's tier.
func (q *queue) charge(c Class) {
	p := q.tierPass(c.Tier)
	p.value = max(p.value, q.virtualTime-maxTierLag) + 1/float64(max(c.Weight, 1))
	q.virtualTime = max(q.virtualTime, p.value-1/float64(max(c.Weight, 1)))
}

// refund reverts the charge of a start whose slot was not used.
func (q *queue) refund(c Class) { q.tierPass(c.Tier).value -= 1 / float64(max(c.Weight, 1)) }

// pop removes and returns the oldest request of the tier with the lowest pass.
func (q *queue) pop() Request {
	best := 0
	for i := 1; i < len(q.requests); i++ {
		if q.startsBefore(q.requests[i].Class, q.requests[best].Class) {
			best = i
		}
	}
	r := q.requests[best]
	q.requests = slices.Delete(q.requests, best, best+1)
	q.charge(r.Class)
	return r
}

// startsBefore reports whether requests of class a start before those of class b.
func (q *queue) startsBefore(a, b Class) bool {
	if a.Tier == b.Tier {
		return false
	}
	pa, pb := max(q.tierPass(a.Tier).value, q.virtualTime-maxTierLag), max(q.tierPass(b.Tier).value, q.virtualTime-maxTierLag)
	if pa != pb {
		return pa < pb
	}
	return a.Rank > b.Rank
}

// displace makes room for a request of the given rank: it removes and returns the
// newest request of the lowest rank. It reports false if no lower rank is queued.
func (q *queue) displace(rank int) (Request, bool) {
	lowest := -1
	for i, r := range q.requests {
		if r.Class.Rank < rank && (lowest < 0 || r.Class.Rank <= q.requests[lowest].Class.Rank) {
			lowest = i
		}
	}
	if lowest < 0 {
		return Request{}, false
	}
	r := q.requests[lowest]
	q.requests = slices.Delete(q.requests, lowest, lowest+1)
	return r, true
}

// remove deletes the request with the ID and reports whether it was queued.
func (q *queue) remove(id string) bool {
	i := slices.IndexFunc(q.requests, func(r Request) bool { return r.ID == id })
	if i < 0 {
		return false
	}
	q.requests = slices.Delete(q.requests, i, i+1)
	return true
}

// removeExpired removes and returns the requests whose deadline has passed.
func (q *queue) removeExpired(now time.Time) []Request {
	var out []Request
	q.requests = slices.DeleteFunc(q.requests, func(r Request) bool {
		expired := !r.Deadline.After(now)
		if expired {
			out = append(out, r)
		}
		return expired
	})
	return out
}
