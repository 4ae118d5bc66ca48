// Package acceptor accepts connections of HTTP clients within limits on their number and on the
// memory of the heads that are being read. Over a limit, it closes connections, beginning with
// those that have been without a complete head for the longest time.
package acceptor

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// defaultMaxConns and defaultHeadBytes are the limits that a Config leaves open.
	defaultMaxConns  = 4096
	defaultHeadBytes = 16 << 20
	// connsPerMB keeps the buffers and stacks of connections, 16 to 25 KiB each, within half of the
	// memory. Callers within the documented limits open some hundred connections.
	connsPerMB = 16
	// minDefaultConns is the smallest result of DefaultConns.
	minDefaultConns = 1024
	// lineBytes is the memory that a header field takes in addition to its bytes: its place in a
	// map and in the copy for the replica. It was measured with fields of 6 bytes.
	lineBytes = 250
	// pipelineDelayStep and maxPipelineDelay are the delay of a request for each one before it that
	// was pipelined, and the longest delay. Clients that pipeline small requests without end would
	// otherwise take the slots of the replicas: 150 of them left 1 in 300 other requests.
	pipelineDelayStep = 50 * time.Millisecond
	maxPipelineDelay  = time.Second
	// minPause is how long a client must have waited for a response until its requests no longer
	// count as pipelined.
	minPause = 2 * time.Millisecond
	// drainTimeout is how long data is discarded on a connection that was closed for writing, unless
	// the server closes it before: net/http does so after 500 ms.
	drainTimeout = 5 * time.Second
)

// DefaultConns returns the maximum number of connections of callers for a process with so much
// memory, in MiB.
func DefaultConns(memoryMB int) int { return max(minDefaultConns, connsPerMB*memoryMB) }

// WithinDescriptors returns the number of connections, or half of the descriptors that the process
// may have if that is less. The others are for connections to replicas and other processes.
func WithinDescriptors(conns int) int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return conns
	}
	return int(min(uint64(conns), max(1, limit.Cur/2)))
}

// HeadCost returns the memory that a head of that many bytes and lines takes.
func HeadCost(bytes, lines int) int64 { return 2*int64(bytes) + lineBytes*int64(lines) }

// Config configures a Listener.
type Config struct {
	// Listener accepts the connections.
	Listener net.Listener
	// MaxConns is the maximum number of open connections; 0 means 4096.
	// See WithinDescriptors.
	MaxConns int
	// HeadBytes is the memory for the heads that are being read, over all connections; 0 means
	// 16 MiB.
	HeadBytes int64
	// WriteTimeout is the maximum time that a peer may take to receive what one call writes; 0
	// means that the server sets deadlines itself.
	WriteTimeout time.Duration
}

// Listener accepts connections within its limits. It is safe for concurrent use.
type Listener struct {
	net.Listener
	maxConns     int
	headBytes    int64
	writeTimeout time.Duration
	started      time.Time
	// used is the memory of the heads that are being read.
	used atomic.Int64
	// framing limits the bodies in small chunks.
	framing framingLimit

	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// New returns a listener without connections.
func New(c Config) *Listener {
	if c.MaxConns <= 0 {
		c.MaxConns = defaultMaxConns
	}
	if c.HeadBytes <= 0 {
		c.HeadBytes = defaultHeadBytes
	}
	return &Listener{
		Listener: c.Listener, maxConns: c.MaxConns, headBytes: c.HeadBytes, writeTimeout: c.WriteTimeout,
		started: time.Now(), conns: make(map[*Conn]struct{}),
	}
}

// Accept returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: inner, listener: l}
	c.AwaitHead()
	l.mu.Lock()
	l.conns[c] = struct{}{}
	over := len(l.conns) > l.maxConns
	l.mu.Unlock()
	if over {
		if oldest := l.oldest(0); oldest != nil {
			_ = oldest.Close()
		}
	}
	return c, nil
}

// makeRoom closes connections until the heads that are being read are within their memory.
func (l *Listener) makeRoom() {
	for l.used.Load() > l.headBytes {
		oldest := l.oldest(1)
		if oldest == nil {
			return
		}
		_ = oldest.Close()
	}
}

// oldest returns the connection that has waited for a complete head for the longest time, among
// those that hold at least that much memory; nil if there is none.
func (l *Listener) oldest(minHeld int64) *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var oldest *Conn
	for c := range l.conns {
		if c.inHead.Load() && c.held.Load() >= minHeld && (oldest == nil || c.since.Load() < oldest.since.Load()) {
			oldest = c
		}
	}
	return oldest
}

