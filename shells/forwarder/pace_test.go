package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/decisions/placer"
	"filbertstile.example/filbertstile/shells/forwarder"
)

// timedEvents is a Link, and the body of its response: a stream with an event after each interval.
type timedEvents struct {
	start    time.Time
	interval time.Duration
	sent     int
	total    int
}

func (b *timedEvents) Send(context.Context, forwarder.Attempt) (forwarder.Response, error) {
	b.start = time.Now()
	return forwarder.Response{Verdict: forwarder.Ran, Status: 200, Streamed: true, Body: b}, nil
}

func (b *timedEvents) Read(p []byte) (int, error) {
	if b.sent == b.total {
		return 0, io.EOF
	}
	b.sent++
	time.Sleep(time.Until(b.start.Add(time.Duration(b.sent) * b.interval)))
	return copy(p, fmt.Sprintf("id: %d\ndata: x\n\n", b.sent)), nil
}

func (*timedEvents) Discard() {}
func (*timedEvents) Close()   {}

// slowCaller is a caller that takes a time for each event.
type slowCaller struct {
	caller
	perEvent time.Duration
}

func (c *slowCaller) WriteEvent(e []byte) error {
	time.Sleep(c.perEvent)
	return c.caller.WriteEvent(e)
}

// TestPaceOfStream guards against an engine that is slower than it reports and is not seen to be,
// against one that looks slow because its callers are, and against outputs that are miscounted.
func TestPaceOfStream(t *testing.T) {
	const specified = 50 * time.Millisecond
	for _, x := range []struct {
		interval, perEvent time.Duration
		slow               bool
	}{{specified, 0, false}, {specified, 3 * specified, false}, {specified, specified / 2, false}, {5 * specified / 2, 0, true}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			log := logrus.New()
			log.SetOutput(io.Discard)
			p := placer.New(placer.Config{})
			engine := filbertstile.EngineSpec{StepTime: specified / 5, StepsPerEvent: 5}
			p.SetFleet(time.Now(), placer.Fleet{
				Pools:    filbertstile.NewTable(filbertstile.PoolSpec{Service: "s", Engine: &engine}),
				Replicas: filbertstile.NewTable(filbertstile.Replica{ID: "r", Service: "s", Address: "r:1", Slots: 12, Version: 1}),
			})
			p.SetReplicaLoad(time.Now(), "r:1", placer.ReplicaLoad{Version: 1, Pace: 1})
			f := forwarder.New(forwarder.Config{Placer: p, Link: &timedEvents{interval: x.interval, total: 12}, Log: reporter.New(reporter.Config{Logger: log}), VersionFloor: func(string) placer.VersionFloor { return placer.VersionFloor{} }, OnRequestEnd: func(*forwarder.Call, string, time.Duration) {}})
			call := &forwarder.Call{Route: route(filbertstile.CallStream), Service: "s", Arrived: time.Now(), Deadline: time.Now().Add(time.Minute), OutputTokens: 60}
			f.Serve(t.Context(), call, &slowCaller{perEvent: x.perEvent})
			states, _ := p.Dump(time.Now())
			is.Equal(states[0].UsedPace > 2, x.slow)
			is.Equal(states[0].UsedPace > 1, x.slow)
			is.Equal(p.Costs().Tokens, int64(60))
			is.Equal(p.Costs().ExpectedTokens, int64(60))
		})
	}
}
