// Package requester makes HTTP calls to one address of an external system.
package requester

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"

	"filbertstile.example/filbertstile"
)

const (
	dialTimeout        = 2 * time.Second
	defaultIdleTimeout = 30 * time.Second
	maxConns           = 512
	// maxResponseBytes is several times the largest value and the largest page of a list.
	maxResponseBytes = 8 << 20
)

// Config configures a Client.
type Config struct {
	// Address is the address to call.
	Address string
	Network filbertstile.Network
	// Timeout is the timeout of calls that do not set their own.
	Timeout time.Duration
	// IdleTimeout is how long an idle connection is kept; 0 means the default. It should be
	// short for a system that limits the connections of all its clients together.
	IdleTimeout time.Duration
	// MaxExtension is how long after its timeout a call may still receive a large response
	// whose bytes go on arriving: to give it up would only ask for the same bytes again.
	MaxExtension time.Duration
}

// Client makes calls to one address. It is safe for concurrent use.
type Client struct {
	address     string
	timeout     time.Duration
	connections *connections
	// buffered read complete responses, and streaming leaves the body to its reader.
	buffered  *lanes
	streaming *lanes
}

// New returns a client of the configured address.
func New(c Config) *Client {
	open := newConnections()
	dial := func(ctx context.Context) (*connection, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		conn, err := c.Network.Dial(ctx, c.Address)
		if err != nil {
			return nil, ErrDial{Peer: c.Address, Cause: err}
		}
		return open.add(conn, c.Address, c.MaxExtension), nil
	}
	idleTimeout := defaultIdleTimeout
	if c.IdleTimeout > 0 {
		idleTimeout = c.IdleTimeout
	}
	newLane := func(streaming bool) *lane {
		l := &lane{ctx: context.Background()}
		l.client = &fasthttp.HostClient{
			Addr:                c.Address,
			Dial:                func(string) (net.Conn, error) { return l.dial(dial) },
			MaxConns:            maxConns,
			MaxIdleConnDuration: idleTimeout,
			MaxResponseBodySize: maxResponseBytes,
			StreamResponseBody:  streaming,
			// The callers of this package decide whether a call may be retried.
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		}
		return l
	}
	return &Client{
		address: c.Address, timeout: c.Timeout, connections: open,
		buffered:  &lanes{create: func() *lane { return newLane(false) }},
		streaming: &lanes{create: func() *lane { return newLane(true) }},
	}
}

// Receiving reports whether a large response is arriving.
func (c *Client) Receiving() bool { return c.connections.receiving() }

// Address returns the address that the client calls.
func (c *Client) Address() string { return c.address }

// Header is a header field.
type Header struct {
	Name  string
	Value string
}

// Call describes a call.
type Call struct {
	// Step names the call in errors.
	Step    string
	Method  string
	Path    string
	Query   url.Values
	Headers []Header
	Body    []byte
	// BodyStream is sent instead of Body if it is set, and BodySize is its length in
	// bytes.
	BodyStream io.Reader
	BodySize   int
	// Timeout replaces the client's timeout if it is set.
	Timeout time.Duration
	// KeepHeader names a header field of the response to return; none if it is empty.
	KeepHeader string
}

// isRead reports whether the call changes nothing, so that it may be made again.
func (c Call) isRead() bool { return c.Method == "" || c.Method == http.MethodGet }

// Response is the response to a call.
type Response struct {
	Status      int
	ContentType string
	// ETag is the response's entity tag; empty if it has none.
	ETag string
	// KeptHeader is the value of the header field that the call's KeepHeader names.
	KeptHeader string
	Body       []byte
}

// ErrStatus reports a response with an unexpected status.
type ErrStatus struct {
	Step   string
	Peer   string
	Status int
	Body   string
}

// Error returns a message with the step, the peer, the status and the body.
func (e ErrStatus) Error() string {
	return fmt.Sprintf("%s: peer %s: status %d: %s", e.Step, e.Peer, e.Status, e.Body)
}

// ErrDial reports a call that was not sent because the connection to the peer failed.
type ErrDial struct {
	Peer  string
	Cause error
}

// Error returns a message with the peer and the cause.
func (e ErrDial) Error() string { return fmt.Sprintf("connect to %s: %v", e.Peer, e.Cause) }

// Unwrap returns the cause.
func (e ErrDial) Unwrap() error { return e.Cause }

// ErrUnusable reports a call of which nothing was sent, because the idle connection that it was
// to use has ended or has received bytes that belong to no call.
type ErrUnusable struct {
	Step string
	Peer string
}

// Error returns a message with the step and the peer.
func (e ErrUnusable) Error() string {
	return fmt.Sprintf("%s: peer %s: the connection has ended or has unread bytes", e.Step, e.Peer)
}

// UnexpectedStatus returns the ErrStatus for a response of this client's peer.
func (c *Client) UnexpectedStatus(step string, resp Response) error {
	return ErrStatus{Step: step, Peer: c.address, Status: resp.Status, Body: string(resp.Body)}
}

