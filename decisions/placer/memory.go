package placer

import (
	"time"

	"filbertstile.example/filbertstile"
)

const (
	// memoryShare is the share of a replica's memory that is used. What other entries have sent in the
	// last 50 ms is not known yet.
	memoryShare = 0.95
	// fullMemoryShare is the share from which a replica may crash because of its memory, and
	// fullMemoryTime the time for which it counts as full afterwards: longer than it takes to notice
	// that it has crashed.
	fullMemoryShare = 0.85
	fullMemoryTime  = 2 * time.Second
	// freeMemoryFactor is the multiple of the memory in use that must be free for a request that
	// exceeds the entry's share.
	freeMemoryFactor = 6
)

// usableMemory returns the number of tokens that may be in a replica's memory; 0 if that is not known.
func usableMemory(e filbertstile.EngineSpec) int {
	return int(float64(e.MemoryTokens) * memoryShare)
}

// neverFits reports whether the request exceeds the memory of an empty replica.
func (p *Placer) neverFits(req Request) bool {
	spec := p.engine(req.Service)
	return spec != nil && spec.MemoryTokens > 0 && req.MemoryTokens > usableMemory(*spec)
}

// memoryTokens returns the number of tokens that the requests in flight may hold in the memory. The
// replica's own report is not used: it may count parts of prompts that it keeps only until it needs the
// memory, and is 400 ms old.
func (r *replicaState) memoryTokens() int { return r.localMemory + r.peerLoad.Memory }

// hasMemory reports whether the request fits beside those that are in flight, whatever the other entries
// send before they learn of it. If most of the memory is free, that is so as long as each entry sends one
// such request. Otherwise the memory is divided among the entries or, if a share would not hold the
// request, among as few of them as it takes.
func (r *replicaState) hasMemory(e filbertstile.EngineSpec, req Request) bool {
	usable, used, need := usableMemory(e), r.memoryTokens(), req.MemoryTokens
	if e.MemoryTokens <= 0 || need <= 0 {
		return true
	}
	if used+need > usable {
		return false
	}
	users := max(1, r.memoryUsers)
	if used == 0 || freeMemoryFactor*used+users*need <= usable {
		return true
	}
	holders := min(users, usable/need)
	return r.memoryRank < holders && r.localMemory+need <= usable/holders
}

// shareMemory sets the place of this entry among those of the group that use the replica's memory.
func (p *Placer) shareMemory(r *replicaState) {
	r.memoryUsers, r.memoryRank = 1, 0
	if spec := p.engine(r.replica.Service); r.otherGroup || spec == nil || spec.MemoryTokens <= 0 {
		return // a hash for each replica and entry would be wasted
	}
	own := HashOf(p.config.Self + "\x00" + r.replica.ID)
	for name := range p.peerLoads {
		r.memoryUsers++
		if other := HashOf(name + "\x00" + r.replica.ID); other > own || other == own && name > p.config.Self {
			r.memoryRank++
		}
	}
}

// takeMemory counts the request that is being placed.
func (p *Placer) takeMemory(now time.Time, r *replicaState, g *Grant, req Request) {
	g.memoryTokens = req.MemoryTokens
	r.localMemory += g.memoryTokens
	if r.memoryNearlyFull(p.engine(req.Service)) {
		r.memoryFullAt = now
	}
}

// freeMemory ends the count of the request.
func (r *replicaState) freeMemory(g *Grant) {
	r.localMemory = max(0, r.localMemory-g.memoryTokens)
	g.memoryTokens = 0
}

// memoryNearlyFull reports whether the requests in flight may have nearly used up the memory.
func (r *replicaState) memoryNearlyFull(e *filbertstile.EngineSpec) bool {
	return e != nil && e.MemoryTokens > 0 && float64(r.memoryTokens()) >= fullMemoryShare*float64(e.MemoryTokens)
}

// MemoryNearlyFull reports whether the memory of the replica was nearly used up a moment ago, so that
// its crash is no evidence against a single request.
func (p *Placer) MemoryNearlyFull(now time.Time, id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.byID[id]
	return r != nil && (now.Sub(r.memoryFullAt) < fullMemoryTime || r.memoryNearlyFull(p.engine(r.replica.Service)))
}
