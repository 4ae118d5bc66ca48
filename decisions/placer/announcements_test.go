package placer_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile/decisions/placer"
)

// withStarts returns the fleet with the times at which its replicas have started; it lacks
// replicas for which there is none.
func withStarts(f placer.Fleet, starts map[string]time.Time) placer.Fleet {
	for _, x := range f.Replicas.All() {
		born, listed := starts[x.ID]
		if !listed {
			f.Replicas = f.Replicas.Without(x.Key())
			continue
		}
		x.Born = born
		f.Replicas = f.Replicas.With(x)
	}
	return f
}

// gets returns how many of 40 requests go to the replica.
func gets(ctx context.Context, p *placer.Placer, id string) int {
	n := 0
	for range 40 {
		g, err := p.Acquire(ctx, request(100))
		if err != nil {
			continue
		}
		if g.Replica.ID == id {
			n++
		}
		p.Release(&g, placer.Completed)
	}
	return n
}

// TestAnnouncedLeavingOutlivesList guards against a list of replicas, late or repeated, that
// takes back what the replica itself has announced.
func TestAnnouncedLeavingOutlivesList(t *testing.T) {
	withPlacer(t, func(ctx context.Context, is *is.I, p *placer.Placer) {
		born := time.Now().Add(-time.Minute)
		both := withStarts(fleet(2, 16, 1, 0), map[string]time.Time{"r00": born, "r01": born})
		p.SetFleet(time.Now(), both)
		is.True(p.Announced("r00", born, placer.Announcement{Leaving: true}).Leaving)
		is.True(!p.Announced("r00", born, placer.Announcement{Leaving: true}).Leaving) // not news
		is.Equal(gets(ctx, p, "r00"), 0)
		p.SetReplicaLoad(time.Now(), "10.0.0.0:1", placer.ReplicaLoad{Born: born, Version: 1})
		p.SetFleet(time.Now(), both)
		is.Equal(gets(ctx, p, "r00"), 0)
		p.SetFleet(time.Now(), withStarts(fleet(2, 16, 1, 0), map[string]time.Time{"r01": born}))
		time.Sleep(50 * time.Second)
		p.SetFleet(time.Now(), both)
		is.Equal(gets(ctx, p, "r00"), 0)
		earlier := withStarts(fleet(2, 16, 1, 0), map[string]time.Time{"r00": born.Add(-time.Hour), "r01": born})
		p.SetFleet(time.Now(), earlier)
		is.Equal(gets(ctx, p, "r00"), 0)
		states, _ := p.Dump(time.Now())
		is.True(states[0].Leaving)
		is.True(!states[1].Leaving)
	})
}

// TestAnnouncedLeavingEndsWithStart guards against a replica that gets no requests after it
// has started again under its ID, and against a later announcement of the earlier start.
func TestAnnouncedLeavingEndsWithStart(t *testing.T) {
	withPlacer(t, func(ctx context.Context, is *is.I, p *placer.Placer) {
		born := time.Now().Add(-time.Minute)
		p.SetFleet(time.Now(), withStarts(fleet(2, 16, 1, 0), map[string]time.Time{"r00": born, "r01": born}))
		is.True(p.Announced("r00", born, placer.Announcement{Leaving: true}).Leaving)
		time.Sleep(5 * time.Second)
		again := time.Now()
		time.Sleep(time.Second)
		p.SetFleet(time.Now(), withStarts(fleet(2, 16, 1, 0), map[string]time.Time{"r00": again, "r01": born}))
		is.True(gets(ctx, p, "r00") > 0)
		is.True(!p.Announced("r00", born, placer.Announcement{Leaving: true}).Leaving)
		is.True(gets(ctx, p, "r00") > 0)
	})
}

