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

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/decisions/placer"
	"filbertstile.example/filbertstile/outside/exchanger"
	"filbertstile.example/filbertstile/shells/forwarder"
)

// runCounter is a Link to replicas that take 100 ms for a request. It counts the runs of each call at each
// replica.
type runCounter struct {
	// dialled is called before the request is written.
	dialled func(a forwarder.Attempt)

	mu   sync.Mutex
	runs map[string][]string
}

func (l *runCounter) Send(_ context.Context, a forwarder.Attempt) (forwarder.Response, error) {
	l.dialled(a)
	if err := a.CheckSend(); err != nil {
		return forwarder.Response{}, exchanger.ErrNotSent{Peer: a.Replica.ID, Cause: err}
	}
	l.mu.Lock()
	l.runs[a.Call.ID] = append(l.runs[a.Call.ID], a.Replica.ID)
	l.mu.Unlock()
	time.Sleep(100 * time.Millisecond)
	return forwarder.Response{Verdict: forwarder.Ran, Status: 200, Body: &body{Reader: strings.NewReader("answer")}, WrittenAt: time.Now()}, nil
}

// of returns the replicas that ran the call.
func (l *runCounter) of(id string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// engines returns a fleet of engines of 4 slots, whose memory holds 1,000 tokens.
func engines(ids ...string) placer.Fleet {
	spec := &filbertstile.EngineSpec{StepTime: time.Millisecond, PrefillTokensPerSecond: 20000, MemoryTokens: 1000}
	var rows []filbertstile.Replica
	for _, id := range ids {
		rows = append(rows, filbertstile.Replica{ID: id, Service: "s", Address: id, Slots: 4, Version: 1})
	}
	return placer.Fleet{Replicas: filbertstile.NewTable(rows...), Pools: filbertstile.NewTable(filbertstile.PoolSpec{Service: "s", Engine: spec}), Entries: 1}
}

func newRunCounter(f placer.Fleet) (*runCounter, *placer.Placer, *forwarder.Forwarder) {
	l, p := &runCounter{dialled: func(forwarder.Attempt) {}, runs: make(map[string][]string)}, placer.New(placer.Config{Region: "a"})
	p.SetFleet(time.Now(), f)
	return l, p, forwarder.New(forwarder.Config{
		Placer: p, Link: l, Log: reporter.New(reporter.Config{Logger: discardLog()}), RetryBudget: forwarder.RetryBudgetConfig{Ratio: 0.2, Window: 10 * time.Second, Slack: 1000},
		VersionFloor: func(string) placer.VersionFloor { return placer.VersionFloor{} }, OnRequestEnd: func(*forwarder.Call, string, time.Duration) {},
	})
}

// TestReplicaLeavesBetweenGrantAndSend guards against a request that must not be repeated and fails, runs twice, or
// reaches a replica that leaves, as the replica leaves after the request has been placed there and before it is
// written, and against slots and memory that stay taken.
func TestReplicaLeavesBetweenGrantAndSend(t *testing.T) {
	leaving := engines("first", "second")
	r, _ := leaving.Replicas.Get("first")
	r.Leaving = true
	leaving.Replicas = leaving.Replicas.With(r)
	for _, c := range []struct {
		name   string
		leaves func(p *placer.Placer)
		// mayRun is true if the replica may get the request: that the list lacks it says nothing of its process.
		mayRun bool
	}{
		{name: "listed as leaving", leaves: func(p *placer.Placer) { p.SetFleet(time.Now(), leaving) }},
		{name: "announced", leaves: func(p *placer.Placer) { p.Announced("first", time.Time{}, placer.Announcement{Leaving: true}) }},
		{name: "removed from the list", leaves: func(p *placer.Placer) { p.SetFleet(time.Now(), engines("second")) }, mayRun: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				l, p, f := newRunCounter(engines("first"))
				l.dialled = func(a forwarder.Attempt) {
					if a.Replica.ID == "first" {
						p.SetFleet(time.Now(), engines("first", "second"))
						c.leaves(p)
					}
				}
				got, now := &caller{}, time.Now()
				once := filbertstile.Route{Kind: filbertstile.CallNonIdempotent, MaxAttempts: 1, TargetLatency: time.Second}
				f.Serve(t.Context(), &forwarder.Call{ID: "1", Route: once, Service: "s", Arrived: now, Deadline: now.Add(5 * time.Second), PromptTokens: 300, OutputTokens: 400}, got)
				is.Equal(got.status, 200)
				is.Equal(len(l.of("1")), 1)
				is.True(c.mayRun || l.of("1")[0] == "second")
				states, _ := p.Dump(time.Now())
				for _, s := range states {
					is.Equal(s.Own, 0)
				}
				for _, load := range p.LocalLoads(true) {
					is.Equal(load, placer.EntryLoad{})
				}
			})
		})
	}
}

// TestStopUnderOverload guards against requests that hang, run and are called not run, or are cut, as an entry
// stops while far more requests of different priorities arrive than the replicas can serve, and against an entry
// that serves nothing more although there is time.
func TestStopUnderOverload(t *testing.T) {
	const stop, each = 4 * time.Second, 5 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := engines("first", "second")
		fleet.Priorities = map[string][]int{"s": {0, 1, 2}}
		l, p, f := newRunCounter(fleet) // 80 requests/s, and 200 arrive
		begin := time.Now().Add(2 * time.Second)
		stopAt := begin.Add(stop)
		time.AfterFunc(time.Until(begin), func() {
			f.BeginStop(forwarder.PlannedStop{
				TimeLeft: func() time.Duration { return time.Until(stopAt) }, SilenceMargin: stop / 4,
				StoppingFor: func() time.Duration { return time.Since(begin) }, EstimateWindow: estimateWindow,
			})
		})
		time.AfterFunc(time.Until(stopAt), f.Stop)
		var wg sync.WaitGroup
		var mu sync.Mutex
		servedInStop, refused := 0, 0
		for n := 0; time.Now().Before(stopAt.Add(time.Second)); n++ {
			wg.Go(func() {
				got, now := &caller{}, time.Now()
				r := filbertstile.Route{Name: fmt.Sprint(n % 3), Priority: n % 3, Kind: filbertstile.CallNonIdempotent, MaxAttempts: 1, TargetLatency: 500 * time.Millisecond, Timeout: 2 * time.Second}
				id := fmt.Sprint(n)
				f.Serve(t.Context(), &forwarder.Call{ID: id, Route: r, Service: "s", Arrived: now, Deadline: now.Add(r.Timeout), PromptTokens: 50, OutputTokens: 50}, got)
				mu.Lock()
				defer mu.Unlock()
				switch runs := len(l.of(id)); {
				case got.status == 200 && runs == 1:
					is.True(!time.Now().After(stopAt))
					if time.Now().After(begin) {
						servedInStop++
					}
				case got.failedWith(filbertstile.NotRun) && runs == 0:
					refused++
					is.True(got.failure.RetryAfter > 0)
					is.True(time.Since(now) <= r.TargetLatency)
				default:
					t.Errorf("call %s ran %d times and got %d, %+v", id, runs, got.status, got.failure)
				}
			})
			time.Sleep(each)
		}
		wg.Wait()
		t.Logf("%d served in the stop, %d refused", servedInStop, refused)
		is.True(servedInStop >= 80 && refused >= 400) // a second's worth, and half of the excess
		is.Equal(f.Usage(), forwarder.Usage{Admitted: f.Usage().Admitted})
		for _, load := range p.LocalLoads(true) {
			is.Equal(load, placer.EntryLoad{})
		}
	})
}
