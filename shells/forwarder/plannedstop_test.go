package forwarder_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/decisions/placer"
	"filbertstile.example/filbertstile/outside/exchanger"
	"filbertstile.example/filbertstile/shells/forwarder"
)

// work is what a call asks of timedLink.
type work struct {
	// connect is the time before the request is written, and took that until the end of the
	// response.
	connect, took time.Duration
}

// timedLink leads to sound replicas. It records the calls that they ran.
type timedLink struct {
	mu  sync.Mutex
	ran map[string]bool
}

func (l *timedLink) Send(ctx context.Context, a forwarder.Attempt) (forwarder.Response, error) {
	w := a.Call.Message.(work)
	time.Sleep(w.connect)
	if err := a.CheckSend(); err != nil {
		return forwarder.Response{}, exchanger.ErrNotSent{Peer: a.Replica.ID, Cause: err}
	}
	l.mu.Lock()
	l.ran[a.Call.ID] = true
	l.mu.Unlock()
	written := time.Now()
	select {
	case <-time.After(w.took):
	case <-ctx.Done():
		return forwarder.Response{}, exchanger.ErrNoResponse{Peer: a.Replica.ID, Cause: ctx.Err(), WrittenAt: written}
	}
	return forwarder.Response{Verdict: forwarder.Ran, Status: 200, Body: &body{Reader: strings.NewReader("answer")}, WrittenAt: written}, nil
}

// estimateWindow is the time at the start of a planned stop in which it is estimated what ends
// within it. Responses to requests that were sent later must not be cut.
const estimateWindow = 3 * time.Second

// stopWorld is a forwarder whose planned stop is due.
type stopWorld struct {
	link      *timedLink
	forwarder *forwarder.Forwarder
	stopAt    time.Time
}

func newStopWorld(slots int) *stopWorld {
	w := &stopWorld{link: &timedLink{ran: make(map[string]bool)}}
	w.forwarder = newStopForwarder(slots, w.link)
	return w
}

// newStopForwarder returns a forwarder with two replicas.
func newStopForwarder(slots int, l forwarder.Link) *forwarder.Forwarder {
	p := placer.New(placer.Config{Region: "a"})
	p.SetFleet(time.Now(), placer.Fleet{
		Replicas: filbertstile.NewTable(filbertstile.Replica{ID: "first", Service: "s", Address: "first", Slots: slots}, filbertstile.Replica{ID: "second", Service: "s", Address: "second", Slots: slots}),
		Pools:    filbertstile.NewTable(filbertstile.PoolSpec{Service: "s"}), Entries: 1,
	})
	return forwarder.New(forwarder.Config{
		Placer: p, Link: l, Log: reporter.New(reporter.Config{Logger: discardLog()}), RetryBudget: forwarder.RetryBudgetConfig{Ratio: 0.2, Window: 10 * time.Second, Slack: 1000},
		VersionFloor: func(string) placer.VersionFloor { return placer.VersionFloor{} }, OnRequestEnd: func(*forwarder.Call, string, time.Duration) {},
	})
}

// beginStop begins a stop that ends after the timeout.
func (w *stopWorld) beginStop(timeout time.Duration) {
	begun := time.Now()
	w.stopAt = begun.Add(timeout)
	w.forwarder.BeginStop(forwarder.PlannedStop{
		TimeLeft: func() time.Duration { return time.Until(w.stopAt) }, SilenceMargin: min(2*time.Second, timeout/4),
		StoppingFor: func() time.Duration { return time.Since(begun) }, EstimateWindow: estimateWindow,
	})
	time.AfterFunc(timeout, w.forwarder.Stop)
}

// serve forwards a call, and returns what the caller got and whether a replica ran it.
func (w *stopWorld) serve(ctx context.Context, id string, r filbertstile.Route, limit time.Duration, todo work) (*caller, bool) {
	got, now := &caller{}, time.Now()
	w.forwarder.Serve(ctx, &forwarder.Call{ID: id, Route: r, Service: "s", Arrived: now, Deadline: now.Add(limit), Message: todo}, got)
	w.link.mu.Lock()
	defer w.link.mu.Unlock()
	return got, w.link.ran[id]
}

