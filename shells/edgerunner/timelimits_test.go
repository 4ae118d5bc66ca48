package edgerunner

import (
	"context"
	"fmt"
	"io"
	"net"
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
	"filbertstile.example/filbertstile/decisions/matcher"
	"filbertstile.example/filbertstile/decisions/placer"
	"filbertstile.example/filbertstile/outside/exchanger"
	"filbertstile.example/filbertstile/shells/forwarder"
)

// timedReplicas are replicas whose answers take a given time. They stop at the deadline that they
// receive.
type timedReplicas struct {
	// readyAfter is the time until the end of an answer, and breaksAfter that until the
	// connection breaks; 0 means that it does not.
	readyAfter, breaksAfter time.Duration

	mu        sync.Mutex
	deadlines []time.Time
	atWork    int
}

func (l *timedReplicas) Send(ctx context.Context, a forwarder.Attempt) (forwarder.Response, error) {
	if err := a.CheckSend(); err != nil {
		return forwarder.Response{}, exchanger.ErrNotSent{Cause: err}
	}
	l.mu.Lock()
	l.deadlines = append(l.deadlines, a.Deadline)
	l.mu.Unlock()
	written := time.Now()
	ready, stop := time.After(l.readyAfter), time.After(time.Until(a.Deadline))
	var breaks <-chan time.Time
	if l.breaksAfter > 0 {
		breaks = time.After(l.breaksAfter)
	}
	wait := func() error {
		l.working(1)
		defer l.working(-1)
		select {
		case <-ready:
			return nil
		case <-stop:
		case <-breaks:
		case <-ctx.Done():
			return net.ErrClosed
		}
		return io.ErrUnexpectedEOF
	}
	resp := forwarder.Response{Verdict: forwarder.Ran, Status: 200, WrittenAt: written}
	if a.Call.Route.Kind == filbertstile.CallStream {
		first := fmt.Sprintf("id: %d\ndata: x\n\n", a.LastEventID.Number()+1)
		resp.Streamed, resp.Body = true, &timedBody{parts: []string{first, fmt.Sprintf("id: %d\ndata: x\n\n", a.LastEventID.Number()+2)}, wait: wait}
		return resp, nil
	}
	if err := wait(); err != nil {
		return forwarder.Response{}, exchanger.ErrNoResponse{Cause: err, WrittenAt: written}
	}
	resp.Body = &timedBody{parts: []string{"answer"}}
	return resp, nil
}

func (l *timedReplicas) working(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.atWork += n
}

// timedBody is a body whose last part and end arrive after a wait.
type timedBody struct {
	parts []string
	wait  func() error
}

func (b *timedBody) Read(p []byte) (int, error) {
	if len(b.parts) == 0 {
		return 0, io.EOF
	}
	if len(b.parts) == 1 && b.wait != nil {
		if err := b.wait(); err != nil {
			return 0, err
		}
	}
	part := b.parts[0]
	b.parts = b.parts[1:]
	return copy(p, part), nil
}
func (*timedBody) Discard() {}
func (*timedBody) Close()   {}

// timedCaller records what the caller gets.
type timedCaller struct {
	body    strings.Builder
	failure *filbertstile.ErrRequest
	aborted bool
}

func (c *timedCaller) WriteResponse(_ forwarder.Response, b []byte) error {
	c.body.Write(b)
	return nil
}
func (*timedCaller) WriteHeader(forwarder.Response) error   { return nil }
func (c *timedCaller) WriteEvent(e []byte) error            { c.body.Write(e); return nil }
func (*timedCaller) Flush() error                           { return nil }
func (c *timedCaller) WriteError(e filbertstile.ErrRequest) { c.failure = &e }
func (c *timedCaller) Abort()                               { c.aborted = true }

// whole reports whether the caller has the complete answer to a request of the kind.
func (c *timedCaller) whole(kind filbertstile.CallKind) bool {
	want := "answer"
	if kind == filbertstile.CallStream {
		want = "id: 1\ndata: x\n\nid: 2\ndata: x\n\n"
	}
	return c.failure == nil && !c.aborted && c.body.String() == want
}

