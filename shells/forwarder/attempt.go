package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"filbertstile.example/filbertstile/base/collector"
	"filbertstile.example/filbertstile/decisions/placer"
	"filbertstile.example/filbertstile/outside/exchanger"
)

// Reasons for which an attempt ends without a response, beside those of the Link.
var (
	errNotRun          = errors.New("the replica did not run the request")
	errInvalidResponse = errors.New("invalid response")
	errReplicaFailed   = errors.New("the response reports a failure of the replica")
	// errPlannedEnd means that only the end of the connection ends the response.
	errPlannedEnd = errors.New("the replica was expected to end, and no longer runs after a response without a length")
)

// Causes with which the forwarder itself ends an attempt.
var (
	errVersionDue = errors.New("the version of the replica's weights is due to end")
	errSuperseded = errors.New("another replica has answered while this one was silent")
	errNotNeeded  = errors.New("the replica that was silent has answered")
)

// piece is a part of a response that can be written to the caller at once.
type piece struct {
	// event is an event of a stream.
	event []byte
	// end is true at the end of a complete stream.
	end bool
	// body is the complete body of a response that is no stream.
	body []byte
}

// attemptState is an attempt in progress.
type attemptState struct {
	x     *requestState
	grant *placer.Grant
	ctx   context.Context
	// cancel ends the attempt, which closes its connection.
	cancel   context.CancelCauseFunc
	progress *attemptProgress
	// startTimer ends the attempt if its response begins too late for the version of the
	// replica's weights; nil if there is no such time.
	startTimer *time.Timer
	startedAt  time.Time
	// heardAt is the time at which the replica was last heard, or at which the attempt began.
	heardAt time.Time
	// runsBefore is requestState.runs at the start of the attempt. A backup may change that later.
	runsBefore int
	// watch is told when the attempt waits for its replica; nil if nothing watches it.
	watch *silenceWatch
	// response is valid if responded is true.
	response  Response
	responded bool
	// events reads the response if it is a stream.
	events *eventReader
	// counted is true while the attempt counts as an open stream.
	counted bool
	// mustContinue is true until the attempt has gone on with a stream that had begun before it.
	// If its response is empty, emptyContinuation decides.
	mustContinue bool
	// repeated is true if the response has something that is no continuation.
	repeated bool
	// freeBody frees the memory of the response's body; nil if it has none.
	freeBody func()
	// unread is the time for which the stream was not read because of the caller.
	unread unreadTime
}

// newAttempt returns an attempt at the replica of the grant, of which nothing has been sent.
func (x *requestState) newAttempt(g *placer.Grant) *attemptState {
	now := time.Now()
	a := &attemptState{x: x, grant: g, progress: &attemptProgress{}, startedAt: now, heardAt: now, mustContinue: x.responseStarted, runsBefore: x.runs}
	a.ctx, a.cancel = x.attemptContext(a)
	if !g.StartBy.IsZero() {
		// The end of the replica's version does not depend on an estimate: most replicas drop a
		// request whose connection closes before it has begun.
		a.startTimer = time.AfterFunc(time.Until(g.StartBy), func() { a.cancel(errVersionDue) })
	}
	x.tried = append(x.tried, g.Replica.ID)
	x.sends++
	if x.runs == 0 {
		x.firstSentAt = now
	}
	x.answer, x.writeDelay = answer{}, 0
	return a
}

// close ends the attempt. Its connection is kept if the response was read completely.
func (a *attemptState) close() {
	if a.responded {
		a.response.Body.Close()
	}
	a.cancel(nil)
	if a.startTimer != nil {
		a.startTimer.Stop()
	}
	holdsMemory := a.freeBody != nil || a.events != nil && a.events.reserved > 0
	if a.freeBody != nil {
		a.freeBody()
	}
	if a.events != nil {
		a.events.close()
	}
	if a.counted {
		a.counted = false
		a.x.forwarder.usage.streams.Add(-1)
	}
	if holdsMemory {
		a.x.forwarder.deliveries.memoryFreed()
	}
}

// await calls f, which blocks until the replica is heard. It returns errSuperseded if another
// attempt has taken over.
func (a *attemptState) await(f func() error) error {
	if a.watch == nil {
		return f()
	}
	if err := a.watch.beginWait(); err != nil {
		return err
	}
	defer a.watch.endWait()
	return f()
}

