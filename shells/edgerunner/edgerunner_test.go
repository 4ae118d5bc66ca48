package edgerunner_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
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

const (
	watchTimeout = time.Second
	// listLatency is the time that a list takes, so that an entry that has just started
	// has an empty view at first.
	listLatency = 4 * time.Millisecond
)

// store is a fake object store that can be made unreachable.
type store struct {
	filbertstile.Store
	mu          sync.Mutex
	unreachable bool
	// objectCounts is the number of objects by prefix.
	objectCounts map[string]int
	// late holds the time that the list of a prefix takes in addition.
	late map[string]time.Duration
}

var errUnreachable = errors.New("the store is unreachable")

func (s *store) setUnreachable(unreachable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreachable = unreachable
}

func (s *store) List(_ context.Context, prefix, _ string) (filbertstile.Batch, error) {
	time.Sleep(listLatency + s.late[prefix])
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unreachable {
		return filbertstile.Batch{}, errUnreachable
	}
	return filbertstile.Batch{Revision: 1, Objects: make([]filbertstile.Object, s.objectCounts[prefix])}, nil
}

func (s *store) Watch(ctx context.Context, _ string, after uint64) (filbertstile.Batch, error) {
	select {
	case <-ctx.Done():
		return filbertstile.Batch{}, ctx.Err()
	case <-time.After(watchTimeout):
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unreachable {
		return filbertstile.Batch{}, errUnreachable
	}
	return filbertstile.Batch{Revision: after}, nil
}

// silentConn is a datagram connection on which nothing arrives.
type silentConn struct{ closed chan struct{} }

func (c silentConn) ReadFrom([]byte) (int, net.Addr, error)  { <-c.closed; return 0, nil, net.ErrClosed }
func (silentConn) WriteTo(b []byte, _ net.Addr) (int, error) { return len(b), nil }
func (c silentConn) Close() error                            { close(c.closed); return nil }

func routing() filbertstile.Routing {
	route := func(name, path string, kind filbertstile.CallKind) filbertstile.Route {
		return filbertstile.Route{
			Name: name, HostName: "a", PathPrefix: path, Kind: kind, Resumable: true, MaxAttempts: 2, Timeout: 2 * time.Second,
			Targets: []filbertstile.Target{{Service: "s", Weight: 1}},
		}
	}
	public := route("public", "/public/", filbertstile.CallIdempotent)
	public.Public = true
	regional := route("regional", "/regional/", filbertstile.CallIdempotent)
	regional.Regions = []string{"r1"}
	return filbertstile.Routing{
		Version: 1,
		Routes: filbertstile.NewTable(route("stream", "/stream/", filbertstile.CallStream), route("once", "/once/", filbertstile.CallNonIdempotent),
			public, regional),
		Accounts: filbertstile.NewTable(filbertstile.AccountAccess{Account: "clerk", Keys: []string{"k"}, Regions: []string{"r2"}}),
	}
}

// newTracker returns a tracker that decodes every object under the prefix as row.
func newTracker[T filbertstile.Row](s *store, prefix string, row T, log *reporter.Log, onChange func()) *tracker.Tracker[T] {
	started := time.Now()
	return tracker.New(tracker.Config[T]{
		Store: s, Prefix: prefix, WatchTimeout: watchTimeout, Log: log, OnChange: onChange,
		Clock:  func() time.Duration { return time.Since(started) },
		Decode: func(filbertstile.Object) (T, error) { return row, nil },
	})
}

// withEdge runs f with an entry in virtual time, whose store holds one configuration.
func withEdge(t *testing.T, f func(ctx context.Context, is *is.I, s *store, e *edgerunner.Edge)) {
	t.Helper()
	withEdgeBounds(t, edgerunner.Bounds{RevokeTimeout: 5 * time.Second, RolloutTimeout: 8 * time.Second, StopTimeout: 8 * time.Second, SettleTime: 3 * time.Second}, f)
}

// withEdgeBounds is like withEdge, with the given bounds.
func withEdgeBounds(t *testing.T, b edgerunner.Bounds, f func(ctx context.Context, is *is.I, s *store, e *edgerunner.Edge)) {
	t.Helper()
	withLateStore(t, b, nil, f)
}

// withLateStore is like withEdgeBounds, with lists that take longer.
func withLateStore(t *testing.T, b edgerunner.Bounds, late map[string]time.Duration, f func(ctx context.Context, is *is.I, s *store, e *edgerunner.Edge)) {
	t.Helper()
	withClock(t, b, late, nil, f)
}

// withClock is like withLateStore, with a clock of the entry; nil means the runtime's clock.
func withClock(t *testing.T, b edgerunner.Bounds, late map[string]time.Duration, clock func() time.Duration, f func(ctx context.Context, is *is.I, s *store, e *edgerunner.Edge)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		log := reporter.New(reporter.Config{Logger: logger})
		s := &store{objectCounts: map[string]int{"config/": 1}, late: late}
		e := edgerunner.New(edgerunner.Config{
			Self: filbertstile.Member{Name: "e1", Role: filbertstile.RoleEntry, Region: "r1", HTTPAddress: "10.0.0.1:80"}, Log: log,
			Metrics: metrics.NewRegistry(), CloseExpiredConns: func() {},
			Bounds: b, Clock: clock,
		})
		e.Connect(edgerunner.Sources{
			Routing:  newTracker(s, "config/", routing(), log, e.Refresh),
			Replicas: newTracker(s, "servers/", filbertstile.Replica{}, log, e.Refresh),
			Marks:    newTracker(s, "evacuations/", filbertstile.Mark{}, log, e.Refresh),
			Weights:  newTracker(s, "versions/", filbertstile.WeightsVersion{}, log, e.Refresh),
			Members:  newTracker(s, "members/", filbertstile.Member{}, log, e.Refresh),
		}, silentConn{closed: make(chan struct{})}, 1)
		done := make(chan struct{})
		go func() { e.Run(ctx); close(done) }()
		// The entry must stop even if a check fails, as synctest waits for all goroutines.
		defer func() { cancel(); <-done }()
		f(ctx, is.New(t), s, e)
	})
}

