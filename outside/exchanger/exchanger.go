// Package exchanger sends HTTP/1.1 requests to backend servers over persistent
// connections, one request at a time on each. It never retries a request, and its
// errors distinguish a request that was not sent from one that may have arrived. A
// connection is not reused after an incomplete or unexpected response.
package exchanger

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"filbertstile.example/filbertstile"
)

// Request is a request to a backend server.
type Request struct {
	// ID is the value that the response must have in the header IDHeader. The header
	// may be missing from the first response on a connection. A connection carries an ID once.
	ID       string
	IDHeader string
	Method   string
	// Head returns the request line and the header fields, including the empty line at the
	// end. It is called once, when the connection is ready for the request. If it returns
	// an error, nothing is sent.
	Head func() ([]byte, error)
	Body []byte
	// MaxIdle is the maximum time for which a connection may have been idle before it
	// is reused for this request; 0 means that only the connection's own idle timeout
	// applies.
	MaxIdle time.Duration
}

// ErrNotSent reports a request of which nothing was sent.
type ErrNotSent struct {
	Peer  string
	Cause error
}

// Error returns a message with the peer and the cause.
func (e ErrNotSent) Error() string { return fmt.Sprintf("connect to %s: %v", e.Peer, e.Cause) }

// Unwrap returns the cause.
func (e ErrNotSent) Unwrap() error { return e.Cause }

// ErrNoResponse reports a request that may have reached the peer but got no usable
// response.
type ErrNoResponse struct {
	Step  string
	Peer  string
	Cause error
	// WrittenAt is the time at which the client began to write the request.
	WrittenAt time.Time
}

// Error returns a message with the step, the peer and the cause.
func (e ErrNoResponse) Error() string { return fmt.Sprintf("%s: peer %s: %v", e.Step, e.Peer, e.Cause) }

// Unwrap returns the cause.
func (e ErrNoResponse) Unwrap() error { return e.Cause }

// errRequestMismatch reports a response that belongs to another request.
var errRequestMismatch = errors.New("the response belongs to another request")

// ErrTooLong reports a response that exceeds a limit. The connection has been closed.
type ErrTooLong struct {
	// Part is the part of the response that is too long.
	Part       string
	LimitBytes int64
}

// Error returns a message with the part and the limit.
func (e ErrTooLong) Error() string {
	return fmt.Sprintf("the %s is longer than %d bytes", e.Part, e.LimitBytes)
}

// Client sends requests and pools idle connections. It is safe for concurrent use.
type Client struct {
	network filbertstile.Network

	mu sync.Mutex
	// idle lists the idle connections by address, most recently used last.
	idle map[string][]*conn
}

// New returns a client that connects through the network.
func New(n filbertstile.Network) *Client {
	return &Client{network: n, idle: make(map[string][]*conn)}
}

// Exchange is a response whose body has not been read yet.
type Exchange struct {
	Response *http.Response
	// WrittenAt is the time at which the client began to write the request.
	WrittenAt time.Time
	// Unidentified is true if the response lacks the ID of the request. It is the first on its
	// connection.
	Unidentified bool
	client       *Client
	conn         *conn
	// written receives the outcome of writing the request.
	written <-chan error
	// stop detaches the connection from the request's context. It returns false if the
	// context has already closed the connection.
	stop func() bool
	// delivery is the watch over the delivery of the request.
	delivery *delivery
	// complete is true after the entire body has been read, and failure is set after the end of
	// the connection was found to be no end of the body.
	complete bool
	failure  error
}

// Do sends the request once and reads the status line and the header of the
// response. The connection is closed if the context ends before Close is called.
func (c *Client) Do(ctx context.Context, address string, r Request) (*Exchange, error) {
	cn, err := c.acquire(ctx, address, r)
	if err != nil {
		return nil, ErrNotSent{Peer: address, Cause: cause(ctx, err)}
	}
	head, err := r.Head()
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = cn.Close()
		return nil, ErrNotSent{Peer: address, Cause: err}
	}
	cn.carries(r.ID)
	stop := context.AfterFunc(ctx, func() { _ = cn.Close() })
	writtenAt := time.Now()
	d := watchDelivery(cn, len(head))
	fail := func(step string, err error) (*Exchange, error) {
		stop()
		d.end()
		_ = cn.Close()
		return nil, ErrNoResponse{Step: step, Peer: address, Cause: cause(ctx, err), WrittenAt: writtenAt}
	}
	// The context closes the connection. A read deadline as well might expire a moment
	// earlier, which would look as if the peer had failed.
	_ = cn.SetDeadline(time.Time{})
	written, err := send(cn, head, r.Body)
	cn.sentBytes += int64(len(head) + len(r.Body))
	if err != nil {
		return fail("send request", err)
	}
	resp, err := cn.readHead(r.Method)
	if err != nil {
		return fail("read response", err)
	}
	id := resp.Header.Get(r.IDHeader)
	if id != r.ID && (id != "" || cn.reused) || len(resp.Header.Values(r.IDHeader)) > 1 {
		return fail("read response", errRequestMismatch)
	}
	return &Exchange{Response: resp, WrittenAt: writtenAt, Unidentified: id != r.ID, client: c, conn: cn, written: written, stop: stop, delivery: d}, nil
}

// cause returns the context's error if the context ended, and err otherwise. A dial
// may notice that the deadline has passed before the context does.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if d, ok := ctx.Deadline(); ok && !time.Now().Before(d) {
		return context.DeadlineExceeded
	}
	return err
}

// SetReadDeadline sets the deadline for reading more of the body, and for writing what is left
// of the request.
func (e *Exchange) SetReadDeadline(t time.Time) { _ = e.conn.SetDeadline(t) }

// EndsWithConnection reports whether only the end of the connection ends the body.
func (e *Exchange) EndsWithConnection() bool {
	return e.Response.ContentLength < 0 && len(e.Response.TransferEncoding) == 0 && e.Response.Body != http.NoBody
}

// Read reads the body. It returns io.EOF only at the end of a complete body.
func (e *Exchange) Read(b []byte) (int, error) {
	if e.failure != nil {
		return 0, e.failure
	}
	n, err := e.Response.Body.Read(b)
	if !errors.Is(err, io.EOF) || e.complete {
		return n, err
	}
	if e.EndsWithConnection() {
		// The kernel reports a reset once. If the write has got it, the read sees an end.
		if err := <-e.written; err != nil {
			e.failure = fmt.Errorf("send request: %w", err)
			return n, e.failure
		}
	}
	e.complete = true
	return n, err
}

// Discard makes Close close the connection, although the response is complete: its content
// shows that the peer has failed.
func (e *Exchange) Discard() { e.complete = false }

// Close ends the exchange. The connection is kept for reuse if the request was
// written, the response was read completely and the peer keeps the connection open.
func (e *Exchange) Close() {
	e.delivery.end()
	if !e.stop() {
		return
	}
	if !e.complete || e.Response.Close || e.EndsWithConnection() {
		_ = e.conn.Close()
		return
	}
	select {
	case err := <-e.written:
		if err == nil {
			e.conn.restoreUserTimeout()
			e.client.putIdle(e.conn, e.Response.Header)
			return
		}
	default:
	}
	_ = e.conn.Close()
}