// endedByForwarder reports whether the forwarder itself has ended the attempt.
func (a *attemptState) endedByForwarder() bool {
	cause := context.Cause(a.ctx)
	return errors.Is(cause, errVersionDue) || errors.Is(cause, errSuperseded) || errors.Is(cause, errNotNeeded)
}

// next returns the next piece of the response. The first call sends the request.
func (a *attemptState) next() (piece, error) {
	if !a.responded {
		if err := a.send(); err != nil {
			return piece{}, err
		}
	}
	if a.response.Streamed {
		return a.nextEvent()
	}
	return a.readBody()
}

// send sends the request and reads the head of the response.
func (a *attemptState) send() error {
	x := a.x
	toSend := Attempt{
		Call: x.call, Replica: a.grant.Replica, Deadline: x.call.replicaDeadline(), LastEventID: x.lastEventID, ExpectedVersion: a.grant.ExpectedVersion, CheckSend: a.checkSend,
	}
	var resp Response
	err := a.await(func() (err error) {
		resp, err = x.forwarder.config.Link.Send(a.ctx, toSend)
		return err
	})
	var notSent exchanger.ErrNotSent
	var noResponse exchanger.ErrNoResponse
	switch {
	case errors.As(err, &notSent):
		x.sends--
		return err
	case errors.As(err, &noResponse):
		x.writeDelay = noResponse.WrittenAt.Sub(a.startedAt)
	}
	if err != nil {
		x.runs++
		return err
	}
	a.response, a.responded, a.heardAt = resp, true, time.Now()
	x.writeDelay = resp.WrittenAt.Sub(a.startedAt)
	if !a.answered() {
		return x.ctx.Err()
	}
	switch resp.Verdict {
	case NotRun, WrongReplica:
		// The connection can be used again only after a short body has been read.
		_ = a.await(func() error {
			_, err := io.CopyN(io.Discard, resp.Body, maxNotRunBodyBytes)
			return err
		})
		return errNotRun
	case Invalid:
		x.runs++
		return errInvalidResponse
	case Ran, Failed:
	}
	x.runs++
	if a.mustContinue && (!resp.Streamed || resp.Verdict == Failed) {
		return errNotContinued
	}
	a.events = newEventReader(resp.Body, &x.forwarder.usage)
	if a.counted = resp.Streamed; a.counted {
		x.forwarder.usage.streams.Add(1)
	}
	return nil
}

// readBody reads the complete body of a response that is no stream.
func (a *attemptState) readBody() (piece, error) {
	var body []byte
	err := a.await(func() (err error) {
		body, a.freeBody, err = a.x.forwarder.buffers.Read(collector.Body{Reader: a.response.Body, MaxBytes: maxResponseBytes, Limit: "the limit for a response"})
		return err
	})
	if err == nil && a.response.EndsWithConnection {
		err = a.x.unframedEnd(a, len(body) > 0)
	}
	if err != nil {
		return piece{}, fmt.Errorf("read response: %w", err)
	}
	return piece{body: body}, nil
}

// runAttempt sends the request to the replica of the grant, and to another one if that one is
// silent. It reports whether another attempt must follow.
func (x *requestState) runAttempt(g *placer.Grant) bool {
	a := x.newAttempt(g)
	defer func() { a.close() }()
	w := newSilenceWatch(x, a)
	for {
		p, err := a.next()
		if b := w.settle(err != nil || a.response.Verdict == Failed); b != nil {
			x.replaced(a, err)
			a, p, err = x.adopt(b, w), b.first, nil
		}
		if err != nil {
			return x.attemptEnded(a, err)
		}
		if again, done := x.deliver(a, p); done {
			return again
		}
		w.watchGap()
	}
}

// replaced ends an attempt, which may have returned a piece, in whose place its backup goes on.
func (x *requestState) replaced(a *attemptState, err error) {
	defer a.close()
	switch {
	case err != nil:
		x.connectionEnded(a, err)
	case a.response.Verdict == Failed:
		err = errReplicaFailed
	default:
		err = errSuperseded // another replica has answered, and the piece is not used
	}
	x.conclude(a, err)
}