// Conn is a connection that a Listener has accepted.
type Conn struct {
	net.Conn
	listener *Listener
	closed   atomic.Bool
	// lingers is true if Close only closes the connection for writing at first.
	lingers atomic.Bool
	// inHead is true while no complete head has arrived, and since is when the wait or, once
	// there are some bytes, the head began, as a time since the start of the listener. It is also
	// true, with 0, once the connection has been closed for writing.
	inHead atomic.Bool
	since  atomic.Int64
	// held is the memory that the head takes so far.
	held atomic.Int64
	// received is the number of bytes that the connection has received.
	received atomic.Int64
	// awaited is when the wait for the head began. It and pipelined, the number of requests in a row
	// that had arrived before the response to the one before them, belong to the connection's server.
	awaited   int64
	pipelined int
}

// AwaitHead says that the next data is that of a head.
func (c *Conn) AwaitHead() {
	c.release()
	c.awaited = int64(time.Since(c.listener.started))
	c.since.Store(c.awaited)
	c.inHead.Store(true)
}

// HeadRead says that the head is complete. Its memory no longer counts here.
func (c *Conn) HeadRead() {
	c.inHead.Store(false)
	switch {
	case c.held.Load() == 0:
		c.pipelined++
	case c.since.Load()-c.awaited > int64(minPause):
		c.pipelined = 0
	}
	c.release()
}

// PipelineDelay returns how long the request whose head has been read should wait, as the client
// pipelines requests; 0 if it does not.
func (c *Conn) PipelineDelay() time.Duration {
	return min(time.Duration(c.pipelined)*pipelineDelayStep, maxPipelineDelay)
}

func (c *Conn) release() {
	if held := c.held.Swap(0); held > 0 {
		c.listener.used.Add(-held)
	}
}

// Read reads data.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(int64(n))
	if n > 0 && c.inHead.Load() {
		c.count(b[:n])
	}
	return n, err
}

// count counts the data of a head.
func (c *Conn) count(data []byte) {
	cost := HeadCost(len(data), bytes.Count(data, []byte("\n")))
	if c.held.Add(cost) == cost {
		c.since.Store(int64(time.Since(c.listener.started)))
	}
	if c.listener.used.Add(cost) > c.listener.headBytes {
		c.listener.makeRoom()
	}
	if c.closed.Load() {
		c.release()
	}
}

// Write writes data.
func (c *Conn) Write(b []byte) (int, error) {
	if d := c.listener.writeTimeout; d > 0 {
		if err := c.SetWriteDeadline(time.Now().Add(d)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(b)
}

// Linger makes Close act as CloseWrite does, so that a peer that is still sending gets the response.
func (c *Conn) Linger() { c.lingers.Store(true) }

// CloseWrite closes the connection for writing. What still arrives is discarded, and the connection
// is closed once the peer has closed it too: net/http would keep its descriptor for 500 ms.
func (c *Conn) CloseWrite() error {
	w, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return c.Close()
	}
	if err := w.CloseWrite(); err != nil {
		return err
	}
	c.release()
	c.lingers.Store(false)
	c.since.Store(0) // it is the first to make room
	c.inHead.Store(true)
	go c.drain()
	return nil
}

// drain discards data until the peer has closed its side, and closes the connection.
func (c *Conn) drain() {
	defer func() { _ = c.Close() }()
	c.Discard(time.Now().Add(drainTimeout))
}

// Discard discards data until the peer has closed its side, or the deadline. Nothing else may read
// meanwhile or afterwards.
func (c *Conn) Discard(deadline time.Time) {
	if c.SetReadDeadline(deadline) != nil {
		return
	}
	for buf := make([]byte, 16<<10); ; {
		if _, err := c.Conn.Read(buf); err != nil {
			return
		}
	}
}

// Close closes the connection.
func (c *Conn) Close() error {
	if c.lingers.Swap(false) && c.CloseWrite() == nil {
		return nil
	}
	if c.closed.Swap(true) {
		return net.ErrClosed
	}
	c.forget()
	return c.Conn.Close()
}

// Reset closes the connection with a reset.
func (c *Conn) Reset() error {
	c.closed.Store(true)
	c.forget()
	if r, ok := c.Conn.(interface{ Reset() error }); ok {
		return r.Reset()
	}
	if r, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		_ = r.SetLinger(0)
	}
	return c.Conn.Close()
}

// forget stops counting the connection.
func (c *Conn) forget() {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	c.release()
}

// SyscallConn gives access to the socket.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, syscall.EOPNOTSUPP
}
