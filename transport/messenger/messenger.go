// Package messenger carries typed requests between the processes of the
// system: one yamux stream a request, protobuf frames with the request's id.
package messenger

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/panjf2000/ants/v2"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/wire"
)

const (
	keepAlive    = 2 * time.Second
	writeTimeout = 4 * time.Second
	// openTimeout bounds the time until a request is on its way.
	openTimeout     = 700 * time.Millisecond
	maxFrameBytes   = 20 << 20
	streamWindow    = 256 << 10
	readBufferBytes = 32 << 10
)

// ErrCrossed is a frame that belongs to another request.
type ErrCrossed struct {
	Step string
	Peer string
	Want string
	Got  string
}

// Error names both request ids.
func (e ErrCrossed) Error() string {
	return fmt.Sprintf("%s: peer %q: frame of request %q on the stream of %q", e.Step, e.Peer, e.Got, e.Want)
}

// ErrUnreached is a request that has not left this process.
type ErrUnreached struct {
	Step  string
	Peer  string
	Cause error
}

// Error names the peer.
func (e ErrUnreached) Error() string { return fmt.Sprintf("%s: peer %s: %v", e.Step, e.Peer, e.Cause) }

// Unwrap returns the cause.
func (e ErrUnreached) Unwrap() error { return e.Cause }

func sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.KeepAliveInterval = keepAlive
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamCloseTimeout = writeTimeout
	c.StreamOpenTimeout = 0 // a stream ends with its request's context
	c.MaxStreamWindowSize = streamWindow
	c.AcceptBacklog = 4096
	c.LogOutput = io.Discard
	return c
}

// Stream is one request and its frames.
type Stream struct {
	id   string
	peer string
	raw  *yamux.Stream
	in   *bufio.Reader
	stop func() bool
	mu   sync.Mutex
	// pending holds frames that go out with the next one that is sent: each
	// write of yamux waits for its session's writer.
	pending bytes.Buffer
}

func newStream(id, peer string, raw *yamux.Stream) *Stream {
	return &Stream{id: id, peer: peer, raw: raw, in: bufio.NewReaderSize(raw, readBufferBytes)}
}

// ID returns the request's id.
func (s *Stream) ID() string { return s.id }

// Send writes one frame, after those that were queued; it is safe for
// concurrent use.
func (s *Stream) Send(f *wire.Frame) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	f.Id = s.id
	if err := s.write(f); err != nil {
		return fmt.Errorf("send frame to %s: %w", s.peer, err)
	}
	return nil
}

// Queue keeps one frame until the next Send.
func (s *Stream) Queue(f *wire.Frame) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	f.Id = s.id
	if _, err := protodelim.MarshalTo(&s.pending, f); err != nil {
		return fmt.Errorf("queue frame to %s: %w", s.peer, err)
	}
	return nil
}

// write sends the message and what was queued before it in one piece.
func (s *Stream) write(m proto.Message) error {
	if _, err := protodelim.MarshalTo(&s.pending, m); err != nil {
		return err
	}
	_, err := s.raw.Write(s.pending.Bytes())
	s.pending.Reset()
	return err
}

// Receive reads the next frame and checks that it belongs to the request.
func (s *Stream) Receive() (*wire.Frame, error) {
	f := new(wire.Frame)
	opts := protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}
	if err := opts.UnmarshalFrom(s.in, f); err != nil {
		return nil, fmt.Errorf("receive frame from %s: %w", s.peer, err)
	}
	if f.GetId() != s.id {
		return nil, ErrCrossed{Step: "receive frame", Peer: s.peer, Want: s.id, Got: f.GetId()}
	}
	return f, nil
}

// Close ends the stream in both directions.
func (s *Stream) Close() {
	if s.stop != nil {
		s.stop()
	}
	_ = s.raw.SetDeadline(time.Now())
	_ = s.raw.Close()
}

// Abort makes pending and later reads fail.
func (s *Stream) Abort() { _ = s.raw.SetReadDeadline(time.Now()) }

// Handler answers one request; the stream is closed when it returns.
type Handler func(ctx context.Context, req *wire.Request, s *Stream)

// Server accepts sessions and hands their requests to a handler.
type Server struct {
	pool    *ants.Pool
	handler Handler
	wg      sync.WaitGroup
}

// ServerConfig says who handles requests, and how many at once.
type ServerConfig struct {
	Handler Handler
	// Concurrency bounds the requests that are handled at the same time.
	Concurrency int
}

// NewServer returns a server that is not yet accepting.
func NewServer(c ServerConfig) (*Server, error) {
	pool, err := ants.NewPool(c.Concurrency, ants.WithNonblocking(true), ants.WithDisablePurge(true))
	if err != nil {
		return nil, fmt.Errorf("create handler pool: %w", err)
	}
	return &Server{pool: pool, handler: c.Handler}, nil
}

// Serve accepts sessions until the context ends, and returns when the
// handlers have ended.
func (v *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	defer v.pool.Release()
	defer v.wg.Wait()
	for {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return fmt.Errorf("accept session: %w", err)
		}
		v.wg.Add(1)
		go v.session(ctx, conn)
	}
}

