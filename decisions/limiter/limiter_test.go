package limiter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/limiter"
)

// TestGrantsNeverExceedPaidRate guards against grants that, together with the static
// shares of silent entries, exceed the paid rate. Any entries request grants in any
// order.
func TestGrantsNeverExceedPaidRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1e9, 0)
		rate := rapid.Float64Range(1, 1e4).Draw(t, "rate")
		l := limiter.NewLedger(now)
		entries := rapid.IntRange(1, 7).Draw(t, "entries")
		silent := rapid.IntRange(0, entries-1).Draw(t, "silent")
		for range rapid.IntRange(1, 50).Draw(t, "demands") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			entry := rapid.StringMatching("[a-g]").Draw(t, "entry")
			requested := rapid.Float64Range(0, 2e4).Draw(t, "requested")
			var got float64
			l, got = l.WithGrant(limiter.GrantParams{Now: now, Rate: rate, Entries: entries, SilentEntries: silent}, entry, requested)
			if got < 0 || got > requested {
				t.Fatalf("grant is %v, want 0 to the requested %v", got, requested)
			}
			static := rate / float64(entries) * float64(silent)
			if sum := l.Total(now) + static; sum > rate*1.000001 {
				t.Fatalf("the sum of grants and static shares is %v, want at most %v", sum, rate)
			}
		}
	})
}

// TestBucketNeverExceedsItsRate guards against a bucket that admits more than its
// share of the burst and its rate allow. Requests arrive at random times.
func TestBucketNeverExceedsItsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1e9, 0)
		a := filbertstile.Account{Name: "a", RatePerSecond: 100, Burst: 14}
		b := limiter.NewBucket(a, now, 7).WithGrant(rapid.Float64Range(1, 100).Draw(t, "rate"), now.Add(time.Hour))
		start, admitted := now, 0.0
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			var ok bool
			if b, ok = b.WithRefill(now, a, 7).WithRequest(); ok {
				admitted++
			}
			if limit := a.Burst/7 + b.PerSecond*now.Sub(start).Seconds(); admitted > limit+1e-6 {
				t.Fatalf("admitted %v requests, want at most %v", admitted, limit)
			}
		}
	})
}

// TestFallbackAfterGrantExpires guards against an entry that, after its grant has
// expired, uses more than its static share while other entries may still hold their
// grants.
func TestFallbackAfterGrantExpires(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1e9, 0)
	a := filbertstile.Account{Name: "a", RatePerSecond: 70, Burst: 7}
	b := limiter.NewBucket(a, now, 7).WithGrant(50, now.Add(limiter.LeaseDuration))
	is.Equal(b.WithFallback(now, 10).PerSecond, 50.0) // the grant is still valid
	b = b.WithFallback(now.Add(limiter.LeaseDuration), 10)
	is.Equal(b.PerSecond, 10.0)
	small := limiter.NewBucket(a, now, 7).WithGrant(2, now.Add(limiter.LeaseDuration)).WithFallback(now.Add(limiter.LeaseDuration), 10)
	is.Equal(small.PerSecond, 2.0) // for one lease duration, other entries may still hold their grants
	is.Equal(small.WithFallback(now.Add(2*limiter.LeaseDuration), 10).PerSecond, 10.0)
}
