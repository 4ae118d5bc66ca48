package forwarder_test

import (
	"context"
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/outside/exchanger"
	"filbertstile.example/filbertstile/shells/forwarder"
)

// linkFunc is a Link with a fault.
type linkFunc func(ctx context.Context, a forwarder.Attempt) (forwarder.Response, error)

// Send sends the attempt.
func (f linkFunc) Send(ctx context.Context, a forwarder.Attempt) (forwarder.Response, error) {
	return f(ctx, a)
}

// rewritten returns a Link of which each result is rewritten.
func rewritten(rewrite func(a forwarder.Attempt, r forwarder.Response, err error) (forwarder.Response, error)) func(forwarder.Link, *orderWorld) forwarder.Link {
	return func(l forwarder.Link, _ *orderWorld) forwarder.Link {
		return linkFunc(func(ctx context.Context, a forwarder.Attempt) (forwarder.Response, error) {
			r, err := l.Send(ctx, a)
			return rewrite(a, r, err)
		})
	}
}

// emptyResponse returns a response without a body.
func emptyResponse(v forwarder.Verdict, head any) forwarder.Response {
	return forwarder.Response{Verdict: v, Status: 503, Head: head, Body: &body{Reader: strings.NewReader("")}}
}

func hasNoResponse(err error) bool {
	var noResponse exchanger.ErrNoResponse
	return errors.As(err, &noResponse)
}

// endsTwice is a ResponseWriter that ends each request twice.
type endsTwice struct{ forwarder.ResponseWriter }

// WriteResponse writes the response twice.
func (w endsTwice) WriteResponse(r forwarder.Response, body []byte) error {
	_ = w.ResponseWriter.WriteResponse(r, body)
	return w.ResponseWriter.WriteResponse(r, body)
}

// neverFails is a ResponseWriter that drops errors.
type neverFails struct{ forwarder.ResponseWriter }

// WriteError writes nothing.
func (neverFails) WriteError(filbertstile.ErrRequest) {}

// keepsOpen is a ResponseWriter that ends a stream instead of breaking it off.
type keepsOpen struct{ forwarder.ResponseWriter }

// Abort leaves the connection open.
func (keepsOpen) Abort() {}

// breaksHidden is a Body of which the end of the connection looks like that of the body.
type breaksHidden struct{ forwarder.Body }

// Read reads the body.
func (b breaksHidden) Read(p []byte) (int, error) {
	n, err := b.Body.Read(p)
	if errors.Is(err, io.ErrUnexpectedEOF) {
		err = io.EOF
	}
	return n, err
}

// leaky is a Body that leaves its connection open.
type leaky struct{ forwarder.Body }

// Close closes nothing.
func (leaky) Close() {}

