package forwarder

import (
	"context"
	"errors"
	"time"

	"filbertstile.example/filbertstile"
)

// stopRetryAfter is the retry delay sent to callers whose requests did not run before the
// forwarder stopped. It is short, as other entries can serve them.
const stopRetryAfter = 50 * time.Millisecond

// errStopped is the cause with which a stop ends requests.
var errStopped = errors.New("the entry is stopping")

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
	retryAfter := time.Duration(0)
	if x.runState() == filbertstile.NotRun {
		retryAfter = stopRetryAfter
	}
	x.fail(CodeStopping, "the entry stopped before the response was complete", retryAfter)
}
