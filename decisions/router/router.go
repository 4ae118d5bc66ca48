// Package router chooses the replicas that a request is sent to.
package router

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertstile.example/filbertstile"
)

// Load is the newest load report of a host.
type Load struct {
	Running int
	// Waiting is the number of requests that are queued at the host.
	Waiting int
	// Limit is the concurrency limit.
	Limit int
	// Serving is true if the host accepts requests.
	Serving bool
	// Leaving is true after the host has announced a planned stop.
	Leaving bool
	// Cold is true while the host treats its backend server as cold.
	Cold bool
	// Release is the release that the engine runs, and Whole the digest of its weights.
	Release string
	Whole   filbertstile.Digest
	// Ready is the target release, if its weights are complete in the host's memory.
	Ready string
	// Epoch is the epoch of the last permit that the host accepted.
	Epoch uint64
	// Revision is the revision of the host's configuration.
	Revision uint64
	// Role is the role that the engine reported.
	Role string
}

// Replica is an entry's record of a host.
type Replica struct {
	Host filbertstile.Member
	Load Load
	// Connected is true while load reports of the host arrive.
	Connected bool
	// InFlight is the number of requests that this entry has in flight at the host.
	InFlight int `json:"Own"`
	// InFlightAtReport is the value of InFlight at the time of the load report.
	InFlightAtReport int `json:"OwnAtReport"`
	// CooldownUntil is the end of the cooldown after a refusal or failure.
	CooldownUntil time.Time `json:"HoldUntil"`
	// BusyUntil is the end of the cooldown after a refusal for lack of capacity, which
	// does not apply to requests of the highest tier.
	BusyUntil time.Time
	// Failures is the number of consecutive failures.
	Failures int
}

// Key returns the host's name.
func (r Replica) Key() string { return r.Host.Name }

// EstimatedRequests returns the estimated number of running and queued requests at
// the replica: the reported number, plus the requests that this entry has sent
// since and minus those that have ended since.
func (r Replica) EstimatedRequests() int {
	return max(r.InFlight, r.Load.Running+r.Load.Waiting-r.InFlightAtReport+r.InFlight)
}

// requestsAhead returns the estimated number of requests that the replica starts
// before a new one. Requests of the highest tier start before those queued at the host.
func (r Replica) requestsAhead(q Query) int {
	if q.TopTier {
		return min(r.EstimatedRequests(), r.Load.Running+max(0, r.InFlight-r.InFlightAtReport))
	}
	return r.EstimatedRequests()
}

// WithReport returns the replica with a new load report.
func (r Replica) WithReport(l Load) Replica {
	r.Load = l
	r.InFlightAtReport = r.InFlight
	r.Connected = true
	return r
}

// WithSent returns the replica with one more request in flight.
func (r Replica) WithSent() Replica {
	r.InFlight++
	return r
}

// WithEnded returns the replica with one request less in flight.
func (r Replica) WithEnded() Replica {
	r.InFlight--
	return r
}

// WithFailure returns the replica after one more failure. The cooldown starts at
// minCooldown and doubles with each consecutive failure, up to maxCooldown.
func (r Replica) WithFailure(now time.Time, minCooldown, maxCooldown time.Duration) Replica {
	cooldown := minCooldown << min(r.Failures, 16)
	r.Failures++
	r.CooldownUntil = now.Add(min(cooldown, maxCooldown))
	return r
}

// WithCooldown returns the replica with CooldownUntil set, unless it is already later.
func (r Replica) WithCooldown(until time.Time) Replica {
	if until.After(r.CooldownUntil) {
		r.CooldownUntil = until
	}
	return r
}

// WithBusy returns the replica with BusyUntil set.
func (r Replica) WithBusy(until time.Time) Replica {
	r.BusyUntil = until
	return r
}

// inCooldown reports whether the request must not be sent to the replica now because
// of an earlier refusal or failure.
func (r Replica) inCooldown(q Query) bool {
	return q.Now.Before(r.CooldownUntil) || !q.TopTier && q.Now.Before(r.BusyUntil)
}

// WithSuccess returns the replica with the count of failures reset.
func (r Replica) WithSuccess() Replica {
	r.Failures = 0
	return r
}

// Query describes a request that needs a replica.
type Query struct {
	Now     time.Time
	Service string
	// Whole is the digest of the weights that must run the request; empty for any.
	Whole filbertstile.Digest
	// Plain is true for services without weights.
	Plain bool
	// Affinity is a hash of the prompt's prefix; 0 for none.
	Affinity uint64
	// TopTier is true for requests of the highest tier, which hosts start first.
	TopTier bool
	// Tried lists the hosts that refused the request or failed while running it.
	Tried []string
	// Domain and Region are the location of the entry.
	Domain string
	Region string
	Config filbertstile.Config
}

// queueLimitDivisor is the divisor of a replica's concurrency limit that gives the
// maximum number of requests of lower tiers queued at its host. Some must be queued
// there, so that the host can choose by priority among the requests of all entries.
const queueLimitDivisor = 4

// Distances of a host from the entry, the nearest first.
const (
	sameDomain = iota
	sameRegion
	otherRegion
	numDistances
)

// distance returns the distance of the host from the entry.
func distance(q Query, m filbertstile.Member) int {
	switch {
	case m.Domain == q.Domain:
		return sameDomain
	case m.Region == q.Region:
		return sameRegion
	default:
		return otherRegion
	}
}

// Eligible reports whether the replica may run the request, regardless of its load
// and cooldown.
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

