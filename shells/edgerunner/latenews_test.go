package edgerunner

import (
	"context"
	"io"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/base/sleeper"
	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/decisions/matcher"
	"filbertstile.example/filbertstile/outside/tracker"
)

const (
	rolloutTimeout = 8 * time.Second
	settleTime     = 3 * time.Second
)

// newsStore is a store with one revision counter for all prefixes, and one object that names a
// version of the weights. Its clock counts the time for which the hosts are suspended.
type newsStore struct {
	filbertstile.Store
	started time.Time

	mu        sync.Mutex
	suspended time.Duration
	revision  uint64
	// named is the revision at which each version was named, in order, from version 1 on.
	named []uint64
	// reachable is closed while responses arrive; otherwise they are held up.
	reachable chan struct{}
}

func newNewsStore() *newsStore {
	s := &newsStore{started: time.Now(), revision: 1, named: []uint64{1}, reachable: make(chan struct{})}
	close(s.reachable)
	return s
}

func (s *newsStore) clock() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.started) + s.suspended
}

// suspend suspends all hosts: the runtime's clock does not count the time.
func (s *newsStore) suspend(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspended += d
}

// name names the next version and returns the time at which it did.
func (s *newsStore) name() time.Duration {
	s.mu.Lock()
	s.revision++
	s.named = append(s.named, s.revision)
	s.mu.Unlock()
	return s.clock()
}

// holdUp holds responses up for some time.
func (s *newsStore) holdUp(d time.Duration) {
	reachable := make(chan struct{})
	s.mu.Lock()
	s.reachable = reachable
	s.mu.Unlock()
	time.AfterFunc(d, func() { close(reachable) })
}

// read returns the objects with the prefix that were written after the revision.
func (s *newsStore) read(prefix string, after uint64) filbertstile.Batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := filbertstile.Batch{Revision: s.revision}
	latest := s.named[len(s.named)-1]
	switch {
	case prefix == "versions/" && latest > after:
		b.Objects = []filbertstile.Object{{Key: prefix + "m", Version: latest, Value: []byte(strconv.Itoa(len(s.named)))}}
	case prefix == "config/" && after == 0:
		b.Objects = []filbertstile.Object{{Key: prefix + "main", Version: 1}}
	}
	return b
}

// deliver waits until responses arrive.
func (s *newsStore) deliver(ctx context.Context, b filbertstile.Batch) (filbertstile.Batch, error) {
	s.mu.Lock()
	reachable := s.reachable
	s.mu.Unlock()
	select {
	case <-reachable:
		return b, nil
	case <-ctx.Done():
		return filbertstile.Batch{}, ctx.Err()
	}
}

func (s *newsStore) List(ctx context.Context, prefix, _ string) (filbertstile.Batch, error) {
	return s.deliver(ctx, s.read(prefix, 0))
}

// watchingStore is the store for watches that wait for a given time.
type watchingStore struct {
	*newsStore
	timeout time.Duration
}

func (s watchingStore) Watch(ctx context.Context, prefix string, after uint64) (filbertstile.Batch, error) {
	deadline := time.Now().Add(s.timeout)
	for {
		b := s.read(prefix, after)
		if len(b.Objects) > 0 || !time.Now().Before(deadline) {
			return s.deliver(ctx, b)
		}
		if err := sleeper.Sleep(ctx, 5*time.Millisecond); err != nil {
			return filbertstile.Batch{}, err
		}
	}
}

func newNewsTracker[T filbertstile.Row](s *newsStore, prefix string, timeout time.Duration, log *reporter.Log, onChange func(), decode func(filbertstile.Object) T) *tracker.Tracker[T] {
	return tracker.New(tracker.Config[T]{
		Store: watchingStore{s, timeout}, Prefix: prefix, WatchTimeout: timeout, Clock: s.clock, Log: log, OnChange: onChange,
		WithWatchTimeout: func(d time.Duration) filbertstile.Store { return watchingStore{s, d} },
		Decode:           func(o filbertstile.Object) (T, error) { return decode(o), nil },
	})
}

