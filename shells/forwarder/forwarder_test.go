package forwarder_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
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

// step is the result of one send.
type step struct {
	err     error
	verdict forwarder.Verdict
	status  int
	// body is read before bodyErr or, if that is nil, before the end of the response.
	body    string
	bodyErr error
	stream  bool
	// unframed makes the response end with its connection.
	unframed bool
	// blocks makes the send block until its context ends.
	blocks bool
	// bodyDelay is the time after which the body arrives.
	bodyDelay time.Duration
}

var (
	notSent         = step{err: exchanger.ErrNotSent{Cause: errors.New("refused")}}
	connectionLost  = step{err: exchanger.ErrNoResponse{Cause: io.ErrUnexpectedEOF}}
	notRun          = step{verdict: forwarder.NotRun, status: 503}
	wrongReplica    = step{verdict: forwarder.WrongReplica, status: 421}
	invalid         = step{verdict: forwarder.Invalid, status: 200, body: "?"}
	failed          = step{verdict: forwarder.Failed, status: 500, body: "error"}
	complete        = step{verdict: forwarder.Ran, status: 200, body: "answer"}
	truncated       = step{verdict: forwarder.Ran, status: 200, body: "ans", bodyErr: io.ErrUnexpectedEOF}
	responseTimeout = step{blocks: true}
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
	err   error
	delay time.Duration
}

func (b *body) Read(p []byte) (int, error) {
	time.Sleep(b.delay)
	b.delay = 0
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) && b.err != nil {
		err = b.err
	}
	return n, err
}

func (*body) SetReadDeadline(time.Time) {}
func (*body) Discard()                  {}
func (*body) Close()                    {}

// script is a Link that returns the results of its steps in order; the last step
// repeats.
type script struct {
	steps []step

	mu   sync.Mutex
	sent []forwarder.Attempt
}

// next records the attempt and returns its step.
func (s *script) next(a forwarder.Attempt) step {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = append(s.sent, a)
	return s.steps[min(len(s.sent), len(s.steps))-1]
}

func (s *script) Send(ctx context.Context, a forwarder.Attempt) (forwarder.Response, error) {
	x := s.next(a)
	if x.blocks {
		<-ctx.Done()
		return forwarder.Response{}, exchanger.ErrNoResponse{Cause: ctx.Err()}
	}
	if x.err != nil {
		return forwarder.Response{}, x.err
	}
	return forwarder.Response{
		Verdict: x.verdict, Status: x.status, Streamed: x.stream, EndsWithConnection: x.unframed, Body: &body{Reader: strings.NewReader(x.body), err: x.bodyErr, delay: x.bodyDelay},
	}, nil
}

// caller is a ResponseWriter that records what is written.
type caller struct {
	status  int
	body    strings.Builder
	failure *filbertstile.ErrRequest
	aborted bool
}

func (c *caller) WriteResponse(r forwarder.Response, b []byte) error {
	c.status = r.Status
	c.body.Write(b)
	return nil
}
func (c *caller) WriteHeader(r forwarder.Response) error { c.status = r.Status; return nil }
func (c *caller) WriteEvent(e []byte) error              { c.body.Write(e); return nil }
func (c *caller) Flush() error                           { return nil }
func (c *caller) WriteError(e filbertstile.ErrRequest)   { c.failure = &e }
func (c *caller) Abort()                                 { c.aborted = true }

// failedWith reports whether the request failed with the run state.
func (c *caller) failedWith(run filbertstile.RunState) bool {
	return c.failure != nil && c.failure.Run == run
}

func route(kind filbertstile.CallKind) filbertstile.Route {
	return filbertstile.Route{Kind: kind, MaxAttempts: 2, Resumable: true, TargetLatency: 400 * time.Millisecond}
}

