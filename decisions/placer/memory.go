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

// hasMemory reports whether the request fits beside those that are in flight, as far as is known.
func (r *replicaState) hasMemory(e filbertstile.EngineSpec, req Request) bool {
	return e.MemoryTokens <= 0 || r.memoryTokens()+req.MemoryTokens <= usableMemory(e)
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
