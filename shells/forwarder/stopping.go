package forwarder

import (
	"context"
	"errors"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/sleeper"
	"filbertstile.example/filbertstile/decisions/placer"
)

// stopRetryAfter is the retry delay sent to callers whose requests did not run before the
// forwarder stopped. It is short, as other entries can serve them.
const stopRetryAfter = 50 * time.Millisecond

// errStopped is the cause with which a stop ends requests.
var errStopped = errors.New("the entry is stopping")

// errEndsTooLate is the cause of a request that is not sent, as it may not end before the entry
// stops.
var errEndsTooLate = errors.New("the response may not be complete before the entry stops")

// PlannedStop describes a planned stop of the entry.
type PlannedStop struct {
	// TimeLeft returns the time until Stop is called.
	TimeLeft func() time.Duration
	// SilenceMargin is the time for which a replica may be silent meanwhile.
	SilenceMargin time.Duration
	// StoppingFor returns the time since the stop began. Requests that arrive more than
	// EstimateWindow after that are sent only if their limit ends before Stop is called.
	StoppingFor    func() time.Duration
	EstimateWindow time.Duration
}

// mayEstimate reports whether what similar requests have taken lately decides whether the request
// is sent. One that takes longer is cut as the stop ends.
func (s *PlannedStop) mayEstimate(c *Call) bool {
	return s.StoppingFor()-time.Since(c.Arrived) <= s.EstimateWindow
}

// BeginStop begins a planned stop: from now on a request is sent only if it will end before Stop
// is called, by its deadline or, at first, by what similar requests have taken lately.
func (f *Forwarder) BeginStop(s PlannedStop) {
	f.plannedStop.Store(&s)
	f.stopBegins()
}

// EndsInTime reports whether the request, if it is sent now for the first time, will end before
// a planned stop does.
func (f *Forwarder) EndsInTime(c *Call) bool { return f.timeToSend(c, 0) > 0 }

// timeToSend returns the time for which the request may still be sent. It is not positive if the
// request may not end before a planned stop does. After runs sends the request may have run.
func (f *Forwarder) timeToSend(c *Call, runs int) time.Duration {
	if f.stopped.Err() != nil {
		return 0 // the contexts of some requests may not have ended yet
	}
	untilDeadline := max(minTimeLeft, time.Until(c.Limit()))
	s := f.plannedStop.Load()
	if s == nil {
		return untilDeadline
	}
	left := s.TimeLeft()
	if untilDeadline <= left {
		return untilDeadline
	}
	if !s.mayEstimate(c) {
		return left - untilDeadline
	}
	need, known := f.durations.bound(durationClass{route: c.Route.Name, service: c.Service})
	if !known {
		return left - untilDeadline
	}
	if runs == 0 {
		// The request is better off elsewhere, while one that may have run is not.
		need += s.SilenceMargin
	}
	return left - need
}

// endsInTime reports whether the next attempt will end before a planned stop does. A stream that
// has begun goes on as long as it can.
func (x *requestState) endsInTime() bool {
	return x.responseStarted || x.forwarder.timeToSend(x.call, x.runs) > 0
}

// endsInTime is like that of the request, for this attempt.
func (a *attemptState) endsInTime() bool {
	return a.mustContinue || a.x.forwarder.timeToSend(a.x.call, a.runsBefore) > 0
}

// acquire returns a grant for the next attempt. It returns errEndsTooLate once the request may
// not end before a planned stop does.
func (x *requestState) acquire() (placer.Grant, error) {
	if x.responseStarted {
		return x.forwarder.config.Placer.Acquire(x.ctx, x.placerRequest())
	}
	ctx, cancel := context.WithCancelCause(x.ctx)
	defer cancel(nil)
	f, call, runs := x.forwarder, x.call, x.runs
	unregister := context.AfterFunc(f.stopBegun, func() {
		for ctx.Err() == nil {
			left := f.timeToSend(call, runs)
			if left <= 0 {
				cancel(errEndsTooLate)
				return
			}
			_ = sleeper.Sleep(ctx, left)
		}
	})
	defer unregister()
	g, err := f.config.Placer.Acquire(ctx, x.placerRequest())
	if err != nil && x.ctx.Err() == nil && errors.Is(context.Cause(ctx), errEndsTooLate) {
		return g, errEndsTooLate
	}
	return g, err
}

// Stop ends all requests. Callers whose response has not begun receive an error.
func (f *Forwarder) Stop() { f.stop(errStopped) }

// requestContext returns the context of a request, which ends at the call's limit or when the
// forwarder stops.
func (f *Forwarder) requestContext(ctx context.Context, c *Call) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	unregister := context.AfterFunc(f.stopped, func() { cancel(context.Cause(f.stopped)) })
	if f.stopped.Err() != nil {
		cancel(context.Cause(f.stopped)) // at once, while AfterFunc may take a moment
	}
	endWatch := c.WatchLimit(func(time.Time) {}, func() { cancel(errLimitReached) })
	return ctx, func() {
		unregister()
		endWatch()
		cancel(nil)
	}
}

// stopped reports whether a stop has ended the request.
func (x *requestState) stopped() bool { return errors.Is(context.Cause(x.ctx), errStopped) }

// failStopped ends a request that a stop has ended.
func (x *requestState) failStopped() {
	x.failStopping("the entry stopped before the response was complete")
}

// failStopping ends a request because the entry stops.
func (x *requestState) failStopping(detail string) {
	retryAfter := time.Duration(0)
	if x.runState() == filbertstile.NotRun {
		retryAfter = stopRetryAfter
	}
	x.fail(CodeStopping, detail, retryAfter)
}
