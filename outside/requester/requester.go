// Package requester makes HTTP calls to one address of an outside system.
package requester

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"

	"filbertstile.example/filbertstile"
)

const (
	dialTimeout   = 2 * time.Second
	idleDuration  = 30 * time.Second
	maxConns      = 512
	maxReplyBytes = 64 << 20
)

// Config says whom to call.
type Config struct {
	Address string
	Network filbertstile.Network
	// Timeout bounds each call that does not bring its own.
	Timeout time.Duration
}

// Client calls one address.
type Client struct {
	address string
	timeout time.Duration
	plain   *fasthttp.HostClient
	stream  *fasthttp.HostClient
}

// New returns a client without connections.
func New(c Config) *Client {
	dial := func(addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		defer cancel()
		conn, err := c.Network.Dial(ctx, addr)
		if err != nil {
			return nil, ErrDial{Peer: addr, Cause: err}
		}
		return conn, nil
	}
	host := func(streamed bool) *fasthttp.HostClient {
		return &fasthttp.HostClient{
			Addr:                c.Address,
			Dial:                dial,
			MaxConns:            maxConns,
			MaxIdleConnDuration: idleDuration,
			MaxResponseBodySize: maxReplyBytes,
			StreamResponseBody:  streamed,
			// Whether a call may be repeated is decided above this package.
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		}
	}
	return &Client{address: c.Address, timeout: c.Timeout, plain: host(false), stream: host(true)}
}

// Address returns the address that the client calls.
func (c *Client) Address() string { return c.address }

// Header is one header field.
type Header struct {
	Name  string
	Value string
}

// Call is one request.
type Call struct {
	Step    string
	Method  string
	Path    string
	Query   url.Values
	Headers []Header
	Body    []byte
	// BodyStream is sent instead of Body where it is set; BodySize is its length.
	BodyStream io.Reader
	BodySize   int
	// Timeout replaces the client's own where it is set.
	Timeout time.Duration
}

// Answer is the reply to a call.
type Answer struct {
	Status      int
	ContentType string
	// Tag is the answer's entity tag, where it has one.
	Tag  string
	Body []byte
}

// ErrStatus is an answer with an unexpected status.
type ErrStatus struct {
	Step   string
	Peer   string
	Status int
	Body   string
}

// Error names the status.
func (e ErrStatus) Error() string {
	return fmt.Sprintf("%s: peer %s: status %d: %s", e.Step, e.Peer, e.Status, e.Body)
}

// ErrDial is a call that was not sent, as its peer could not be reached.
type ErrDial struct {
	Peer  string
	Cause error
}

// Error names the peer.
func (e ErrDial) Error() string { return fmt.Sprintf("connect to %s: %v", e.Peer, e.Cause) }

// Unwrap returns the cause.
func (e ErrDial) Unwrap() error { return e.Cause }

// Unexpected returns the error for an answer that the caller cannot use.
func (c *Client) Unexpected(step string, a Answer) error {
	return ErrStatus{Step: step, Peer: c.address, Status: a.Status, Body: string(a.Body)}
}

func (c *Client) fill(req *fasthttp.Request, in Call) {
	req.Header.SetMethod(in.Method)
	uri := "http://" + c.address + in.Path
	if len(in.Query) > 0 {
		uri += "?" + in.Query.Encode()
	}
	req.SetRequestURI(uri)
	for _, h := range in.Headers {
		req.Header.Set(h.Name, h.Value)
	}
	if in.BodyStream != nil {
		req.SetBodyStream(in.BodyStream, in.BodySize)
		return
	}
	req.SetBody(in.Body)
}

func (c *Client) deadline(ctx context.Context, in Call) time.Time {
	d := time.Now().Add(c.timeout)
	if in.Timeout > 0 {
		d = time.Now().Add(in.Timeout)
	}
	if limit, ok := ctx.Deadline(); ok && limit.Before(d) {
		d = limit
	}
	return d
}

// Do makes the call and reads the whole answer. It returns as soon as the context
// ends, though the library goes on waiting for an answer until its deadline.
func (c *Client) Do(ctx context.Context, in Call) (Answer, error) {
	if err := ctx.Err(); err != nil {
		return Answer{}, fmt.Errorf("%s: peer %s: %w", in.Step, c.address, err)
	}
	type outcome struct {
		answer Answer
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		a, err := c.exchange(in, c.deadline(ctx, in))
		done <- outcome{answer: a, err: err}
	}()
	select {
	case o := <-done:
		if o.err != nil {
			return Answer{}, fmt.Errorf("%s: peer %s: %w", in.Step, c.address, o.err)
		}
		return o.answer, nil
	case <-ctx.Done():
		return Answer{}, fmt.Errorf("%s: peer %s: %w", in.Step, c.address, ctx.Err())
	}
}

func (c *Client) exchange(in Call, deadline time.Time) (Answer, error) {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	c.fill(req, in)
	if err := c.plain.DoDeadline(req, resp, deadline); err != nil {
		return Answer{}, err
	}
	return Answer{
		Status:      resp.StatusCode(),
		ContentType: string(resp.Header.ContentType()),
		Tag:         string(resp.Header.Peek(fasthttp.HeaderETag)),
		Body:        bytes.Clone(resp.Body()),
	}, nil
}

// Stream makes the call and hands the answer's body to read piece by piece.
// The connection is dropped when the context ends.
func (c *Client) Stream(ctx context.Context, in Call, read func(a Answer, body io.Reader) error) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%s: peer %s: %w", in.Step, c.address, err)
	}
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	c.fill(req, in)
	if err := c.stream.DoDeadline(req, resp, c.deadline(ctx, in)); err != nil {
		return fmt.Errorf("%s: peer %s: %w", in.Step, c.address, err)
	}
	defer func() { _ = resp.CloseBodyStream() }()
	a := Answer{Status: resp.StatusCode(), ContentType: string(resp.Header.ContentType())}
	if err := read(a, resp.BodyStream()); err != nil {
		return fmt.Errorf("%s: peer %s: %w", in.Step, c.address, err)
	}
	return nil
}

// Close drops the idle connections.
func (c *Client) Close() {
	c.plain.CloseIdleConnections()
	c.stream.CloseIdleConnections()
}
