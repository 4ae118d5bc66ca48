package forwarder_test

import (
	"context"
	"errors"
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
	"filbertstile.example/filbertstile/outside/exchanger"
	"filbertstile.example/filbertstile/shells/forwarder"
)

// step is what one send comes to.
type step struct {
	err     error
	verdict forwarder.Verdict
	status  int
	// body is read before bodyErr, or the end of the answer.
	body    string
	bodyErr error
	stream  bool
	// silent sends end with their context only.
	silent bool
}

var (
	notSent = step{err: exchanger.ErrNotSent{Cause: errors.New("refused")}}
	broken  = step{err: exchanger.ErrNoResponse{Cause: io.ErrUnexpectedEOF}}
	full    = step{verdict: forwarder.NotRun, status: 503}
	moved   = step{verdict: forwarder.NotThere, status: 421}
	unsound = step{verdict: forwarder.Unsound, status: 200, body: "?"}
	failed  = step{verdict: forwarder.Failed, status: 500, body: "error"}
	whole   = step{verdict: forwarder.Ran, status: 200, body: "answer"}
	cut     = step{verdict: forwarder.Ran, status: 200, body: "ans", bodyErr: io.ErrUnexpectedEOF}
	silent  = step{silent: true}
)

func events(from, to int, err error) step {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: x\n\n", i)
	}
	return step{verdict: forwarder.Ran, status: 200, body: b.String(), bodyErr: err, stream: true}
}

type body struct {
	io.Reader
	err error
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) && b.err != nil {
		err = b.err
	}
	return n, err
}

func (*body) SetReadDeadline(time.Time) {}
func (*body) Close()                    {}

// script answers sends one after the other; the last step repeats.
type script struct {
	steps []step
	sent  []forwarder.Attempt
}

func (s *script) Send(ctx context.Context, a forwarder.Attempt) (forwarder.Answer, error) {
	x := s.steps[min(len(s.sent), len(s.steps)-1)]
	s.sent = append(s.sent, a)
	if x.silent {
		<-ctx.Done()
		return forwarder.Answer{}, exchanger.ErrNoResponse{Cause: ctx.Err()}
	}
	if x.err != nil {
		return forwarder.Answer{}, x.err
	}
	return forwarder.Answer{
		Verdict: x.verdict, Status: x.status, Streamed: x.stream, Body: &body{Reader: strings.NewReader(x.body), err: x.bodyErr},
	}, nil
}

// caller notes what it is told.
type caller struct {
	status  int
	body    strings.Builder
	refused *filbertstile.ErrRequest
	aborted bool
}

func (c *caller) Whole(a forwarder.Answer, b []byte) error {
	c.status = a.Status
	c.body.Write(b)
	return nil
}
func (c *caller) Begin(a forwarder.Answer) error   { c.status = a.Status; return nil }
func (c *caller) Event(e []byte) error             { c.body.Write(e); return nil }
func (c *caller) Flush() error                     { return nil }
func (c *caller) Refuse(e filbertstile.ErrRequest) { c.refused = &e }
func (c *caller) Abort()                           { c.aborted = true }
func (c *caller) told(run filbertstile.RunState) bool {
	return c.refused != nil && c.refused.Run == run
}
func route(kind filbertstile.CallKind) filbertstile.Route {
	return filbertstile.Route{Kind: kind, MaxAttempts: 2, Resumable: true, TargetLatency: 400 * time.Millisecond}
}

// serve takes one call through in virtual time.
func serve(t *testing.T, kind filbertstile.CallKind, steps ...step) (c *caller, s *script, took time.Duration) {
	t.Helper()
	return serveRoute(t, route(kind), steps...)
}

func serveRoute(t *testing.T, r filbertstile.Route, steps ...step) (c *caller, s *script, took time.Duration) {
	t.Helper()
	c, s = &caller{}, &script{steps: steps}
	if r.Kind == filbertstile.CallNonIdempotent {
		r.MaxAttempts = 1
	}
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		p := placer.New(placer.Config{Region: "a"})
		var rows []filbertstile.Replica
		for i := range 6 {
			rows = append(rows, filbertstile.Replica{ID: fmt.Sprint(i), Service: "s", Address: fmt.Sprint(i), Slots: 4})
		}
		p.SetFleet(time.Now(), placer.Fleet{
			Replicas: filbertstile.NewTable(rows...), Pools: filbertstile.NewTable(filbertstile.PoolSpec{Service: "s"}), Entries: 1,
		})
		f := forwarder.New(forwarder.Config{
			Placer: p, Link: s, Budget: forwarder.BudgetConfig{Ratio: 0.2, Window: 10 * time.Second, Slack: 100},
			Log:   reporter.New(reporter.Config{Logger: log}),
			Floor: func(string) placer.Floor { return placer.Floor{} }, Observe: func(*forwarder.Call, string, time.Duration) {},
		})
		now := time.Now()
		f.Serve(t.Context(), &forwarder.Call{ID: "1", Route: r, Service: "s", Arrived: now, Deadline: now.Add(6 * time.Second)}, c)
		took = time.Since(now)
	})
	return c, s, took
}

