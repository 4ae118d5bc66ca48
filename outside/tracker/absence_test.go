package tracker_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

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

// TestCurrentBeforeNewEra guards against an object of a new era that counts as written at any
// time, although the copy of the era before lacked it.
func TestCurrentBeforeNewEra(t *testing.T) {
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
		at, known := x.CurrentBefore(era, revision)
		is.True(known)
		is.True(at <= written && at >= written-2*watchTimeout)
	})
}
