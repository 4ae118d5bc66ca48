package placer

import "time"

// firstEvents are sums over the requests to model engines whose response has begun with an event.
type firstEvents struct {
	count              int64
	expected, observed time.Duration
}

// FirstEvents returns the number of requests to model engines whose response has begun with an event, and
// the sums of the time from the placement to that event: as expected at the placement, and as observed.
func (p *Placer) FirstEvents() (count int64, expected, observed time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.firsts.count, p.firsts.expected, p.firsts.observed
}

// observeFirstEvent records the first event of the response to the request of the grant. An engine that has
// restarted since the placement is not observed.
func (p *Placer) observeFirstEvent(now time.Time, g *Grant) {
	r := p.byID[g.Replica.ID]
	if r == nil || g.expectedFirst <= 0 || !r.replica.Born.Equal(g.Replica.Born) {
		return
	}
	p.firsts.count++
	p.firsts.expected += g.expectedFirst
	p.firsts.observed += now.Sub(g.placedAt)
}
