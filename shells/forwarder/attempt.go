package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/placer"
	"filbertstile.example/filbertstile/outside/exchanger"
)

// runAttempt sends the request to the replica of the grant.
func (x *requestState) runAttempt(g *placer.Grant, a Attempt) bool {
	ctx, cancel := x.attemptContext(g)
	defer cancel(nil)
	x.sends++
	x.answer = answer{}
	timeout, cause := x.startTimeout(g)
	timer := time.AfterFunc(timeout, func() { cancel(cause) })
	defer timer.Stop()
	started := time.Now()
	x.heardAt = started
	x.writeDelay = 0
	resp, err := x.forwarder.config.Link.Send(ctx, a)
	if err != nil {
		return x.sendFailed(ctx, g, err, started)
	}
	defer resp.Body.Close()
	x.writeDelay = resp.WrittenAt.Sub(started)
	x.heardAt = time.Now()
	if !x.answered(g, resp) {
		return x.contextEnded(g, started)
	}
	switch resp.Verdict {
	case NotRun, WrongReplica:
		// The connection can be used again only after a short body has been read.
		_, _ = io.CopyN(io.Discard, resp.Body, maxNotRunBodyBytes)
		return x.notRun(g, resp, started)
	case Invalid:
		x.runs++
		return x.attemptFailed(ctx, g, errInvalidResponse, started)
	case Ran, Failed:
	}
	x.runs++
	if resp.Streamed {
		return x.forwardStream(ctx, g, resp, timer, started)
	}
	return x.forwardResponse(ctx, g, resp, started)
}

var errInvalidResponse = errors.New("invalid response")

// Causes with which the forwarder itself ends an attempt.
var (
	errResponseTimeout = errors.New("response timeout exceeded")
	errVersionDue      = errors.New("the version of the replica's weights is due to end")
)

// startTimeout returns the time within which the response must begin, and the cause with
// which the attempt is ended otherwise. The end of the replica's version does not depend on
// an estimate: most replicas drop a request whose connection closes before it has begun.
func (x *requestState) startTimeout(g *placer.Grant) (time.Duration, error) {
	timeout := x.responseTimeout()
	if g.StartBy.IsZero() {
		return timeout, errResponseTimeout
	}
	if left := time.Until(g.StartBy); left < timeout {
		return left, errVersionDue
	}
	return timeout, errResponseTimeout
}

// endedByForwarder reports whether the forwarder itself has ended the attempt.
func endedByForwarder(ctx context.Context) bool {
	cause := context.Cause(ctx)
	return errors.Is(cause, errResponseTimeout) || errors.Is(cause, errVersionDue)
}

// responseTimeout returns the time within which the first event of a stream or a complete
// other response must arrive before the request is retried. If no other attempt may follow,
// the timeout is later than the call's deadline, which then ends the attempt.
func (x *requestState) responseTimeout() time.Duration {
	timeLeft := time.Until(x.call.Deadline)
	if !x.call.Route.Retryable() || x.runs+1 >= x.call.Route.MaxAttempts {
		return timeLeft + time.Second
	}
	if x.call.Route.Kind == filbertstile.CallStream {
		return min(timeLeft, firstEventTimeout)
	}
	return min(timeLeft/2, responseTimeoutFactor*x.call.Route.TargetLatency)
}

// sendFailed handles an attempt that ended without a response. Like the other methods
// that handle the end of an attempt, it reports whether another attempt must follow.
func (x *requestState) sendFailed(ctx context.Context, g *placer.Grant, err error, started time.Time) bool {
	var errNotSent exchanger.ErrNotSent
	if errors.As(err, &errNotSent) {
		x.sends--
		return x.notSent(ctx, g, err, started)
	}
	var errNoResponse exchanger.ErrNoResponse
	if errors.As(err, &errNoResponse) {
		x.writeDelay = errNoResponse.WrittenAt.Sub(started)
	}
	x.runs++
	if ctx.Err() != nil && !endedByForwarder(ctx) {
		return x.contextEnded(g, started)
	}
	x.connectionEnded(ctx, g, err, started)
	return x.attemptFailed(ctx, g, err, started)
}