// TestEveryOrderFindsFaults guards against a search through all orders that misses a fault.
func TestEveryOrderFindsFaults(t *testing.T) {
	for name, c := range map[string]struct {
		route      filbertstile.Route
		declared   *filbertstile.Route
		wrapLink   func(forwarder.Link, *orderWorld) forwarder.Link
		wrapWriter func(forwarder.ResponseWriter) forwarder.ResponseWriter
		want       string
	}{
		"NotSentAfterSend": {route: once, want: "ran 2 times", wrapLink: rewritten(func(_ forwarder.Attempt, r forwarder.Response, err error) (forwarder.Response, error) {
			if hasNoResponse(err) {
				err = exchanger.ErrNotSent{Cause: errReset}
			}
			return r, err
		})},
		"ResetCountsAsNotRun": {route: onceStream, want: "reported as not run", wrapLink: rewritten(func(a forwarder.Attempt, r forwarder.Response, err error) (forwarder.Response, error) {
			if hasNoResponse(err) {
				return emptyResponse(forwarder.NotRun, a.Call.ID), nil
			}
			return r, err
		})},
		"MalformedCountsAsNotRun": {route: once, want: "reported as not run", wrapLink: rewritten(func(_ forwarder.Attempt, r forwarder.Response, err error) (forwarder.Response, error) {
			if r.Verdict == forwarder.Invalid {
				r.Verdict = forwarder.NotRun
			}
			return r, err
		})},
		"FailureCountsAsNotRun": {route: repeatable, want: "ran 3 times", wrapLink: rewritten(func(_ forwarder.Attempt, r forwarder.Response, err error) (forwarder.Response, error) {
			if r.Verdict == forwarder.Failed {
				r.Verdict = forwarder.NotRun
			}
			return r, err
		})},
		"PromiseIsPassedOn": {route: once, want: "reported as not run", wrapLink: rewritten(func(_ forwarder.Attempt, r forwarder.Response, err error) (forwarder.Response, error) {
			if r.Verdict == forwarder.Failed {
				r.Status = 503
			}
			return r, err
		})},
		"OtherAnswerIsTaken": {route: once, want: "answer to another request", wrapLink: rewritten(func(_ forwarder.Attempt, r forwarder.Response, err error) (forwarder.Response, error) {
			if errors.Is(err, errOtherAnswer) {
				return forwarder.Response{Status: 200, Head: "2", Body: &body{Reader: strings.NewReader("answer")}}, nil
			}
			return r, err
		})},
		"OtherRefusalIsTaken": {route: once, want: "ran 2 times", wrapLink: rewritten(func(_ forwarder.Attempt, r forwarder.Response, err error) (forwarder.Response, error) {
			if errors.Is(err, errOtherAnswer) {
				return emptyResponse(forwarder.NotRun, "2"), nil
			}
			return r, err
		})},
		"LinkRepeats": {route: once, want: "ran 2 times", wrapLink: func(l forwarder.Link, _ *orderWorld) forwarder.Link {
			return linkFunc(func(ctx context.Context, a forwarder.Attempt) (forwarder.Response, error) {
				r, err := l.Send(ctx, a)
				if errors.Is(err, errReset) {
					return l.Send(ctx, a)
				}
				return r, err
			})
		}},
		"RunsAfterRefusal": {route: once, want: "reported as not run", wrapLink: func(l forwarder.Link, w *orderWorld) forwarder.Link {
			return linkFunc(func(ctx context.Context, a forwarder.Attempt) (forwarder.Response, error) {
				r, err := l.Send(ctx, a)
				var notSent exchanger.ErrNotSent
				if errors.As(err, &notSent) {
					time.AfterFunc(runDelay, func() { w.ran(a.Replica.ID) })
				}
				return r, err
			})
		}},
		"RepeatsWhatMayRunOnce":       {route: once, declared: &repeatable, want: "ran 2 times"},
		"RepeatsStreamThatMayRunOnce": {route: onceStream, declared: &repeatableStream, want: "ran 2 times"},
		"BreakIsHidden": {route: once, want: `complete with "ans"`, wrapLink: rewritten(func(_ forwarder.Attempt, r forwarder.Response, err error) (forwarder.Response, error) {
			if r.Body != nil {
				r.Body = breaksHidden{r.Body}
			}
			return r, err
		})},
		"ConnectionIsKept": {route: once, want: "connection still open", wrapLink: rewritten(func(_ forwarder.Attempt, r forwarder.Response, err error) (forwarder.Response, error) {
			if r.Body != nil {
				r.Body = leaky{r.Body}
			}
			return r, err
		})},
		"IgnoresDeadline": {route: once, want: "ended after", wrapLink: func(l forwarder.Link, _ *orderWorld) forwarder.Link {
			return linkFunc(func(ctx context.Context, a forwarder.Attempt) (forwarder.Response, error) {
				return l.Send(context.WithoutCancel(ctx), a)
			})
		}},
		"Panics": {route: once, want: "panic: ", wrapLink: rewritten(func(_ forwarder.Attempt, r forwarder.Response, err error) (forwarder.Response, error) {
			if r.Verdict == forwarder.Invalid {
				panic("malformed")
			}
			return r, err
		})},
		"EndsTwice":   {route: once, want: "ended 2 times", wrapWriter: func(w forwarder.ResponseWriter) forwarder.ResponseWriter { return endsTwice{w} }},
		"NeverEnds":   {route: once, want: "ended 0 times", wrapWriter: func(w forwarder.ResponseWriter) forwarder.ResponseWriter { return neverFails{w} }},
		"PartIsWhole": {route: onceStream, want: "complete with", wrapWriter: func(w forwarder.ResponseWriter) forwarder.ResponseWriter { return keepsOpen{w} }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			x := exploration{route: orderRoute{name, c.route, fates}, replicas: 3, declared: c.declared, wrapLink: c.wrapLink, wrapWriter: c.wrapWriter}
			wanted := func(v string) bool { return strings.Contains(v, c.want) }
			_, found := x.violations(t, func(found []string) bool { return slices.ContainsFunc(found, wanted) })
			if !slices.ContainsFunc(found, wanted) {
				t.Errorf("no order was found in which %q; found: %q", c.want, found[:min(3, len(found))])
			}
		})
	}
}
