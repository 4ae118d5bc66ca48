package placer_test

import (
	"context"
	"errors"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile/decisions/placer"
)

// named returns an announcement of a limit.
func named(perSecond float64) placer.Announcement {
	return placer.Announcement{Limit: placer.Limit{Named: true, PerSecond: perSecond}}
}

// TestAllLimitedIsRejectedAtOnce guards against requests that wait for replicas that take too
// few, and against retry delays in which the replicas take no more.
func TestAllLimitedIsRejectedAtOnce(t *testing.T) {
	withPlacer(t, func(ctx context.Context, is *is.I, p *placer.Placer) {
		p.SetFleet(time.Now(), fleet(2, 16, 1, 0))
		p.Announced("r00", time.Time{}, named(0.25))
		p.Announced("r01", time.Time{}, named(0.25))
		started := time.Now()
		_, err := p.Acquire(ctx, request(100))
		is.Equal(time.Since(started), time.Duration(0))
		var rejected placer.ErrRejected
		is.True(errors.As(err, &rejected))
		is.True(rejected.AnyEligible)
		is.Equal(rejected.Reason, "all eligible replicas have named limits")
		is.True(rejected.RetryAfter >= 1500*time.Millisecond) // two seconds, or a third of the time left
		time.Sleep(4 * time.Second)
		for range 2 {
			g, err := p.Acquire(ctx, request(100))
			is.NoErr(err)
			is.True(p.ConfirmSend(&g))
			p.Release(&g, placer.Completed)
		}
		_, err = p.Acquire(ctx, request(100))
		is.True(errors.As(err, &rejected))
	})
}

// TestHighestPriorityUsesLimit guards against a limit that is used up by requests of lower
// priority, while one of higher priority waits.
func TestHighestPriorityUsesLimit(t *testing.T) {
	withPlacer(t, func(ctx context.Context, is *is.I, p *placer.Placer) {
		p.SetFleet(time.Now(), fleet(1, 16, 1, 0))
		p.Announced("r00", time.Time{}, named(10))
		type result struct {
			priority int
			err      error
			waited   time.Duration
		}
		results := make(chan result, 3)
		for _, priority := range []int{2, 2, 0} {
			go func() {
				req := request(100)
				req.Priority = priority
				started := time.Now()
				_, err := p.Acquire(ctx, req)
				results <- result{priority, err, time.Since(started)}
			}()
			time.Sleep(10 * time.Millisecond)
		}
		first, second := <-results, <-results
		is.Equal(second.priority, 0) // one of the others could not be served in time
		is.True(first.err != nil)
		is.NoErr(second.err)
		is.True(second.waited <= 90*time.Millisecond)
		is.True((<-results).err != nil)
	})
}

// TestUnsentRequestKeepsLimit guards against requests that use up a limit although nothing
// was sent, and against those that were placed before the limit was known and exceed it.
func TestUnsentRequestKeepsLimit(t *testing.T) {
	withPlacer(t, func(ctx context.Context, is *is.I, p *placer.Placer) {
		p.SetFleet(time.Now(), fleet(1, 16, 1, 0))
		early, err := p.Acquire(ctx, request(100))
		is.NoErr(err)
		p.Announced("r00", time.Time{}, named(1))
		is.True(!p.ConfirmSend(&early))
		p.Release(&early, placer.Abandoned)
		time.Sleep(time.Second)
		for range 3 {
			unsent, err := p.Acquire(ctx, request(100))
			is.NoErr(err)
			p.Release(&unsent, placer.Unreachable)
		}
		time.Sleep(time.Second)
		sent, err := p.Acquire(ctx, request(100))
		is.NoErr(err)
		is.True(p.ConfirmSend(&sent))
		p.Release(&sent, placer.Completed)
		_, err = p.Acquire(ctx, request(100))
		is.True(err != nil)
	})
}

// TestLimitEndsWithLaterResponseOnly guards against a limit that ends with a response from
// before it was named, or with one of an earlier start, and against one that never ends.
func TestLimitEndsWithLaterResponseOnly(t *testing.T) {
	withPlacer(t, func(ctx context.Context, is *is.I, p *placer.Placer) {
		born := time.Now().Add(-time.Minute)
		p.SetFleet(time.Now(), withStarts(fleet(2, 16, 1, 0), map[string]time.Time{"r00": born, "r01": born}))
		writtenBefore := time.Now()
		time.Sleep(10 * time.Millisecond)
		is.True(p.Announced("r00", born, named(1)).Limit.Named)
		is.True(!p.Announced("r00", born, named(1)).Limit.Named) // not news
		is.True(!p.LimitEnded("r00", born, writtenBefore))
		is.Equal(gets(ctx, p, "r00"), 0)
		time.Sleep(10 * time.Millisecond)
		is.True(!p.LimitEnded("r00", born.Add(-time.Hour), time.Now()))
		is.True(p.LimitEnded("r00", born, time.Now()))
		is.True(gets(ctx, p, "r00") > 0)
		p.Announced("r00", born.Add(-time.Hour), named(1)) // by an earlier start
		is.True(gets(ctx, p, "r00") > 0)
	})
}