// timedRouting returns a routing with one route.
func timedRouting(version int64, kind filbertstile.CallKind, timeout time.Duration) filbertstile.Routing {
	attempts := 2
	if kind == filbertstile.CallNonIdempotent {
		attempts = 1
	}
	return filbertstile.Routing{
		Version: version, Accounts: filbertstile.NewTable(filbertstile.AccountAccess{Account: "clerk", Keys: []string{"k"}}),
		Routes: filbertstile.NewTable(filbertstile.Route{
			Name: "r", HostName: "a", PathPrefix: "/x/", Kind: kind, Timeout: timeout, TargetLatency: 300 * time.Millisecond, MaxAttempts: attempts, Resumable: true,
			Targets: []filbertstile.Target{{Service: "s", Weight: 1}},
		}),
	}
}

// limitChange is a change of the routing while a request runs.
type limitChange struct {
	after  time.Duration
	change func(filbertstile.Routing) filbertstile.Routing
}

// setTimeout returns the change of the route's timeout.
func setTimeout(timeout time.Duration) func(filbertstile.Routing) filbertstile.Routing {
	return func(r filbertstile.Routing) filbertstile.Routing {
		route, _ := r.Routes.Get("r")
		route.Timeout = timeout
		r.Routes = r.Routes.With(route)
		return r
	}
}

// withCatchAll adds a route for all paths.
func withCatchAll(r filbertstile.Routing) filbertstile.Routing {
	r.Routes = r.Routes.With(filbertstile.Route{Name: "all", HostName: "a", PathPrefix: "/", Timeout: 5 * time.Second, Targets: []filbertstile.Target{{Service: "s", Weight: 1}}})
	return r
}

// removeRoute removes the route; another one serves its paths.
func removeRoute(r filbertstile.Routing) filbertstile.Routing {
	r.Routes = r.Routes.Without("r")
	return withCatchAll(r)
}

// moveRoute gives the route other paths, and another service.
func moveRoute(r filbertstile.Routing) filbertstile.Routing {
	route, _ := r.Routes.Get("r")
	route.PathPrefix, route.Timeout, route.Targets = "/y/", 5*time.Second, []filbertstile.Target{{Service: "t", Weight: 1}}
	r.Routes = r.Routes.With(route)
	return withCatchAll(r)
}

// removeAccount removes the account and its key.
func removeAccount(r filbertstile.Routing) filbertstile.Routing {
	r.Accounts = filbertstile.NewTable(filbertstile.AccountAccess{Account: "other", Keys: []string{"k2"}})
	return r
}

// timedPlay is a request to replicas whose answers take a given time.
type timedPlay struct {
	kind filbertstile.CallKind
	// routeTimeout and callerTimeout are the limits as the request arrives; 0 is none.
	routeTimeout, callerTimeout time.Duration
	replicas                    *timedReplicas
	replicaCount, slots         int
	changes                     []limitChange
	// ahead is the number of requests that have arrived just before.
	ahead int
}

// serve serves the request in virtual time.
func (q timedPlay) serve(t *testing.T) (c *timedCaller, took time.Duration) {
	t.Helper()
	c = &timedCaller{}
	synctest.Test(t, func(t *testing.T) {
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		e := New(Config{
			Metrics: metrics.NewRegistry(), Log: reporter.New(reporter.Config{Logger: logger}), Link: q.replicas, Clock: newNewsStore().clock,
			Bounds:      Bounds{RevokeTimeout: time.Hour, StopTimeout: 8 * time.Second},
			RetryBudget: forwarder.RetryBudgetConfig{Ratio: 0.2, Window: 10 * time.Second, Slack: 100},
		})
		e.sources = newNewsEntry(newNewsStore()).sources
		e.matcher.Store(matcher.New(timedRouting(1, q.kind, q.routeTimeout)))
		var rows []filbertstile.Replica
		for i := range max(1, q.replicaCount) {
			id := fmt.Sprint("i-", i)
			rows = append(rows, filbertstile.Replica{ID: id, Service: "s", Address: id, Slots: max(1, q.slots)})
		}
		e.placer.SetFleet(time.Now(), placer.Fleet{Replicas: filbertstile.NewTable(rows...), Pools: filbertstile.NewTable(filbertstile.PoolSpec{Service: "s"}), Entries: 1})
		for _, x := range q.changes {
			time.AfterFunc(x.after, func() {
				r := x.change(e.matcher.Load().Routing())
				r.Version++
				e.applyRouting(r)
			})
		}
		send := func(w *timedCaller) {
			call, err := e.Admit(Request{ID: "1", HostName: "a", Path: "/x/1", Key: "k", Timeout: q.callerTimeout, Arrived: time.Now()})
			if err != nil {
				t.Error(err)
				return
			}
			e.Serve(t.Context(), call, w)
		}
		var wg sync.WaitGroup
		for range q.ahead {
			wg.Go(func() { send(&timedCaller{}) })
			synctest.Wait()
		}
		started := time.Now()
		send(c)
		took = time.Since(started)
		wg.Wait()
		for _, deadline := range q.replicas.deadlines {
			if q.callerTimeout > 0 && deadline.After(started.Add(q.callerTimeout)) {
				t.Errorf("a replica may work until %s after the caller's limit", deadline.Sub(started.Add(q.callerTimeout)))
			}
		}
		synctest.Wait()
		if q.replicas.atWork > 0 {
			t.Errorf("%d replicas work on", q.replicas.atWork)
		}
	})
	return c, took
}