// advance lets the virtual time pass, and waits until all goroutines are blocked.
func advance(d time.Duration) { time.Sleep(d); synctest.Wait() }

// rejectionCode returns the code with which a request for the path is rejected; empty if it
// is admitted.
func rejectionCode(e *edgerunner.Edge, path, key string) string {
	_, err := e.Admit(edgerunner.Request{ID: "1", HostName: "a", Path: path, Key: key, Arrived: time.Now()})
	var rejected filbertstile.ErrRequest
	if errors.As(err, &rejected) {
		if rejected.Run != filbertstile.NotRun {
			return "not reported as not run"
		}
		return rejected.Code
	}
	return ""
}

// TestAdmit guards against requests that are admitted without a configuration, a route, a
// known key or an allowed region, and against rejections of requests that have them.
func TestAdmit(t *testing.T) {
	withEdge(t, func(_ context.Context, is *is.I, _ *store, e *edgerunner.Edge) {
		is.Equal(rejectionCode(e, "/once/x", "k"), edgerunner.CodeNotReady)
		is.True(!e.Ready())
		advance(time.Second)
		is.True(e.Ready())
		for _, c := range []struct{ path, key, code string }{
			{"/once/x", "k", ""},
			{"/once/x", "other", edgerunner.CodeUnknownKey},
			{"/none/", "k", edgerunner.CodeNoRoute},
			{"/public/x", "", ""},
			{"/regional/x", "k", edgerunner.CodeNoCommonRegion},
		} {
			is.Equal(rejectionCode(e, c.path, c.key), c.code)
		}
	})
}

// TestKeysWhileStoreUnreachable guards against withdrawn keys that still work after
// Bounds.RevokeTimeout because the entry cannot reach the store. Before then all keys stop
// working, until the store is reachable again. Routes that need no key remain available.
func TestKeysWhileStoreUnreachable(t *testing.T) {
	withEdge(t, func(_ context.Context, is *is.I, s *store, e *edgerunner.Edge) {
		advance(3 * time.Second)
		s.setUnreachable(true)
		unreachableSince := time.Now()
		for rejectionCode(e, "/once/x", "k") == "" {
			advance(10 * time.Millisecond)
		}
		is.Equal(rejectionCode(e, "/once/x", "k"), edgerunner.CodeStale)
		// The store last confirmed the view up to one watch before it became unreachable.
		is.True(time.Since(unreachableSince) < 5*time.Second)
		is.True(time.Since(unreachableSince) > 3*time.Second)
		is.Equal(rejectionCode(e, "/public/x", ""), "")
		is.Equal(rejectionCode(e, "/none/", "k"), edgerunner.CodeStale) // the route may be new
		is.True(!e.Ready())
		s.setUnreachable(false)
		advance(2 * watchTimeout)
		is.Equal(rejectionCode(e, "/once/x", "k"), "")
		is.True(e.Ready())
	})
}

// TestStartWaitsForAllLists guards against an entry that takes requests before it knows which other
// entries share the replicas, and which failure domains are out of service.
func TestStartWaitsForAllLists(t *testing.T) {
	for _, c := range []struct {
		prefix      string
		late, ready time.Duration
	}{
		{"members/", time.Second, time.Second}, {"evacuations/", time.Second, time.Second}, {"servers/", time.Second, time.Second},
		{"members/", time.Minute, 5 * time.Second}, {"evacuations/", time.Minute, 5 * time.Second},
	} {
		t.Run(fmt.Sprintf("%s%v", c.prefix, c.late), func(t *testing.T) {
			withLateStore(t, edgerunner.Bounds{RevokeTimeout: 5 * time.Second, StopTimeout: 8 * time.Second}, map[string]time.Duration{c.prefix: c.late}, func(_ context.Context, is *is.I, _ *store, e *edgerunner.Edge) {
				advance(c.ready - 100*time.Millisecond)
				is.True(!e.Ready())
				advance(800 * time.Millisecond)
				is.True(e.Ready())
			})
		})
	}
}

// TestAddresses guards against an empty list of addresses for callers in a region without
// entries.
func TestAddresses(t *testing.T) {
	withEdge(t, func(_ context.Context, is *is.I, _ *store, e *edgerunner.Edge) {
		advance(time.Second)
		is.Equal(e.Addresses("a", "r1", 64), []string{"10.0.0.1:80"})
		is.Equal(e.Addresses("a", "elsewhere", 64), []string{"10.0.0.1:80"})
	})
}