// newNewsEntry returns an entry whose copies of the store are not kept up to date yet.
func newNewsEntry(s *newsStore) *Edge {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := reporter.New(reporter.Config{Logger: logger})
	e := New(Config{
		Metrics: metrics.NewRegistry(), Log: log, Clock: s.clock,
		Bounds: Bounds{RolloutTimeout: rolloutTimeout, SettleTime: settleTime},
	})
	e.divided.Store(true) // there are no other entries
	e.matcher.Store(matcher.New(filbertstile.Routing{
		Pools: filbertstile.NewTable(filbertstile.PoolSpec{Service: "s", Engine: &filbertstile.EngineSpec{Model: "m"}}),
	}))
	e.sources = Sources{
		Routing:  newNewsTracker(s, "config/", 800*time.Millisecond, log, nil, func(filbertstile.Object) filbertstile.Routing { return filbertstile.Routing{} }),
		Replicas: newNewsTracker(s, "servers/", 2400*time.Millisecond, log, nil, func(filbertstile.Object) filbertstile.Replica { return filbertstile.Replica{} }),
		Marks:    newNewsTracker(s, "evacuations/", 4500*time.Millisecond, log, nil, func(filbertstile.Object) filbertstile.Mark { return filbertstile.Mark{} }),
		Members:  newNewsTracker(s, "members/", 6*time.Second, log, nil, func(filbertstile.Object) filbertstile.Member { return filbertstile.Member{} }),
	}
	e.sources.Weights = newNewsTracker(s, "versions/", 4500*time.Millisecond, log, func() { e.recordVersions() }, func(o filbertstile.Object) filbertstile.WeightsVersion {
		n, _ := strconv.ParseInt(string(o.Value), 10, 64)
		return filbertstile.WeightsVersion{Model: "m", Version: n}
	})
	return e
}

// keepCurrent keeps the entry's copies up to date from the store until the context ends.
func (s *newsStore) keepCurrent(ctx context.Context, e *Edge) {
	go e.sources.Routing.Run(ctx)
	go e.sources.Replicas.Run(ctx)
	go e.sources.Marks.Run(ctx)
	go e.sources.Members.Run(ctx)
	go e.sources.Weights.Run(ctx)
}

// follow brings the follower's copies to those of the reader.
func follow(reader, follower *Edge) {
	followCopy(reader.sources.Routing, follower.sources.Routing)
	followCopy(reader.sources.Replicas, follower.sources.Replicas)
	followCopy(reader.sources.Marks, follower.sources.Marks)
	followCopy(reader.sources.Members, follower.sources.Members)
	followCopy(reader.sources.Weights, follower.sources.Weights)
}

func followCopy[T filbertstile.Row](from, to *tracker.Tracker[T]) {
	position, _ := from.Position()
	own, _ := to.Position()
	if position.Listed && position != own {
		to.Follow(from.Since(own.Era, own.Revision), position.ConfirmedAt)
	}
}

// keepFollowing brings the follower's copies to those of the reader until the context ends,
// except while the reader stands still.
func keepFollowing(ctx context.Context, reader, follower *Edge, stands func() bool) {
	for sleeper.Sleep(ctx, 30*time.Millisecond) == nil {
		if !stands() {
			follow(reader, follower)
		}
	}
}