// TestWhatIsSentInStopIsAnswered guards against calls that are sent late in a planned stop and
// cut at its end, and against refusals of calls that ran.
func TestWhatIsSentInStopIsAnswered(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		timeout := rapid.SampledFrom([]time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second, 20 * time.Second}).Draw(rt, "stop")
		slots := rapid.IntRange(1, 8).Draw(rt, "slots")
		kinds := []filbertstile.CallKind{filbertstile.CallNonIdempotent, filbertstile.CallIdempotent}
		var routes []filbertstile.Route
		var limits, longest []time.Duration
		for i := range 3 {
			r := filbertstile.Route{Name: fmt.Sprint(i), Kind: kinds[rapid.IntRange(0, 1).Draw(rt, "kind")], MaxAttempts: 2, TargetLatency: 30 * time.Second}
			limit := time.Duration(rapid.IntRange(500, 30_000).Draw(rt, "limit")) * time.Millisecond
			routes, limits = append(routes, r), append(limits, limit)
			longest = append(longest, time.Duration(float64(limit)*rapid.Float64Range(0.01, 0.9).Draw(rt, "took")))
		}
		known := rapid.Bool().Draw(rt, "known")
		type arrival struct {
			route int
			at    time.Duration
			work  work
		}
		var arrivals []arrival
		for range rapid.IntRange(1, 30).Draw(rt, "calls") {
			a := arrival{route: rapid.IntRange(0, 2).Draw(rt, "route"), at: time.Duration(rapid.IntRange(-2000, int(timeout.Milliseconds())).Draw(rt, "at")) * time.Millisecond}
			a.work.took = time.Duration(float64(longest[a.route]) * rapid.Float64Range(0.8, 1).Draw(rt, "part"))
			a.work.connect = time.Duration(rapid.SampledFrom([]int{0, 0, 0, 300, 700}).Draw(rt, "connect")) * time.Millisecond
			arrivals = append(arrivals, a)
		}
		synctest.Test(t, func(t *testing.T) {
			w := newStopWorld(slots)
			var wg sync.WaitGroup
			if known {
				for i := range routes {
					for n := range 10 {
						w.serve(t.Context(), fmt.Sprintf("warm-%d-%d", i, n), routes[i], limits[i], work{took: longest[i] * 9 / 10})
					}
				}
			}
			begin := time.Now().Add(2 * time.Second)
			time.AfterFunc(2*time.Second, func() { w.beginStop(timeout) })
			for n, a := range arrivals {
				wg.Go(func() {
					time.Sleep(time.Until(begin.Add(a.at)))
					arrived := time.Now()
					got, ran := w.serve(t.Context(), fmt.Sprint(n), routes[a.route], limits[a.route], a.work)
					switch {
					case got.status == 200:
					case ran && !arrived.Add(limits[a.route]).After(time.Now()): // its own limit
					case ran && !arrived.After(begin): // sent before the stop was known
					case ran:
						rt.Errorf("call %d of route %d, %s of a stop of %s, ran and got %+v after %s", n, a.route, a.at, timeout, got.failure, time.Since(arrived))
					case !got.failedWith(filbertstile.NotRun):
						rt.Errorf("call %d did not run and got %+v", n, got.failure)
					}
				})
			}
			wg.Wait()
			time.Sleep(time.Minute) // until Stop has been called
		})
	})
}

// TestQueuedRequestThatCannotEndIsRefused guards against requests that wait for a free replica
// until the end of a planned stop, and that other entries could have served meanwhile.
func TestQueuedRequestThatCannotEndIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newStopWorld(1)
		r := filbertstile.Route{Name: "r", Kind: filbertstile.CallNonIdempotent, MaxAttempts: 1, TargetLatency: 20 * time.Second}
		for i := range 2 {
			go w.serve(t.Context(), fmt.Sprint("busy-", i), r, 7*time.Second, work{took: 6 * time.Second})
		}
		synctest.Wait()
		queuedAt := time.Now()
		time.AfterFunc(100*time.Millisecond, func() { w.beginStop(8 * time.Second) })
		got, ran := w.serve(t.Context(), "queued", r, 10*time.Second, work{took: time.Second})
		is.True(!ran)
		is.True(got.failedWith(filbertstile.NotRun))
		is.True(got.failure.RetryAfter > 0)
		is.Equal(time.Since(queuedAt), 100*time.Millisecond)
		time.Sleep(time.Minute)
	})
}

// TestSlowConnectionInStopSendsNothing guards against a request that is written after the time at
// which its response could still have been complete.
func TestSlowConnectionInStopSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newStopWorld(4)
		r := filbertstile.Route{Name: "r", Kind: filbertstile.CallNonIdempotent, MaxAttempts: 1}
		for i := range 10 {
			w.serve(t.Context(), fmt.Sprint("warm-", i), r, 20*time.Second, work{took: 2 * time.Second})
		}
		w.beginStop(8 * time.Second)
		got, ran := w.serve(t.Context(), "prompt", r, 20*time.Second, work{took: 2 * time.Second})
		is.True(ran)
		is.Equal(got.status, 200)
		time.Sleep(time.Until(w.stopAt.Add(-4800 * time.Millisecond)))
		got, ran = w.serve(t.Context(), "late", r, 20*time.Second, work{connect: 300 * time.Millisecond, took: 2 * time.Second})
		is.True(!ran)
		is.True(got.failedWith(filbertstile.NotRun))
		is.Equal(got.failure.Code, forwarder.CodeStopping)
		time.Sleep(time.Minute)
	})
}

// TestSlowResponsesAreNotCutInStop guards against requests that come late in a planned stop, take
// longer than others have lately, and are cut at its end.
func TestSlowResponsesAreNotCutInStop(t *testing.T) {
	const stop, usual = 8 * time.Second, 500 * time.Millisecond
	for _, kind := range []filbertstile.CallKind{filbertstile.CallNonIdempotent, filbertstile.CallIdempotent} {
		for at := time.Duration(0); at < stop; at += 100 * time.Millisecond {
			for _, limit := range []time.Duration{time.Second, 3 * time.Second, 6 * time.Second} {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					w := newStopWorld(4)
					r := filbertstile.Route{Name: "r", Kind: kind, MaxAttempts: 1, TargetLatency: time.Minute}
					for i := range 10 {
						w.serve(t.Context(), fmt.Sprint("usual-", i), r, limit, work{took: usual})
					}
					w.beginStop(stop)
					time.Sleep(at)
					arrived := time.Now()
					got, ran := w.serve(t.Context(), "slow", r, limit, work{took: limit - limit/10})
					switch {
					case got.status == 200:
					case ran && at > estimateWindow:
						t.Errorf("sent %s after the stop began with a limit of %s, ran and got %+v after %s", at, limit, got.failure, time.Since(arrived))
					case !ran:
						is.True(got.failedWith(filbertstile.NotRun))
						is.True(got.failure.RetryAfter > 0)
						is.True(arrived.Add(limit).After(w.stopAt)) // it might not have ended in time
					}
					time.Sleep(time.Minute)
				})
			}
		}
	}
}
