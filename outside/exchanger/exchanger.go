// Package exchanger sends HTTP/1.1 requests to backend servers over connections
// that it keeps, one request at a time on each. It never repeats a request, tells
// what was not sent from what may have arrived, and keeps no connection on which
// anything is unexplained.
package exchanger

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"filbertstile.example/filbertstile"
)

const (
	// dialTimeout bounds a connection's opening; hosts are some milliseconds
	// apart, and a full accept queue drops the first packet for a second.
	dialTimeout = 700 * time.Millisecond
	// unstatedIdle is how long a connection is kept whose peer names no
	// timeout; one that has less than a second names none.
	unstatedIdle = 400 * time.Millisecond
	// idleMargin is kept from the timeout that the peer names.
	idleMargin = 400 * time.Millisecond
	// mostIdle bounds how long any connection is kept unused.
	mostIdle = 8 * time.Second
	// mostKept bounds the unused connections to one address.
	mostKept = 8
	// smallBody is written before the answer is read; a longer one is written
	// beside, as the peer may answer before it has read all of it.
	smallBody = 16 << 10
	// readBuffer holds some events of a stream, in bytes.
	readBuffer = 4 << 10
)

// Request is what goes to a backend server.
type Request struct {
	// ID is expected in the answer's header IDHeader, if that is there.
	ID       string
	IDHeader string
	Method   string
	// Head is the request line and all header fields, with the empty line.
	Head []byte
	Body []byte
	// MostIdle bounds how long a connection may have been unused before it
	// carries this request; 0 leaves the bound of the connection.
	MostIdle time.Duration
}

// ErrNotSent is a request of which nothing has left this process.
type ErrNotSent struct {
	Peer  string
	Cause error
}

// Error names the peer.
func (e ErrNotSent) Error() string { return fmt.Sprintf("connect to %s: %v", e.Peer, e.Cause) }

// Unwrap returns the cause.
func (e ErrNotSent) Unwrap() error { return e.Cause }

// ErrBroken is a request that may have arrived and has no usable answer.
type ErrBroken struct {
	Step  string
	Peer  string
	Cause error
}

// Error names step and peer.
func (e ErrBroken) Error() string { return fmt.Sprintf("%s: peer %s: %v", e.Step, e.Peer, e.Cause) }

// Unwrap returns the cause.
func (e ErrBroken) Unwrap() error { return e.Cause }

// errCrossed is an answer that belongs to another request.
var errCrossed = errors.New("the answer belongs to another request")

// Client keeps connections to backend servers.
type Client struct {
	network filbertstile.Network

	mu   sync.Mutex
	idle map[string][]*conn
}

// New returns a client without connections.
func New(n filbertstile.Network) *Client {
	return &Client{network: n, idle: make(map[string][]*conn)}
}

type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	used    bool
	idleAt  time.Time
	// idleFor is how long the peer keeps the connection open unused.
	idleFor time.Duration
}

// quiet tells whether the connection is open and has nothing to read.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// Exchange is an answer whose body is still to be read.
type Exchange struct {
	Response *http.Response
	client   *Client
	conn     *conn
	written  <-chan error
	stop     func() bool
	complete bool
}

// Do sends the request once and reads the head of the answer. The connection
// ends with the context.
func (c *Client) Do(ctx context.Context, address string, r Request) (*Exchange, error) {
	k, err := c.take(ctx, address, r.MostIdle)
	if err != nil {
		return nil, ErrNotSent{Peer: address, Cause: cause(ctx, err)}
	}
	stop := context.AfterFunc(ctx, func() { _ = k.Close() })
	fail := func(step string, err error) (*Exchange, error) {
		stop()
		_ = k.Close()
		return nil, ErrBroken{Step: step, Peer: address, Cause: cause(ctx, err)}
	}
	// The context closes the connection; a deadline of the connection's own might
	// end the answer a moment before, as if the peer had broken off.
	_ = k.SetDeadline(time.Time{})
	written, err := send(k, r)
	if err != nil {
		return fail("send request", err)
	}
	resp, err := readHead(k.reader, r.Method)
	if err != nil {
		return fail("read answer", err)
	}
	if id := resp.Header.Get(r.IDHeader); id != r.ID && (id != "" || k.used) {
		return fail("read answer", errCrossed)
	}
	return &Exchange{Response: resp, client: c, conn: k, written: written, stop: stop}, nil
}

