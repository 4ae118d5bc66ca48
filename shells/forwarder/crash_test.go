package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/decisions/placer"
	"filbertstile.example/filbertstile/decisions/suspector"
	"filbertstile.example/filbertstile/outside/exchanger"
	"filbertstile.example/filbertstile/shells/forwarder"
)

// prober is a Prober whose replicas are all in one state.
type prober struct {
	result forwarder.Liveness
	// takes is the time until the result; a silent host has none before the context ends.
	takes  time.Duration
	probes atomic.Int32
}

func (p *prober) Probe(ctx context.Context, _ string) forwarder.Liveness {
	p.probes.Add(1)
	select {
	case <-time.After(p.takes):
		return p.result
	case <-ctx.Done():
		return forwarder.Unknown
	}
}

var (
	ended  = prober{result: forwarder.Ended, takes: time.Millisecond}
	alive  = prober{result: forwarder.Alive, takes: time.Millisecond}
	silent = prober{takes: time.Hour}
)

// crashRig is a forwarder whose replicas' processes are in the state of the prober.
type crashRig struct {
	is        *is.I
	ctx       context.Context
	prober    *prober
	placer    *placer.Placer
	suspector *suspector.Suspector
	evidence  atomic.Int32
}

// withCrashRig runs f in virtual time.
func withCrashRig(t *testing.T, p *prober, f func(r *crashRig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := &crashRig{
			is: is.New(t), ctx: t.Context(), prober: &prober{result: p.result, takes: p.takes}, placer: placer.New(placer.Config{Region: "a"}),
			suspector: suspector.New(suspector.Config{Self: "e"}),
		}
		f(r)
		time.Sleep(time.Second) // checks in progress end
	})
}

// setReplicas starts n replicas in place of those before.
func (r *crashRig) setReplicas(n int) {
	var rows []filbertstile.Replica
	for i := range n {
		rows = append(rows, filbertstile.Replica{ID: fmt.Sprint(i), Born: time.Now(), Service: "s", Address: fmt.Sprint(i), Slots: 100})
	}
	r.placer.SetFleet(time.Now(), placer.Fleet{
		Replicas: filbertstile.NewTable(rows...), Pools: filbertstile.NewTable(filbertstile.PoolSpec{Service: "s"}), Entries: 1,
	})
}

// serve forwards one stream with the parts.
func (r *crashRig) serve(ctx context.Context, link forwarder.Link, parts ...uint64) *caller {
	log := logrus.New()
	log.SetOutput(io.Discard)
	c, now := &caller{}, time.Now()
	f := forwarder.New(r.config(link, log))
	f.Serve(ctx, &forwarder.Call{ID: "1", Route: route(filbertstile.CallStream), Service: "s", Arrived: now, Deadline: now.Add(6 * time.Second), PromptParts: parts}, c)
	return c
}

func (r *crashRig) config(link forwarder.Link, log *logrus.Logger) forwarder.Config {
	return forwarder.Config{
		Placer: r.placer, Link: link, Suspector: r.suspector, Prober: r.prober, OnNews: func() { r.evidence.Add(1) },
		RetryBudget: forwarder.RetryBudgetConfig{Ratio: 0.2, Window: 10 * time.Second, Slack: 100}, Log: reporter.New(reporter.Config{Logger: log}),
		VersionFloor: func(string) placer.VersionFloor { return placer.VersionFloor{} }, OnRequestEnd: func(*forwarder.Call, string, time.Duration) {},
	}
}

// TestCrashIsToldFromOtherEnds guards against parts that are blamed for connections that a
// running process has reset, or for hosts that have lost power, and against crashes that
// are not noticed.
func TestCrashIsToldFromOtherEnds(t *testing.T) {
	for name, c := range map[string]struct {
		prober *prober
		sends  int
	}{"ended": {&ended, 2}, "alive": {&alive, 8}, "silent": {&silent, 8}} {
		t.Run(name, func(t *testing.T) {
			withCrashRig(t, c.prober, func(r *crashRig) {
				sends := 0
				for range 4 {
					r.setReplicas(6)
					s := &script{steps: []step{connectionLost}}
					r.serve(r.ctx, s, 7, 8)
					sends += len(s.sent)
					time.Sleep(time.Second)
				}
				// The first request ends two replicas at once, and two more are trials.
				blocked := len(r.suspector.Dump(time.Now())) == 2
				r.is.Equal(blocked, name == "ended")
				if name == "ended" {
					r.is.True(sends <= 4)
				} else {
					r.is.Equal(sends, c.sends)
				}
			})
		})
	}
}

// TestSilentHostDelaysRetryLittle guards against requests that wait for a host without power
// before they are sent to another replica.
func TestSilentHostDelaysRetryLittle(t *testing.T) {
	withCrashRig(t, &silent, func(r *crashRig) {
		r.setReplicas(6)
		started := time.Now()
		c := r.serve(r.ctx, &script{steps: []step{connectionLost, events(1, 3, nil)}}, 7)
		r.is.Equal(c.status, 200)
		r.is.True(time.Since(started) < 100*time.Millisecond)
	})
}

func discardLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func notSentBecause(err error) error { return exchanger.ErrNotSent{Cause: err} }