var timedKinds = []filbertstile.CallKind{filbertstile.CallStream, filbertstile.CallIdempotent, filbertstile.CallNonIdempotent}

// TestAnswersWithinTheirLimitAreWhole guards against an answer that the entry ends although the
// limits that hold, by the latest known configuration or at admission, leave it the time.
func TestAnswersWithinTheirLimitAreWhole(t *testing.T) {
	const second = time.Second
	at := func(after time.Duration, change func(filbertstile.Routing) filbertstile.Routing) limitChange {
		return limitChange{after, change}
	}
	for _, c := range []struct {
		name         string
		route, ready time.Duration
		changes      []limitChange
	}{
		{name: "JustBeforeLimit", route: second, ready: 985 * time.Millisecond},
		{name: "JustBeforeLongLimit", route: 4 * second, ready: 3985 * time.Millisecond},
		{name: "JustBeforeShortLimit", route: 60 * time.Millisecond, ready: 57 * time.Millisecond},
		{name: "AtLimit", route: second, ready: second},
		{name: "Raised", route: second, ready: 2 * second, changes: []limitChange{at(300*time.Millisecond, setTimeout(5*second))}},
		{name: "RaisedLate", route: second, ready: 2 * second, changes: []limitChange{at(990*time.Millisecond, setTimeout(5*second))}},
		{name: "RaisedToUnlimited", route: second, ready: 5 * second, changes: []limitChange{at(300*time.Millisecond, setTimeout(0))}},
		{name: "RaisedTwice", route: second, ready: 2500 * time.Millisecond, changes: []limitChange{at(300*time.Millisecond, setTimeout(1500*time.Millisecond)), at(1400*time.Millisecond, setTimeout(3*second))}},
		{name: "LoweredAndRaised", route: second, ready: 2 * second, changes: []limitChange{at(300*time.Millisecond, setTimeout(500*time.Millisecond)), at(800*time.Millisecond, setTimeout(3*second))}},
		{name: "RaisedAndLowered", route: second, ready: 985 * time.Millisecond, changes: []limitChange{at(300*time.Millisecond, setTimeout(3*second)), at(800*time.Millisecond, setTimeout(second/2))}},
		{name: "Lowered", route: 5 * second, ready: 2 * second, changes: []limitChange{at(300*time.Millisecond, setTimeout(second))}},
		{name: "RouteRemoved", route: second, ready: 985 * time.Millisecond, changes: []limitChange{at(300*time.Millisecond, removeRoute)}},
		{name: "RouteMoved", route: second, ready: 985 * time.Millisecond, changes: []limitChange{at(300*time.Millisecond, moveRoute)}},
		{name: "AccountRemoved", route: second, ready: 985 * time.Millisecond, changes: []limitChange{at(300*time.Millisecond, removeAccount)}},
	} {
		for _, kind := range timedKinds {
			for _, callerTimeout := range []time.Duration{0, 6 * time.Second} {
				t.Run(fmt.Sprintf("%s/%s/%s", c.name, kind, callerTimeout), func(t *testing.T) {
					got, took := timedPlay{kind: kind, routeTimeout: c.route, callerTimeout: callerTimeout, replicas: &timedReplicas{readyAfter: c.ready}, changes: c.changes}.serve(t)
					if !got.whole(kind) || took != c.ready {
						t.Errorf("got %q, failure %v, aborted %v after %s; want the whole answer after %s", got.body.String(), got.failure, got.aborted, took, c.ready)
					}
				})
			}
		}
	}
}

