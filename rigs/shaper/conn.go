package shaper

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"filbertstile.example/filbertstile/base/sleeper"
)

const (
	// segmentBytes is the maximum size of a segment.
	segmentBytes = 16 << 10
	// queueSegments is the size of the queue before each link and before the
	// propagation delay.
	queueSegments = 4
	// maxSegmentsInFlight is the maximum number of segments that have passed all links
	// and are not yet received.
	maxSegmentsInFlight = 64
)

// segment is a piece of a byte stream.
type segment struct {
	data []byte
	// dueAt is the time at which the segment arrives.
	dueAt time.Time
}

// halfConn carries the bytes of one direction of a connection through the links on their
// path, in order.
type halfConn struct {
	in     chan []byte
	out    chan segment
	ctx    context.Context
	fabric *Fabric
	from   *siteState
	to     *siteState
}

func newHalfConn(ctx context.Context, f *Fabric, from, to *siteState) *halfConn {
	h := &halfConn{
		in:     make(chan []byte, queueSegments),
		out:    make(chan segment, maxSegmentsInFlight),
		ctx:    ctx,
		fabric: f,
		from:   from,
		to:     to,
	}
	queue := h.in
	for _, lk := range f.path(from, to) {
		next := make(chan []byte, queueSegments)
		go h.transmit(lk, queue, next)
		queue = next
	}
	go h.propagate(queue)
	return h
}

// transmit passes segments through one link at the link's rate.
func (h *halfConn) transmit(lk *link, in <-chan []byte, out chan<- []byte) {
	defer close(out)
	for {
		data, ok := h.receive(in)
		if !ok {
			return
		}
		if !h.sleepUntil(lk.reserve(len(data))) {
			return
		}
		select {
		case out <- data:
		case <-h.ctx.Done():
			return
		}
	}
}

// propagate adds the delay between the sites, and delivers nothing while traffic between
// them is blocked.
func (h *halfConn) propagate(in <-chan []byte) {
	defer close(h.out)
	delay := h.fabric.delay(h.from, h.to)
	for {
		data, ok := h.receive(in)
		if !ok {
			return
		}
		for h.fabric.isBlocked(h.from, h.to) {
			if sleeper.Sleep(h.ctx, blockedPollInterval) != nil {
				return
			}
		}
		select {
		case h.out <- segment{data: data, dueAt: time.Now().Add(delay)}:
		case <-h.ctx.Done():
			return
		}
	}
}

// receive returns the next segment and reports whether there was one.
func (h *halfConn) receive(in <-chan []byte) ([]byte, bool) {
	select {
	case data, ok := <-in:
		return data, ok
	case <-h.ctx.Done():
		return nil, false
	}
}

// sleepUntil sleeps until the time and reports whether the connection is still open.
func (h *halfConn) sleepUntil(at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		return h.ctx.Err() == nil
	}
	return sleeper.Sleep(h.ctx, d) == nil
}

// conn is the dialing end of a connection. It applies the delays and rates of both
// directions.
type conn struct {
	net.Conn
	ctx      context.Context
	cancel   context.CancelFunc
	outbound *halfConn
	inbound  *halfConn

	writeMu sync.Mutex
	closed  bool

	readMu       sync.Mutex
	unread       segment
	deadlineMu   sync.Mutex
	readDeadline time.Time
}

func newConn(f *Fabric, self, peer *siteState, base net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	c := &conn{Conn: base, ctx: ctx, cancel: cancel}
	c.outbound = newHalfConn(ctx, f, self, peer)
	c.inbound = newHalfConn(ctx, f, peer, self)
	go c.writeLoop()
	go c.readLoop()
	return c
}

// writeLoop writes segments to the underlying connection when they are due. After a failed
// write it discards the remaining segments and keeps the connection open, because data
// that the peer sent before it stopped reading may still be on its way.
func (c *conn) writeLoop() {
	defer func() { _ = c.Conn.Close() }()
	failed := false
	for s := range c.outbound.out {
		if !c.outbound.sleepUntil(s.dueAt) {
			return
		}
		if failed {
			continue
		}
		_, err := c.Conn.Write(s.data)
		failed = err != nil
	}
}

// readLoop reads from the underlying connection as fast as the links carry the bytes.
func (c *conn) readLoop() {
	defer close(c.inbound.in)
	for {
		buf := make([]byte, segmentBytes)
		n, err := c.Conn.Read(buf)
		if n > 0 {
			select {
			case c.inbound.in <- buf[:n]:
			case <-c.ctx.Done():
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// Write sends the bytes. It blocks while the queue of the first link is full.
func (c *conn) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	sent := 0
	for sent < len(p) {
		n := min(segmentBytes, len(p)-sent)
		data := append([]byte(nil), p[sent:sent+n]...)
		select {
		case c.outbound.in <- data:
		case <-c.ctx.Done():
			return sent, io.ErrClosedPipe
		}
		sent += n
	}
	return sent, nil
}

// Read returns bytes that have arrived.
func (c *conn) Read(p []byte) (int, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if len(c.unread.data) == 0 {
		s, err := c.nextSegment()
		if err != nil {
			return 0, err
		}
		c.unread = s
	}
	n := copy(p, c.unread.data)
	c.unread.data = c.unread.data[n:]
	return n, nil
}

// nextSegment returns the next segment at its arrival. The read deadline limits the wait
// until the segment has passed all links, but not the propagation delay after them.
func (c *conn) nextSegment() (segment, error) {
	c.deadlineMu.Lock()
	deadline := c.readDeadline
	c.deadlineMu.Unlock()
	var expired <-chan time.Time
	if !deadline.IsZero() {
		t := time.NewTimer(time.Until(deadline))
		defer t.Stop()
		expired = t.C
	}
	select {
	case s, ok := <-c.inbound.out:
		if !ok {
			return segment{}, io.EOF
		}
		if !c.inbound.sleepUntil(s.dueAt) {
			return segment{}, net.ErrClosed
		}
		return s, nil
	case <-expired:
		return segment{}, os.ErrDeadlineExceeded
	case <-c.ctx.Done():
		return segment{}, net.ErrClosed
	}
}

// SetDeadline sets the read deadline. A blocked write returns only after Close.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline sets the deadline of the reads that start after the call.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	c.readDeadline = t
	return nil
}

// SetWriteDeadline does nothing. A write on a blocked link returns only after Close.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// Close closes the connection at once. Data that was not yet sent to the peer is lost.
func (c *conn) Close() error {
	c.cancel()
	err := c.Conn.Close()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
