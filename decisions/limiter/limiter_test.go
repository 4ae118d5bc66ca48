package limiter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/limiter"
)

// TestGrantsKeepToTheRate asks in any order from any entries.
func TestGrantsKeepToTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1e9, 0)
		rate := rapid.Float64Range(1, 1e4).Draw(t, "rate")
		l := limiter.NewLedger(now)
		entries := rapid.IntRange(1, 7).Draw(t, "entries")
		unheard := rapid.IntRange(0, entries-1).Draw(t, "unheard")
		for range rapid.IntRange(1, 50).Draw(t, "asks") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			entry := rapid.StringMatching("[a-g]").Draw(t, "entry")
			asked := rapid.Float64Range(0, 2e4).Draw(t, "asked")
			var got float64
			l, got = l.WithGrant(limiter.Round{Now: now, Rate: rate, Entries: entries, Unheard: unheard}, entry, asked)
			if got < 0 || got > asked {
				t.Fatalf("asked for %v, got %v", asked, got)
			}
			static := rate / float64(entries) * float64(unheard)
			if sum := l.Total(now) + static; sum > rate*1.000001 {
				t.Fatalf("grants and static shares add up to %v of %v", sum, rate)
			}
		}
	})
}

// TestBucketKeepsToItsRate sends requests at any times.
func TestBucketKeepsToItsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1e9, 0)
		a := filbertstile.Account{Name: "a", RatePerSecond: 100, Burst: 14}
		b := limiter.NewBucket(a, now, 7).WithGrant(rapid.Float64Range(1, 100).Draw(t, "rate"), now.Add(time.Hour))
		begin, passed := now, 0.0
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			var ok bool
			if b, ok = b.WithFill(now, a, 7).WithArrival(); ok {
				passed++
			}
			if most := a.Burst/7 + b.PerSecond*now.Sub(begin).Seconds(); passed > most+1e-6 {
				t.Fatalf("%v passed, at most %v may", passed, most)
			}
		}
	})
}

func TestFallback(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1e9, 0)
	a := filbertstile.Account{Name: "a", RatePerSecond: 70, Burst: 7}
	b := limiter.NewBucket(a, now, 7).WithGrant(50, now.Add(limiter.Term))
	is.Equal(b.WithFallback(now, 10).PerSecond, 50.0) // the grant still counts
	b = b.WithFallback(now.Add(limiter.Term), 10)
	is.Equal(b.PerSecond, 10.0)
	small := limiter.NewBucket(a, now, 7).WithGrant(2, now.Add(limiter.Term)).WithFallback(now.Add(limiter.Term), 10)
	is.Equal(small.PerSecond, 2.0) // for a term others may still hold their grants
	is.Equal(small.WithFallback(now.Add(2*limiter.Term), 10).PerSecond, 10.0)
}