func (v *Server) session(ctx context.Context, conn net.Conn) {
	defer v.wg.Done()
	sess, err := yamux.Server(conn, sessionConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = sess.Close() })
	defer stop()
	defer func() { _ = sess.Close() }()
	for {
		raw, err := sess.AcceptStream()
		if err != nil {
			return
		}
		v.wg.Add(1)
		task := func() {
			defer v.wg.Done()
			v.handle(ctx, conn.RemoteAddr().String(), raw)
		}
		if v.pool.Submit(task) != nil {
			// The pool is full: the peer sees a closed stream before any frame.
			v.wg.Done()
			_ = raw.Close()
		}
	}
}

func (v *Server) handle(ctx context.Context, peer string, raw *yamux.Stream) {
	s := newStream("", peer, raw)
	defer s.Close()
	req := new(wire.Request)
	opts := protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}
	if err := opts.UnmarshalFrom(s.in, req); err != nil {
		return
	}
	s.id = req.GetId()
	s.peer = req.GetSender()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	v.handler(ctx, req, s)
}

// Client keeps one session to each peer address.
type Client struct {
	network filbertstile.Network
	sender  string
	last    atomic.Uint64
	mu      sync.Mutex
	peers   map[string]*peer
}

// peer is the session to one address. The lock is a channel, as it is held
// while dialing, and a wait for it must count as idle in virtual time.
type peer struct {
	lock chan struct{}
	sess *yamux.Session
}

func newPeer() *peer { return &peer{lock: make(chan struct{}, 1)} }

// ClientConfig names the sender and its network.
type ClientConfig struct {
	Network filbertstile.Network
	Sender  string
}

// NewClient returns a client without sessions.
func NewClient(c ClientConfig) *Client {
	return &Client{network: c.Network, sender: c.Sender, peers: make(map[string]*peer)}
}

// NextID returns a short id for a request that nobody refers to outside of its
// stream.
func (c *Client) NextID() string { return strconv.FormatUint(c.last.Add(1), 36) }

func (c *Client) session(ctx context.Context, address string) (*yamux.Session, error) {
	c.mu.Lock()
	p, ok := c.peers[address]
	if !ok {
		p = newPeer()
		c.peers[address] = p
	}
	c.mu.Unlock()
	select {
	case p.lock <- struct{}{}:
		defer func() { <-p.lock }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if p.sess != nil && !p.sess.IsClosed() {
		return p.sess, nil
	}
	dialCtx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	conn, err := c.network.Dial(dialCtx, address)
	if err != nil {
		return nil, err
	}
	sess, err := yamux.Client(conn, sessionConfig())
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("open session to %s: %w", address, err)
	}
	p.sess = sess
	return sess, nil
}

// opened is the outcome of opening a stream.
type opened struct {
	stream *Stream
	err    error
}

// Open sends the request on a stream of its own. The stream ends with the
// context. ErrUnreached means that nothing of the request was sent.
func (c *Client) Open(ctx context.Context, address string, req *wire.Request) (*Stream, error) {
	// yamux waits for a stalled connection without regard to any context, so the
	// wait is left to a goroutine.
	done := make(chan opened, 1)
	go func() {
		s, err := c.open(ctx, address, req)
		done <- opened{stream: s, err: err}
	}()
	late := time.NewTimer(openTimeout)
	defer late.Stop()
	cause := ctx.Err
	select {
	case o := <-done:
		return o.stream, o.err
	case <-late.C:
		cause = func() error { return context.DeadlineExceeded }
	case <-ctx.Done():
	}
	go func() {
		if o := <-done; o.stream != nil {
			o.stream.Close()
		}
	}()
	return nil, fmt.Errorf("open stream to %s: %w", address, cause())
}

func (c *Client) open(ctx context.Context, address string, req *wire.Request) (*Stream, error) {
	sess, err := c.session(ctx, address)
	if err != nil {
		return nil, ErrUnreached{Step: "open session", Peer: address, Cause: err}
	}
	raw, err := sess.OpenStream()
	if err != nil {
		return nil, ErrUnreached{Step: "open stream", Peer: address, Cause: err}
	}
	s := newStream(req.GetId(), address, raw)
	req.Sender = c.sender
	s.stop = context.AfterFunc(ctx, func() { _ = raw.SetDeadline(time.Now()) })
	if err := s.write(req); err != nil {
		s.Close()
		return nil, fmt.Errorf("send request to %s: %w", address, err)
	}
	return s, nil
}

// Call sends the request and returns the first frame of the answer.
func (c *Client) Call(ctx context.Context, address string, req *wire.Request) (*wire.Frame, error) {
	s, err := c.Open(ctx, address, req)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	f, err := s.Receive()
	if err != nil && ctx.Err() != nil {
		return nil, errors.Join(err, ctx.Err())
	}
	return f, err
}

// Drop closes the session to a peer, if there is one.
func (c *Client) Drop(address string) {
	c.mu.Lock()
	p := c.peers[address]
	delete(c.peers, address)
	c.mu.Unlock()
	if p == nil {
		return
	}
	p.lock <- struct{}{}
	defer func() { <-p.lock }()
	if p.sess != nil {
		_ = p.sess.Close()
	}
}

// Close closes all sessions.
func (c *Client) Close() {
	c.mu.Lock()
	addresses := make([]string, 0, len(c.peers))
	for a := range c.peers {
		addresses = append(addresses, a)
	}
	c.mu.Unlock()
	for _, a := range addresses {
		c.Drop(a)
	}
}
