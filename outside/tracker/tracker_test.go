package tracker_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/outside/tracker"
)

const wait = time.Second

type row struct{ name, value string }

func (r row) Key() string { return r.name }

var errAway = errors.New("the store is away")

// store keeps a history of changes that it may drop, and may be away.
type store struct {
	filbertstile.Store

	mu       sync.Mutex
	objects  map[string]filbertstile.Object
	history  []filbertstile.Object
	from     uint64
	revision uint64
	away     bool
	lists    int
}

func newStore() *store {
	return &store{objects: make(map[string]filbertstile.Object), revision: 1, from: 1}
}

func (s *store) set(name, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	o := filbertstile.Object{Key: "kind/" + name, Version: s.revision, Value: []byte(value), Removed: value == ""}
	delete(s.objects, name)
	if value != "" {
		s.objects[name] = o
	}
	s.history = append(s.history, o)
}

func (s *store) drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.from = nil, s.revision
}

func (s *store) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

func (s *store) List(context.Context, string, string) (filbertstile.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	if s.away {
		return filbertstile.Batch{}, errAway
	}
	out := filbertstile.Batch{Revision: s.revision}
	for _, o := range s.objects {
		out.Objects = append(out.Objects, o)
	}
	return out, nil
}

func (s *store) Watch(ctx context.Context, _ string, after uint64) (filbertstile.Batch, error) {
	for until := time.Now().Add(wait); ; time.Sleep(10 * time.Millisecond) {
		s.mu.Lock()
		out := filbertstile.Batch{Revision: s.revision}
		for _, o := range s.history {
			if o.Version > after {
				out.Objects = append(out.Objects, o)
			}
		}
		gone, away := after < s.from, s.away
		s.mu.Unlock()
		switch {
		case away:
			return filbertstile.Batch{}, errAway
		case gone:
			return filbertstile.Batch{}, filbertstile.ErrHistoryGone{}
		case len(out.Objects) > 0 || time.Now().After(until) || ctx.Err() != nil:
			return out, ctx.Err()
		}
	}
}

// withTracker runs a tracker in virtual time.
func withTracker(t *testing.T, f func(is *is.I, s *store, x *tracker.Tracker[row])) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newStore()
		log := logrus.New()
		log.SetOutput(io.Discard)
		started := time.Now()
		x := tracker.New(tracker.Config[row]{
			Store: s, Prefix: "kind/", Wait: wait, Log: reporter.New(reporter.Config{Logger: log}),
			Elapsed: func() time.Duration { return time.Since(started) },
			Decode: func(o filbertstile.Object) (row, error) {
				if string(o.Value) == "unreadable" {
					return row{}, fmt.Errorf("cannot read %s", o.Key)
				}
				return row{name: o.Key, value: string(o.Value)}, nil
			},
		})
		done := make(chan struct{})
		go func() { x.Run(ctx); close(done) }()
		defer func() { cancel(); <-done }()
		f(is.New(t), s, x)
	})
}

func settle() { time.Sleep(100 * time.Millisecond); synctest.Wait() }

func TestFollowsChanges(t *testing.T) {
	withTracker(t, func(is *is.I, s *store, x *tracker.Tracker[row]) {
		s.set("a", "1")
		settle()
		s.set("b", "1")
		s.set("a", "2")
		settle()
		a, _ := x.View().Rows.Get("kind/a")
		is.Equal(a.value, "2")
		is.Equal(x.View().Rows.Len(), 2)
		s.set("b", "")
		settle()
		is.Equal(x.View().Rows.Len(), 1)
	})
}

func TestHistoryGone(t *testing.T) {
	withTracker(t, func(is *is.I, s *store, x *tracker.Tracker[row]) {
		s.set("a", "1")
		s.set("b", "1")
		settle()
		s.mu.Lock()
		delete(s.objects, "b") // while watches hear nothing
		s.revision++
		s.mu.Unlock()
		s.drop()
		settle()
		time.Sleep(wait)
		settle()
		is.Equal(x.View().Rows.Len(), 1)
		is.True(s.lists >= 2)
	})
}

// TestUnreadable has an object replaced by bytes that cannot be read: it is
// gone, and the others hold.
func TestUnreadable(t *testing.T) {
	withTracker(t, func(is *is.I, s *store, x *tracker.Tracker[row]) {
		s.set("a", "1")
		s.set("b", "1")
		settle()
		s.set("a", "unreadable")
		settle()
		is.Equal(x.View().Rows.Len(), 1)
		s.set("a", "3")
		settle()
		is.Equal(x.View().Rows.Len(), 2)
	})
}

// TestAge has the store away: the copy stays, and its age grows until the store
// has answered again.
func TestAge(t *testing.T) {
	withTracker(t, func(is *is.I, s *store, x *tracker.Tracker[row]) {
		s.set("a", "1")
		time.Sleep(5 * wait)
		synctest.Wait()
		age, known := x.Age()
		is.True(known)
		is.True(age <= wait+100*time.Millisecond)
		// An answer that comes sooner confirms the moment of the question only.
		s.set("a", "2")
		settle()
		age, _ = x.Age()
		is.True(age >= 50*time.Millisecond)
		s.setAway(true)
		time.Sleep(5 * wait)
		synctest.Wait()
		age, _ = x.Age()
		is.True(age >= 4*wait)
		is.Equal(x.View().Rows.Len(), 1)
		s.setAway(false)
		time.Sleep(2 * wait)
		synctest.Wait()
		age, _ = x.Age() // it is asked again after a pause of at most 0.4 s
		is.True(age <= wait+100*time.Millisecond)
	})
}
