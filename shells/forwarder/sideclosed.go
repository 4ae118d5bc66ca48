package forwarder

import (
	"context"
	"errors"
	"sync"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/sleeper"
)

// errSideClosed is the cause with which a request ends whose caller has closed its side of the
// connection.
var errSideClosed = errors.New("the caller has closed its side of the connection")

// closedSideTimeout is how much longer a request that must not be repeated may still be sent after its
// caller has closed its side, as a caller may do right after the request.
const closedSideTimeout = 250 * time.Millisecond

// callerSide ends a request whose caller has closed its side of the connection, and may have left,
// unless it is one that must not be repeated and a replica has it: breaking that off gains nothing.
type callerSide struct {
	// end ends the request's context.
	end context.CancelCauseFunc

	mu sync.Mutex
	// closed is true once the caller has closed its side, and the time to send the request is over.
	closed bool
	// handedOver is true while a replica has a request that must not be repeated.
	handedOver bool
}

// watchCallerSide returns a context that ends with ctx, and the caller's side, which may end it.
// The function that it returns ends the watch.
func watchCallerSide(ctx context.Context, c *Call) (context.Context, *callerSide, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &callerSide{end: cancel}
	if c.Sending == nil {
		return ctx, s, func() { cancel(nil) }
	}
	stop := context.AfterFunc(c.Sending, func() {
		if c.Route.Kind == filbertstile.CallNonIdempotent {
			// It only ends the wait.
			_ = sleeper.Sleep(ctx, closedSideTimeout)
		}
		s.close()
	})
	return ctx, s, func() {
		stop()
		cancel(nil)
	}
}

func (s *callerSide) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if !s.handedOver {
		s.end(errSideClosed)
	}
}

// handOver records that a request that must not be repeated is sent. It returns errSideClosed if
// the request has ended.
func (s *callerSide) handOver() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return errSideClosed
	}
	s.handedOver = true
	return nil
}

// takeBack records that no replica has the request.
func (s *callerSide) takeBack() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handedOver = false
	if s.closed {
		s.end(errSideClosed)
	}
}

// sideClosed reports whether the request has ended as its caller has closed its side.
func (x *requestState) sideClosed() bool { return errors.Is(context.Cause(x.ctx), errSideClosed) }

// failSideClosed ends a request whose caller may still wait.
func (x *requestState) failSideClosed() {
	x.writer.WriteError(filbertstile.ErrRequest{Code: CodeSideClosed, Run: x.runState(), Step: "forward request", Detail: errSideClosed.Error()})
}
