package placer

import "time"

// EndExpected reports whether connections to the replica may end although it has not crashed: it
// loads weights, leaves, or is no longer in the fleet.
func (p *Placer) EndExpected(now time.Time, id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.byID[id]
	if r == nil || r.replica.Leaving || r.hasFreshLoad(now) && r.load.Loading {
		return true
	}
	x := p.announced[id]
	return x != nil && x.leaving
}