// Rooms that a replica has for a request.
const (
	roomNone = iota
	// roomQueue means that no slot is free, but there is room in the host's queue.
	roomQueue
	roomSlot
)

// room returns the room that the eligible replica has for the request.
func (r Replica) room(q Query) int {
	maxQueued := max(1, r.Load.Limit/queueLimitDivisor)
	if q.TopTier {
		maxQueued = max(maxQueued, r.Load.Limit)
	}
	switch n := r.requestsAhead(q); {
	case n < r.Load.Limit:
		return roomSlot
	case !r.Load.Cold && n < r.Load.Limit+maxQueued:
		return roomQueue
	}
	return roomNone
}

// maxOffers is the maximum number of replicas to which a request of the highest tier
// is sent at once if none is mostly free; the first host that offers a slot runs it.
const maxOffers = 3

// Choose returns the replicas to send the request to; none if no replica has room.
// It chooses one of the nearest replicas with a free slot, by affinity or else the
// less loaded of two random ones. If no replica has a free slot, it chooses the less
// loaded of two random replicas with room in the host's queue. For the highest tier
// it returns several replicas, unless one is mostly free.
func Choose(q Query, replicas []Replica, rng *rand.Rand) []Replica {
	free := make([][]Replica, numDistances)
	var queueable []Replica
	for _, r := range replicas {
		if !Eligible(q, r) || r.inCooldown(q) {
			continue
		}
		switch d := distance(q, r.Host); r.room(q) {
		case roomSlot:
			free[d] = append(free[d], r)
		case roomQueue:
			queueable = append(queueable, r)
		}
	}
	if q.TopTier && !anyMostlyFree(free) {
		// Reports lag, so a slot that was reported free may be taken: let several hosts
		// decide.
		return leastLoaded(slices.Concat(append(free, queueable)...), rng)
	}
	for _, replicas := range free {
		if len(replicas) > 0 {
			return []Replica{pick(q, replicas, rng)}
		}
	}
	if len(queueable) > 0 {
		return []Replica{lessLoadedOfTwo(queueable, rng)}
	}
	return nil
}

// minFreeShare is the minimum share of free slots at which a replica is sure to have a
// free slot, regardless of what has happened since its report.
const minFreeShare = 0.5

// anyMostlyFree reports whether a replica has at least minFreeShare of its slots free.
func anyMostlyFree(free [][]Replica) bool {
	for _, replicas := range free {
		for _, r := range replicas {
			if utilization(r) <= 1-minFreeShare {
				return true
			}
		}
	}
	return false
}

// leastLoaded returns up to maxOffers replicas, the least loaded first. It reorders
// the argument; the order of equally loaded replicas is random.
func leastLoaded(replicas []Replica, rng *rand.Rand) []Replica {
	rng.Shuffle(len(replicas), func(i, j int) { replicas[i], replicas[j] = replicas[j], replicas[i] })
	slices.SortStableFunc(replicas, func(a, b Replica) int { return cmp.Compare(utilization(a), utilization(b)) })
	return replicas[:min(maxOffers, len(replicas))]
}

func pick(q Query, replicas []Replica, rng *rand.Rand) Replica {
	if q.Affinity != 0 {
		return pickByAffinity(q.Affinity, replicas)
	}
	return lessLoadedOfTwo(replicas, rng)
}

// lessLoadedOfTwo returns the less loaded of two random replicas.
func lessLoadedOfTwo(replicas []Replica, rng *rand.Rand) Replica {
	a := replicas[rng.IntN(len(replicas))]
	b := replicas[rng.IntN(len(replicas))]
	if utilization(b) < utilization(a) {
		return b
	}
	return a
}

// utilization returns the estimated number of requests relative to the limit.
func utilization(r Replica) float64 {
	return float64(r.EstimatedRequests()) / float64(max(1, r.Load.Limit))
}

// maxAffinityRatio is the maximum ratio of a replica's utilization to the mean, apart
// from one more request, at which it is chosen because it may have cached the prefix.
const maxAffinityRatio = 1.25

// pickByAffinity returns the first replica in the rendezvous hashing order of the
// prefix whose utilization is not much higher than the mean.
func pickByAffinity(key uint64, replicas []Replica) Replica {
	mean := 0.0
	for _, r := range replicas {
		mean += utilization(r) / float64(len(replicas))
	}
	var best, least Replica
	bestHash := uint64(0)
	found := false
	for i, r := range replicas {
		if i == 0 || utilization(r) < utilization(least) {
			least = r
		}
		if utilization(r) > mean*maxAffinityRatio+1/float64(max(1, r.Load.Limit)) {
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

// Subset returns the hosts that an entry keeps connections to, at most limit. If
// there are more, those in the entry's failure domain come first, then those in its
// region, then the others, each in the entry's own rendezvous hashing order.
func Subset(self filbertstile.Member, hosts []filbertstile.Member, limit int) []filbertstile.Member {
	out := slices.Clone(hosts)
	if len(out) <= limit {
		return out
	}
	q := Query{Domain: self.Domain, Region: self.Region}
	rank := func(m filbertstile.Member) uint64 { return xxhash.Sum64String(self.Name + "\x00" + m.Name) }
	slices.SortFunc(out, func(a, b filbertstile.Member) int {
		if da, db := distance(q, a), distance(q, b); da != db {
			return da - db
		}
		if rank(a) < rank(b) {
			return -1
		}
		return 1
	})
	return out[:limit]
}
