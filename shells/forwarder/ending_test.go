package forwarder_test

import (
	"context"
	"fmt"
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

// answeringLink returns an answer with a length, or one that ends with its connection.
type answeringLink struct{ leaving, framed, stream bool }

func (l answeringLink) Send(context.Context, forwarder.Attempt) (forwarder.Response, error) {
	answer := "answer"
	if l.stream {
		answer = events(1, 2, nil).body
	}
	return forwarder.Response{
		Verdict: forwarder.Ran, Status: 200, Streamed: l.stream, EndsWithConnection: !l.framed, Announcement: placer.Announcement{Leaving: l.leaving}, Body: &body{Reader: strings.NewReader(answer)},
	}, nil
}

// withReplica calls f with a function that sends a call with one part to the only replica, of
// whose process the prober finds the state.
func withReplica(t *testing.T, l forwarder.Link, probes *prober, f func(is *is.I, s *suspector.Suspector, send func(part uint64) *caller)) {
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
			Placer: p, Link: l, Prober: probes, Suspector: s,
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

// TestUnframedAnswerOfLeavingReplica guards against a part of an answer without a length that is
// passed on as complete because its replica leaves, against an error in place of a complete one,
// and against requests and replicas that are blamed for a planned end.
func TestUnframedAnswerOfLeavingReplica(t *testing.T) {
	for name, c := range map[string]struct {
		state  forwarder.Liveness
		framed bool
		whole  bool
	}{
		"Alive":        {forwarder.Alive, false, true},
		"Ended":        {forwarder.Ended, false, false},
		"SilentHost":   {forwarder.Unknown, false, false},
		"EndedFramed":  {forwarder.Ended, true, true},
		"SilentFramed": {forwarder.Unknown, true, true},
	} {
		for _, stream := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/stream=%t", name, stream), func(t *testing.T) {
				link := answeringLink{leaving: true, framed: c.framed, stream: stream}
				withReplica(t, link, &prober{result: c.state, takes: time.Millisecond}, func(is *is.I, s *suspector.Suspector, send func(uint64) *caller) {
					got := send(5)
					switch {
					case c.whole && stream:
						is.Equal(got.body.String(), events(1, 2, nil).body)
						is.True(!got.aborted)
					case c.whole:
						is.Equal(got.body.String(), "answer")
					case stream:
						is.True(got.aborted) // its events have been passed on
					default:
						is.True(got.failedWith(filbertstile.Unknown))
						is.Equal(got.body.Len(), 0)
					}
					time.Sleep(time.Second)
					is.Equal(len(s.Evidence(time.Now()).Crashes), 0)
					is.Equal(s.Admit(time.Now(), []uint64{5}).Verdict, suspector.Send)
				})
			})
		}
	}
}

// TestAnswerOfCrashedFarReplicaIsIncomplete guards against an answer that ends with its
// connection and is passed on as complete before it is known that its replica has crashed.
func TestAnswerOfCrashedFarReplicaIsIncomplete(t *testing.T) {
	for _, takes := range []time.Duration{10 * time.Millisecond, 80 * time.Millisecond} {
		withReplica(t, answeringLink{}, &prober{result: forwarder.Ended, takes: takes}, func(is *is.I, _ *suspector.Suspector, send func(uint64) *caller) {
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
	withReplica(t, brokenLink{}, &prober{result: forwarder.Ended, takes: time.Millisecond}, func(is *is.I, s *suspector.Suspector, send func(uint64) *caller) {
		send(1)
		time.Sleep(10 * time.Second)
		send(2)
		s.RecordCrash(time.Now(), 77, suspector.LostRequest{Keys: []uint64{2}})
		is.Equal(s.Admit(time.Now(), []uint64{2}).Verdict, suspector.Send)
	})
}
