package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"filbertstile.example/filbertstile/decisions/placer"
)

// minEventWait is the shortest wait after which an event counts as just arrived: one that was
// read at once may have arrived at any time while its caller was slow to read.
const minEventWait = 500 * time.Microsecond

// Reasons for which a response does not go on with a stream that has begun.
var (
	errEventGap     = errors.New("a stream event is missing")
	errNotContinued = errors.New("the response does not continue the stream")
	// errUnconfirmedEnd means that one replica only has said that nothing is left of the stream.
	errUnconfirmedEnd = errors.New("no other replica has confirmed that nothing is left of the stream")
)

// endClaim is a replica's word that nothing is left of a stream after an event.
type endClaim struct {
	replica string
	eventID EventID
}

// emptyContinuation returns what an empty response means that should go on with a stream:
// io.EOF if nothing is left. A faulty replica may answer so in the middle of a stream, so that
// two must.
func (a *attemptState) emptyContinuation() error {
	x, claim := a.x, endClaim{replica: a.grant.Replica.ID, eventID: a.x.lastEventID}
	switch {
	case a.repeated || a.response.EndsWithConnection:
		return errNotContinued
	case x.endClaim.replica != "" && x.endClaim.replica != claim.replica && x.endClaim.eventID == claim.eventID:
		return io.EOF
	}
	x.endClaim = claim
	return errUnconfirmedEnd
}

// nextEvent returns the next event that the caller does not have, or the end of the stream.
// A missing event is an error.
func (a *attemptState) nextEvent() (piece, error) {
	for {
		var e []byte
		awaitedFrom := time.Now()
		err := a.await(func() (err error) {
			e, err = a.events.next()
			return err
		})
		if a.startTimer != nil && !a.startTimer.Stop() {
			// The first event has come too late: nothing of a stream that is being ended is
			// passed on.
			<-a.ctx.Done()
			return piece{}, fmt.Errorf("read event: %w", context.Cause(a.ctx))
		}
		a.startTimer = nil
		a.recordProgress(e, err, time.Since(awaitedFrom))
		if errors.Is(err, io.EOF) && a.response.EndsWithConnection {
			if a.unread.explainsEnd() {
				err = io.ErrUnexpectedEOF
			} else if broken := a.x.unframedEnd(a, a.x.answer.begun()); broken != nil {
				err = broken
			}
		}
		if errors.Is(err, io.EOF) && a.mustContinue {
			err = a.emptyContinuation()
		}
		if errors.Is(err, io.EOF) {
			return piece{end: true}, nil
		}
		if err != nil {
			a.response.Body.Discard()
			return piece{}, fmt.Errorf("read event: %w", err)
		}
		a.heardAt = time.Now()
		a.x.eventArrived()
		id, last := eventID(e), a.x.lastEventID
		switch {
		case id.follows(last):
			a.mustContinue = false
			return piece{event: e}, nil
		case id.Known() && id.Number() > last.Number():
			return piece{}, fmt.Errorf("read event: %w", errEventGap)
		case id.Known() || a.mustContinue && isComment(e):
			a.repeated = true
		case a.mustContinue:
			return piece{}, fmt.Errorf("read event: %w", errNotContinued)
		default:
			return piece{event: e}, nil
		}
	}
}

// recordProgress tells the placer of an event that the attempt has read after it has waited for
// the given time, or of what else it has read, such as a comment.
func (a *attemptState) recordProgress(e []byte, err error, waited time.Duration) {
	p := a.x.forwarder.config.Placer
	if err != nil || e[0] == ':' {
		p.ResponseStarted(a.grant)
		return
	}
	a.grant.Buffered = waited < minEventWait
	p.EventArrived(a.grant)
}

// deliverEvent writes an event to the caller, or ends the response after the last one. It
// reports whether the request has ended.
func (x *requestState) deliverEvent(a *attemptState, p piece) (done bool) {
	if p.end {
		x.endStream(a)
		return true
	}
	if id := eventID(p.event); id.Known() {
		x.lastEventID = id
	} else if !isComment(p.event) {
		x.unnumbered = true
	}
	if err := x.writeEvent(a, p.event); err != nil {
		x.release(a.grant, placer.Abandoned)
		x.callerDisconnected(a.grant.Replica.ID)
		return true
	}
	return false
}

// writeEvent writes an event to the caller, after the header if it is the first. It
// flushes the event unless more events are buffered and follow at once.
func (x *requestState) writeEvent(a *attemptState, e []byte) error {
	if a.events.reserved > 0 {
		defer x.forwarder.deliveries.begin(x.writer)()
	}
	defer a.unread.add(time.Now())
	if !x.responseStarted {
		x.responseStarted = true
		if err := x.writer.WriteHeader(a.response); err != nil {
			return err
		}
	}
	if err := x.writer.WriteEvent(e); err != nil || a.events.hasBufferedEvent() {
		return err
	}
	return x.writer.Flush()
}

// endStream ends the response after a complete stream.
func (x *requestState) endStream(a *attemptState) {
	x.release(a.grant, placer.Completed)
	x.answerCompleted(a.response)
	if !x.responseStarted {
		x.responseStarted = true
		if err := x.writer.WriteHeader(a.response); err != nil {
			x.callerDisconnected(a.grant.Replica.ID)
			return
		}
	}
	x.done(a)
}
