package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"filbertstile.example/filbertstile/decisions/placer"
)

// forwardStream writes the events of a stream to the caller as they arrive. It skips
// events that the caller already has, and treats a missing event as a failure.
func (x *requestState) forwardStream(ctx context.Context, g *placer.Grant, resp Response, responseTimer *time.Timer, started time.Time) bool {
	events := newEventReader(resp.Body)
	for first := true; ; first = false {
		e, err := events.next()
		if responseTimer.Stop() {
			x.forwarder.config.Placer.ResponseStarted(g)
		} else if first {
			// The first event has come too late: nothing of a stream that is being ended is
			// passed on.
			<-ctx.Done()
			return x.streamFailed(ctx, g, context.Cause(ctx), started)
		}
		if errors.Is(err, io.EOF) && resp.EndsWithConnection && x.brokeOff(g, x.answer.begun(), started) {
			err = io.ErrUnexpectedEOF
		}
		if errors.Is(err, io.EOF) {
			return x.streamEnded(g, resp)
		}
		if err != nil {
			resp.Body.Discard()
			return x.streamFailed(ctx, g, err, started)
		}
		x.heardAt = time.Now()
		x.eventArrived()
		if id, ok := eventID(e); ok {
			if id <= x.lastEventID {
				continue
			}
			if id != x.lastEventID+1 {
				return x.streamFailed(ctx, g, errEventGap, started)
			}
			x.lastEventID = id
		}
		if err := x.writeEvent(resp, e, events.hasBufferedEvent()); err != nil {
			x.release(g, placer.Abandoned)
			x.callerDisconnected(g.Replica.ID)
			return false
		}
		var readDeadline time.Time // none: only the request's deadline ends the stream
		if x.mayRetry() {
			readDeadline = time.Now().Add(eventGapTimeout)
		}
		resp.Body.SetReadDeadline(readDeadline)
	}
}

var errEventGap = errors.New("a stream event is missing")

// writeEvent writes an event to the caller, after the header if it is the first. It
// flushes the event unless more events are buffered and follow at once.
func (x *requestState) writeEvent(resp Response, e []byte, moreBuffered bool) error {
	if !x.responseStarted {
		x.responseStarted = true
		if err := x.writer.WriteHeader(resp); err != nil {
			return err
		}
	}
	if err := x.writer.WriteEvent(e); err != nil || moreBuffered {
		return err
	}
	return x.writer.Flush()
}

// streamEnded handles the end of a complete stream.
func (x *requestState) streamEnded(g *placer.Grant, resp Response) bool {
	x.release(g, placer.Completed)
	x.answerCompleted(resp)
	if !x.responseStarted {
		x.responseStarted = true
		if err := x.writer.WriteHeader(resp); err != nil {
			x.callerDisconnected(g.Replica.ID)
			return false
		}
	}
	x.done(g, resp.Status)
	return false
}

// streamFailed handles a stream that ended before it was complete.
func (x *requestState) streamFailed(ctx context.Context, g *placer.Grant, err error, started time.Time) bool {
	if x.ctx.Err() != nil {
		return x.contextEnded(g, started)
	}
	x.connectionEnded(ctx, g, err, started)
	return x.attemptFailed(ctx, g, fmt.Errorf("read event: %w", err), started)
}
