// Package limiter divides the paid rate of client accounts between entries
// without a coordinator: the owner of an account grants short leases, and an
// entry that cannot reach the owner falls back to a static share.
package limiter

import (
	"time"

	"filbertstile.example/filbertstile"
)

// Term is how long a grant lasts.
const Term = time.Second

const (
	// demandWeight is the weight of the newest second in an entry's demand.
	demandWeight = 0.5
	// headroom is what an entry asks for above its demand, so that it can grow.
	headroom = 1.25
	// leastDemand is asked for by an entry with any demand, in requests a second.
	leastDemand = 1.0
)

// Bucket is an entry's own count for one account.
type Bucket struct {
	Account string
	// Tokens is the number of requests that may pass now.
	Tokens float64
	// PerSecond is the rate that the entry may use until Until.
	PerSecond float64
	Until     time.Time
	// Granted tells that the rate comes from the owner.
	Granted bool
	// Demand is the recent number of requests a second, refused ones included.
	Demand float64
	// arrived counts since the last look at the demand.
	arrived  float64
	lookedAt time.Time
	filledAt time.Time
}

// NewBucket returns a bucket that holds its part of the account's burst, as
// the account has used nothing here yet.
func NewBucket(a filbertstile.Account, now time.Time, entries int) Bucket {
	return Bucket{Account: a.Name, Tokens: burstOf(a, entries), lookedAt: now, filledAt: now}
}

// burstOf is an entry's part of the burst; all parts add up to the whole.
func burstOf(a filbertstile.Account, entries int) float64 {
	return max(1, a.Burst/float64(max(1, entries)))
}

// WithFill returns the bucket filled up to the moment.
func (b Bucket) WithFill(now time.Time, a filbertstile.Account, entries int) Bucket {
	dt := now.Sub(b.filledAt).Seconds()
	b.filledAt = now
	b.Tokens = min(b.Tokens+dt*b.PerSecond, burstOf(a, entries))
	return b
}

// WithArrival returns the bucket after a request, and whether it may pass.
func (b Bucket) WithArrival() (Bucket, bool) {
	b.arrived++
	if b.Tokens < 1 {
		return b, false
	}
	b.Tokens--
	return b, true
}

// WithDemand returns the bucket with its demand brought up to date.
func (b Bucket) WithDemand(now time.Time) Bucket {
	dt := now.Sub(b.lookedAt).Seconds()
	if dt <= 0 {
		return b
	}
	rate := b.arrived / dt
	b.Demand += demandWeight * (rate - b.Demand)
	b.arrived = 0
	b.lookedAt = now
	return b
}

// Asks returns the rate that the entry asks the owner for; 0 for none.
func (b Bucket) Asks() float64 {
	if b.Demand < 0.05 {
		return 0
	}
	return max(leastDemand, b.Demand*headroom)
}

// WithGrant returns the bucket with a grant that counts until the moment.
func (b Bucket) WithGrant(perSecond float64, until time.Time) Bucket {
	b.PerSecond = perSecond
	b.Until = until
	b.Granted = true
	return b
}

// WithFallback returns the bucket after its grant has ended: for one term the
// smaller of grant and static share, as others may still hold theirs, then the
// static share.
func (b Bucket) WithFallback(now time.Time, static float64) Bucket {
	if now.Before(b.Until) {
		return b
	}
	if b.Granted {
		b.Granted = false
		b.PerSecond = min(b.PerSecond, static)
		b.Until = now.Add(Term)
		return b
	}
	b.PerSecond = static
	b.Until = now.Add(Term)
	return b
}

// Wait returns how long it takes until a request may pass.
func (b Bucket) Wait() time.Duration {
	if b.PerSecond <= 0 {
		return Term
	}
	return time.Duration((1 - b.Tokens) / b.PerSecond * float64(time.Second))
}

// lease is one entry's grant.
type lease struct {
	entry     string
	perSecond float64
	asked     float64
	until     time.Time
}

// Ledger is what the owner of an account has granted.
type Ledger struct {
	// Since is when this process became the owner.
	Since  time.Time
	leases []lease
}

// NewLedger returns a ledger that starts at the moment.
func NewLedger(now time.Time) Ledger { return Ledger{Since: now} }

// Round is what an owner needs for a grant.
type Round struct {
	Now time.Time
	// Rate is the account's paid rate in requests a second.
	Rate float64
	// Entries is the number of live entries.
	Entries int
	// Unheard is the number of live entries that have not been in touch for a
	// term: they may be using their static share.
	Unheard int
}

// WithGrant returns the ledger after a grant to the entry, and the rate. All
// grants and the static shares of entries out of touch never add up to more
// than the paid rate.
func (l Ledger) WithGrant(r Round, entry string, asked float64) (Ledger, float64) {
	static := r.Rate / float64(max(1, r.Entries))
	next := Ledger{Since: l.Since}
	others, demand := 0.0, asked
	for _, x := range l.leases {
		if x.entry == entry || !r.Now.Before(x.until) {
			continue
		}
		next.leases = append(next.leases, x)
		others += x.perSecond
		demand += x.asked
	}
	pool := r.Rate - float64(r.Unheard)*static
	grant := asked
	if demand > pool && demand > 0 {
		grant = pool * asked / demand
	}
	if r.Now.Sub(l.Since) < Term {
		// The owner before this one may have grants out.
		grant = min(grant, static)
	}
	grant = max(0, min(grant, pool-others))
	next.leases = append(next.leases, lease{entry: entry, perSecond: grant, asked: asked, until: r.Now.Add(Term)})
	return next, grant
}

// Total returns the sum of the grants that count at the moment.
func (l Ledger) Total(now time.Time) float64 {
	sum := 0.0
	for _, x := range l.leases {
		if now.Before(x.until) {
			sum += x.perSecond
		}
	}
	return sum
}
