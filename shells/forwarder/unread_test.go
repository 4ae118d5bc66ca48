package forwarder_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/decisions/placer"
	"filbertstile.example/filbertstile/shells/forwarder"
)

// unreadingCaller is a caller that stops reading for a time after the first event, and before any other
// response. Cut ends that with an error.
type unreadingCaller struct {
	caller
	stalls time.Duration
	cut    chan struct{}
}

var errCut = errors.New("the connection was reset")

func (c *unreadingCaller) stall() error {
	select {
	case <-time.After(c.stalls):
		return nil
	case <-c.cut:
		return errCut
	}
}

func (c *unreadingCaller) WriteEvent(e []byte) error {
	c.body.Write(e)
	if c.body.Len() > len(e) {
		return nil
	}
	return c.stall()
}

func (c *unreadingCaller) WriteResponse(r forwarder.Response, b []byte) error {
	if err := c.stall(); err != nil {
		return err
	}
	return c.caller.WriteResponse(r, b)
}

func (c *unreadingCaller) Cut() { close(c.cut) }

// TestUnreadStreamIsNoFailure guards against replicas in cooldown, and suspected requests, as replicas end
// streams that nobody reads, and against such streams that look complete.
func TestUnreadStreamIsNoFailure(t *testing.T) {
	for name, end := range map[string]step{"Framed": events(1, 3, io.ErrUnexpectedEOF), "EndsWithConnection": events(1, 3, nil)} {
		t.Run(name, func(t *testing.T) {
			withCrashRig(t, &ended, func(r *crashRig) {
				r.setReplicas(1)
				end.unframed = name == "EndsWithConnection"
				c := &unreadingCaller{stalls: 3 * time.Second, cut: make(chan struct{})}
				f := forwarder.New(r.config(&script{steps: []step{end}}, discardLog()))
				now := time.Now()
				f.Serve(r.ctx, &forwarder.Call{ID: "1", Route: onceStream, Service: "s", Arrived: now, Deadline: now.Add(6 * time.Second), PromptParts: []uint64{7}}, c)
				states, _ := r.placer.Dump(time.Now())
				r.is.Equal(states[0].Failures, 0)
				r.is.Equal(r.evidence.Load(), int32(0))
				r.is.Equal(r.prober.probes.Load(), int32(0))
				r.is.True(c.aborted)
			})
		})
	}
}

// TestSlowCallerGivesWay guards against callers that do not read long responses and so use up the memory
// for all others, and against replicas in cooldown because the entry has no memory.
func TestSlowCallerGivesWay(t *testing.T) {
	const limit, long = 1 << 20, 350 << 10
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := placer.New(placer.Config{Region: "a"})
		p.SetFleet(time.Now(), placer.Fleet{
			Replicas: filbertstile.NewTable(filbertstile.Replica{ID: "0", Service: "s", Address: "0", Slots: 100}),
			Pools:    filbertstile.NewTable(filbertstile.PoolSpec{Service: "s"}), Entries: 1,
		})
		f := forwarder.New(forwarder.Config{
			Placer: p, Link: &script{steps: []step{{verdict: forwarder.Ran, status: 200, body: strings.Repeat("x", long)}}}, BufferBytes: limit, Log: reporter.New(reporter.Config{Logger: discardLog()}),
			VersionFloor: func(string) placer.VersionFloor { return placer.VersionFloor{} }, OnRequestEnd: func(*forwarder.Call, string, time.Duration) {},
		})
		serve := func(w forwarder.ResponseWriter) {
			now := time.Now()
			f.Serve(t.Context(), &forwarder.Call{Route: route(filbertstile.CallNonIdempotent), Service: "s", Arrived: now, Deadline: now.Add(20 * time.Second)}, w)
		}
		slow := make([]*unreadingCaller, 2)
		for i := range slow {
			slow[i] = &unreadingCaller{stalls: time.Minute, cut: make(chan struct{})}
			go serve(slow[i])
			time.Sleep(100 * time.Millisecond)
		}
		began, c := time.Now(), &caller{}
		serve(c)
		is.Equal(c.body.Len(), long)
		is.True(time.Since(began) < 2*time.Second)
		is.True(slow[0].aborted) // the one that has had the most time
		is.True(!slow[1].aborted)
		time.Sleep(2 * time.Minute) // nobody needs the memory of the other one
		is.Equal(slow[1].body.Len(), long)
		states, _ := p.Dump(time.Now())
		is.Equal(states[0].Failures, 0)
	})
}

// TestNoMemoryIsNoFailure guards against replicas in cooldown because the entry has no memory for a response.
func TestNoMemoryIsNoFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := placer.New(placer.Config{Region: "a"})
		p.SetFleet(time.Now(), placer.Fleet{
			Replicas: filbertstile.NewTable(filbertstile.Replica{ID: "0", Service: "s", Address: "0", Slots: 100}),
			Pools:    filbertstile.NewTable(filbertstile.PoolSpec{Service: "s"}), Entries: 1,
		})
		f := forwarder.New(forwarder.Config{
			Placer: p, Link: &script{steps: []step{{verdict: forwarder.Ran, status: 200, body: strings.Repeat("x", 1<<20)}}}, BufferBytes: 1 << 18, Log: reporter.New(reporter.Config{Logger: discardLog()}),
			VersionFloor: func(string) placer.VersionFloor { return placer.VersionFloor{} }, OnRequestEnd: func(*forwarder.Call, string, time.Duration) {},
		})
		c, now := &caller{}, time.Now()
		f.Serve(t.Context(), &forwarder.Call{Route: route(filbertstile.CallNonIdempotent), Service: "s", Arrived: now, Deadline: now.Add(20 * time.Second)}, c)
		is.True(c.failedWith(filbertstile.Unknown))
		states, _ := p.Dump(time.Now())
		is.Equal(states[0].Failures, 0)
	})
}

// TestCrashOfFullReplicaIsNoEvidence guards against requests that are suspected because their replica crashed
// when its memory was used up, and against crashes that are never evidence.
func TestCrashOfFullReplicaIsNoEvidence(t *testing.T) {
	for name, capacity := range map[string]int{"Full": 1000, "HalfFull": 2000, "Unknown": 0} {
		t.Run(name, func(t *testing.T) {
			withCrashRig(t, &ended, func(r *crashRig) {
				r.placer.SetFleet(time.Now(), placer.Fleet{
					Replicas: filbertstile.NewTable(filbertstile.Replica{ID: "0", Born: time.Now(), Service: "s", Address: "0", Slots: 100, Version: 1}), Entries: 1,
					Pools: filbertstile.NewTable(filbertstile.PoolSpec{Service: "s", Engine: &filbertstile.EngineSpec{Model: "m", PrefillTokensPerSecond: 1e6, MemoryTokens: capacity}}),
				})
				f, c := forwarder.New(r.config(&script{steps: []step{connectionLost}}, discardLog())), &caller{}
				now := time.Now()
				f.Serve(r.ctx, &forwarder.Call{
					ID: "1", Route: onceStream, Service: "s", Arrived: now, Deadline: now.Add(6 * time.Second), PromptParts: []uint64{7}, PromptTokens: 600, OutputTokens: 300,
				}, c)
				r.is.True(c.failedWith(filbertstile.Unknown)) // it was sent
				r.is.Equal(r.prober.probes.Load() == 0, name == "Full")
				r.is.Equal(r.evidence.Load() == 0, name == "Full")
			})
		})
	}
}