func (c *Client) fillRequest(req *fasthttp.Request, call Call) {
	req.Header.SetMethod(call.Method)
	uri := "http://" + c.address + call.Path
	if len(call.Query) > 0 {
		uri += "?" + call.Query.Encode()
	}
	req.SetRequestURI(uri)
	for _, h := range call.Headers {
		req.Header.Set(h.Name, h.Value)
	}
	if call.BodyStream != nil {
		req.SetBodyStream(call.BodyStream, call.BodySize)
		return
	}
	req.SetBody(call.Body)
}

func (c *Client) deadline(ctx context.Context, call Call) time.Time {
	d := time.Now().Add(c.timeout)
	if call.Timeout > 0 {
		d = time.Now().Add(call.Timeout)
	}
	if ctxDeadline, ok := ctx.Deadline(); ok && ctxDeadline.Before(d) {
		d = ctxDeadline
	}
	return d
}

// Do makes the call and reads the complete response. It returns as soon as the context
// ends, and ends the call's connection. A response that is too large is an ErrUnreadable.
func (c *Client) Do(ctx context.Context, call Call) (Response, error) {
	if err := ctx.Err(); err != nil {
		return Response{}, fmt.Errorf("%s: peer %s: %w", call.Step, c.address, err)
	}
	type outcome struct {
		response Response
		err      error
	}
	done := make(chan outcome, 1)
	go func() {
		resp, err := c.exchange(ctx, call, c.deadline(ctx, call))
		done <- outcome{response: resp, err: err}
	}()
	select {
	case o := <-done:
		if errors.Is(o.err, fasthttp.ErrBodyTooLarge) {
			return Response{}, filbertstile.ErrUnreadable{Step: call.Step, Peer: c.address, Cause: o.err}
		}
		if o.err != nil {
			return Response{}, fmt.Errorf("%s: peer %s: %w", call.Step, c.address, o.err)
		}
		return o.response, nil
	case <-ctx.Done():
		return Response{}, fmt.Errorf("%s: peer %s: %w", call.Step, c.address, ctx.Err())
	}
}

// exchange makes the call. If it fails, idle connections are closed: those that ended or went
// silent with the one of the call would fail the next calls one after another. A read that
// failed on such a connection is made once more, and so is a call of which nothing was sent.
func (c *Client) exchange(ctx context.Context, call Call, deadline time.Time) (Response, error) {
	l, err := c.buffered.take()
	if err != nil {
		return Response{}, err
	}
	defer c.buffered.put(l)
	defer l.begin(ctx)()
	dials := l.dials()
	resp, err := c.attempt(l, call, deadline)
	if err == nil || ctx.Err() != nil {
		return resp, err
	}
	c.buffered.closeIdle()
	wasIdle := l.dials() == dials
	var notSent ErrUnusable
	repeatable := wasIdle && call.isRead() || errors.As(err, &notSent) && call.BodyStream == nil
	if !repeatable || !time.Now().Before(deadline) {
		return Response{}, err
	}
	return c.attempt(l, call, deadline)
}

// attempt makes the call once.
func (c *Client) attempt(l *lane, call Call, deadline time.Time) (Response, error) {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	c.fillRequest(req, call)
	if err := l.client.DoDeadline(req, resp, deadline); err != nil {
		return Response{}, l.cause(err)
	}
	return Response{
		Status:      resp.StatusCode(),
		ContentType: string(resp.Header.ContentType()),
		ETag:        string(resp.Header.Peek(fasthttp.HeaderETag)),
		KeptHeader:  string(resp.Header.Peek(call.KeepHeader)),
		Body:        bytes.Clone(resp.Body()),
	}, nil
}

// Stream makes the call and passes the response's body to read as a stream, which is
// closed when read returns. Reading the body fails after the call's deadline, and as soon
// as the context ends, which ends the call's connection.
func (c *Client) Stream(ctx context.Context, call Call, read func(resp Response, body io.Reader) error) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%s: peer %s: %w", call.Step, c.address, err)
	}
	err := c.stream(ctx, call, read)
	if err != nil && ctx.Err() != nil {
		err = fmt.Errorf("%w: %w", ctx.Err(), err)
	}
	if err != nil {
		return fmt.Errorf("%s: peer %s: %w", call.Step, c.address, err)
	}
	return nil
}

func (c *Client) stream(ctx context.Context, call Call, read func(resp Response, body io.Reader) error) error {
	l, err := c.streaming.take()
	if err != nil {
		return err
	}
	defer c.streaming.put(l)
	defer l.begin(ctx)()
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	c.fillRequest(req, call)
	if err := l.client.DoDeadline(req, resp, c.deadline(ctx, call)); err != nil {
		return l.cause(err)
	}
	defer func() { _ = resp.CloseBodyStream() }()
	body := resp.BodyStream()
	if body == nil {
		body = http.NoBody // the status, such as 204, excludes a body
	}
	return read(Response{Status: resp.StatusCode(), ContentType: string(resp.Header.ContentType())}, body)
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.buffered.closeIdle()
	c.streaming.closeIdle()
}
