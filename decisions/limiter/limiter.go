// Package limiter divides the paid rates of client accounts between entries without
// a coordinator: the entry that owns an account grants short leases on parts of its
// rate, and an entry that cannot reach the owner falls back to a static share.
package limiter

import (
	"time"

	"filbertstile.example/filbertstile"
)

// LeaseDuration is how long a grant is valid.
const LeaseDuration = time.Second

const (
	// demandWeight is the weight of the newest sample in the moving average of an
	// entry's demand.
	demandWeight = 0.5
	// demandHeadroom is the ratio of the requested rate to the demand; it is above 1
	// so that the demand can grow.
	demandHeadroom = 1.25
	// minRequestedRate is the minimum rate, in requests per second, that an entry with any
	// demand requests.
	minRequestedRate = 1.0
)

// Bucket is the token bucket of one account at one entry.
type Bucket struct {
	Account string
	// Tokens is the number of requests that may be admitted now.
	Tokens float64
	// PerSecond is the rate, in requests per second, that the entry may use until
	// Until.
	PerSecond float64
	Until     time.Time
	// Granted is true if the rate was granted by the owner.
	Granted bool
	// Demand is the moving average of requests per second, including rejected ones.
	Demand float64
	// arrivals counts the requests since demandAt, when Demand was last updated.
	arrivals   float64
	demandAt   time.Time
	refilledAt time.Time
}

// NewBucket returns a bucket that holds the entry's full share of the account's
// burst, as the account has not used any of it yet.
func NewBucket(a filbertstile.Account, now time.Time, entries int) Bucket {
	return Bucket{Account: a.Name, Tokens: burstShare(a, entries), demandAt: now, refilledAt: now}
}

// burstShare returns an entry's share of the account's burst. The shares of all
// entries add up to the burst, except that each is at least 1.
func burstShare(a filbertstile.Account, entries int) float64 {
	return max(1, a.Burst/float64(max(1, entries)))
}

// WithRefill returns the bucket with the tokens added that have accrued since the
// last refill.
func (b Bucket) WithRefill(now time.Time, a filbertstile.Account, entries int) Bucket {
	dt := now.Sub(b.refilledAt).Seconds()
	b.refilledAt = now
	b.Tokens = min(b.Tokens+dt*b.PerSecond, burstShare(a, entries))
	return b
}

// WithRequest returns the bucket after a request, and whether the request is
// admitted.
func (b Bucket) WithRequest() (Bucket, bool) {
	b.arrivals++
	if b.Tokens < 1 {
		return b, false
	}
	b.Tokens--
	return b, true
}

// WithDemand returns the bucket with its demand updated.
func (b Bucket) WithDemand(now time.Time) Bucket {
	dt := now.Sub(b.demandAt).Seconds()
	if dt <= 0 {
		return b
	}
	rate := b.arrivals / dt
	b.Demand += demandWeight * (rate - b.Demand)
	b.arrivals = 0
	b.demandAt = now
	return b
}

// RequestedRate returns the rate that the entry requests from the owner; 0 if its
// demand is below 0.05 requests per second.
func (b Bucket) RequestedRate() float64 {
	if b.Demand < 0.05 {
		return 0
	}
	return max(minRequestedRate, b.Demand*demandHeadroom)
}

// WithGrant returns the bucket with a grant that is valid until the given time.
func (b Bucket) WithGrant(perSecond float64, until time.Time) Bucket {
	b.PerSecond = perSecond
	b.Until = until
	b.Granted = true
	return b
}

// WithFallback returns the bucket with its rate replaced if its grant has expired.
// For one lease duration the rate is the lower of the grant and the static share, as
// other entries may still hold their grants; then it is the static share.
func (b Bucket) WithFallback(now time.Time, static float64) Bucket {
	if now.Before(b.Until) {
		return b
	}
	if b.Granted {
		b.Granted = false
		b.PerSecond = min(b.PerSecond, static)
		b.Until = now.Add(LeaseDuration)
		return b
	}
	b.PerSecond = static
	b.Until = now.Add(LeaseDuration)
	return b
}

// WaitTime returns the time until a request can be admitted.
func (b Bucket) WaitTime() time.Duration {
	if b.PerSecond <= 0 {
		return LeaseDuration
	}
	return time.Duration((1 - b.Tokens) / b.PerSecond * float64(time.Second))
}

// lease is a grant to one entry. The rates are in requests per second.
type lease struct {
	entry     string
	perSecond float64
	requested float64
	until     time.Time
}

// Ledger records the grants of the owner of an account.
type Ledger struct {
	// OwnerSince is when this entry became the owner.
	OwnerSince time.Time
	leases     []lease
}

// NewLedger returns an empty ledger of an entry that becomes the owner now.
func NewLedger(now time.Time) Ledger { return Ledger{OwnerSince: now} }

// GrantParams holds the inputs of Ledger.WithGrant.
type GrantParams struct {
	Now time.Time
	// Rate is the account's paid rate in requests per second.
	Rate float64
	// Entries is the number of live entries.
	Entries int
	// SilentEntries is the number of live entries that have sent no request for
	// grants for a lease duration. They may be using their static shares.
	SilentEntries int
}

// WithGrant returns the ledger after a grant to the entry, and the granted rate. The
// sum of all grants and of the static shares of silent entries never exceeds the
// paid rate.
func (l Ledger) WithGrant(p GrantParams, entry string, requested float64) (Ledger, float64) {
	static := p.Rate / float64(max(1, p.Entries))
	next := Ledger{OwnerSince: l.OwnerSince}
	others, demand := 0.0, requested
	for _, x := range l.leases {
		if x.entry == entry || !p.Now.Before(x.until) {
			continue
		}
		next.leases = append(next.leases, x)
		others += x.perSecond
		demand += x.requested
	}
	available := p.Rate - float64(p.SilentEntries)*static
	grant := requested
	if demand > available && demand > 0 {
		grant = available * requested / demand
	}
	if p.Now.Sub(l.OwnerSince) < LeaseDuration {
		// Grants of the previous owner may still be valid.
		grant = min(grant, static)
	}
	grant = max(0, min(grant, available-others))
	next.leases = append(next.leases, lease{entry: entry, perSecond: grant, requested: requested, until: p.Now.Add(LeaseDuration)})
	return next, grant
}

// Total returns the sum of the grants that are valid now, in requests per second.
func (l Ledger) Total(now time.Time) float64 {
	sum := 0.0
	for _, x := range l.leases {
		if now.Before(x.until) {
			sum += x.perSecond
		}
	}
	return sum
}
