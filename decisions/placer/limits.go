package placer

import "time"

// Limit is the rate of requests that a replica in need names in its responses.
type Limit struct {
	// Named is true if the response names a rate.
	Named bool
	// PerSecond is the number of requests per second that the replica takes from all entries
	// together.
	PerSecond float64
	// Unreadable is what the response holds in place of a rate, if that cannot be read. Such
	// a response neither names a limit nor ends one.
	Unreadable string
}

// setLimit records the limit of a response, and returns it if it is news.
func (x *announced) setLimit(now time.Time, l Limit) (news Limit) {
	if !l.Named {
		if l.Unreadable != x.unreadableLimit {
			news = l
		}
		x.unreadableLimit = l.Unreadable
		return news
	}
	if x.limit != l {
		news = l
	}
	x.limit, x.limitedAt = l, now
	return news
}

// LimitEnded records a response without a limit to a request that was written at the time
// sentAt, and reports whether it ends a limit that the replica had named: for as long as the
// replica is in need, all its responses name one. Requests that were written before the
// latest such response may have been answered before it.
func (p *Placer) LimitEnded(id string, born, sentAt time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	x := p.announced[id]
	if x == nil || !x.limit.Named || !sentAt.After(x.limitedAt) || born.Before(x.born) {
		return false
	}
	x.limit = Limit{}
	return true
}
