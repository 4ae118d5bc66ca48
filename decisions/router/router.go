// Package router chooses the replica that runs a request.
package router

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertstile.example/filbertstile"
)

// Load is what a host last said of itself.
type Load struct {
	Running int
	// Waiting is the number of requests at the gate, beside those running.
	Waiting  int
	Limit    int
	Serving  bool
	Leaving  bool
	Cold     bool
	Release  string
	Whole    filbertstile.Digest
	Ready    string
	Epoch    uint64
	Revision uint64
	Role     string
}

// Replica is a host as an entry sees it.
type Replica struct {
	Host filbertstile.Member
	Load Load
	// Connected tells that the host's load reports arrive.
	Connected bool
	// Own is the number of requests that this entry has in hand there.
	Own int
	// OwnAtReport is what Own was when the load was reported.
	OwnAtReport int
	// HoldUntil is when the replica may be asked again after a refusal.
	HoldUntil time.Time
	// BusyUntil is the same after a refusal for lack of room, which does not
	// hold for the highest tier.
	BusyUntil time.Time
	// Failures counts the failures in a row.
	Failures int
}

// Key returns the host's name.
func (r Replica) Key() string { return r.Host.Name }

// Estimate is the number of requests that the replica has now, as far as this
// entry can tell: what it reported, corrected by what was sent and what
// finished since.
func (r Replica) Estimate() int {
	return max(r.Own, r.Load.Running+r.Load.Waiting-r.OwnAtReport+r.Own)
}

// ahead is the number of requests that count against a new one: the highest
// tier goes before what waits at the gate.
func (r Replica) ahead(q Query) int {
	if q.First {
		return min(r.Estimate(), r.Load.Running+max(0, r.Own-r.OwnAtReport))
	}
	return r.Estimate()
}

// WithReport returns the replica with a newer load.
func (r Replica) WithReport(l Load) Replica {
	r.Load = l
	r.OwnAtReport = r.Own
	r.Connected = true
	return r
}

// WithSent returns the replica with one more request in hand.
func (r Replica) WithSent() Replica {
	r.Own++
	return r
}

// WithEnded returns the replica with one request less in hand.
func (r Replica) WithEnded() Replica {
	r.Own--
	return r
}

// WithFailure returns the replica held for a time that doubles with each
// failure in a row.
func (r Replica) WithFailure(now time.Time, first, most time.Duration) Replica {
	hold := first << min(r.Failures, 16)
	r.Failures++
	r.HoldUntil = now.Add(min(hold, most))
	return r
}

// WithHold returns the replica held until the moment, unless it is already
// held for longer.
func (r Replica) WithHold(until time.Time) Replica {
	if until.After(r.HoldUntil) {
		r.HoldUntil = until
	}
	return r
}

// WithBusy returns the replica without room until the moment.
func (r Replica) WithBusy(until time.Time) Replica {
	r.BusyUntil = until
	return r
}

// held tells whether the replica is not to be asked now.
func (r Replica) held(q Query) bool {
	return q.Now.Before(r.HoldUntil) || !q.First && q.Now.Before(r.BusyUntil)
}

// WithSuccess returns the replica without failures.
func (r Replica) WithSuccess() Replica {
	r.Failures = 0
	return r
}

// Query describes the request to place.
type Query struct {
	Now     time.Time
	Service string
	// Whole pins the request to weights; empty takes any that serve.
	Whole filbertstile.Digest
	// Plain is true for services without weights.
	Plain bool
	// Affinity is a hash of the prompt's prefix; 0 for none.
	Affinity uint64
	// First is true for the highest tier, whose requests gates put first.
	First bool
	// Tried lists hosts that this request was refused by or broke at.
	Tried  []string
	Domain string
	Region string
	Config filbertstile.Config
}

// waitShare is the part of its limit that a replica may have waiting at its
// gate, so that the gate can choose by priority among entries.
const waitShare = 4

// distance classes, the nearest first.
const (
	sameDomain = iota
	sameRegion
	otherRegion
	classes
)

func class(q Query, m filbertstile.Member) int {
	switch {
	case m.Domain == q.Domain:
		return sameDomain
	case m.Region == q.Region:
		return sameRegion
	default:
		return otherRegion
	}
}

