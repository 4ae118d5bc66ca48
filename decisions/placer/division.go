package placer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertstile.example/filbertstile/decisions/admitter"
)

// divideInterval is the time between two divisions of the slots.
const divideInterval = 250 * time.Millisecond

// maxTurnCost is added to the score of a replica at which all other entries come before this one, in
// requests, and a part of it at others, where engines report a pace: entries with the same loads then choose
// different ones. In the model with 7 entries and 45 engines, 3.1 in 100 responses are late without it, 0.5
// with 8, 0.2 with 12, and 0.5 with 24, which also makes responses begin later if one entry gets all requests.
const maxTurnCost = 12.0

// Demand is the rate at which requests to a service arrive at an entry.
type Demand struct {
	// Service is the hash of the service's name.
	Service uint32
	// Priority and Late are the class of the requests.
	Priority  int
	Late      bool
	PerSecond float64
}

// Demands returns the demands of this entry on services with admission by priority, and whether
// there are such services.
func (p *Placer) Demands(now time.Time) (demands []Demand, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, service := range slices.Sorted(maps.Keys(p.admissions)) {
		for _, d := range p.admissions[service].admitter.Demands(now) {
			demands = append(demands, Demand{Service: HashOf(service), Priority: d.Class.Priority, Late: d.Class.Late, PerSecond: d.PerSecond})
		}
	}
	return demands, len(p.admissions) > 0
}

// SetPeerDemands sets the demands of another entry. Rates that are none count as zero.
func (p *Placer) SetPeerDemands(entry string, demands []Demand) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for service, a := range p.admissions {
		hash := HashOf(service)
		var list []admitter.Demand
		for _, d := range demands {
			if d.Service == hash && d.PerSecond > 0 && !math.IsInf(d.PerSecond, 0) {
				list = append(list, admitter.Demand{Class: admitter.Class{Priority: max(0, d.Priority), Late: d.Late}, PerSecond: d.PerSecond})
			}
		}
		a.admitter.SetPeerDemands(entry, list)
	}
}

// setAdmissionPeers applies a change of the entries or of the replicas to the admissions. The
// caller must hold p.mu.
func (p *Placer) setAdmissionPeers(now time.Time) {
	for service, a := range p.admissions {
		a.admitter.SetPeers(p.peerNames)
		p.divideSlots(now, service, a)
	}
}

// divideSlots works out this entry's quota of the slots of each replica: the slots are divided
// among the entries of the group by their weights, in the order of a hash that all compute alike.
// The caller must hold p.mu.
func (p *Placer) divideSlots(now time.Time, service string, a *admission) {
	a.dividedAt = now
	weights := a.admitter.Weights(now, p.viewOf(now, Request{Service: service}))
	// Each entry adds the weights up in the same order: sums that differ in the last digit would divide
	// the slots differently.
	sum := 0.0
	for _, w := range slices.SortedFunc(slices.Values(weights), func(a, b admitter.Weight) int { return cmp.Compare(a.Weight, b.Weight) }) {
		sum += w.Weight
	}
	type entry struct {
		hash   uint64
		weight float64
		self   bool
	}
	entries := make([]entry, 0, len(weights))
	for r := range p.ofGroups(service, false) {
		entries = entries[:0]
		for _, w := range weights {
			name, self := w.Name, w.Name == ""
			if self {
				name = p.config.Self
			}
			entries = append(entries, entry{hash: xxhash.Sum64String(name + "\x00" + r.replica.ID), weight: w.Weight, self: self})
		}
		slices.SortFunc(entries, func(a, b entry) int { return cmp.Compare(b.hash, a.hash) })
		// The order differs from replica to replica, and so does where a slot ends that two
		// entries share: each gets it at as many replicas as its part of it.
		slots := float64(max(1, r.replica.Slots)) / sum
		end := float64(HashOf(r.replica.ID)) / (1 << 32)
		for turn, e := range entries {
			begin := end
			end += e.weight * slots
			if e.self {
				r.quota, r.turn = int(math.Floor(end)-math.Floor(begin)), turn
			}
		}
	}
}

// setTurns works out for each replica of the entry's group how many entries come before this one, by a
// hash that all compute alike, for services whose engines report a pace. divideSlots does so for services
// with admission by priority. The caller must hold p.mu.
func (p *Placer) setTurns() {
	for service := range p.paced {
		if p.admissions[service] != nil {
			continue
		}
		for r := range p.ofGroups(service, false) {
			own := xxhash.Sum64String(p.config.Self + "\x00" + r.replica.ID)
			r.turn = 0
			for _, name := range p.peerNames {
				if xxhash.Sum64String(name+"\x00"+r.replica.ID) > own {
					r.turn++
				}
			}
		}
	}
}

// turnCost returns what the turn of the entry at the replica adds to its score.
func (p *Placer) turnCost(service string, r *replicaState) float64 {
	if r.turn == 0 || r.otherGroup || !p.paced[service] || p.admissions[service] != nil {
		return 0
	}
	return maxTurnCost * float64(r.turn) / float64(1+len(p.peerNames))
}
