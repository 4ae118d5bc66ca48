package tracker_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/outside/tracker"
)

// holdRevived is how long the rows of newEnding stay as they were held.
const holdRevived = 5 * time.Second

// newEnding returns a tracker of rows whose values are the number of a start, and "-" at the end
// once they end.
func newEnding(s *store) *tracker.Tracker[row] {
	log := logrus.New()
	log.SetOutput(io.Discard)
	started := time.Now()
	return tracker.New(tracker.Config[row]{
		Store: s, Prefix: "kind/", WatchTimeout: watchTimeout, Log: reporter.New(reporter.Config{Logger: log}),
		Clock: func() time.Duration { return time.Since(started) }, KeepMissing: keepMissing, HoldRevived: holdRevived,
		Revived: func(listed, held row, removed bool) bool {
			return strings.TrimSuffix(listed.value, "-") == strings.TrimSuffix(held.value, "-") && (removed || listed.value < held.value)
		},
		Decode: func(o filbertstile.Object) (row, error) { return row{name: o.Key, value: string(o.Value)}, nil },
	})
}

// TestEndedRowsStayEndedInNewEra guards against rows that seem to be as they were before they
// ended, because the store has come back from a copy from before that.
func TestEndedRowsStayEndedInNewEra(t *testing.T) {
	for _, c := range []struct {
		name string
		// end ends the row, whose value is "1".
		end string
		// afterwards is what happens in the new era.
		afterwards func(s *store)
		// soon and later are the values after a while and once HoldRevived has passed.
		soon, later string
	}{
		{"Leaves", "1-", func(*store) {}, "1-", "1"},
		{"Removed", "", func(*store) {}, "", "1"},
		{"LeavesAndSaysSoAgain", "1-", func(s *store) { s.set("a", "1-") }, "1-", "1-"},
		{"RemovedAgain", "", func(s *store) { s.set("a", "") }, "", ""},
		{"StartedAgain", "", func(s *store) { s.set("a", "2") }, "2", "2"},
		{"LivesOn", "1-", func(s *store) { s.set("a", "1") }, "1", "1"},
		{"HistoryGone", "1-", func(s *store) { s.set("b", "2"); s.dropHistory() }, "1-", "1"},
		{"RemovedAndHistoryGone", "", func(s *store) { s.set("b", "2"); s.dropHistory() }, "", "1"},
		{"SecondNewEra", "1-", func(s *store) { time.Sleep(2 * watchTimeout); s.restore(0) }, "1-", "1-"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newStore()
				x := newEnding(s)
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() { x.Run(ctx); close(done) }()
				defer func() { cancel(); <-done }()
				s.set("b", "1")
				s.set("a", "1")
				settle()
				s.set("a", c.end)
				settle()
				s.restore(1)
				time.Sleep(watchTimeout + 100*time.Millisecond) // the copy is in the new era
				c.afterwards(s)
				time.Sleep(2 * watchTimeout)
				is.Equal(valueOf(x, "a"), c.soon)
				is.True(valueOf(x, "b") != "")
				time.Sleep(holdRevived - 2*watchTimeout)
				is.Equal(valueOf(x, "a"), c.later)
			})
		})
	}
}

// TestRowMissingFromListStaysGone guards against a row that comes back in a new era although a list
// of the era before no longer had it.
func TestRowMissingFromListStaysGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newStore()
		x := newEnding(s)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { x.Run(ctx); close(done) }()
		defer func() { cancel(); <-done }()
		s.set("a", "1")
		settle()
		before := s.objects["a"]
		s.set("a", "")
		s.dropHistory()
		time.Sleep(watchTimeout)
		is.Equal(valueOf(x, "a"), "")
		s.mu.Lock()
		s.objects["a"] = before
		s.era++
		s.mu.Unlock()
		time.Sleep(2 * watchTimeout)
		is.Equal(x.View().Era, uint64(1))
		is.Equal(valueOf(x, "a"), "")
	})
}

// TestSecondNewEraKeepsMissingRows guards against rows that are dropped in a second new era because
// the time for which they are kept has passed in the first.
func TestSecondNewEraKeepsMissingRows(t *testing.T) {
	withTracker(t, func(is *is.I, s *store, x *tracker.Tracker[row]) {
		s.set("a", "1")
		s.set("b", "1")
		settle()
		s.restore(1)
		time.Sleep(watchTimeout + 100*time.Millisecond)
		is.Equal(valueOf(x, "b"), "1")
		s.restore(0)
		time.Sleep(keepMissing - 100*time.Millisecond) // in the second era for at least 1.4 s
		is.Equal(valueOf(x, "b"), "1")
		time.Sleep(watchTimeout + 200*time.Millisecond)
		is.Equal(valueOf(x, "b"), "")
	})
}