// TestAnnouncementBeforeStartIsListed guards against requests to a replica that has announced
// that it leaves before the list shows its latest start.
func TestAnnouncementBeforeStartIsListed(t *testing.T) {
	for name, c := range map[string]struct {
		// leavingListed is true if the list shows that the earlier start leaves.
		leavingListed bool
		takesRequests bool
	}{
		"by the later start":   {false, false},
		"by the earlier start": {true, true},
	} {
		t.Run(name, func(t *testing.T) {
			withPlacer(t, func(ctx context.Context, is *is.I, p *placer.Placer) {
				born, again := time.Now().Add(-time.Minute), time.Now().Add(-time.Second)
				f := withStarts(fleet(2, 16, 1, 0), map[string]time.Time{"r00": born, "r01": born})
				p.SetFleet(time.Now(), f)
				p.Announced("r00", born, placer.Announcement{Leaving: true})
				if c.leavingListed {
					r, _ := f.Replicas.Get("r00")
					r.Leaving = true
					f.Replicas = f.Replicas.With(r)
					p.SetFleet(time.Now(), f)
				}
				p.SetFleet(time.Now(), withStarts(fleet(2, 16, 1, 0), map[string]time.Time{"r00": again, "r01": born}))
				is.Equal(gets(ctx, p, "r00") > 0, c.takesRequests)
			})
		})
	}
}

// TestAnnouncementsAreForgotten guards against announcements that pile up as replicas come
// and go.
func TestAnnouncementsAreForgotten(t *testing.T) {
	withPlacer(t, func(ctx context.Context, is *is.I, p *placer.Placer) {
		born := time.Now()
		both := withStarts(fleet(2, 16, 1, 0), map[string]time.Time{"r00": born, "r01": born})
		p.SetFleet(time.Now(), both)
		is.True(p.Announced("r00", born, placer.Announcement{Leaving: true}).Leaving)
		is.True(p.Announced("unlisted", born, placer.Announcement{Leaving: true}).Leaving)
		time.Sleep(5 * time.Minute) // the list does not change while the store is away
		p.SetFleet(time.Now(), withStarts(fleet(2, 16, 1, 0), map[string]time.Time{"r01": born}))
		p.SetFleet(time.Now(), both)
		is.Equal(gets(ctx, p, "r00"), 0)                                                   // it was missing for a moment only
		is.True(p.Announced("unlisted", born, placer.Announcement{Leaving: true}).Leaving) // forgotten, so it is news
		p.SetFleet(time.Now(), withStarts(fleet(2, 16, 1, 0), map[string]time.Time{"r01": born}))
		time.Sleep(2 * time.Minute)
		p.SetFleet(time.Now(), withStarts(fleet(2, 16, 1, 0), map[string]time.Time{"r01": born}))
		is.True(p.Announced("r00", born, placer.Announcement{Leaving: true}).Leaving)
	})
}

// TestQueueEndsWithLastReplica guards against requests that stay queued although the last
// eligible replica has announced that it leaves.
func TestQueueEndsWithLastReplica(t *testing.T) {
	withPlacer(t, func(ctx context.Context, is *is.I, p *placer.Placer) {
		p.SetFleet(time.Now(), fleet(1, 1, 1, 0))
		g, err := p.Acquire(ctx, request(100))
		is.NoErr(err)
		started := time.Now()
		failed := make(chan error)
		go func() {
			_, err := p.Acquire(ctx, request(100))
			failed <- err
		}()
		synctest.Wait()
		time.Sleep(10 * time.Millisecond)
		p.Announced("r00", time.Time{}, placer.Announcement{Leaving: true})
		var rejected placer.ErrRejected
		is.True(errors.As(<-failed, &rejected))
		is.Equal(time.Since(started), 10*time.Millisecond) // at once
		is.True(!rejected.AnyEligible)
		p.Release(&g, placer.Completed)
	})
}