// cause returns why the context ended, where that is what failed the step. A dial
// may notice the deadline before the context does.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if d, ok := ctx.Deadline(); ok && !time.Now().Before(d) {
		return context.DeadlineExceeded
	}
	return err
}

func readHead(b *bufio.Reader, method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(b, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// send writes the request; the channel brings the outcome of a long body.
func send(k *conn, r Request) (<-chan error, error) {
	done := make(chan error, 1)
	if len(r.Body) > smallBody {
		go func() {
			bufs := net.Buffers{r.Head, r.Body}
			_, err := bufs.WriteTo(k.Conn)
			done <- err
		}()
		return done, nil
	}
	_, err := k.Write(append(r.Head, r.Body...))
	done <- nil
	return done, err
}

// SetReadDeadline bounds the time until more of the body comes.
func (e *Exchange) SetReadDeadline(t time.Time) { _ = e.conn.SetReadDeadline(t) }

// Read reads the body. io.EOF tells that it is complete.
func (e *Exchange) Read(b []byte) (int, error) {
	n, err := e.Response.Body.Read(b)
	if errors.Is(err, io.EOF) {
		e.complete = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept if the answer was complete
// and the peer keeps it.
func (e *Exchange) Close() {
	if !e.stop() {
		return
	}
	if !e.complete || e.Response.Close || e.Response.ContentLength < 0 && len(e.Response.TransferEncoding) == 0 {
		_ = e.conn.Close()
		return
	}
	select {
	case err := <-e.written:
		if err == nil {
			e.client.keep(e.conn, e.Response.Header)
			return
		}
	default:
	}
	_ = e.conn.Close()
}

func (c *Client) take(ctx context.Context, address string, mostIdle time.Duration) (*conn, error) {
	if k := c.takeIdle(address, mostIdle); k != nil {
		return k, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	n, err := c.network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: n, address: address, reader: bufio.NewReaderSize(n, readBuffer)}, nil
}

func (c *Client) takeIdle(address string, mostIdle time.Duration) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for list := c.idle[address]; len(list) > 0; list = c.idle[address] {
		k := list[len(list)-1]
		c.idle[address] = list[:len(list)-1]
		idle := now.Sub(k.idleAt)
		if idle < k.idleFor && (mostIdle == 0 || idle < mostIdle) && k.quiet() {
			return k
		}
		_ = k.Close()
	}
	return nil
}

func (c *Client) keep(k *conn, h http.Header) {
	k.used = true
	k.idleAt = time.Now()
	k.idleFor = min(mostIdle, keptOpen(h))
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[k.address]
	if len(list) >= mostKept {
		_ = list[0].Close()
		list = append(list[:0], list[1:]...)
	}
	c.idle[k.address] = append(list, k)
}

// keptOpen returns how long the peer keeps an unused connection, as it says.
func keptOpen(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil {
			return time.Duration(s)*time.Second - idleMargin
		}
	}
	return unstatedIdle
}

// Sweep closes connections that have been unused for too long.
func (c *Client) Sweep() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, list := range c.idle {
		kept := list[:0]
		for _, k := range list {
			if now.Sub(k.idleAt) < k.idleFor {
				kept = append(kept, k)
			} else {
				_ = k.Close()
			}
		}
		if len(kept) == 0 {
			delete(c.idle, address)
		} else {
			c.idle[address] = kept
		}
	}
}