// TestNoOldVersionAfterLateNews guards against an entry that gives a replaced version of the
// weights more time because it heard of the newer one late.
func TestNoOldVersionAfterLateNews(t *testing.T) {
	const pause = 4 * time.Second
	for _, c := range []struct {
		name string
		// play names versions, the first of them at the returned time, to the returned entry.
		play func(ctx context.Context, s *newsStore) (*Edge, time.Duration)
	}{
		{"heard at once", func(ctx context.Context, s *newsStore) (*Edge, time.Duration) {
			e := newNewsEntry(s)
			s.keepCurrent(ctx, e)
			time.Sleep(20 * time.Second)
			return e, s.name()
		}},
		{"suspended after it heard", func(ctx context.Context, s *newsStore) (*Edge, time.Duration) {
			e := newNewsEntry(s)
			s.keepCurrent(ctx, e)
			time.Sleep(20 * time.Second)
			named := s.name()
			time.Sleep(time.Second)
			s.suspend(pause)
			return e, named
		}},
		{"suspended as it was named", func(ctx context.Context, s *newsStore) (*Edge, time.Duration) {
			e := newNewsEntry(s)
			s.keepCurrent(ctx, e)
			time.Sleep(20 * time.Second)
			s.suspend(pause / 2)
			named := s.name()
			s.suspend(pause / 2)
			return e, named
		}},
		{"held up as it was named", func(ctx context.Context, s *newsStore) (*Edge, time.Duration) {
			e := newNewsEntry(s)
			s.keepCurrent(ctx, e)
			time.Sleep(20 * time.Second)
			s.holdUp(pause)
			time.Sleep(300 * time.Millisecond)
			return e, s.name()
		}},
		{"two named while held up", func(ctx context.Context, s *newsStore) (*Edge, time.Duration) {
			e := newNewsEntry(s)
			s.keepCurrent(ctx, e)
			time.Sleep(20 * time.Second)
			s.holdUp(pause)
			time.Sleep(300 * time.Millisecond)
			named := s.name()
			time.Sleep(2 * time.Second)
			s.name()
			return e, named
		}},
		{"its reader stood still", func(ctx context.Context, s *newsStore) (*Edge, time.Duration) {
			reader, e := newNewsEntry(s), newNewsEntry(s)
			s.keepCurrent(ctx, reader)
			stillUntil := time.Now().Add(20*time.Second + pause)
			go keepFollowing(ctx, reader, e, func() bool { return time.Until(stillUntil) > 0 && time.Until(stillUntil) <= pause })
			time.Sleep(20*time.Second + 300*time.Millisecond)
			return e, s.name()
		}},
		{"reported by another process before its own copy", func(ctx context.Context, s *newsStore) (*Edge, time.Duration) {
			e := newNewsEntry(s)
			s.keepCurrent(ctx, e)
			time.Sleep(20 * time.Second)
			s.holdUp(rolloutTimeout + pause)
			time.Sleep(300 * time.Millisecond)
			named := s.name()
			time.Sleep(pause)
			e.recordReportedVersions("entry-2", []*wire.WeightsVersion{{Model: "m", Version: 2}})
			return e, named
		}},
		{"restarted, and its first copy was older", func(ctx context.Context, s *newsStore) (*Edge, time.Duration) {
			reader := newNewsEntry(s)
			s.keepCurrent(ctx, reader)
			time.Sleep(20 * time.Second)
			stale := newNewsEntry(s)
			follow(reader, stale)
			named := s.name()
			time.Sleep(2 * time.Second)
			e := newNewsEntry(s)
			follow(stale, e)
			time.Sleep(2 * time.Second)
			go keepFollowing(ctx, reader, e, func() bool { return false })
			return e, named
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				s := newNewsStore()
				e, named := c.play(ctx, s)
				for s.clock() < named+rolloutTimeout+time.Second {
					time.Sleep(50 * time.Millisecond)
					floor, now := e.versionFloor("s"), s.clock()
					if now >= named+rolloutTimeout {
						is.True(floor.Version >= 2) // the old version is still allowed
					}
					for _, next := range floor.Next {
						due := now + time.Until(next.At)
						is.True(next.Version > 2 || due <= named+rolloutTimeout) // the newer version is due late
						is.True(due >= named+rolloutTimeout-maxRoutingAge || c.name != "heard at once")
					}
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}
