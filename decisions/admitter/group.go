package admitter

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// demandStep is the share by which a demand must change to be announced anew, and
	// minDemandStep the change in requests per second.
	demandStep    = 0.3
	minDemandStep = 1.0
	// minDemandAge is the time from the first request after which a demand is announced. Until then the
	// others count none of it: in the model at four times the capacity, 0.016 of the responses are
	// late with a second, and 0.011 with 250 ms.
	minDemandAge = 250 * time.Millisecond
	// agreementTime is the time after which all entries know of an announced demand: messages with
	// demands are sent every 200 ms.
	agreementTime = maxViewAge + 200*time.Millisecond
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
	name string
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
			s.previous, s.announced, s.announcedAt = s.agreed(now), d, now
		}
		out = append(out, Demand{Class: s.class, PerSecond: s.announced})
	}
	return out
}

// agreed returns the rate by which this entry may claim slots. A higher one counts after the others have
// learned of it and claim fewer: in the meantime more than all slots would be divided.
func (s *classState) agreed(now time.Time) float64 {
	if now.Sub(s.announcedAt) < agreementTime {
		return min(s.previous, s.announced)
	}
	return s.announced
}

// SetPeerDemands sets the demands of another entry.
func (a *Admitter) SetPeerDemands(name string, demands []Demand) {
	if i, ok := a.findPeer(name); ok {
		a.peers[i].known, a.peers[i].demands = true, demands
	}
}

// SetPeers sets the names of the other entries that use the engines.
func (a *Admitter) SetPeers(names []string) {
	a.peers = slices.DeleteFunc(a.peers, func(p *peer) bool { return !slices.Contains(names, p.name) })
	for _, name := range names {
		if i, ok := a.findPeer(name); !ok {
			a.peers = slices.Insert(a.peers, i, &peer{name: name})
		}
	}
}

// findPeer returns the place of the peer in the order of the names, and whether it is known.
func (a *Admitter) findPeer(name string) (int, bool) {
	return slices.BinarySearchFunc(a.peers, name, func(p *peer, name string) int { return strings.Compare(p.name, name) })
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

// Weight is the weight of an entry in the division of the slots.
type Weight struct {
	// Name is the name of the entry; empty for this one.
	Name   string
	Weight float64
}

// Weights returns the weights by which the slots are divided among the entries: this one, and the others
// in the order of their names. An entry counts as much as the demand of it that the
// engines can serve, if all entries serve the most urgent requests first.
func (a *Admitter) Weights(now time.Time, v View) []Weight {
	own := a.Demands(now)
	for i, s := range a.classes {
		own[i].PerSecond = s.agreed(now)
	}
	demands := [][]Demand{own}
	out := []Weight{{}}
	for _, p := range a.peers {
		list := p.demands
		if !p.known {
			list = own
		}
		demands, out = append(demands, list), append(out, Weight{Name: p.name})
	}
	shares := a.servedShares(demands, float64(v.Slots)/rounded(a.holdTime))
	sum := 0.0
	for i, list := range demands {
		for _, d := range list {
			out[i].Weight += d.PerSecond * shares[d.Class]
		}
	}
	// All entries must get the same sum, whichever of them they are.
	for _, w := range slices.SortedFunc(slices.Values(out), func(a, b Weight) int { return cmp.Compare(a.Weight, b.Weight) }) {
		sum += w.Weight
	}
	for i, w := range out {
		out[i].Weight = rounded(max(minWeight, w.Weight/max(sum, 1)*float64(len(out))))
	}
	return out
}

// rounded rounds a value that entries work out a little differently.
func rounded(x float64) float64 {
	return math.Pow(roundingStep, math.Round(math.Log(x)/math.Log(roundingStep)))
}

// servedShares returns the share of each class that engines with the capacity, in requests per
// second, can serve: the floors, and of the rest the most urgent requests.
func (a *Admitter) servedShares(demands [][]Demand, capacity float64) map[Class]float64 {
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
