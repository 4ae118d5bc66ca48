package forwarder_test

import (
	"errors"
	"io"
	"testing"
	"time"

	"filbertstile.example/filbertstile/shells/forwarder"
)

// slowCaller is a caller that stops reading for a time after the first event, and before any other
// response. Cut ends that with an error.
type slowCaller struct {
	caller
	stalls time.Duration
	cut    chan struct{}
}

var errCut = errors.New("the connection was reset")

func (c *slowCaller) stall() error {
	select {
	case <-time.After(c.stalls):
		return nil
	case <-c.cut:
		return errCut
	}
}

func (c *slowCaller) WriteEvent(e []byte) error {
	c.body.Write(e)
	if c.body.Len() > len(e) {
		return nil
	}
	return c.stall()
}

func (c *slowCaller) WriteResponse(r forwarder.Response, b []byte) error {
	if err := c.stall(); err != nil {
		return err
	}
	return c.caller.WriteResponse(r, b)
}

func (c *slowCaller) Cut() { close(c.cut) }

// TestUnreadStreamIsNoFailure guards against replicas in cooldown, and suspected requests, as replicas end
// streams that nobody reads, and against such streams that look complete.
func TestUnreadStreamIsNoFailure(t *testing.T) {
	for name, end := range map[string]step{"Framed": events(1, 3, io.ErrUnexpectedEOF), "EndsWithConnection": events(1, 3, nil)} {
		t.Run(name, func(t *testing.T) {
			withCrashRig(t, &ended, func(r *crashRig) {
				r.setReplicas(1)
				end.unframed = name == "EndsWithConnection"
				c := &slowCaller{stalls: 3 * time.Second, cut: make(chan struct{})}
				f := forwarder.New(r.config(&script{steps: []step{end}}, discardLog()))
				now := time.Now()
				f.Serve(r.ctx, &forwarder.Call{ID: "1", Route: onceStream, Service: "s", Arrived: now, Deadline: now.Add(6 * time.Second), PromptParts: []uint64{7}}, c)
				states, _ := r.placer.Dump(time.Now())
				r.is.Equal(states[0].Failures, 0)
				r.is.Equal(len(r.suspector.Dump(time.Now())), 0)
				r.is.Equal(r.prober.probes.Load(), int32(0))
				r.is.True(c.aborted)
			})
		})
	}
}
