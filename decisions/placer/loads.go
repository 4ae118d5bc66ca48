package placer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/estimator"
)

// EntryLoad is the load that one or more entries put on a replica.
type EntryLoad struct {
	// Requests is the number of requests in flight.
	Requests int
	// Tokens is the number of prompt tokens of requests whose response has not begun.
	Tokens int
	// Output is the time that the output still to come of these requests takes, summed over
	// them, at an engine that works as specified.
	Output time.Duration
	// SeenPace is how much slower than its specification an entry sees the engine work; 0 if it
	// has seen too little. Of several entries the lowest counts.
	SeenPace float64
	// Memory is the number of tokens that the requests in flight may hold in the replica's memory.
	Memory int
}

// isLike reports whether the loads differ only in what changes with every event and is no reason
// for a message.
func (l EntryLoad) isLike(other EntryLoad) bool {
	return l.Requests == other.Requests && l.Tokens == other.Tokens && l.Memory == other.Memory && estimator.IsSlow(l.SeenPace) == estimator.IsSlow(other.SeenPace)
}

// HashOf returns the hash of a replica's ID that identifies the replica in heartbeats
// between entries.
func HashOf(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// LocalLoads returns the loads that this entry puts on replicas, by replica ID: those
// that have changed since the last call and, if all is true, also all others that are
// not zero.
func (p *Placer) LocalLoads(all bool) map[string]EntryLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	out := make(map[string]EntryLoad)
	for id, r := range p.byID {
		l := EntryLoad{Requests: r.localRequests, Tokens: r.localTokens, Output: r.localOutput, SeenPace: r.observed.Seen(now), Memory: r.localMemory}
		if !l.isLike(r.lastLocalLoad) || all && l != (EntryLoad{}) {
			r.lastLocalLoad = l
			out[id] = l
		}
	}
	return out
}

// SetPeerLoads sets the loads that another entry puts on replicas, by replica hash. If
// all is true, its loads on replicas that are not listed become zero.
func (p *Placer) SetPeerLoads(now time.Time, entry string, loads map[uint32]EntryLoad, all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	current := p.peerLoads[entry]
	if current == nil {
		current = make(map[uint32]EntryLoad, len(loads))
		p.peerLoads[entry] = current
	}
	if all {
		for hash := range current {
			if _, listed := loads[hash]; !listed {
				p.setPeerLoad(current, hash, EntryLoad{})
			}
		}
	}
	for hash, l := range loads {
		p.setPeerLoad(current, hash, l)
	}
	p.serveQueue(now)
}

// setPeerLoad sets the load on one replica in the loads of an entry, and updates the
// sum over all entries.
func (p *Placer) setPeerLoad(loads map[uint32]EntryLoad, hash uint32, l EntryLoad) {
	if r := p.byHash[hash]; r != nil {
		r.peerLoad.Requests += l.Requests - loads[hash].Requests
		r.peerLoad.Tokens += l.Tokens - loads[hash].Tokens
		r.peerLoad.Output += l.Output - loads[hash].Output
		r.peerLoad.Memory += l.Memory - loads[hash].Memory
	}
	seenBefore := loads[hash].SeenPace
	if l == (EntryLoad{}) {
		delete(loads, hash)
	} else {
		loads[hash] = l
	}
	if l.SeenPace != seenBefore {
		p.updatePeerPace(hash)
	}
}

// updatePeerPace works out the lowest pace that other entries see.
func (p *Placer) updatePeerPace(hash uint32) {
	r := p.byHash[hash]
	if r == nil {
		return
	}
	r.peerLoad.SeenPace = 0
	for _, loads := range p.peerLoads {
		r.peerLoad.addPace(loads[hash].SeenPace)
	}
}

func (l *EntryLoad) addPace(seen float64) {
	if seen > 0 && (l.SeenPace == 0 || seen < l.SeenPace) {
		l.SeenPace = seen
	}
}

// RetainPeers keeps the loads of the given entries, and removes those of all others,
// which are no longer live.
func (p *Placer) RetainPeers(now time.Time, entries []filbertstile.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peerNames = p.peerNames[:0]
	for _, m := range entries {
		p.peerNames = append(p.peerNames, m.Name)
	}
	for name := range p.peerLoads {
		if !slices.ContainsFunc(entries, func(m filbertstile.Member) bool { return m.Name == name }) {
			delete(p.peerLoads, name)
		}
	}
	for name := range p.peerCounts {
		if p.peerLoads[name] == nil {
			delete(p.peerCounts, name)
		}
	}
	p.setAdmissionPeers(now)
	p.setTurns()
	p.sumPeerLoads()
	p.serveQueue(now)
}

func (p *Placer) sumPeerLoads() {
	for _, r := range p.byID {
		r.peerLoad = EntryLoad{}
		p.shareMemory(r)
	}
	for _, loads := range p.peerLoads {
		for hash, l := range loads {
			if r := p.byHash[hash]; r != nil {
				r.peerLoad.Requests += l.Requests
				r.peerLoad.Tokens += l.Tokens
				r.peerLoad.Output += l.Output
				r.peerLoad.addPace(l.SeenPace)
				r.peerLoad.Memory += l.Memory
			}
		}
	}
}
