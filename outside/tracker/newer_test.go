package tracker_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/outside/tracker"
)

// newVersioned returns a tracker whose rows are never replaced by those with a lower value.
func newVersioned(s *store) *tracker.Tracker[row] {
	log := logrus.New()
	log.SetOutput(io.Discard)
	started := time.Now()
	return tracker.New(tracker.Config[row]{
		Store: s, Prefix: "kind/", WatchTimeout: watchTimeout, Log: reporter.New(reporter.Config{Logger: log}),
		Clock: func() time.Duration { return time.Since(started) }, Older: func(listed, held row) bool { return listed.value < held.value },
		Decode: func(o filbertstile.Object) (row, error) {
			if string(o.Value) == "unreadable" {
				return row{}, errors.New("cannot decode the object")
			}
			return row{name: o.Key, value: string(o.Value)}, nil
		},
	})
}

// valueOf returns the value of the row; empty if there is none.
func valueOf(x *tracker.Tracker[row], name string) string {
	r, _ := x.View().Rows.Get("kind/" + name)
	return r.value
}

// TestNewerRowsStayInNewEra guards against a copy, and copies that follow it, that go back to what
// the store has after it has come back from an older copy of its data.
func TestNewerRowsStayInNewEra(t *testing.T) {
	for _, c := range []struct {
		name string
		// lost is the number of writes that the store loses.
		lost int
		// again holds the values of the object that are written in the new era.
		again []string
		want  string
	}{
		{"OlderListed", 1, nil, "8"},
		{"MissingInList", 2, nil, "8"},
		{"OlderWritten", 2, []string{"6", "7"}, "8"},
		{"WrittenAgain", 1, []string{"8"}, "8"},
		{"LaterWritten", 1, []string{"8", "9"}, "9"},
		{"Unreadable", 2, []string{"unreadable"}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newStore()
				x, follower := newVersioned(s), newVersioned(s)
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() { x.Run(ctx); close(done) }()
				defer func() { cancel(); <-done }()
				s.set("b", "1")
				s.set("a", "5")
				s.set("a", "8")
				settle()
				s.restore(c.lost)
				time.Sleep(2 * watchTimeout)
				for _, value := range c.again {
					s.set("a", value)
					settle()
				}
				time.Sleep(keepMissing + watchTimeout)
				is.Equal(x.View().Era, uint64(1))
				is.Equal(valueOf(x, "a"), c.want)
				is.Equal(valueOf(x, "b"), "1")
				is.True(follower.Follow(x.Since(0, 0), 0)) // a process that has just started
				is.Equal(valueOf(follower, "a"), c.want)
			})
		})
	}
}

// TestAdoptedRowsAreNewer guards against a copy that another process's copy takes back, and against
// adopted rows that the next list loses.
func TestAdoptedRowsAreNewer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newStore()
		s.set("a", "5")
		x := newVersioned(s)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { x.Run(ctx); close(done) }()
		defer func() { cancel(); <-done }()
		settle()
		adopt := func(name, value string) {
			x.Adopt([]filbertstile.Object{{Key: "kind/" + name, Version: 90, Value: []byte(value)}})
		}
		adopt("a", "4")
		adopt("a", "unreadable")
		is.Equal(valueOf(x, "a"), "5")
		adopt("a", "8")
		adopt("c", "1")
		is.Equal(valueOf(x, "a"), "8")
		is.Equal(valueOf(x, "c"), "1")
		s.set("a", "6")
		time.Sleep(2 * watchTimeout)
		is.Equal(valueOf(x, "a"), "8")
		s.restore(1)
		time.Sleep(2 * watchTimeout)
		is.Equal(valueOf(x, "a"), "8")
		s.set("a", "9")
		time.Sleep(2 * watchTimeout)
		is.Equal(valueOf(x, "a"), "9")
	})
}
