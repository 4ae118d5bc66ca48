// Package lingerer closes connections so that their peers receive what was written before.
package lingerer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// timeout is how long a closed connection waits for its peer to close it too.
const timeout = time.Second

// Listener accepts connections that linger when they are closed, once Begin has been called. A
// connection that lingers has no more data to send. It discards what still arrives, as unread
// data would make the system reset the connection, and stays until the peer has closed its side
// and so has received everything.
type Listener struct {
	net.Listener
	begun atomic.Bool

	mu        sync.Mutex
	lingering int
	// done is closed when no connection lingers any more; nil if nobody waits.
	done chan struct{}
}

// New returns a listener that accepts the connections of l.
func New(l net.Listener) *Listener { return &Listener{Listener: l} }

// Accept returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	return &Conn{TCPConn: tcp, listener: l}, nil
}

// Begin makes the connections that are closed from now on linger.
func (l *Listener) Begin() { l.begun.Store(true) }

// Wait waits until no connection lingers.
func (l *Listener) Wait(ctx context.Context) error {
	l.mu.Lock()
	if l.lingering == 0 {
		l.mu.Unlock()
		return nil
	}
	if l.done == nil {
		l.done = make(chan struct{})
	}
	done := l.done
	l.mu.Unlock()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// add changes the number of connections that linger.
func (l *Listener) add(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lingering += n; l.lingering == 0 && l.done != nil {
		close(l.done)
		l.done = nil
	}
}

// Conn is a connection that a Listener has accepted.
type Conn struct {
	*net.TCPConn
	listener *Listener
	// reading is held during each read.
	reading sync.Mutex

	mu     sync.Mutex
	closed bool
}

func (c *Conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// Read reads data. It fails once the connection has been closed, also if data arrives after that.
func (c *Conn) Read(b []byte) (int, error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	if c.isClosed() {
		return 0, net.ErrClosed
	}
	n, err := c.TCPConn.Read(b)
	if c.isClosed() {
		return 0, net.ErrClosed
	}
	return n, err
}

// SetReadDeadline sets the deadline of reads.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	return c.TCPConn.SetReadDeadline(t)
}

// SetDeadline sets the deadline of reads and writes.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// Close closes the connection, or begins to linger.
func (c *Conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	if !c.listener.begun.Load() || c.CloseWrite() != nil {
		return c.TCPConn.Close()
	}
	c.listener.add(1)
	_ = c.TCPConn.SetReadDeadline(time.Unix(1, 0)) // ends a read in progress
	go c.linger()
	return nil
}

// Reset closes the connection with a reset.
func (c *Conn) Reset() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	_ = c.SetLinger(0)
	return c.TCPConn.Close()
}

// linger discards what arrives until the peer has closed its side, and closes the connection.
func (c *Conn) linger() {
	defer c.listener.add(-1)
	defer func() { _ = c.TCPConn.Close() }()
	c.reading.Lock()
	defer c.reading.Unlock()
	if c.TCPConn.SetReadDeadline(time.Now().Add(timeout)) != nil {
		return
	}
	for buf := make([]byte, 4<<10); ; {
		if _, err := c.TCPConn.Read(buf); err != nil {
			return
		}
	}
}