// TestRequestsEndSoonAfterTheirLimit guards against requests that end before the limit that holds,
// or later than shortly after it, and against replicas that work on.
func TestRequestsEndSoonAfterTheirLimit(t *testing.T) {
	const (
		second = time.Second
		never  = time.Hour
		soon   = 100 * time.Millisecond
	)
	raise := []limitChange{{300 * time.Millisecond, setTimeout(3 * second)}}
	for _, c := range []struct {
		name string
		play timedPlay
		// want is the limit that holds.
		want time.Duration
		// exact is true for the caller's limit.
		exact bool
		// early is true if the request may be rejected before.
		early bool
	}{
		{name: "Route", play: timedPlay{routeTimeout: second}, want: second},
		{name: "RouteBeforeCaller", play: timedPlay{routeTimeout: second, callerTimeout: 3 * second}, want: second},
		{name: "Caller", play: timedPlay{routeTimeout: 3 * second, callerTimeout: second}, want: second, exact: true},
		{name: "CallerJustAfterRoute", play: timedPlay{routeTimeout: second, callerTimeout: second + 10*time.Millisecond}, want: second + 10*time.Millisecond, exact: true},
		{name: "Raised", play: timedPlay{routeTimeout: second, changes: raise}, want: 3 * second},
		{name: "RaisedPastCaller", play: timedPlay{routeTimeout: second, callerTimeout: 2 * second, changes: raise}, want: 2 * second, exact: true},
		{name: "Lowered", play: timedPlay{routeTimeout: 3 * second, changes: []limitChange{{300 * time.Millisecond, setTimeout(second)}}}, want: 3 * second},
		{name: "RaisedAndLowered", play: timedPlay{routeTimeout: second, changes: []limitChange{raise[0], {600 * time.Millisecond, setTimeout(second)}}}, want: second},
		{name: "RouteRemoved", play: timedPlay{routeTimeout: second, changes: []limitChange{{300 * time.Millisecond, removeRoute}}}, want: second},
		{name: "RouteMoved", play: timedPlay{routeTimeout: second, changes: []limitChange{{300 * time.Millisecond, moveRoute}}}, want: second},
		{name: "AccountRemoved", play: timedPlay{routeTimeout: second, changes: []limitChange{{300 * time.Millisecond, removeAccount}}}, want: second},
		{name: "BackupRuns", play: timedPlay{routeTimeout: 2 * second, replicaCount: 2}, want: 2 * second},
		{name: "BackupRunsRaised", play: timedPlay{routeTimeout: second, replicaCount: 2, changes: raise}, want: 3 * second},
		{name: "Queued", play: timedPlay{routeTimeout: 200 * time.Millisecond, slots: 1, ahead: 8}, want: 200 * time.Millisecond, early: true},
		{name: "BetweenAttempts", play: timedPlay{routeTimeout: second, replicaCount: 3, replicas: &timedReplicas{readyAfter: never, breaksAfter: 490 * time.Millisecond}}, want: second, early: true},
	} {
		for _, kind := range timedKinds {
			t.Run(fmt.Sprintf("%s/%s", c.name, kind), func(t *testing.T) {
				is := is.New(t)
				c.play.kind = kind
				if c.play.replicas == nil {
					c.play.replicas = &timedReplicas{readyAfter: never}
				} else {
					c.play.replicas = &timedReplicas{readyAfter: never, breaksAfter: c.play.replicas.breaksAfter}
				}
				got, took := c.play.serve(t)
				t.Log(took)
				is.True(got.aborted || got.failure != nil)
				is.True(!c.exact || took == c.want)
				is.True(c.early || took >= c.want)
				is.True(took < c.want+soon)
			})
		}
	}
}