// TestPausedReplicaGetsNoRequests guards against requests to a replica during the pause that
// it has asked for, also if a cooldown, a list or a shorter pause ends earlier.
func TestPausedReplicaGetsNoRequests(t *testing.T) {
	withPlacer(t, func(ctx context.Context, is *is.I, p *placer.Placer) {
		born := time.Now().Add(-time.Minute)
		both := withStarts(fleet(2, 16, 1, 0), map[string]time.Time{"r00": born, "r01": born})
		p.SetFleet(time.Now(), both)
		pause := func(d time.Duration) time.Duration {
			return p.Announced("r00", born, placer.Announcement{RetryAfter: d}).RetryAfter
		}
		is.Equal(pause(3*time.Second), 3*time.Second)
		is.Equal(pause(time.Second), time.Duration(0)) // the longer pause still holds
		ended := time.Now().Add(3 * time.Second)
		for time.Now().Before(ended) {
			is.Equal(gets(ctx, p, "r00"), 0)
			p.SetFleet(time.Now(), withStarts(fleet(2, 16, 1, 0), map[string]time.Time{"r01": born}))
			p.SetFleet(time.Now(), both)
			states, _ := p.Dump(time.Now())
			is.Equal(states[0].Paused, time.Until(ended))
			time.Sleep(100 * time.Millisecond)
		}
		is.True(gets(ctx, p, "r00") > 0)
		is.Equal(pause(time.Second), time.Second) // news again
	})
}

// TestPauseOfLaterStartHolds guards against requests during the pause of a replica that has
// just started again, which was asked for before the list showed the start.
func TestPauseOfLaterStartHolds(t *testing.T) {
	withPlacer(t, func(ctx context.Context, is *is.I, p *placer.Placer) {
		born, again := time.Now().Add(-time.Minute), time.Now().Add(-time.Second)
		p.SetFleet(time.Now(), withStarts(fleet(2, 16, 1, 0), map[string]time.Time{"r01": born}))
		p.Announced("r00", born, placer.Announcement{Leaving: true, RetryAfter: 3 * time.Second})
		p.SetFleet(time.Now(), withStarts(fleet(2, 16, 1, 0), map[string]time.Time{"r00": again, "r01": born}))
		is.Equal(gets(ctx, p, "r00"), 0)
		p.Announced("r00", born, placer.Announcement{Leaving: true, RetryAfter: 4 * time.Second})
		time.Sleep(3500 * time.Millisecond)
		is.Equal(gets(ctx, p, "r00"), 0)
		time.Sleep(time.Second)
		is.True(gets(ctx, p, "r00") > 0)
	})
}

// TestAllPausedIsRejectedAtOnce guards against requests that are queued until their timeout
// although all replicas have asked for a pause, and against a retry delay that ends before
// the first pause does.
func TestAllPausedIsRejectedAtOnce(t *testing.T) {
	withPlacer(t, func(ctx context.Context, is *is.I, p *placer.Placer) {
		p.SetFleet(time.Now(), fleet(2, 1, 1, 0))
		for range 2 {
			_, err := p.Acquire(ctx, request(100))
			is.NoErr(err)
		}
		failed := make(chan error)
		go func() {
			_, err := p.Acquire(ctx, request(100))
			failed <- err
		}()
		synctest.Wait()
		started := time.Now()
		p.Announced("r00", time.Time{}, placer.Announcement{RetryAfter: time.Second})
		p.Announced("r01", time.Time{}, placer.Announcement{RetryAfter: 20 * time.Second})
		errs := []error{<-failed}
		tried := request(100)
		tried.Tried = []string{"r00"}
		for _, req := range []placer.Request{request(100), tried} {
			_, err := p.Acquire(ctx, req)
			errs = append(errs, err)
		}
		is.Equal(time.Since(started), time.Duration(0)) // at once
		for _, err := range errs {
			var rejected placer.ErrRejected
			is.True(errors.As(err, &rejected))
			is.True(rejected.AnyEligible)
			is.True(rejected.RetryAfter >= time.Second && rejected.RetryAfter < 1300*time.Millisecond)
		}
		time.Sleep(time.Second)
		p.Announced("r00", time.Time{}, placer.Announcement{RetryAfter: 20 * time.Second})
		_, err := p.Acquire(ctx, request(100))
		var rejected placer.ErrRejected
		is.True(errors.As(err, &rejected))
		is.True(rejected.RetryAfter > time.Second && rejected.RetryAfter <= 2*time.Second) // a third of the time left
	})
}