// TestReportedLimitHolds guards against entries that forget what others report of a limit, or
// take back newer news for older.
func TestReportedLimitHolds(t *testing.T) {
	withPlacer(t, func(ctx context.Context, is *is.I, p *placer.Placer) {
		born := time.Now().Add(-time.Minute)
		both := withStarts(fleet(2, 16, 1, 0), map[string]time.Time{"r00": born, "r01": born})
		p.SetFleet(time.Now(), both)
		report := placer.LimitReport{Replica: placer.HashOf("r00"), Born: born, Limit: placer.Limit{Named: true, PerSecond: 1}}
		id, news := p.LearnLimit(report)
		is.Equal(id, "r00")
		is.True(news)
		is.Equal(len(p.LimitReports()), 0) // only what it has read itself
		is.Equal(gets(ctx, p, "r00"), 0)
		time.Sleep(500 * time.Millisecond)
		ended := placer.LimitReport{Replica: report.Replica, Born: born, Age: time.Second}
		_, news = p.LearnLimit(ended)
		is.True(!news) // older than the limit
		is.Equal(gets(ctx, p, "r00"), 0)
		ended.Age = 100 * time.Millisecond
		_, news = p.LearnLimit(ended)
		is.True(news)
		is.True(gets(ctx, p, "r00") > 0)
		report.Born = born.Add(-time.Hour)
		_, news = p.LearnLimit(report)
		is.True(!news)
		_, news = p.LearnLimit(placer.LimitReport{Replica: placer.HashOf("unlisted"), Limit: placer.Limit{Named: true}})
		is.True(!news)
	})
}

// TestSharesOfLimit guards against shares of all entries that exceed the limit together, or
// leave most of it unused, for any number of entries.
func TestSharesOfLimit(t *testing.T) {
	for _, entries := range []int{1, 2, 7, 24, 100} {
		for _, perSecond := range []float64{0, 0.25, 1, 1.9, 2, 30, 1000, 1e300} {
			withPlacer(t, func(ctx context.Context, is *is.I, _ *placer.Placer) {
				f := fleet(1, 10000, entries, 0)
				for i := range entries {
					f.Senders = append(f.Senders, string(rune('A'+i)))
				}
				sent, holders := 0, 0
				for _, self := range f.Senders {
					before := sent
					p := placer.New(placer.Config{Self: self, Region: "a", Seed: 1})
					p.SetFleet(time.Now(), f)
					p.Announced("r00", time.Time{}, named(perSecond))
					for range 400 { // 10 ms each
						time.Sleep(10 * time.Millisecond)
						for range 30 {
							req := request(1)
							req.Arrived = req.Arrived.Add(-time.Second) // is not queued
							g, err := p.Acquire(ctx, req)
							if err != nil {
								break
							}
							is.True(p.ConfirmSend(&g))
							p.Release(&g, placer.Completed)
							sent++
						}
						p.Announced("r00", time.Time{}, named(perSecond))
					}
					if sent > before {
						holders++
					}
				}
				is.True(holders == entries || perSecond < float64(entries))
				is.True(float64(sent) <= 1.5*perSecond*4+5)
				is.True(float64(sent) >= 0.8*min(perSecond, 1000)*4-1)
			})
		}
	}
}

// TestUnreadableReportIsIgnored guards against a limit of another entry that is no rate, and
// would take the replica out for good.
func TestUnreadableReportIsIgnored(t *testing.T) {
	withPlacer(t, func(ctx context.Context, is *is.I, p *placer.Placer) {
		p.SetFleet(time.Now(), fleet(2, 16, 1, 0))
		for _, perSecond := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1} {
			_, news := p.LearnLimit(placer.LimitReport{Replica: placer.HashOf("r00"), Limit: placer.Limit{Named: true, PerSecond: perSecond}})
			is.True(!news)
			is.True(gets(ctx, p, "r00") > 0)
		}
	})
}