// deliver writes a piece of the response to the caller. It reports whether that ends the
// attempt, and whether another one must follow.
func (x *requestState) deliver(a *attemptState, p piece) (again, done bool) {
	if a.response.Streamed {
		return false, x.deliverEvent(a, p)
	}
	if a.response.Verdict == Failed && x.mayRetry() {
		x.release(a.grant, placer.Failed)
		x.logAttempt(a, "Failed", errReplicaFailed.Error())
		return true, true
	}
	outcome := placer.Completed
	if a.response.Verdict == Failed {
		outcome = placer.Failed
	}
	x.release(a.grant, outcome)
	x.answerCompleted(a.response)
	x.responseStarted = true
	end := x.forwarder.deliveries.begin(x.writer)
	err := x.writer.WriteResponse(a.response, p.body)
	end()
	if err != nil {
		x.callerDisconnected(a.grant.Replica.ID)
		return false, true
	}
	x.done(a)
	return false, true
}

// attemptEnded handles an attempt that ended with an error, and reports whether another one
// must follow.
func (x *requestState) attemptEnded(a *attemptState, err error) bool {
	var notSent exchanger.ErrNotSent
	switch {
	case x.ctx.Err() != nil:
		return x.contextEnded(a)
	case errors.As(err, &notSent):
		// A request of which nothing was sent is sent again even if it is not idempotent.
		x.conclude(a, err)
		x.side.takeBack()
		if len(x.tried) < 2*maxSends {
			return true
		}
		x.fail(CodeNoReplica, "no reachable replica", replicaRetryAfter)
		return false
	case errors.Is(err, errNotRun):
		x.conclude(a, err)
		x.side.takeBack()
		if x.sends < maxSends {
			return true
		}
		x.fail(CodeOverloaded, "no replica ran the request", replicaRetryAfter)
		return false
	}
	// The request may have run.
	x.connectionEnded(a, err)
	detail := x.conclude(a, err)
	if x.mayRetry() {
		return true
	}
	x.fail(CodeBackendFailed, detail, 0)
	return false
}

// contextEnded handles an attempt that ended because the caller disconnected, the deadline
// passed or the forwarder stopped.
func (x *requestState) contextEnded(a *attemptState) bool {
	if x.limitReached() {
		x.release(a.grant, placer.NoResponse)
		x.logAttempt(a, CodeDeadline, "no complete response before the deadline")
		x.fail(CodeDeadline, "no complete response before the deadline", 0)
		return false
	}
	if x.stopped() {
		x.conclude(a, errStopped)
		x.failStopped()
		return false
	}
	x.release(a.grant, placer.Abandoned)
	x.callerDisconnected(a.grant.Replica.ID)
	return false
}

// conclude releases the grant of an attempt that ended with an error, or whose response is not
// used, and logs the attempt. It returns the reason that was logged.
func (x *requestState) conclude(a *attemptState, err error) (detail string) {
	outcome, logged := placer.NoResponse, "Broken"
	cause := context.Cause(a.ctx)
	var notSent exchanger.ErrNotSent
	var noMemory collector.ErrNoMemory
	switch {
	case errors.As(err, &notSent):
		outcome, logged = notSentOutcome(a.ctx, err), "NotSent"
	case errors.Is(err, errNotRun) && a.response.Verdict == WrongReplica:
		outcome, logged = placer.WrongReplica, "NotRun"
	case errors.Is(err, errNotRun):
		outcome, logged = placer.NotRun, "NotRun"
	case errors.Is(err, errReplicaFailed) || errors.Is(err, errNotContinued) && a.response.Verdict == Failed:
		outcome, logged = placer.Failed, "Failed"
	case errors.Is(err, errPlannedEnd):
		outcome, logged = placer.Abandoned, "Leaving"
	case errors.Is(err, errUnconfirmedEnd):
		outcome, logged = placer.Abandoned, "Unconfirmed"
	case errors.As(err, &noMemory):
		// The replica has not failed.
		outcome, logged = placer.Abandoned, "NoMemory"
	case a.unread.explainsEnd() && x.ctx.Err() == nil:
		outcome, logged = placer.Abandoned, "Unread"
	case errors.Is(cause, errVersionDue):
		// The replica has not failed.
		outcome, logged, err = placer.Abandoned, "Withdrawn", cause
	case errors.Is(cause, errNotNeeded):
		outcome, logged, err = placer.Abandoned, "NotNeeded", cause
	case a.x.stopped():
		outcome, logged = placer.Abandoned, "Stopped"
	case a.x.ctx.Err() != nil && !a.x.limitReached():
		outcome, logged = placer.Abandoned, "CallerLeft"
	case errors.Is(cause, errSuperseded):
		logged, err = "Superseded", cause
	}
	x.release(a.grant, outcome)
	x.logAttempt(a, logged, err.Error())
	return err.Error()
}