// Eligible tells whether the replica may get the request at all.
func Eligible(q Query, r Replica) bool {
	switch {
	case r.Host.Service != q.Service, !r.Connected, !r.Load.Serving, r.Load.Leaving, r.Host.Leaving:
		return false
	case q.Config.DomainOutOfService(r.Host.Domain), q.Config.HostOutOfService(r.Host.Name):
		return false
	case slices.Contains(q.Tried, r.Host.Name):
		return false
	case q.Plain:
		return true
	case r.Load.Whole == "":
		return false
	default:
		return q.Whole == "" || r.Load.Whole == q.Whole
	}
}

// offers is the number of gates at which a request of the highest tier waits
// at once where no slot is free; the first that has one runs it.
const offers = 3

// Choose returns the replica for the request: with a free slot as near as can
// be, by affinity or else the better of two. Failing that, the better of two
// anywhere whose gates have room to wait, and several for the highest tier. No
// replica means that none has room now.
func Choose(q Query, replicas []Replica, rng *rand.Rand) []Replica {
	free := make([][]Replica, classes)
	var room []Replica
	for _, r := range replicas {
		if !Eligible(q, r) || r.held(q) {
			continue
		}
		c := class(q, r.Host)
		wait := max(1, r.Load.Limit/waitShare)
		if q.First {
			wait = max(wait, r.Load.Limit)
		}
		switch n := r.ahead(q); {
		case n < r.Load.Limit:
			free[c] = append(free[c], r)
		case !r.Load.Cold && n < r.Load.Limit+wait:
			room = append(room, r)
		}
	}
	if q.First && !anyIdle(free) {
		// Reports lag: a slot that looks free may be taken. Several gates know.
		return several(slices.Concat(append(free, room)...), rng)
	}
	for _, near := range free {
		if len(near) > 0 {
			return []Replica{pick(q, near, rng)}
		}
	}
	if len(room) > 0 {
		return []Replica{better(room, rng)}
	}
	return nil
}

// idleShare is the share of free slots from which a replica surely has room,
// whatever happened since its report.
const idleShare = 0.5

func anyIdle(free [][]Replica) bool {
	for _, near := range free {
		for _, r := range near {
			if fill(r) <= 1-idleShare {
				return true
			}
		}
	}
	return false
}

// several returns a few replicas, the least full first.
func several(from []Replica, rng *rand.Rand) []Replica {
	rng.Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
	slices.SortStableFunc(from, func(a, b Replica) int { return cmp.Compare(fill(a), fill(b)) })
	return from[:min(offers, len(from))]
}

func pick(q Query, near []Replica, rng *rand.Rand) Replica {
	if q.Affinity != 0 {
		return byAffinity(q.Affinity, near)
	}
	return better(near, rng)
}

// better takes the less full of two.
func better(near []Replica, rng *rand.Rand) Replica {
	a := near[rng.IntN(len(near))]
	b := near[rng.IntN(len(near))]
	if fill(b) < fill(a) {
		return b
	}
	return a
}

func fill(r Replica) float64 { return float64(r.Estimate()) / float64(max(1, r.Load.Limit)) }

// affinityBound is how full a replica may be, compared to the mean, and still
// be chosen for its cached prefix.
const affinityBound = 1.25

// byAffinity returns the first replica in the prefix's rendezvous order that is
// not much fuller than the mean.
func byAffinity(key uint64, near []Replica) Replica {
	mean := 0.0
	for _, r := range near {
		mean += fill(r) / float64(len(near))
	}
	var best, least Replica
	bestHash := uint64(0)
	found := false
	for i, r := range near {
		if i == 0 || fill(r) < fill(least) {
			least = r
		}
		if fill(r) > mean*affinityBound+1/float64(max(1, r.Load.Limit)) {
			continue
		}
		h := xxhash.Sum64String(r.Host.Name) ^ key
		h *= 0x9e3779b97f4a7c15
		if !found || h > bestHash {
			best, bestHash, found = r, h, true
		}
	}
	if !found {
		return least
	}
	return best
}

// Subset returns the hosts that an entry keeps connections to: all of them, or
// where there are too many, those of its own domain and region first, each
// class in the entry's own rendezvous order.
func Subset(self filbertstile.Member, hosts []filbertstile.Member, most int) []filbertstile.Member {
	out := slices.Clone(hosts)
	if len(out) <= most {
		return out
	}
	q := Query{Domain: self.Domain, Region: self.Region}
	rank := func(m filbertstile.Member) uint64 { return xxhash.Sum64String(self.Name + "\x00" + m.Name) }
	slices.SortFunc(out, func(a, b filbertstile.Member) int {
		if ca, cb := class(q, a), class(q, b); ca != cb {
			return ca - cb
		}
		if rank(a) < rank(b) {
			return -1
		}
		return 1
	})
	return out[:most]
}
