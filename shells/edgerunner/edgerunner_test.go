package edgerunner_test

import (
	"context"
	"errors"
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
	watchWait = time.Second
	// answerTime is what a list takes, so that an entry that has just started knows
	// nothing until time passes.
	answerTime = 4 * time.Millisecond
)

// store holds one list a prefix, and may be away.
type store struct {
	filbertstile.Store
	mu    sync.Mutex
	away  bool
	count map[string]int
}

var errAway = errors.New("the store is away")

func (s *store) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

func (s *store) List(_ context.Context, prefix, _ string) (filbertstile.Batch, error) {
	time.Sleep(answerTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return filbertstile.Batch{}, errAway
	}
	return filbertstile.Batch{Revision: 1, Objects: make([]filbertstile.Object, s.count[prefix])}, nil
}

func (s *store) Watch(ctx context.Context, _ string, after uint64) (filbertstile.Batch, error) {
	select {
	case <-ctx.Done():
		return filbertstile.Batch{}, ctx.Err()
	case <-time.After(watchWait):
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return filbertstile.Batch{}, errAway
	}
	return filbertstile.Batch{Revision: after}, nil
}

// deaf is a datagram socket on which nothing arrives.
type deaf struct{ closed chan struct{} }

func (d deaf) ReadFrom([]byte) (int, net.Addr, error)  { <-d.closed; return 0, nil, net.ErrClosed }
func (deaf) WriteTo(b []byte, _ net.Addr) (int, error) { return len(b), nil }
func (d deaf) Close() error                            { close(d.closed); return nil }

func routing() filbertstile.Routing {
	route := func(name, path string, kind filbertstile.CallKind) filbertstile.Route {
		return filbertstile.Route{
			Name: name, HostName: "a", PathPrefix: path, Kind: kind, Resumable: true, MaxAttempts: 2, Timeout: 2 * time.Second,
			Targets: []filbertstile.Target{{Service: "s", Weight: 1}},
		}
	}
	public := route("public", "/public/", filbertstile.CallIdempotent)
	public.Public = true
	homed := route("homed", "/homed/", filbertstile.CallIdempotent)
	homed.Regions = []string{"r1"}
	return filbertstile.Routing{
		Version: 1,
		Routes: filbertstile.NewTable(route("flow", "/flow/", filbertstile.CallStream), route("once", "/once/", filbertstile.CallNonIdempotent),
			public, homed),
		Accounts: filbertstile.NewTable(filbertstile.AccountAccess{Account: "clerk", Keys: []string{"k"}, Regions: []string{"r2"}}),
	}
}

func copyOf[T filbertstile.Row](s *store, prefix string, row T, log *reporter.Log, changed func()) *tracker.Tracker[T] {
	started := time.Now()
	return tracker.New(tracker.Config[T]{
		Store: s, Prefix: prefix, WatchTimeout: watchWait, Log: log, OnChange: changed,
		Clock:  func() time.Duration { return time.Since(started) },
		Decode: func(filbertstile.Object) (T, error) { return row, nil },
	})
}

// withEdge runs an entry in virtual time over a store that holds one
// configuration.
func withEdge(t *testing.T, f func(ctx context.Context, is *is.I, s *store, e *edgerunner.Edge)) {
	t.Helper()
	withEdgeBounds(t, edgerunner.Bounds{Revoke: 5 * time.Second, Version: 8 * time.Second, Stop: 8 * time.Second, Settle: 3 * time.Second}, f)
}

func withEdgeBounds(t *testing.T, b edgerunner.Bounds, f func(ctx context.Context, is *is.I, s *store, e *edgerunner.Edge)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		log := reporter.New(reporter.Config{Logger: logger})
		s := &store{count: map[string]int{"config/": 1}}
		e := edgerunner.New(edgerunner.Config{
			Self: filbertstile.Member{Name: "e1", Role: filbertstile.RoleEntry, Region: "r1", HTTPAddress: "10.0.0.1:80"}, Log: log,
			Metrics: metrics.NewRegistry(), Sweep: func() {},
			Bounds: b,
		})
		e.Connect(edgerunner.Sources{
			Routing:  copyOf(s, "config/", routing(), log, e.Refresh),
			Replicas: copyOf(s, "servers/", filbertstile.Replica{}, log, e.Refresh),
			Marks:    copyOf(s, "evacuations/", filbertstile.Mark{}, log, e.Refresh),
			Weights:  copyOf(s, "versions/", filbertstile.WeightsVersion{}, log, e.Refresh),
			Members:  copyOf(s, "members/", filbertstile.Member{}, log, e.Refresh),
		}, deaf{closed: make(chan struct{})}, 1)
		done := make(chan struct{})
		go func() { e.Run(ctx); close(done) }()
		// Also where a check fails: the bubble waits for all of its goroutines.
		defer func() { cancel(); <-done }()
		f(ctx, is.New(t), s, e)
	})
}

