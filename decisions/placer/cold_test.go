package placer_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"filbertstile.example/filbertstile/decisions/placer"
)

// The requests that a number of entries send to a cold replica must stay within its
// limit in every second.
func TestColdLimitOverAllEntries(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		entries := rapid.IntRange(1, 9).Draw(rt, "entries")
		coldRate := rapid.Float64Range(5, 40).Draw(rt, "rate")
		gap := time.Duration(rapid.IntRange(1, 20).Draw(rt, "gap")) * time.Millisecond
		synctest.Test(t, func(t *testing.T) {
			ctx := t.Context()
			var sent []time.Time
			var placers []*placer.Placer
			for i := range entries {
				p := placer.New(placer.Config{Region: "a", Seed: uint64(i), ColdBurst: 1.5, ColdSlack: 5})
				p.SetFleet(time.Now(), fleet(1, 1000, entries, coldRate))
				placers = append(placers, p)
			}
			for range 300 {
				for _, p := range placers {
					req := request(0)
					req.Arrived = req.Arrived.Add(-time.Second) // its queue timeout has passed
					if g, err := p.Acquire(ctx, req); err == nil {
						sent = append(sent, time.Now())
						p.Release(&g, placer.Completed)
					}
				}
				time.Sleep(gap)
			}
			from := 0
			for to, at := range sent {
				for at.Sub(sent[from]) > time.Second {
					from++
				}
				if n := to - from + 1; float64(n) > coldRate*1.5+5 {
					rt.Fatalf("%d requests within a second, want at most %.1f", n, coldRate*1.5+5)
				}
			}
		})
	})
}

// The limit of a cold replica must be divided among the entries of its group, not
// among all entries.
func TestColdLimitIsDividedWithinGroup(t *testing.T) {
	withPlacer(t, func(ctx context.Context, is *is.I, p *placer.Placer) {
		const rate, entries, groupEntries = 17, 44, 8
		f := fleet(1, 400, entries, rate)
		f.GroupReplicas, f.GroupEntries = map[string]bool{"r00": true}, groupEntries
		p.SetFleet(time.Now(), f)
		placed := 0
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			acquireCtx, cancel := context.WithTimeout(ctx, time.Millisecond)
			if g, err := p.Acquire(acquireCtx, request(1)); err == nil {
				p.Release(&g, placer.Completed)
				placed++
			}
			cancel()
		}
		is.True(placed*groupEntries <= 10*(rate*3/2+5)) // the limit of a cold replica
		is.True(placed*entries > 10*rate)               // more than a share of 1/44 allows
	})
}

// TestColdLimitOverAllGroups guards against a cold replica that gets the whole limit from the
// entries of its group, and more from those of other groups, none of whose replicas is ready.
func TestColdLimitOverAllGroups(t *testing.T) {
	for _, c := range []struct {
		entries, groupEntries int
		rate                  float64
	}{{16, 8, 17}, {44, 8, 17}, {44, 8, 5}, {100, 8, 14}, {100, 9, 40}} {
		t.Run(fmt.Sprintf("entries=%d/rate=%v", c.entries, c.rate), func(t *testing.T) {
			withPlacer(t, func(ctx context.Context, is *is.I, _ *placer.Placer) {
				var placers []*placer.Placer
				f := fleet(1, 4000, c.entries, c.rate)
				for i := range c.entries {
					f.Senders = append(f.Senders, fmt.Sprintf("front-%d", i))
				}
				for i, self := range f.Senders {
					p := placer.New(placer.Config{Self: self, Region: "a", Seed: uint64(i), ColdBurst: 1.5, ColdSlack: 5})
					f.GroupReplicas, f.GroupEntries = map[string]bool{"r00": i < c.groupEntries}, c.groupEntries
					p.SetFleet(time.Now(), f)
					placers = append(placers, p)
				}
				var sent []time.Time
				for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
					for _, p := range placers {
						req := request(1)
						req.Arrived = req.Arrived.Add(-time.Second) // its queue timeout has passed
						if g, err := p.Acquire(ctx, req); err == nil {
							p.Release(&g, placer.Completed)
							sent = append(sent, time.Now())
						}
					}
				}
				most, from := 0, 0
				for to, at := range sent {
					for at.Sub(sent[from]) > time.Second {
						from++
					}
					most = max(most, to-from+1)
				}
				t.Logf("%d requests in 5 s, at most %d in one", len(sent), most)
				is.True(float64(most) <= c.rate*1.5+5)
				is.True(float64(len(sent)) >= 5*0.5*c.rate)
			})
		})
	}
}
