package tracker_test

import (
	"context"
	"fmt"
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

// newTestTracker returns a tracker of the store's objects, of which those that begin with
// "unreadable" cannot be decoded, and what it logs.
func newTestTracker(s filbertstile.Store) (*tracker.Tracker[row], *strings.Builder) {
	var out strings.Builder
	log := logrus.New()
	log.SetOutput(&out)
	started := time.Now()
	return tracker.New(tracker.Config[row]{
		Store: s, Prefix: "kind/", WatchTimeout: watchTimeout, Log: reporter.New(reporter.Config{Logger: log}),
		Clock: func() time.Duration { return time.Since(started) }, KeepMissing: keepMissing,
		Decode: func(o filbertstile.Object) (row, error) {
			if strings.HasPrefix(string(o.Value), "unreadable") || len(o.Value) == 0 {
				return row{}, fmt.Errorf("cannot decode %s", o.Key)
			}
			return row{name: o.Key, value: string(o.Value)}, nil
		},
	}), &out
}

// TestUnreadableObjectIsLoggedOnce guards against a log line for each write and each list of an
// object that stays unreadable.
func TestUnreadableObjectIsLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		s := newStore()
		s.set("a", "unreadable")
		x, log := newTestTracker(s)
		done := make(chan struct{})
		go func() { x.Run(ctx); close(done) }()
		defer func() { cancel(); <-done }()
		for i := range 20 {
			s.set("a", fmt.Sprintf("unreadable %d", i))
			settle()
		}
		s.dropHistory()
		s.set("b", "unreadable")
		settle()
		time.Sleep(2 * watchTimeout)
		lines := func(key string) int { return strings.Count(log.String(), key) }
		synctest.Wait()
		is.Equal(lines("Key=kind/a"), 1)
		is.Equal(lines("Key=kind/b"), 1)
		s.set("a", "1")
		settle()
		s.set("a", "unreadable")
		settle()
		s.set("b", "")
		settle()
		s.set("b", "unreadable")
		settle()
		is.Equal(lines("Key=kind/a"), 2) // it was readable in between
		is.Equal(lines("Key=kind/b"), 2) // it is another object of that name
	})
}

// TestUnreadableValuesAreNotKept guards against memory for the values of objects that cannot be
// decoded, in the copy, in its history and in the updates for other processes.
func TestUnreadableValuesAreNotKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		s := newStore()
		s.set("a", "unreadable")
		x, _ := newTestTracker(s)
		done := make(chan struct{})
		go func() { x.Run(ctx); close(done) }()
		defer func() { cancel(); <-done }()
		settle()
		listed := x.View().Revision
		s.set("b", "unreadable")
		s.set("c", "1")
		settle()
		for _, u := range []tracker.Update{x.Since(0, 0), x.Since(0, listed)} {
			is.True(len(u.Objects) >= 2)
			for _, o := range u.Objects {
				is.Equal(len(o.Value) > 0, o.Key == "kind/c")
			}
			follower, _ := newTestTracker(nil)
			is.True(follower.Follow(tracker.Update{Complete: true, Revision: 1}, 0))
			u.From = 0
			is.True(follower.Follow(u, 0))
			is.Equal(follower.View().Revision, x.View().Revision)
			is.Equal(follower.View().Rows.Len(), 1)
		}
	})
}

// TestHistoryIsBoundedInBytes guards against memory without limit while large objects are
// written again and again.
func TestHistoryIsBoundedInBytes(t *testing.T) {
	is := is.New(t)
	x, _ := newTestTracker(nil)
	is.True(x.Follow(tracker.Update{Complete: true, Revision: 1}, 0))
	large := []byte(strings.Repeat("x", 1<<20))
	for revision := uint64(2); revision < 100; revision++ {
		u := tracker.Update{From: revision - 1, Revision: revision, Objects: []filbertstile.Object{{Key: "kind/a", Version: revision, Value: large}}}
		is.True(x.Follow(u, 0))
	}
	size := 0
	for _, o := range x.Since(0, 2).Objects {
		size += len(o.Value)
	}
	is.True(size <= 8<<20)
	is.Equal(len(x.Since(0, 98).Objects), 1) // a process that is little behind gets the change alone
	is.True(!x.Since(0, 98).Complete)
	is.True(x.Since(0, 2).Complete)
}

// oddStore is a store whose watches cannot be read, and whose pages do not advance if stuck.
type oddStore struct {
	*store
	unreadableWatches, stuck bool
}

func (s *oddStore) Watch(ctx context.Context, prefix string, after uint64) (filbertstile.Batch, error) {
	b, err := s.store.Watch(ctx, prefix, after)
	if s.unreadableWatches && len(b.Objects) > 0 {
		return filbertstile.Batch{}, filbertstile.ErrUnreadable{Step: "watch objects"}
	}
	return b, err
}

func (s *oddStore) List(ctx context.Context, prefix, after string) (filbertstile.Batch, error) {
	b, err := s.store.List(ctx, prefix, after)
	if s.stuck {
		b.More = true
	}
	return b, err
}

// TestUnreadableWatchIsFollowedByList guards against a copy that ages as long as the store has the
// history with an event that cannot be told from its neighbours.
func TestUnreadableWatchIsFollowedByList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		s := &oddStore{store: newStore(), unreadableWatches: true}
		x, log := newTestTracker(s)
		done := make(chan struct{})
		go func() { x.Run(ctx); close(done) }()
		defer func() { cancel(); <-done }()
		settle()
		s.set("a", "1")
		time.Sleep(2 * watchTimeout)
		synctest.Wait()
		is.Equal(x.View().Rows.Len(), 1)
		age, _ := x.Age()
		is.True(age <= watchTimeout+100*time.Millisecond)
		is.True(s.lists <= 3) // not again and again
		is.Equal(strings.Count(log.String(), "StoreOutOfReach"), 1)
	})
}

// TestListWithoutProgressEnds guards against a list whose pages do not advance, which would fill
// the memory.
func TestListWithoutProgressEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		s := &oddStore{store: newStore(), stuck: true}
		s.set("a", "1")
		x, log := newTestTracker(s)
		done := make(chan struct{})
		go func() { x.Run(ctx); close(done) }()
		defer func() { cancel(); <-done }()
		time.Sleep(10 * time.Second)
		synctest.Wait()
		is.True(!x.View().Listed)
		is.True(s.lists < 100)
		is.Equal(strings.Count(log.String(), "StoreOutOfReach"), 1)
	})
}
