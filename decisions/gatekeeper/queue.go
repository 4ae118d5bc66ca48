package gatekeeper

import (
	"slices"
	"time"
)

// maxLag bounds the credit of a tier that had no work.
const maxLag = 1.0

// queue holds waiting requests and hands them out so that tiers share by
// weight; among equals the higher rank goes first.
type queue struct {
	waiting []Request
	passes  []pass
	clock   float64
}

// pass is how far a tier's use has come, divided by its weight.
type pass struct {
	tier  string
	value float64
}

func (q *queue) len() int { return len(q.waiting) }

func (q *queue) push(r Request) { q.waiting = append(q.waiting, r) }

func (q *queue) passOf(tier string) *pass {
	for i := range q.passes {
		if q.passes[i].tier == tier {
			return &q.passes[i]
		}
	}
	q.passes = append(q.passes, pass{tier: tier, value: q.clock})
	return &q.passes[len(q.passes)-1]
}

// charge books one start to the request's tier.
func (q *queue) charge(c Class) {
	p := q.passOf(c.Tier)
	p.value = max(p.value, q.clock-maxLag) + 1/float64(max(c.Weight, 1))
	q.clock = max(q.clock, p.value-1/float64(max(c.Weight, 1)))
}

// refund takes back the charge of a start whose slot was not used.
func (q *queue) refund(c Class) { q.passOf(c.Tier).value -= 1 / float64(max(c.Weight, 1)) }

// pop takes the request whose tier is furthest behind its share.
func (q *queue) pop() Request {
	best := 0
	for i := 1; i < len(q.waiting); i++ {
		if q.before(q.waiting[i].Class, q.waiting[best].Class) {
			best = i
		}
	}
	r := q.waiting[best]
	q.waiting = slices.Delete(q.waiting, best, best+1)
	q.charge(r.Class)
	return r
}

func (q *queue) before(a, b Class) bool {
	if a.Tier == b.Tier {
		return false
	}
	pa, pb := max(q.passOf(a.Tier).value, q.clock-maxLag), max(q.passOf(b.Tier).value, q.clock-maxLag)
	if pa != pb {
		return pa < pb
	}
	return a.Rank > b.Rank
}

// displace makes room for a request of a higher rank: it takes out the newest
// of the lowest rank, if that is lower.
func (q *queue) displace(rank int) (Request, bool) {
	worst := -1
	for i, r := range q.waiting {
		if r.Class.Rank < rank && (worst < 0 || r.Class.Rank <= q.waiting[worst].Class.Rank) {
			worst = i
		}
	}
	if worst < 0 {
		return Request{}, false
	}
	r := q.waiting[worst]
	q.waiting = slices.Delete(q.waiting, worst, worst+1)
	return r, true
}

// remove takes out a request by id.
func (q *queue) remove(id string) bool {
	i := slices.IndexFunc(q.waiting, func(r Request) bool { return r.ID == id })
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// expired takes out the requests whose callers no longer wait.
func (q *queue) expired(now time.Time) []Request {
	var out []Request
	q.waiting = slices.DeleteFunc(q.waiting, func(r Request) bool {
		late := !r.Deadline.After(now)
		if late {
			out = append(out, r)
		}
		return late
	})
	return out
}