func settle(d time.Duration) { time.Sleep(d); synctest.Wait() }

// codeOf judges a request for the path and returns the code of its refusal.
func codeOf(e *edgerunner.Edge, path, key string) string {
	_, err := e.Judge(edgerunner.Ask{ID: "1", HostName: "a", Path: path, Key: key, Arrived: time.Now()})
	var refused filbertstile.ErrRequest
	if errors.As(err, &refused) {
		if refused.Run != filbertstile.NotRun {
			return "said to have run"
		}
		return refused.Code
	}
	return ""
}

func TestJudge(t *testing.T) {
	withEdge(t, func(_ context.Context, is *is.I, _ *store, e *edgerunner.Edge) {
		is.Equal(codeOf(e, "/once/x", "k"), edgerunner.CodeNotReady)
		is.True(!e.Ready())
		settle(time.Second)
		is.True(e.Ready())
		for _, c := range []struct{ path, key, code string }{
			{"/once/x", "k", ""},
			{"/once/x", "other", edgerunner.CodeUnknownKey},
			{"/none/", "k", edgerunner.CodeNoRoute},
			{"/public/x", "", ""},
			{"/homed/x", "k", edgerunner.CodeNoCommonRegion},
		} {
			is.Equal(codeOf(e, c.path, c.key), c.code)
		}
	})
}

// TestKeysWithoutStore has the store turn this entry away while operators may
// withdraw keys: none works any more before the bound, and again when the store
// is back. What needs no key is served all the time.
func TestKeysWithoutStore(t *testing.T) {
	withEdge(t, func(_ context.Context, is *is.I, s *store, e *edgerunner.Edge) {
		settle(3 * time.Second)
		s.setAway(true)
		awayAt := time.Now()
		for codeOf(e, "/once/x", "k") == "" {
			settle(10 * time.Millisecond)
		}
		is.Equal(codeOf(e, "/once/x", "k"), edgerunner.CodeStale)
		// The last confirmation was up to one watch before the store went away.
		is.True(time.Since(awayAt) < 5*time.Second)
		is.True(time.Since(awayAt) > 3*time.Second)
		is.Equal(codeOf(e, "/public/x", ""), "")
		is.Equal(codeOf(e, "/none/", "k"), edgerunner.CodeStale) // it may be new
		is.True(!e.Ready())
		s.setAway(false)
		settle(2 * watchWait)
		is.Equal(codeOf(e, "/once/x", "k"), "")
		is.True(e.Ready())
	})
}

// TestLateStreamsWhileLeaving has requests come long after the signal to stop:
// streams that could not end in time are refused, which the hunts showed cut.
func TestLateStreamsWhileLeaving(t *testing.T) {
	withEdge(t, func(ctx context.Context, is *is.I, _ *store, e *edgerunner.Edge) {
		settle(time.Second)
		left := make(chan struct{})
		go func() { e.Leave(ctx, 3*time.Second); close(left) }()
		settle(2 * time.Second)
		is.True(!e.Ready())
		is.Equal(codeOf(e, "/flow/x", "k"), "")
		settle(1500 * time.Millisecond)
		is.Equal(codeOf(e, "/flow/x", "k"), edgerunner.CodeLeaving)
		is.Equal(codeOf(e, "/once/x", "k"), "")
		settle(3 * time.Second)
		is.Equal(codeOf(e, "/once/x", "k"), edgerunner.CodeLeaving)
		<-left
	})
}

// TestLateStreamsWithShortStop has less time to stop than streams are usually
// taken for; the soak showed them cut.
func TestLateStreamsWithShortStop(t *testing.T) {
	withEdgeBounds(t, edgerunner.Bounds{Revoke: 5 * time.Second, Version: 8 * time.Second, Stop: 4 * time.Second}, func(ctx context.Context, is *is.I, _ *store, e *edgerunner.Edge) {
		settle(time.Second)
		left := make(chan struct{})
		go func() { e.Leave(ctx, 3*time.Second); close(left) }()
		settle(time.Second)
		is.Equal(codeOf(e, "/flow/x", "k"), "")
		settle(time.Second)
		is.Equal(codeOf(e, "/flow/x", "k"), edgerunner.CodeLeaving)
		<-left
	})
}

func TestAddresses(t *testing.T) {
	withEdge(t, func(_ context.Context, is *is.I, _ *store, e *edgerunner.Edge) {
		settle(time.Second)
		is.Equal(e.Addresses("a", "r1", 64), []string{"10.0.0.1:80"})
		is.Equal(e.Addresses("a", "elsewhere", 64), []string{"10.0.0.1:80"})
	})
}
