package admitter

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// demandStep is the share by which a demand must change to be announced anew, and
	// minDemandStep the change in requests per second.
	demandStep    = 0.3
	minDemandStep = 1.0
	// minDemandAge is the time from the first request after which a demand is announced.
	minDemandAge = time.Second
	// minWeight is the least weight of an entry, as a share of the mean: an entry that has had no
	// requests may get some.
	minWeight = 0.1
	// roundingStep is the ratio of successive rounded values.
	roundingStep = 1.5
)

// Demand is the rate at which requests of a class arrive at an entry.
type Demand struct {
	Class     Class
	PerSecond float64
}

// peer is another entry that uses the engines.
type peer struct {
	// known is true if the entry has reported its demands. Until then they are assumed to be those
	// of this entry.
	known   bool
	demands []Demand
}

// Demands returns the demands of this entry, in order of urgency, for the other entries. They
// change in steps: all entries must divide the slots alike, and know of a change at different
// times.
func (a *Admitter) Demands(now time.Time) []Demand {
	out := make([]Demand, 0, len(a.classes))
	for _, s := range a.classes {
		d := s.demand.perSecond(now)
		if s.demand.age(now) >= minDemandAge && math.Abs(d-s.announced) > max(minDemandStep, demandStep*s.announced) {
			s.announced = d
		}
		out = append(out, Demand{Class: s.class, PerSecond: s.announced})
	}
	return out
}

// SetPeerDemands sets the demands of another entry.
func (a *Admitter) SetPeerDemands(name string, demands []Demand) {
	if p := a.peers[name]; p != nil {
		p.known, p.demands = true, demands
	}
}

// SetPeers sets the names of the other entries that use the engines.
func (a *Admitter) SetPeers(names []string) {
	maps.DeleteFunc(a.peers, func(name string, _ *peer) bool { return !slices.Contains(names, name) })
	for _, name := range names {
		if a.peers[name] == nil {
			a.peers[name] = &peer{}
		}
	}
}

// peerRate returns the arrivals per second at the other entries of the classes that include
// returns true for, and own the same at this entry.
func (a *Admitter) peerRate(own float64, include func(Class) bool) float64 {
	out := 0.0
	for _, p := range a.peers {
		if !p.known {
			out += own
		}
		for _, d := range p.demands {
			if include(d.Class) {
				out += d.PerSecond
			}
		}
	}
	return out
}

// Weights returns the weights by which the slots are divided among the entries, by their names;
// that of this entry is at the empty name. An entry counts as much as the demand of it that the
// engines can serve, if all entries serve the most urgent requests first.
func (a *Admitter) Weights(now time.Time, v View) map[string]float64 {
	demands := map[string][]Demand{"": a.Demands(now)}
	for name, p := range a.peers {
		demands[name] = p.demands
		if !p.known {
			demands[name] = demands[""]
		}
	}
	shares := a.servedShares(demands, float64(v.Slots)/rounded(a.holdTime))
	out, sum := make(map[string]float64, len(demands)), 0.0
	for name, list := range demands {
		weight := 0.0
		for _, d := range list {
			weight += d.PerSecond * shares[d.Class]
		}
		out[name] = weight
		sum += weight
	}
	for name, weight := range out {
		out[name] = rounded(max(minWeight, weight/max(sum, 1)*float64(len(demands))))
	}
	return out
}

// rounded rounds a value that entries work out a little differently.
func rounded(x float64) float64 {
	return math.Pow(roundingStep, math.Round(math.Log(x)/math.Log(roundingStep)))
}

// servedShares returns the share of each class that engines with the capacity, in requests per
// second, can serve: the floors, and of the rest the most urgent requests.
func (a *Admitter) servedShares(demands map[string][]Demand, capacity float64) map[Class]float64 {
	rates, floors := make(map[Class]float64), 0.0
	for _, list := range demands {
		for _, d := range list {
			rates[d.Class] += d.PerSecond
			if !d.Class.Late {
				floors += d.PerSecond * floorShare
			}
		}
	}
	out := make(map[Class]float64, len(rates))
	floor := floorShare * min(1, capacity/max(floors, 1e-9))
	left := max(0, capacity-floors)
	for _, c := range slices.SortedFunc(maps.Keys(rates), func(a, b Class) int { return a.Rank() - b.Rank() }) {
		if !c.Late {
			out[c] = floor
		}
		more := min(left, rates[c]*(1-out[c]))
		left -= more
		out[c] += more / max(rates[c], 1e-9)
	}
	return out
}
