package tracker_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/base/sleeper"
	"filbertstile.example/filbertstile/outside/tracker"
)

// writeOf returns the era and the revision of the row's object.
func writeOf(x *tracker.Tracker[row], key string) (era, revision uint64) {
	for _, w := range x.Written() {
		if w.Row.Key() == key {
			return w.Era, w.Revision
		}
	}
	return 0, 0
}

// TestAbsenceEndsBeforeTheWrite guards against a time until which an object was absent that is
// later than its write, as after a pause, an outage or a write under another prefix.
func TestAbsenceEndsBeforeTheWrite(t *testing.T) {
	for _, c := range []struct {
		name string
		// pause and outage precede and follow the write of the object.
		pause, outage time.Duration
		// maxBefore is how much earlier than the write the result may be.
		maxBefore time.Duration
	}{
		{"watched", 0, 0, watchTimeout + 100*time.Millisecond},
		{"between two confirmations", watchTimeout / 2, 0, watchTimeout + 100*time.Millisecond},
		{"during an outage", 4 * watchTimeout, 4 * watchTimeout, 6 * watchTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			withTracker(t, func(is *is.I, s *store, x *tracker.Tracker[row]) {
				started := time.Now()
				s.set("a", "1")
				time.Sleep(5*watchTimeout + 30*time.Millisecond)
				s.setUnavailable(c.outage > 0)
				time.Sleep(c.pause)
				s.set("b", "1")
				written := time.Since(started)
				time.Sleep(c.outage)
				s.setUnavailable(false)
				time.Sleep(2 * watchTimeout)
				s.set("a", "2")
				settle()
				era, revision := writeOf(x, "kind/b")
				is.Equal(revision, uint64(3))
				at, known := x.AbsentAt(era, revision)
				is.True(known)
				is.True(at <= written)
				is.True(at >= written-c.maxBefore)
				_, known = x.AbsentAt(era+1, revision)
				is.True(!known) // nothing is known of another era's revisions
			})
		})
	}
}

// TestAbsenceBeforeNewEra guards against an object of a new era that counts as written at any
// time, although the copy of the era before lacked it.
func TestAbsenceBeforeNewEra(t *testing.T) {
	withTracker(t, func(is *is.I, s *store, x *tracker.Tracker[row]) {
		started := time.Now()
		s.set("a", "1")
		s.set("a", "2")
		time.Sleep(5 * watchTimeout)
		s.restore(1)
		s.set("b", "1")
		written := time.Since(started)
		time.Sleep(2 * watchTimeout)
		settle()
		era, revision := writeOf(x, "kind/b")
		is.Equal(era, uint64(1))
		at, known := x.CopyAbsentAt(era, revision)
		is.True(known)
		is.True(at <= written && at >= written-2*watchTimeout)
	})
}

// earlyStore answers watches before their timeout, and the answers reach the tracker late, as when
// its process stands still.
type earlyStore struct {
	filbertstile.Store
	answeredAfter, arrivesAfter time.Duration
	written                     func() bool
}

func (s earlyStore) batch() filbertstile.Batch {
	if s.written() {
		return filbertstile.Batch{Revision: 2}
	}
	return filbertstile.Batch{Revision: 1}
}

func (s earlyStore) List(context.Context, string, string) (filbertstile.Batch, error) {
	return s.batch(), nil
}

func (s earlyStore) Watch(ctx context.Context, _ string, _ uint64) (filbertstile.Batch, error) {
	if err := sleeper.Sleep(ctx, s.answeredAfter); err != nil {
		return filbertstile.Batch{}, err
	}
	b := s.batch()
	return b, sleeper.Sleep(ctx, s.arrivesAfter)
}

// TestEarlyAnswerThatArrivesLate guards against a watch that the store ended early and whose answer
// arrived late, and which counts as if the store had waited for the whole timeout.
func TestEarlyAnswerThatArrivesLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		started := time.Now()
		clock := func() time.Duration { return time.Since(started) }
		s := earlyStore{answeredAfter: 100 * time.Millisecond, arrivesAfter: 3 * time.Second, written: func() bool { return clock() >= 500*time.Millisecond }}
		log := logrus.New()
		log.SetOutput(io.Discard)
		x := tracker.New(tracker.Config[row]{Store: s, Prefix: "kind/", WatchTimeout: watchTimeout, Clock: clock, Log: reporter.New(reporter.Config{Logger: log})})
		go x.Run(ctx)
		time.Sleep(4 * time.Second)
		at, known := x.AbsentAt(0, 2)
		is.True(known)
		is.True(at <= 500*time.Millisecond) // the store had the revision at that time
		cancel()
		synctest.Wait()
	})
}

// pausingStore answers the first watch without events, and no other one. Its clock jumps once, as
// when the process stands still; timers do not count the time.
type pausingStore struct {
	filbertstile.Store
	started time.Time
	// answersAfter is the time by the store's clock, pauseAt and pause are when and how long
	// the process stands still.
	answersAfter, pauseAt, pause time.Duration
	watches                      int
}

func (s *pausingStore) clock() time.Duration {
	running := time.Since(s.started)
	if running >= s.pauseAt {
		running += s.pause
	}
	return running
}

func (s *pausingStore) List(context.Context, string, string) (filbertstile.Batch, error) {
	return filbertstile.Batch{Revision: 1}, nil
}

func (s *pausingStore) Watch(ctx context.Context, _ string, _ uint64) (filbertstile.Batch, error) {
	if s.watches++; s.watches > 1 {
		<-ctx.Done()
	}
	for s.clock() < s.answersAfter && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	return filbertstile.Batch{Revision: 1}, ctx.Err()
}

// TestEarlyAnswerReadAfterPause guards against a watch that the store ended early, and whose answer
// the process read around the timeout because it had stood still meanwhile; and against a slow store
// that costs confirmations.
func TestEarlyAnswerReadAfterPause(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name                         string
		answersAfter, pauseAt, pause time.Duration
		// want is the time as of which the copy is confirmed; the watch was sent at 0.
		want time.Duration
	}{
		{"read at the timeout", 100 * ms, 50 * ms, 950 * ms, 0},
		{"read after the timeout", 100 * ms, 50 * ms, 1200 * ms, 0},
		{"paused over the timeout", 1004 * ms, 500 * ms, 900 * ms, 0},
		// An error of up to 0.1 s is allowed.
		{"paused soon before the timeout", 890 * ms, 880 * ms, 200 * ms, 900 * ms},
		{"no pause", 1004 * ms, time.Hour, 0, watchTimeout},
		{"slow store", 1350 * ms, time.Hour, 0, watchTimeout},
		{"early, no pause", 990 * ms, time.Hour, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				s := &pausingStore{started: time.Now(), answersAfter: c.answersAfter, pauseAt: c.pauseAt, pause: c.pause}
				log := logrus.New()
				log.SetOutput(io.Discard)
				x := tracker.New(tracker.Config[row]{Store: s, Prefix: "kind/", WatchTimeout: watchTimeout, Clock: s.clock, Log: reporter.New(reporter.Config{Logger: log})})
				go x.Run(ctx)
				synctest.Wait()
				_, changed := x.Position()
				<-changed
				pos, _ := x.Position()
				is.Equal(pos.ConfirmedAt, c.want)
				cancel()
				synctest.Wait()
			})
		})
	}
}
