package forwarder_test

import (
	"context"
	"io"
	"strings"
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

// unframedLink returns a complete answer that ends with its connection.
type unframedLink struct{ leaving bool }

func (l unframedLink) Send(context.Context, forwarder.Attempt) (forwarder.Response, error) {
	return forwarder.Response{
		Verdict: forwarder.Ran, Status: 200, EndsWithConnection: true, Announcement: placer.Announcement{Leaving: l.leaving}, Body: &body{Reader: strings.NewReader("answer")},
	}, nil
}

// withEndedReplica calls f with a function that sends a call with one part to the only
// replica, whose process has ended, as a probe finds out within the given time.
func withEndedReplica(t *testing.T, l forwarder.Link, probeTakes time.Duration, f func(is *is.I, s *suspector.Suspector, send func(part uint64) *caller)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		p := placer.New(placer.Config{Region: "a"})
		p.SetFleet(time.Now(), placer.Fleet{
			Replicas: filbertstile.NewTable(filbertstile.Replica{ID: "0", Service: "s", Address: "0", Slots: 4, Born: time.Now()}),
			Pools:    filbertstile.NewTable(filbertstile.PoolSpec{Service: "s"}), Entries: 1,
		})
		s := suspector.New(suspector.Config{Self: "e"})
		fw := forwarder.New(forwarder.Config{
			Placer: p, Link: l, Prober: &prober{result: forwarder.Ended, takes: probeTakes}, Suspector: s,
			RetryBudget:  forwarder.RetryBudgetConfig{Ratio: 0.2, Window: 10 * time.Second, Slack: 100},
			Log:          reporter.New(reporter.Config{Logger: log}),
			VersionFloor: func(string) placer.VersionFloor { return placer.VersionFloor{} }, OnRequestEnd: func(*forwarder.Call, string, time.Duration) {},
		})
		f(is.New(t), s, func(part uint64) *caller {
			c, now := &caller{}, time.Now()
			r := route(filbertstile.CallNonIdempotent)
			r.MaxAttempts = 1
			fw.Serve(t.Context(), &forwarder.Call{ID: "1", Route: r, Service: "s", Arrived: now, Deadline: now.Add(6 * time.Second), PromptParts: []uint64{part}}, c)
			return c
		})
		time.Sleep(time.Second)
	})
}

// TestLastAnswerOfLeavingReplicaIsComplete guards against an answer that is replaced by a
// failure because its replica, which leaves, has ended right after it.
func TestLastAnswerOfLeavingReplicaIsComplete(t *testing.T) {
	withEndedReplica(t, unframedLink{leaving: true}, time.Millisecond, func(is *is.I, s *suspector.Suspector, send func(uint64) *caller) {
		is.Equal(send(5).body.String(), "answer")
		time.Sleep(time.Second)
		is.Equal(len(s.Evidence(time.Now()).Crashes), 0)
	})
}

// TestAnswerOfCrashedFarReplicaIsIncomplete guards against an answer that ends with its
// connection and is passed on as complete before it is known that its replica has crashed.
func TestAnswerOfCrashedFarReplicaIsIncomplete(t *testing.T) {
	for _, takes := range []time.Duration{10 * time.Millisecond, 80 * time.Millisecond} {
		withEndedReplica(t, unframedLink{}, takes, func(is *is.I, _ *suspector.Suspector, send func(uint64) *caller) {
			is.True(send(5).failedWith(filbertstile.Unknown))
		})
	}
}

// brokenLink breaks off each request.
type brokenLink struct{}

func (brokenLink) Send(context.Context, forwarder.Attempt) (forwarder.Response, error) {
	return forwarder.Response{}, exchanger.ErrNoResponse{Cause: io.ErrUnexpectedEOF, WrittenAt: time.Now()}
}

// TestLaterRequestIsNotBlamed guards against a request that was sent after a crash and counts as
// evidence of it, because the fleet still lists the start that ended.
func TestLaterRequestIsNotBlamed(t *testing.T) {
	withEndedReplica(t, brokenLink{}, time.Millisecond, func(is *is.I, s *suspector.Suspector, send func(uint64) *caller) {
		send(1)
		time.Sleep(10 * time.Second)
		send(2)
		s.RecordCrash(time.Now(), 77, suspector.LostRequest{Keys: []uint64{2}})
		is.Equal(s.Admit(time.Now(), []uint64{2}).Verdict, suspector.Send)
	})
}
