package requester

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"

	"github.com/valyala/fasthttp"
)

// errInterrupted reports a connection that was opened for a call whose context has ended.
var errInterrupted = errors.New("the call's context has ended")

// lane carries one call at a time over a connection of its own, so that the end of the call's
// context can end the connection.
type lane struct {
	client *fasthttp.HostClient

	mu sync.Mutex
	// ctx is the context of the call in progress, and calls the number of calls so far.
	ctx   context.Context
	calls int
	// interrupted is true if the end of the context has closed the connection of the call.
	interrupted bool
	// conn is the last connection; nil before the first one, and while the next one is opened.
	conn *connection
	// dialed is the number of attempts to open a connection.
	dialed int
}

// dial opens a connection for the call in progress.
func (l *lane) dial(open func(ctx context.Context) (*connection, error)) (net.Conn, error) {
	l.mu.Lock()
	ctx := l.ctx
	l.dialed++
	l.conn = nil
	l.mu.Unlock()
	conn, err := open(ctx)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if ctx.Err() != nil {
		_ = conn.Close()
		return nil, ErrDial{Peer: conn.peer, Cause: errInterrupted}
	}
	l.conn = conn
	return conn, nil
}

// begin begins a call with the context. The function returned ends it.
func (l *lane) begin(ctx context.Context) (end func()) {
	l.mu.Lock()
	l.ctx, l.interrupted = ctx, false
	l.calls++
	n := l.calls
	l.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { l.interrupt(n) })
	return func() {
		stop()
		l.mu.Lock()
		l.ctx = context.Background()
		l.calls++
		interrupted := l.interrupted
		l.mu.Unlock()
		if interrupted {
			// The response may have arrived just before, and the connection be kept as idle.
			l.client.CloseIdleConnections()
		}
	}
}

// interrupt closes the connection of the call with the number, if it is in progress.
func (l *lane) interrupt(call int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.calls == call && l.conn != nil {
		l.interrupted = true
		_ = l.conn.Close() // the call fails
	}
}

// cause returns what is wrong with the response if that made the call fail, and otherwise err.
// fasthttp reports a read that fails before the first byte as the end of the connection.
func (l *lane) cause(err error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return err
	}
	if invalid := l.conn.response.Err(); invalid != nil {
		return invalid
	}
	return err
}

// dials returns the number of attempts to open a connection.
func (l *lane) dials() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dialed
}

// isOpen reports whether the lane has an open connection.
func (l *lane) isOpen() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn != nil && l.conn.isOpen()
}

// lanes are the lanes of a client.
type lanes struct {
	create func() *lane

	mu sync.Mutex
	// idle are the lanes without a call, the one used last at the end.
	idle []*lane
	busy int
}

// take returns a lane for a call, if possible one with an open connection.
func (s *lanes) take() (*lane, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy >= maxConns {
		return nil, fasthttp.ErrNoFreeConns
	}
	s.busy++
	if len(s.idle) == 0 {
		return s.create(), nil
	}
	at := len(s.idle) - 1
	for i, l := range slices.Backward(s.idle) {
		if l.isOpen() {
			at = i
			break
		}
	}
	l := s.idle[at]
	s.idle = slices.Delete(s.idle, at, at+1)
	return l, nil
}

// put returns a lane whose call has ended.
func (s *lanes) put(l *lane) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy--
	s.idle = append(s.idle, l)
}

// closeIdle closes the idle connections.
func (s *lanes) closeIdle() {
	s.mu.Lock()
	idle := slices.Clone(s.idle)
	s.mu.Unlock()
	for _, l := range idle {
		l.client.CloseIdleConnections()
	}
}
