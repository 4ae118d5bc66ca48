package edgerunner_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/outside/tracker"
	"filbertstile.example/filbertstile/shells/edgerunner"
)

// changingStore is a store whose replicas change each time a value is sent on changes.
type changingStore struct {
	filbertstile.Store
	changes chan uint64
	members int
}

func (s *changingStore) List(_ context.Context, prefix, _ string) (filbertstile.Batch, error) {
	b := filbertstile.Batch{Revision: 1}
	switch prefix {
	case "config/":
		b.Objects = []filbertstile.Object{{Key: prefix + "main"}}
	case "members/":
		for i := range s.members {
			b.Objects = append(b.Objects, filbertstile.Object{Key: fmt.Sprintf("%s%d", prefix, i)})
		}
	}
	return b, nil
}

func (s *changingStore) Watch(ctx context.Context, prefix string, after uint64) (filbertstile.Batch, error) {
	if prefix != "servers/" {
		<-ctx.Done()
		return filbertstile.Batch{}, ctx.Err()
	}
	select {
	case revision := <-s.changes:
		return filbertstile.Batch{Revision: revision, Objects: []filbertstile.Object{{Key: fmt.Sprintf("%s%d", prefix, revision), Version: revision}}}, nil
	case <-ctx.Done():
		return filbertstile.Batch{Revision: after}, ctx.Err()
	}
}

func newChangingTracker[T filbertstile.Row](s *changingStore, prefix string, log *reporter.Log, onChange func(), decode func(filbertstile.Object) T) *tracker.Tracker[T] {
	started := time.Now()
	return tracker.New(tracker.Config[T]{
		Store: s, Prefix: prefix, WatchTimeout: time.Hour, Log: log, OnChange: onChange,
		Clock:  func() time.Duration { return time.Since(started) },
		Decode: func(o filbertstile.Object) (T, error) { return decode(o), nil },
	})
}

// withChangingEdge runs f with an entry of a system with many entries, in virtual time.
func withChangingEdge(t *testing.T, entries int, f func(is *is.I, s *changingStore, e *edgerunner.Edge, log *syncBuffer)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		out := &syncBuffer{}
		logger := logrus.New()
		logger.SetOutput(out)
		log := reporter.New(reporter.Config{Logger: logger})
		s := &changingStore{changes: make(chan uint64), members: entries}
		e := edgerunner.New(edgerunner.Config{
			Self: filbertstile.Member{Name: "e0", Role: filbertstile.RoleEntry, Region: "r1", HTTPAddress: "10.0.0.1:80"}, Log: log,
			Metrics: metrics.NewRegistry(), CloseExpiredConns: func() {},
		})
		e.Connect(edgerunner.Sources{
			Routing: newChangingTracker(s, "config/", log, e.Refresh, func(filbertstile.Object) filbertstile.Routing { return routing() }),
			Replicas: newChangingTracker(s, "servers/", log, e.Refresh, func(o filbertstile.Object) filbertstile.Replica {
				return filbertstile.Replica{ID: o.Key, Service: "s", Slots: 1}
			}),
			Marks:   newChangingTracker(s, "evacuations/", log, e.Refresh, func(filbertstile.Object) filbertstile.Mark { return filbertstile.Mark{} }),
			Weights: newChangingTracker(s, "versions/", log, e.Refresh, func(filbertstile.Object) filbertstile.WeightsVersion { return filbertstile.WeightsVersion{} }),
			Members: newChangingTracker(s, "members/", log, e.Refresh, func(o filbertstile.Object) filbertstile.Member {
				return filbertstile.Member{Name: "e" + strings.TrimPrefix(o.Key, "members/"), Role: filbertstile.RoleEntry}
			}),
		}, silentConn{closed: make(chan struct{})}, 1)
		done := make(chan struct{})
		go func() { e.Run(ctx); close(done) }()
		defer func() { cancel(); <-done }()
		advance(time.Second)
		f(is.New(t), s, e, out)
	})
}

// syncBuffer is a log that may be written and read concurrently.
type syncBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

// count returns how often the log contains the text.
func (b *syncBuffer) count(text string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.b.String(), text)
}

var _ io.Writer = (*syncBuffer)(nil)

// TestRefreshKeepsNewestView guards against a refresh that read the replicas before a
// change and applies them after a concurrent refresh has applied the change. The entry
// then rejected requests for lack of replicas until the next change.
func TestRefreshKeepsNewestView(t *testing.T) {
	withChangingEdge(t, 100, func(is *is.I, s *changingStore, e *edgerunner.Edge, _ *syncBuffer) {
		const changes = 300
		for i := range changes {
			var wg sync.WaitGroup
			stop := make(chan struct{})
			for range 4 {
				wg.Go(func() {
					for {
						select {
						case <-stop:
							return
						default:
							e.Refresh()
						}
					}
				})
			}
			s.changes <- uint64(i + 2)
			close(stop)
			wg.Wait()
			advance(time.Second)
			is.Equal(len(e.Dump().Replicas), i+1) // replicas in use after the change
		}
	})
}

// TestRefreshesAreBatched guards against an entry that works out its view anew for every
// heartbeat that begins or ends: with hundreds of processes this takes most of its
// processor time while they start.
func TestRefreshesAreBatched(t *testing.T) {
	withChangingEdge(t, 100, func(is *is.I, s *changingStore, _ *edgerunner.Edge, log *syncBuffer) {
		before := log.count("ReplicasChanged")
		for i := range 500 {
			s.changes <- uint64(i + 2) // each update of the view would be logged
			advance(time.Millisecond)
		}
		advance(time.Second)
		updates := log.count("ReplicasChanged") - before
		is.True(updates >= 1 && updates <= 10) // half a second of changes
	})
}