// TestFullReplicaIsAwaitedBesidePaused guards against the rejection of requests that a
// replica which has asked for no pause can run in a moment.
func TestFullReplicaIsAwaitedBesidePaused(t *testing.T) {
	withPlacer(t, func(ctx context.Context, is *is.I, p *placer.Placer) {
		p.SetFleet(time.Now(), fleet(2, 1, 1, 0))
		g, err := p.Acquire(ctx, request(100))
		is.NoErr(err)
		paused := map[string]string{"r00": "r01", "r01": "r00"}[g.Replica.ID]
		p.Announced(paused, time.Time{}, placer.Announcement{RetryAfter: time.Minute})
		time.AfterFunc(50*time.Millisecond, func() { p.Release(&g, placer.Completed) })
		second, err := p.Acquire(ctx, request(100))
		is.NoErr(err)
		is.Equal(second.Replica.ID, g.Replica.ID)
		is.Equal(second.Waited, 50*time.Millisecond)
	})
}

// TestGrantIsWithdrawn guards against a request that is sent although its replica has
// declined requests since it was chosen.
func TestGrantIsWithdrawn(t *testing.T) {
	withPlacer(t, func(ctx context.Context, is *is.I, p *placer.Placer) {
		p.SetFleet(time.Now(), fleet(1, 2, 1, 0))
		g, err := p.Acquire(ctx, request(100))
		is.NoErr(err)
		is.True(p.ConfirmSend(&g))
		p.Announced("r00", time.Time{}, placer.Announcement{RetryAfter: time.Second})
		is.True(!p.ConfirmSend(&g))
		time.Sleep(time.Second)
		is.True(p.ConfirmSend(&g))
		p.Announced("r00", time.Time{}, placer.Announcement{Leaving: true})
		is.True(!p.ConfirmSend(&g))
	})
}

// TestAnnouncementHoldsIfClocksDiffer guards against an announcement that is forgotten because the
// replica's clock is ahead of the entry's.
func TestAnnouncementHoldsIfClocksDiffer(t *testing.T) {
	withPlacer(t, func(_ context.Context, is *is.I, p *placer.Placer) {
		born := time.Now().Add(10 * time.Second)
		f := withStarts(fleet(1, 16, 1, 0), map[string]time.Time{"r00": born})
		p.SetFleet(time.Now(), f)
		p.Announced("r00", born, placer.Announcement{Leaving: true, RetryAfter: 30 * time.Second})
		time.Sleep(time.Second)
		p.SetFleet(time.Now(), f)
		states, _ := p.Dump(time.Now())
		is.True(states[0].Leaving)
		is.True(states[0].Paused > 0)
	})
}

// TestNothingIsSentToLeavingDomain guards against a request that was placed before its replica
// was listed as leaving, or its failure domain was taken out, and is sent afterwards.
func TestNothingIsSentToLeavingDomain(t *testing.T) {
	withPlacer(t, func(ctx context.Context, is *is.I, p *placer.Placer) {
		f := fleet(1, 16, 1, 0)
		p.SetFleet(time.Now(), f)
		g, err := p.Acquire(ctx, request(100))
		is.NoErr(err)
		is.True(p.ConfirmSend(&g))
		f.OutOfService["a"] = true
		p.SetFleet(time.Now(), f)
		is.True(!p.ConfirmSend(&g))
		f.OutOfService["a"] = false
		r := f.Replicas.All()[0]
		r.Leaving = true
		f.Replicas = f.Replicas.With(r)
		p.SetFleet(time.Now(), f)
		is.True(!p.ConfirmSend(&g))
	})
}
