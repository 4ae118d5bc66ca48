// Package messenger sends requests between the processes of the system. Each request
// uses one yamux stream, which carries protobuf frames with the request's ID.
package messenger

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/wire"
)

const (
	keepAliveInterval = 2 * time.Second
	// writeTimeout is the maximum time to dial, and to write to a session.
	writeTimeout = 4 * time.Second
	// openTimeout is the maximum time until a request has been sent.
	openTimeout = 700 * time.Millisecond
	// requestTimeout is the maximum time in which a request arrives after its stream was opened.
	// It is longer than the pauses that a session outlives.
	requestTimeout = 10 * time.Second
	// maxFrameBytes is the maximum size of a received frame or request.
	maxFrameBytes     = 20 << 20
	streamWindowBytes = 256 << 10
	readBufferBytes   = 32 << 10
)

// ErrRequestMismatch reports a frame that belongs to another request than its stream.
type ErrRequestMismatch struct {
	Step string
	Peer string
	Want string
	Got  string
}

// Error returns a message with both request IDs.
func (e ErrRequestMismatch) Error() string {
	return fmt.Sprintf("%s: peer %q: frame belongs to request %q, want %q", e.Step, e.Peer, e.Got, e.Want)
}

// ErrNotSent reports a request of which nothing was sent.
type ErrNotSent struct {
	Step  string
	Peer  string
	Cause error
}

// Error returns a message with the step, the peer and the cause.
func (e ErrNotSent) Error() string { return fmt.Sprintf("%s: peer %s: %v", e.Step, e.Peer, e.Cause) }

// Unwrap returns the cause.
func (e ErrNotSent) Unwrap() error { return e.Cause }

func sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.KeepAliveInterval = keepAliveInterval
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamCloseTimeout = writeTimeout
	c.StreamOpenTimeout = 0 // the context of the request limits the time instead
	c.MaxStreamWindowSize = streamWindowBytes
	c.AcceptBacklog = 4096
	c.LogOutput = io.Discard
	return c
}

// Stream carries the frames of one request in both directions.
type Stream struct {
	id     string
	peer   string
	raw    *yamux.Stream
	reader *bufio.Reader
	// arrivals records when bytes arrive.
	arrivals *arrivalReader
	// stopContext detaches the stream from its context; nil if there is none.
	stopContext func() bool
	mu          sync.Mutex
	// pending holds the frames that are sent together with the next one, as each write
	// to a yamux stream waits for the session's writer.
	pending bytes.Buffer
}

func newStream(id, peer string, raw *yamux.Stream) *Stream {
	arrivals := &arrivalReader{Reader: raw}
	return &Stream{id: id, peer: peer, raw: raw, reader: bufio.NewReaderSize(arrivals, readBufferBytes), arrivals: arrivals}
}

// ID returns the request's ID.
func (s *Stream) ID() string { return s.id }

// Send sends the queued frames and then f. It is safe for concurrent use.
func (s *Stream) Send(f *wire.Frame) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	f.Id = s.id
	if err := s.write(f); err != nil {
		return fmt.Errorf("send frame to %s: %w", s.peer, err)
	}
	return nil
}

// Queue stores a frame that is sent with the next Send. It is safe for concurrent use.
func (s *Stream) Queue(f *wire.Frame) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	f.Id = s.id
	if _, err := protodelim.MarshalTo(&s.pending, f); err != nil {
		return fmt.Errorf("queue frame to %s: %w", s.peer, err)
	}
	return nil
}

// write sends the queued frames and the message in a single write.
func (s *Stream) write(m proto.Message) error {
	if _, err := protodelim.MarshalTo(&s.pending, m); err != nil {
		return err
	}
	_, err := s.raw.Write(s.pending.Bytes())
	s.pending.Reset()
	return err
}

// Receive returns the next frame, or ErrRequestMismatch if it belongs to another
// request.
func (s *Stream) Receive() (*wire.Frame, error) {
	f := new(wire.Frame)
	opts := protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}
	if err := opts.UnmarshalFrom(s.reader, f); err != nil {
		return nil, fmt.Errorf("receive frame from %s: %w", s.peer, err)
	}
	if f.GetId() != s.id {
		return nil, ErrRequestMismatch{Step: "receive frame", Peer: s.peer, Want: s.id, Got: f.GetId()}
	}
	return f, nil
}

// Close closes the stream in both directions.
func (s *Stream) Close() {
	if s.stopContext != nil {
		s.stopContext()
	}
	_ = s.raw.SetDeadline(time.Now())
	_ = s.raw.Close()
}

// Abort makes current and later calls of Receive fail.
func (s *Stream) Abort() { _ = s.raw.SetReadDeadline(time.Now()) }