// serve forwards one call in virtual time.
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
			Placer: p, Link: s, RetryBudget: forwarder.RetryBudgetConfig{Ratio: 0.2, Window: 10 * time.Second, Slack: 100},
			Log:          reporter.New(reporter.Config{Logger: log}),
			VersionFloor: func(string) placer.VersionFloor { return placer.VersionFloor{} }, OnRequestEnd: func(*forwarder.Call, string, time.Duration) {},
		})
		now := time.Now()
		f.Serve(t.Context(), &forwarder.Call{ID: "1", Route: r, Service: "s", Arrived: now, Deadline: now.Add(6 * time.Second)}, c)
		took = time.Since(now)
	})
	return c, s, took
}

// TestReportedRunState goes through all pairs of results of two sends, for each kind of
// call. It guards against a request that is retried although it may have run and is not
// idempotent, and against one that is reported as not run although it may have run.
func TestReportedRunState(t *testing.T) {
	steps := map[string]step{
		"notSent": notSent, "connectionLost": connectionLost, "notRun": notRun, "wrongReplica": wrongReplica, "invalid": invalid, "failed": failed,
		"complete": complete, "truncated": truncated, "responseTimeout": responseTimeout,
	}
	mayHaveRun := map[string]bool{"connectionLost": true, "invalid": true, "failed": true, "complete": true, "truncated": true, "responseTimeout": true}
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
						t.Errorf("not idempotent, but sent %d times after which it may have run", runs)
					}
					if runs > 2 {
						t.Errorf("may have run on %d replicas, want at most 2", runs)
					}
					if c.failedWith(filbertstile.NotRun) && runs > 0 {
						t.Errorf("reported as not run, but may have run")
					}
					if c.failure == nil && c.body.String() != "answer" && c.body.String() != "error" {
						t.Errorf("unexpected response %d %q", c.status, c.body.String())
					}
					if c.aborted {
						t.Error("aborted before the response started")
					}
				})
			}
		}
	}
}

// TestIdempotentRetriedAtOtherReplica guards against failures of one replica that reach
// the caller of an idempotent request.
func TestIdempotentRetriedAtOtherReplica(t *testing.T) {
	for name, first := range map[string]step{"connectionLost": connectionLost, "truncated": truncated, "failed": failed, "notRun": notRun, "wrongReplica": wrongReplica, "notSent": notSent, "invalid": invalid, "responseTimeout": responseTimeout} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, s, took := serve(t, filbertstile.CallIdempotent, first, complete)
			is.Equal(c.body.String(), "answer")
			is.Equal(len(s.sent), 2)
			is.True(s.sent[0].Replica.ID != s.sent[1].Replica.ID)
			is.True(took < 2*time.Second)
			is.Equal(s.sent[1].Deadline, s.sent[0].Deadline) // the deadline remains the same
		})
	}
}

// TestLastFailureForwarded checks that the caller gets the replica's own failure response
// if no retry is left.
func TestLastFailureForwarded(t *testing.T) {
	is := is.New(t)
	c, s, _ := serve(t, filbertstile.CallIdempotent, failed)
	is.Equal(c.status, 500)
	is.Equal(len(s.sent), 2)
}

// TestNotRunByAnyReplica guards against a slow rejection: if no replica runs the request,
// the caller learns so immediately, with a retry delay, after a few sends.
func TestNotRunByAnyReplica(t *testing.T) {
	is := is.New(t)
	c, s, took := serve(t, filbertstile.CallNonIdempotent, notRun)
	is.True(c.failedWith(filbertstile.NotRun))
	is.True(c.failure.RetryAfter > 0)
	is.True(len(s.sent) <= 4)
	is.True(took < 400*time.Millisecond)
}

// TestStreamResumed guards against a stream that restarts or ends at the failure of a
// replica instead of resuming after the last event.
func TestStreamResumed(t *testing.T) {
	is := is.New(t)
	c, s, _ := serve(t, filbertstile.CallStream, events(1, 3, io.ErrUnexpectedEOF), events(4, 6, nil))
	is.Equal(c.body.String(), events(1, 6, nil).body)
	is.Equal(s.sent[1].LastEventID, forwarder.NewEventID(3))
	is.True(!c.aborted)
}