// lostLater is a Link whose requests each end 50 ms after they were sent.
type lostLater struct{ sends atomic.Int32 }

func (l *lostLater) Send(context.Context, forwarder.Attempt) (forwarder.Response, error) {
	l.sends.Add(1)
	time.Sleep(50 * time.Millisecond)
	return forwarder.Response{}, connectionLost.err
}

// lostTogether is a Link whose requests all end together.
type lostTogether struct{ at time.Time }

func (l lostTogether) Send(context.Context, forwarder.Attempt) (forwarder.Response, error) {
	time.Sleep(time.Until(l.at))
	return forwarder.Response{}, connectionLost.err
}

// TestConnectionsThatEndTogetherAreProbedOnce guards against a connection to a crashed
// replica for each of its requests.
func TestConnectionsThatEndTogetherAreProbedOnce(t *testing.T) {
	withCrashRig(t, &ended, func(r *crashRig) {
		r.setReplicas(1)
		log := logrus.New()
		log.SetOutput(io.Discard)
		f := forwarder.New(r.config(lostTogether{at: time.Now().Add(time.Second)}, log))
		var wg sync.WaitGroup
		for i := range 40 {
			wg.Go(func() {
				now := time.Now()
				f.Serve(r.ctx, &forwarder.Call{Route: route(filbertstile.CallStream), Service: "s", Arrived: now, Deadline: now.Add(3 * time.Second), PromptParts: []uint64{uint64(i)}}, &caller{})
			})
		}
		wg.Wait()
		r.is.Equal(r.prober.probes.Load(), int32(1))
		e := r.suspector.Evidence(time.Now())
		r.is.Equal(len(e.Crashes), 1)
		r.is.Equal(len(e.Crashes[0].Keys), 40) // each request's part is a suspect
		r.is.True(r.evidence.Load() > 0)
	})
}

// TestOwnCancelIsNotProbed guards against probes and blame after the entry itself has ended
// a request, or while the replica loads weights.
func TestOwnCancelIsNotProbed(t *testing.T) {
	withCrashRig(t, &ended, func(r *crashRig) {
		r.setReplicas(6)
		r.serve(r.ctx, &script{steps: []step{responseTimeout}}, 7)
		ctx, cancel := context.WithTimeout(r.ctx, 100*time.Millisecond)
		defer cancel()
		r.serve(ctx, &script{steps: []step{responseTimeout}}, 7)
		for i := range 6 {
			r.placer.SetReplicaLoad(time.Now(), fmt.Sprint(i), placer.ReplicaLoad{Loading: true})
		}
		r.serve(r.ctx, &script{steps: []step{connectionLost}}, 7)
		r.is.Equal(r.prober.probes.Load(), int32(0))
	})
}

// TestRefusalOfBlockedPart guards against a refusal that says "not run" after the request
// was sent, that has no retry delay though nothing was sent, or that comes late.
func TestRefusalOfBlockedPart(t *testing.T) {
	withCrashRig(t, &ended, func(r *crashRig) {
		r.setReplicas(6)
		s := &script{steps: []step{connectionLost}}
		c := r.serve(r.ctx, s, 7)
		r.is.True(c.failedWith(filbertstile.Unknown))
		r.is.Equal(c.failure.RetryAfter, time.Duration(0))
		r.suspector.RecordCrash(time.Now().Add(400*time.Millisecond), 100, suspector.LostRequest{Keys: []uint64{7}})
		r.suspector.RecordCrash(time.Now().Add(800*time.Millisecond), 101, suspector.LostRequest{Keys: []uint64{7}})
		started := time.Now()
		s = &script{steps: []step{connectionLost}}
		c = r.serve(r.ctx, s, 5, 7)
		r.is.Equal(len(s.sent), 0)
		r.is.Equal(time.Since(started), time.Duration(0))
		r.is.True(c.failedWith(filbertstile.NotRun))
		r.is.Equal(c.failure.Code, forwarder.CodePromptPart)
		r.is.True(c.failure.RetryAfter > time.Minute)
		s = &script{steps: []step{events(1, 3, nil)}}
		r.is.Equal(r.serve(r.ctx, s, 5).status, 200) // the other part is free
	})
}

// TestAnswerThatEndsWithItsConnection guards against an answer that is taken as complete
// though its replica crashed in it, and against one that is sent again though it was
// complete.
func TestAnswerThatEndsWithItsConnection(t *testing.T) {
	unframed := func(s step) step { s.unframed = true; return s }
	empty := unframed(step{verdict: forwarder.Ran, status: 200, stream: true})
	for name, c := range map[string]struct {
		prober *prober
		first  step
		sends  int
	}{
		"empty":          {&alive, empty, 2},
		"empty, crashed": {&ended, empty, 2},
		"crashed":        {&ended, unframed(events(1, 2, nil)), 2},
		"complete":       {&alive, unframed(events(1, 2, nil)), 1},
	} {
		t.Run(name, func(t *testing.T) {
			withCrashRig(t, c.prober, func(r *crashRig) {
				r.setReplicas(6)
				s := &script{steps: []step{c.first, events(1, 4, nil)}}
				r.is.Equal(r.serve(r.ctx, s, 7).status, 200)
				r.is.Equal(len(s.sent), c.sends)
			})
		})
	}
}