// TestWhatIsSaid goes through all pairs of what two sends may come to, for each
// kind of call, and holds what was sent and said against what is known.
func TestWhatIsSaid(t *testing.T) {
	steps := map[string]step{
		"notSent": notSent, "broken": broken, "full": full, "moved": moved, "unsound": unsound, "failed": failed, "whole": whole, "cut": cut, "silent": silent,
	}
	mayHaveRun := map[string]bool{"broken": true, "unsound": true, "failed": true, "whole": true, "cut": true, "silent": true}
	for _, kind := range []filbertstile.CallKind{filbertstile.CallIdempotent, filbertstile.CallNonIdempotent} {
		for first, a := range steps {
			for second, b := range steps {
				t.Run(fmt.Sprintf("%s/%s/%s", kind, first, second), func(t *testing.T) {
					c, s, _ := serve(t, kind, a, b)
					runs := 0
					for i := range s.sent {
						if name := []string{first, second}[min(i, 1)]; mayHaveRun[name] {
							runs++
						}
					}
					if kind == filbertstile.CallNonIdempotent && runs > 1 {
						t.Errorf("sent %d times after which it may have run", runs)
					}
					if runs > 2 {
						t.Errorf("ran on %d replicas, of at most 2", runs)
					}
					if c.told(filbertstile.NotRun) && runs > 0 {
						t.Errorf("told not run, though it may have run")
					}
					if c.refused == nil && c.body.String() != "answer" && c.body.String() != "error" {
						t.Errorf("answered %d %q", c.status, c.body.String())
					}
					if c.aborted {
						t.Error("aborted before anything was answered")
					}
				})
			}
		}
	}
}

func TestIdempotentGoesElsewhere(t *testing.T) {
	for name, first := range map[string]step{"broken": broken, "cut": cut, "failed": failed, "full": full, "moved": moved, "notSent": notSent, "unsound": unsound, "silent": silent} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, s, took := serve(t, filbertstile.CallIdempotent, first, whole)
			is.Equal(c.body.String(), "answer")
			is.Equal(len(s.sent), 2)
			is.True(s.sent[0].Replica.ID != s.sent[1].Replica.ID)
			is.True(took < 2*time.Second)
			is.True(s.sent[1].Left <= s.sent[0].Left) // no more time than is left
		})
	}
}

func TestLastFailureIsPassedOn(t *testing.T) {
	is := is.New(t)
	c, s, _ := serve(t, filbertstile.CallIdempotent, failed)
	is.Equal(c.status, 500)
	is.Equal(len(s.sent), 2)
}

// TestRefusedAtOnce has every replica refuse: the caller hears at once that the
// request has not run.
func TestRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	c, s, took := serve(t, filbertstile.CallNonIdempotent, full)
	is.True(c.told(filbertstile.NotRun))
	is.True(c.refused.RetryAfter > 0)
	is.True(len(s.sent) <= 4)
	is.True(took < 400*time.Millisecond)
}

func TestStreamGoesOn(t *testing.T) {
	is := is.New(t)
	c, s, _ := serve(t, filbertstile.CallStream, events(1, 3, io.ErrUnexpectedEOF), events(4, 6, nil))
	is.Equal(c.body.String(), events(1, 6, nil).body)
	is.Equal(s.sent[1].LastEvent, int64(3))
	is.True(!c.aborted)
}

// TestStreamTornEvent has a replica stop in the middle of an event: its torn
// part must not reach the caller.
func TestStreamTornEvent(t *testing.T) {
	is := is.New(t)
	torn := events(1, 3, io.ErrUnexpectedEOF)
	torn.body += "id: 4\nda"
	c, _, _ := serve(t, filbertstile.CallStream, torn, events(4, 5, nil))
	is.Equal(c.body.String(), events(1, 5, nil).body)
}

// TestStreamRepeats has the second replica begin with events that the caller
// has.
func TestStreamRepeats(t *testing.T) {
	is := is.New(t)
	c, _, _ := serve(t, filbertstile.CallStream, events(1, 3, io.ErrUnexpectedEOF), events(1, 5, nil))
	is.Equal(c.body.String(), events(1, 5, nil).body)
}

func TestStreamGap(t *testing.T) {
	is := is.New(t)
	missing := events(1, 2, nil)
	missing.body += events(4, 5, nil).body
	c, _, _ := serve(t, filbertstile.CallStream, missing, events(3, 5, nil))
	is.Equal(c.body.String(), events(1, 5, nil).body)
}

// TestStreamEndsTorn has all attempts break: what has begun must not look
// complete.
func TestStreamEndsTorn(t *testing.T) {
	is := is.New(t)
	c, s, _ := serve(t, filbertstile.CallStream, events(1, 3, io.ErrUnexpectedEOF), events(4, 4, io.ErrUnexpectedEOF))
	is.True(c.aborted)
	is.Equal(len(s.sent), 2)
}

// TestStreamOnce has a stream that may not be resumed break before its first
// event: it is not sent again, and not said not to have run.
func TestStreamOnce(t *testing.T) {
	is := is.New(t)
	r := route(filbertstile.CallStream)
	r.Resumable = false
	c, s, _ := serveRoute(t, r, broken, events(1, 3, nil))
	is.Equal(len(s.sent), 1)
	is.True(c.told(filbertstile.Unknown))
}

// TestSilentAnswer keeps a call that must not be repeated until its time is
// over, and not longer.
func TestSilentAnswer(t *testing.T) {
	is := is.New(t)
	c, s, took := serve(t, filbertstile.CallNonIdempotent, silent)
	is.Equal(len(s.sent), 1)
	is.True(c.told(filbertstile.Unknown))
	is.Equal(c.refused.Code, "DeadlineExceeded")
	is.Equal(took, 6*time.Second)
}