// TestStreamWithIDsFrom0 guards against a first event with the ID 0 that does not reach the caller, or
// that the next replica sends again.
func TestStreamWithIDsFrom0(t *testing.T) {
	for last := 0; last <= 3; last++ {
		is := is.New(t)
		c, s, _ := serve(t, filbertstile.CallStream, events(0, last, io.ErrUnexpectedEOF), events(last+1, 5, nil))
		is.Equal(c.body.String(), events(0, 5, nil).body)
		is.Equal(len(s.sent), 2)
		is.Equal(s.sent[1].LastEventID, forwarder.NewEventID(int64(last)))
	}
}

// TestStreamWithLateFirstEvent guards against a first event that is passed on although its
// attempt has been given up in the same moment, so that the stream breaks off midway.
func TestStreamWithLateFirstEvent(t *testing.T) {
	is := is.New(t)
	late := events(1, 3, nil)
	late.bodyDelay = 1600 * time.Millisecond
	c, s, _ := serve(t, filbertstile.CallStream, late, events(1, 3, nil))
	is.Equal(c.body.String(), events(1, 3, nil).body)
	is.Equal(len(s.sent), 2)
	is.Equal(s.sent[1].LastEventID, forwarder.EventID{}) // the caller has none of the first attempt
}

// TestStreamPartialEvent guards against a partial event that reaches the caller after a
// replica failed within the event.
func TestStreamPartialEvent(t *testing.T) {
	is := is.New(t)
	partial := events(1, 3, io.ErrUnexpectedEOF)
	partial.body += "id: 4\nda"
	c, _, _ := serve(t, filbertstile.CallStream, partial, events(4, 5, nil))
	is.Equal(c.body.String(), events(1, 5, nil).body)
}

// TestStreamDuplicateEvents guards against duplicate events if the second replica begins
// with events that the caller already has.
func TestStreamDuplicateEvents(t *testing.T) {
	is := is.New(t)
	c, _, _ := serve(t, filbertstile.CallStream, events(1, 3, io.ErrUnexpectedEOF), events(1, 5, nil))
	is.Equal(c.body.String(), events(1, 5, nil).body)
}

// TestStreamMissingEvent guards against a gap in the stream: a replica that skips an event
// counts as failed, and the stream resumes at another one.
func TestStreamMissingEvent(t *testing.T) {
	is := is.New(t)
	withGap := events(1, 2, nil)
	withGap.body += events(4, 5, nil).body
	c, _, _ := serve(t, filbertstile.CallStream, withGap, events(3, 5, nil))
	is.Equal(c.body.String(), events(1, 5, nil).body)
}

// TestStreamTruncated guards against a truncated stream that looks complete to the caller
// after all attempts have failed.
func TestStreamTruncated(t *testing.T) {
	is := is.New(t)
	c, s, _ := serve(t, filbertstile.CallStream, events(1, 3, io.ErrUnexpectedEOF), events(4, 4, io.ErrUnexpectedEOF))
	is.True(c.aborted)
	is.Equal(len(s.sent), 2)
}

// TestStreamNotResumable guards against a retry of a stream that may not be resumed: if it
// fails before its first event, it is not sent again and not reported as not run.
func TestStreamNotResumable(t *testing.T) {
	is := is.New(t)
	r := route(filbertstile.CallStream)
	r.Resumable = false
	c, s, _ := serveRoute(t, r, connectionLost, events(1, 3, nil))
	is.Equal(len(s.sent), 1)
	is.True(c.failedWith(filbertstile.Unknown))
}

// TestNonIdempotentWaitsForDeadline guards against a non-idempotent call that ends before or
// after its deadline, or is sent again, while the replica does not respond.
func TestNonIdempotentWaitsForDeadline(t *testing.T) {
	is := is.New(t)
	c, s, took := serve(t, filbertstile.CallNonIdempotent, responseTimeout)
	is.Equal(len(s.sent), 1)
	is.True(c.failedWith(filbertstile.Unknown))
	is.Equal(c.failure.Code, "DeadlineExceeded")
	is.Equal(took, 6*time.Second)
}