// Client sends requests to peers, over one session to each address. It is safe for
// concurrent use.
type Client struct {
	network filbertstile.Network
	sender  string
	// lastID is the last number that NextID returned.
	lastID atomic.Uint64
	mu     sync.Mutex
	peers  map[string]*peerSession
}

// peerSession is the session to one address. The lock is a channel because it is held
// while dialing, and in tests with virtual time a goroutine that waits for a mutex does
// not count as idle.
type peerSession struct {
	lock    chan struct{}
	session *yamux.Session
	// usedAt is when the session was last asked for.
	usedAt time.Time
}

func newPeerSession() *peerSession { return &peerSession{lock: make(chan struct{}, 1)} }

// ClientConfig configures a Client.
type ClientConfig struct {
	Network filbertstile.Network
	// Sender is the name of this process, which is sent with each request.
	Sender string
}

// NewClient returns a client without sessions.
func NewClient(c ClientConfig) *Client {
	return &Client{network: c.Network, sender: c.Sender, peers: make(map[string]*peerSession)}
}

// NextID returns a short ID that is unique among the requests of this client. It is
// meant for requests to which nothing refers outside their stream.
func (c *Client) NextID() string { return strconv.FormatUint(c.lastID.Add(1), 36) }

// session returns the session to the address. It dials if there is none.
func (c *Client) session(ctx context.Context, address string) (*yamux.Session, error) {
	c.mu.Lock()
	p, ok := c.peers[address]
	if !ok {
		p = newPeerSession()
		c.peers[address] = p
	}
	c.mu.Unlock()
	select {
	case p.lock <- struct{}{}:
		defer func() { <-p.lock }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	p.usedAt = time.Now()
	if p.session != nil && !p.session.IsClosed() {
		return p.session, nil
	}
	dialCtx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	conn, err := dial(dialCtx, c.network, address)
	if err != nil {
		return nil, err
	}
	session, err := yamux.Client(newJoiner(conn), sessionConfig())
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("open session to %s: %w", address, err)
	}
	p.session = session
	return session, nil
}

// openResult is the result of opening a stream.
type openResult struct {
	stream *Stream
	err    error
}

// Open opens a stream and sends the request on it. The stream fails when the context
// ends. Open returns ErrNotSent if nothing of the request was sent; after any other
// error, the request may have arrived.
func (c *Client) Open(ctx context.Context, address string, req *wire.Request) (*Stream, error) {
	// yamux blocks on a stalled connection even if the context ends, so it is called in
	// a separate goroutine.
	done := make(chan openResult, 1)
	go func() {
		s, err := c.open(ctx, address, req)
		done <- openResult{stream: s, err: err}
	}()
	timer := time.NewTimer(openTimeout)
	defer timer.Stop()
	cause := ctx.Err
	select {
	case o := <-done:
		return o.stream, o.err
	case <-timer.C:
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
	session, err := c.session(ctx, address)
	if err != nil {
		return nil, ErrNotSent{Step: "open session", Peer: address, Cause: err}
	}
	raw, err := session.OpenStream()
	if err != nil {
		return nil, ErrNotSent{Step: "open stream", Peer: address, Cause: err}
	}
	s := newStream(req.GetId(), address, raw)
	req.Sender = c.sender
	s.stopContext = context.AfterFunc(ctx, func() { _ = raw.SetDeadline(time.Now()) })
	if err := s.write(req); err != nil {
		s.Close()
		return nil, fmt.Errorf("send request to %s: %w", address, err)
	}
	return s, nil
}

// Call sends the request and returns the first frame of the reply.
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

// CloseSession closes the session to the address, if there is one.
func (c *Client) CloseSession(address string) {
	c.mu.Lock()
	p := c.peers[address]
	delete(c.peers, address)
	c.mu.Unlock()
	if p == nil {
		return
	}
	p.lock <- struct{}{}
	defer func() { <-p.lock }()
	if p.session != nil {
		_ = p.session.Close()
	}
}

// CloseIdle closes the sessions that have no open stream and for which no stream was
// opened within the timeout. Sessions that are being dialed are left alone.
func (c *Client) CloseIdle(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, p := range c.peers {
		select {
		case p.lock <- struct{}{}:
		default:
			continue
		}
		if time.Since(p.usedAt) >= timeout && (p.session == nil || p.session.NumStreams() == 0) {
			if p.session != nil {
				_ = p.session.Close()
			}
			delete(c.peers, address)
		}
		<-p.lock
	}
}

// Close closes all sessions.
func (c *Client) Close() {
	c.mu.Lock()
	addresses := make([]string, 0, len(c.peers))
	for address := range c.peers {
		addresses = append(addresses, address)
	}
	c.mu.Unlock()
	for _, address := range addresses {
		c.CloseSession(address)
	}
}
