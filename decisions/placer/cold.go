package placer

import (
	"math"
	"time"
)

// Shares of the limit on requests to cold replicas that are used; the rest is a safety
// margin. While a replica is new, coldLimitGroupShare is the share of its group if there are
// several groups of entries, and coldLimitOthersShare that of all other groups together.
const (
	coldLimitShare       = 0.85
	coldLimitGroupShare  = 0.8
	coldLimitOthersShare = 0.13
)

// newReplicaTime is the time for which a replica counts as new after this entry has learned
// of its start, or of the return of its failure domain. Replicas are cold for some seconds,
// and news of a start may be seconds late.
const newReplicaTime = 10 * time.Second

// refillColdTokens adds the tokens for the time since the last refill, at the rate per
// second and up to the burst.
func (r *replicaState) refillColdTokens(now time.Time, rate, burst float64) {
	if r.coldRefilledAt.IsZero() {
		r.coldTokens = burst
	} else {
		r.coldTokens = min(burst, r.coldTokens+now.Sub(r.coldRefilledAt).Seconds()*rate)
	}
	r.coldRefilledAt = now
}

// coldLimit returns the number of requests per second that this entry and others may send to
// the replica together, even if it is cold, the number of these entries, and whether this
// entry is one of them. A limit of 0 means that there is none.
func (p *Placer) coldLimit(now time.Time, r *replicaState) (limit float64, entries int, included bool) {
	spec, ok := p.fleet.Pools.Get(r.replica.Service)
	if !ok || spec.ColdRequestsPerSecond <= 0 {
		return 0, 0, true
	}
	limit = spec.ColdRequestsPerSecond*p.config.ColdBurst + p.config.ColdSlack
	if x := p.announced[r.replica.ID]; x != nil && x.limit.limit.Named {
		return limit * coldLimitShare, x.limit.holders, x.limit.share > 0
	}
	if p.fleet.GroupReplicas == nil || spec.Engine == nil || !now.Before(r.newUntil) {
		return limit * coldLimitShare, max(1, r.entries), true
	}
	if !r.otherGroup {
		return limit * coldLimitGroupShare, max(1, r.entries), true
	}
	// Each entry may send one request at least, so that no more of them share the limit.
	limit *= coldLimitOthersShare
	entries = max(1, int(min(limit, math.MaxInt32)))
	return limit, entries, p.senderRank(r) < entries
}

// isOpen reports whether this entry may send requests to the replica, which may be one that
// only few entries of other groups use.
func (p *Placer) isOpen(now time.Time, r *replicaState) bool {
	if !r.otherGroup || !now.Before(r.newUntil) {
		return true
	}
	_, _, included := p.coldLimit(now, r)
	return included
}

// withinColdLimit reports whether this entry may send another request to the replica
// without exceeding its share of the limit for cold replicas, which applies to the
// requests of all entries together. The share is enforced at all times, as replicas
// become cold without warning.
func (p *Placer) withinColdLimit(now time.Time, r *replicaState) bool {
	limit, n, included := p.coldLimit(now, r)
	if limit == 0 || !included {
		return included
	}
	spec, _ := p.fleet.Pools.Get(r.replica.Service)
	entries := float64(n)
	rate := min(spec.ColdRequestsPerSecond, limit/2) / entries
	r.refillColdTokens(now, rate, max(1, limit/entries-rate))
	if !p.sharesColdLimit(now, r) {
		return r.coldTokens >= 1
	}
	unknown := n // one request of each entry, as this one has used up its own share
	if r.coldTokens >= 1 {
		unknown = min(n, 2)
	}
	return p.withinSharedColdLimit(now, r, limit, unknown)
}

// senderRank returns the rank of this entry for the replica.
func (p *Placer) senderRank(r *replicaState) int {
	if r.senderRank < 0 {
		r.senderRank = p.rank(r.replica.ID)
	}
	return r.senderRank
}
