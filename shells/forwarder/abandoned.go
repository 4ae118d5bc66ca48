package forwarder

import (
	"context"
	"sync/atomic"
	"time"
)

// abandonedResponseTimeout is how long a response that the placer needs is awaited after its
// caller has left. The replica must not work much longer for nobody.
const abandonedResponseTimeout = 250 * time.Millisecond

// attemptProgress is how far an attempt is, for the decision to give it up.
type attemptProgress struct {
	// written is true if the request may have been written, and answered if the head of its
	// response has been read.
	written, answered atomic.Bool
}

// attemptContext returns the context of an attempt. It ends with that of the request, or a little
// later if the request has been written, its caller has left, and the placer needs the response.
func (x *requestState) attemptContext(a *attemptState) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(x.ctx))
	progress, replica := a.progress, a.grant.Replica.ID
	stop := context.AfterFunc(x.ctx, func() {
		cause := context.Cause(x.ctx)
		awaited := !x.limitReached() && !x.stopped() && progress.written.Load() && !progress.answered.Load()
		if !awaited || !x.forwarder.config.Placer.NeedsResponse(replica) {
			cancel(cause)
			return
		}
		time.AfterFunc(abandonedResponseTimeout, func() { cancel(cause) })
	})
	return ctx, func(cause error) {
		stop()
		cancel(cause)
	}
}

// answered records that the head of the response has been read. It reports whether the
// request goes on, which is not so if its caller has left.
func (a *attemptState) answered() bool {
	x, resp := a.x, a.response
	a.progress.answered.Store(true)
	x.forwarder.config.Placer.Answered(a.grant)
	x.recordAnnouncement(a.grant, resp)
	if x.ctx.Err() == nil {
		return true
	}
	resp.Body.Discard()
	if resp.Verdict != NotRun && resp.Verdict != WrongReplica {
		x.runs++
	}
	return false
}