// notSent handles an attempt of which nothing was sent. It is retried even if the
// request is not idempotent.
func (x *requestState) notSent(ctx context.Context, g *placer.Grant, err error, started time.Time) bool {
	if x.ctx.Err() != nil {
		return x.contextEnded(g, started)
	}
	x.release(g, notSentOutcome(ctx, err))
	x.logAttempt(g, "NotSent", err.Error(), started)
	if len(x.tried) < 2*maxSends {
		return true
	}
	x.fail(CodeNoReplica, "no reachable replica", replicaRetryAfter)
	return false
}

// contextEnded handles an attempt that ended because the caller disconnected or the
// deadline passed.
func (x *requestState) contextEnded(g *placer.Grant, started time.Time) bool {
	if errors.Is(x.ctx.Err(), context.DeadlineExceeded) {
		x.release(g, placer.NoResponse)
		x.logAttempt(g, CodeDeadline, "no complete response before the deadline", started)
		x.fail(CodeDeadline, "no complete response before the deadline", 0)
		return false
	}
	x.release(g, placer.Abandoned)
	x.callerDisconnected(g.Replica.ID)
	return false
}

// notRun handles an attempt that the replica reported as not run.
func (x *requestState) notRun(g *placer.Grant, resp Response, started time.Time) bool {
	outcome := placer.NotRun
	if resp.Verdict == WrongReplica {
		outcome = placer.WrongReplica
	}
	x.release(g, outcome)
	x.logAttempt(g, "NotRun", "the replica did not run the request", started)
	if x.sends >= maxSends {
		x.fail(CodeOverloaded, "no replica ran the request", replicaRetryAfter)
		return false
	}
	return true
}

// attemptFailed handles an attempt that failed after the request may have run.
func (x *requestState) attemptFailed(ctx context.Context, g *placer.Grant, err error, started time.Time) bool {
	outcome, logged, detail := placer.NoResponse, "Broken", err.Error()
	if endedByForwarder(ctx) {
		detail = context.Cause(ctx).Error()
	}
	if errors.Is(context.Cause(ctx), errResponseTimeout) || errors.Is(err, os.ErrDeadlineExceeded) {
		logged = "Silent"
	}
	if errors.Is(context.Cause(ctx), errVersionDue) {
		// The replica has not failed.
		outcome, logged = placer.Abandoned, "Withdrawn"
	}
	x.release(g, outcome)
	x.logAttempt(g, logged, detail, started)
	if x.mayRetry() {
		return true
	}
	x.fail(CodeBackendFailed, detail, 0)
	return false
}

// forwardResponse writes a response to the caller after it has been read completely.
func (x *requestState) forwardResponse(ctx context.Context, g *placer.Grant, resp Response, started time.Time) bool {
	body, done, err := x.forwarder.buffers.read(resp.Body)
	defer done()
	if err == nil && resp.EndsWithConnection && x.brokeOff(g, len(body) > 0, started) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		if x.ctx.Err() != nil {
			return x.contextEnded(g, started)
		}
		x.connectionEnded(ctx, g, err, started)
		return x.attemptFailed(ctx, g, fmt.Errorf("read response: %w", err), started)
	}
	if resp.Verdict == Failed && x.mayRetry() {
		x.release(g, placer.Failed)
		x.logAttempt(g, "Failed", "the response reports a failure of the replica", started)
		return true
	}
	outcome := placer.Completed
	if resp.Verdict == Failed {
		outcome = placer.Failed
	}
	x.release(g, outcome)
	x.answerCompleted(resp)
	if err := x.writer.WriteResponse(resp, body); err != nil {
		x.callerDisconnected(g.Replica.ID)
		return false
	}
	x.done(g, resp.Status)
	return false
}
