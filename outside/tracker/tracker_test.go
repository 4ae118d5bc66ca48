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

const (
	watchTimeout = time.Second
	keepMissing  = 2500 * time.Millisecond
)

type row struct{ name, value string }

func (r row) Key() string { return r.name }

var errUnavailable = errors.New("store unavailable")

// store is a simulated store that can lose its history and become unavailable.
type store struct {
	filbertstile.Store

	mu      sync.Mutex
	objects map[string]filbertstile.Object
	history []filbertstile.Object
	// historyStart is the revision after which the history is complete.
	historyStart uint64
	revision     uint64
	era          uint64
	unavailable  bool
	// lists is the number of calls of List.
	lists int
}

func newStore() *store {
	return &store{objects: make(map[string]filbertstile.Object), revision: 1, historyStart: 1}
}

// set writes the object, or deletes it if the value is empty.
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

func (s *store) dropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.historyStart = nil, s.revision
}

func (s *store) setUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
}

func (s *store) List(context.Context, string, string) (filbertstile.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	if s.unavailable {
		return filbertstile.Batch{}, errUnavailable
	}
	out := filbertstile.Batch{Revision: s.revision, Era: s.era}
	for _, o := range s.objects {
		out.Objects = append(out.Objects, o)
	}
	return out, nil
}

func (s *store) Watch(ctx context.Context, _ string, after uint64) (filbertstile.Batch, error) {
	for deadline := time.Now().Add(watchTimeout); ; time.Sleep(10 * time.Millisecond) {
		s.mu.Lock()
		out := filbertstile.Batch{Revision: s.revision, Era: s.era}
		for _, o := range s.history {
			if o.Version > after {
				out.Objects = append(out.Objects, o)
			}
		}
		historyGone, unavailable := after < s.historyStart, s.unavailable
		s.mu.Unlock()
		switch {
		case unavailable:
			return filbertstile.Batch{}, errUnavailable
		case historyGone:
			return filbertstile.Batch{}, filbertstile.ErrHistoryGone{}
		case len(out.Objects) > 0 || time.Now().After(deadline) || ctx.Err() != nil:
			return out, ctx.Err()
		}
	}
}

// withTracker runs f in virtual time with a simulated store and a running tracker.
func withTracker(t *testing.T, f func(is *is.I, s *store, x *tracker.Tracker[row])) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newStore()
		log := logrus.New()
		log.SetOutput(io.Discard)
		started := time.Now()
		x := tracker.New(tracker.Config[row]{
			Store: s, Prefix: "kind/", WatchTimeout: watchTimeout, Log: reporter.New(reporter.Config{Logger: log}),
			Clock: func() time.Duration { return time.Since(started) }, KeepMissing: keepMissing,
			Decode: func(o filbertstile.Object) (row, error) {
				if string(o.Value) == "unreadable" {
					return row{}, fmt.Errorf("cannot decode %s", o.Key)
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

// settle waits until the tracker has processed the changes made so far.
func settle() { time.Sleep(100 * time.Millisecond); synctest.Wait() }

func TestChangesAreApplied(t *testing.T) {
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

// TestListsAgainAfterHistoryGone guards against a copy that misses a deletion because the
// store has dropped its history.
func TestListsAgainAfterHistoryGone(t *testing.T) {
	withTracker(t, func(is *is.I, s *store, x *tracker.Tracker[row]) {
		s.set("a", "1")
		s.set("b", "1")
		settle()
		s.mu.Lock()
		delete(s.objects, "b") // without an event for watches
		s.revision++
		s.mu.Unlock()
		s.dropHistory()
		settle()
		time.Sleep(watchTimeout)
		settle()
		is.Equal(x.View().Rows.Len(), 1)
		is.True(s.lists >= 2)
	})
}

// TestUndecodableObjectIsRemoved guards against a stale row, and the loss of other
// rows, after an object is overwritten with a value that cannot be decoded.
func TestUndecodableObjectIsRemoved(t *testing.T) {
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

// TestAgeGrowsDuringOutage guards against a copy that is lost, or considered current,
// while the store is unavailable: its age must grow until the store responds again.
func TestAgeGrowsDuringOutage(t *testing.T) {
	withTracker(t, func(is *is.I, s *store, x *tracker.Tracker[row]) {
		s.set("a", "1")
		time.Sleep(5 * watchTimeout)
		synctest.Wait()
		age, known := x.Age()
		is.True(known)
		is.True(age <= watchTimeout+100*time.Millisecond)
		// A watch that ends early confirms only the time at which it was sent.
		s.set("a", "2")
		settle()
		age, _ = x.Age()
		is.True(age >= 50*time.Millisecond)
		s.setUnavailable(true)
		time.Sleep(5 * watchTimeout)
		synctest.Wait()
		age, _ = x.Age()
		is.True(age >= 4*watchTimeout)
		is.Equal(x.View().Rows.Len(), 1)
		s.setUnavailable(false)
		time.Sleep(2 * watchTimeout)
		synctest.Wait()
		age, _ = x.Age() // the next retry is at most 0.4 s later
		is.True(age <= watchTimeout+100*time.Millisecond)
	})
}

// restore brings back the state before the last writes, in a new era.
func (s *store) restore(lost int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = s.history[:len(s.history)-lost]
	s.objects = make(map[string]filbertstile.Object)
	s.revision = s.historyStart
	for _, o := range s.history {
		s.revision = o.Version
		s.objects[o.Key[len("kind/"):]] = o
	}
	s.era++
}

// TestNewEraIsListed guards against missing what was written under revisions that the store
// gives out again after it has come back from an older copy. A watch from such a revision
// gets no error once the store has passed it.
func TestNewEraIsListed(t *testing.T) {
	withTracker(t, func(is *is.I, s *store, x *tracker.Tracker[row]) {
		for _, name := range []string{"a", "b", "c"} {
			s.set(name, "1")
		}
		settle()
		s.restore(2) // b and c are gone
		s.set("d", "1")
		s.set("e", "1")
		s.set("f", "1") // the revisions of d and e are those of b and c
		time.Sleep(watchTimeout + keepMissing + 200*time.Millisecond)
		synctest.Wait()
		v := x.View()
		is.Equal(v.Era, uint64(1))
		var names []string
		for _, r := range v.Rows.All() {
			names = append(names, r.name)
		}
		is.Equal(names, []string{"kind/a", "kind/d", "kind/e", "kind/f"})
	})
}

// TestMissingRowsAreKeptInNewEra guards against taking rows for gone that the older copy of
// the store lacks: their writers write them again within seconds.
func TestMissingRowsAreKeptInNewEra(t *testing.T) {
	withTracker(t, func(is *is.I, s *store, x *tracker.Tracker[row]) {
		s.set("a", "1")
		s.set("b", "1")
		s.set("c", "1")
		settle()
		s.restore(2)
		time.Sleep(watchTimeout + 100*time.Millisecond)
		synctest.Wait()
		is.Equal(x.View().Era, uint64(1))
		is.Equal(x.View().Rows.Len(), 3) // b and c are kept
		s.set("b", "2")
		time.Sleep(keepMissing)
		synctest.Wait()
		is.Equal(x.View().Rows.Len(), 2) // c was not written again
		b, _ := x.View().Rows.Get("kind/b")
		is.Equal(b.value, "2")
	})
}
