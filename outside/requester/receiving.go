package requester

import (
	"net"
	"sync"
	"time"

	"filbertstile.example/filbertstile/base/peeker"
	"filbertstile.example/filbertstile/outside/inspector"
)

const (
	// largeResponseBytes is the size from which a response counts as large.
	largeResponseBytes = 16 << 10
	// receivingTimeout is the time without bytes after which a response no longer counts as
	// arriving.
	receivingTimeout = 400 * time.Millisecond
	// stallTimeout is the time without bytes after which a large response fails whose call's
	// timeout has passed.
	stallTimeout = 900 * time.Millisecond
)

// connections are the open connections of a client.
type connections struct {
	mu   sync.Mutex
	open map[*connection]struct{}
}

func newConnections() *connections { return &connections{open: make(map[*connection]struct{})} }

// add returns the connection with the deadlines of a large response extended by up to
// maxExtension.
func (c *connections) add(conn net.Conn, peer string, maxExtension time.Duration) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := &connection{Conn: conn, peer: peer, connections: c, maxExtension: maxExtension}
	c.open[out] = struct{}{}
	return out
}

func (c *connections) remove(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, conn)
}

// receiving reports whether a large response is arriving on any connection.
func (c *connections) receiving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		if conn.receiving(time.Now()) {
			return true
		}
	}
	return false
}

// connection is a connection that knows how much of a response has arrived, and returns no bytes
// of one that the protocol does not allow.
type connection struct {
	net.Conn
	peer         string
	connections  *connections
	maxExtension time.Duration
	// response is used by the call in progress only.
	response inspector.Response

	mu sync.Mutex
	// received is the number of bytes since the last write, and lastAt when they arrived.
	received int
	lastAt   time.Time
	// deadline is the read deadline that the caller has set, and extended the one in force.
	deadline time.Time
	extended time.Time
}

// Write sends a request, or a part of one. It returns ErrUnusable instead of sending a request
// if the connection has ended or has unread bytes after the last response: they would be taken
// for the response to the request.
func (c *connection) Write(p []byte) (int, error) {
	c.mu.Lock()
	begins := c.received > 0
	c.received = 0
	c.mu.Unlock()
	if begins {
		c.response = inspector.Response{}
		// The deadline of the last response may have passed.
		if err := c.SetReadDeadline(time.Time{}); err != nil || !peeker.Quiet(c.Conn) {
			return 0, ErrUnusable{Step: "reuse connection", Peer: c.peer}
		}
	}
	return c.Conn.Write(p)
}

// SetReadDeadline sets the deadline of reads, which a large response may exceed.
func (c *connection) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline, c.extended = t, t
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// Read reads bytes of a response.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if invalid := c.response.Check(p[:n]); invalid != nil {
		return 0, invalid
	}
	if n > 0 {
		if deadline, later := c.record(n); later {
			_ = c.Conn.SetReadDeadline(deadline) // a closed connection fails the next read
		}
	}
	return n, err
}

// record counts n bytes and returns the deadline that they extend, if they do.
func (c *connection) record(n int) (deadline time.Time, later bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received += n
	c.lastAt = time.Now()
	if c.received < largeResponseBytes || c.deadline.IsZero() {
		return time.Time{}, false
	}
	deadline = c.lastAt.Add(stallTimeout)
	if last := c.deadline.Add(c.maxExtension); deadline.After(last) {
		deadline = last
	}
	if !deadline.After(c.extended) {
		return time.Time{}, false
	}
	c.extended = deadline
	return deadline, true
}

func (c *connection) receiving(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received >= largeResponseBytes && now.Sub(c.lastAt) < receivingTimeout
}

// isOpen reports whether this side has not closed the connection.
func (c *connection) isOpen() bool {
	c.connections.mu.Lock()
	defer c.connections.mu.Unlock()
	_, open := c.connections.open[c]
	return open
}

// Close closes the connection.
func (c *connection) Close() error {
	c.connections.remove(c)
	return c.Conn.Close()
}
