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
	segmentBytes = 16 << 10
	laneDepth    = 4
	flightDepth  = 64
)

type segment struct {
	data []byte
	at   time.Time
}

// lane moves the bytes of one direction through its links, in order.
type lane struct {
	in     chan []byte
	out    chan segment
	ctx    context.Context
	fabric *Fabric
	from   *station
	to     *station
}

func newLane(ctx context.Context, f *Fabric, from, to *station) *lane {
	l := &lane{
		in:     make(chan []byte, laneDepth),
		out:    make(chan segment, flightDepth),
		ctx:    ctx,
		fabric: f,
		from:   from,
		to:     to,
	}
	stage := l.in
	for _, via := range f.path(from, to) {
		next := make(chan []byte, laneDepth)
		go l.pass(via, stage, next)
		stage = next
	}
	go l.fly(stage)
	return l
}

// pass moves segments through one link at its rate.
func (l *lane) pass(via *link, in <-chan []byte, out chan<- []byte) {
	defer close(out)
	for {
		data, ok := l.take(in)
		if !ok {
			return
		}
		if !l.until(via.reserve(len(data))) {
			return
		}
		select {
		case out <- data:
		case <-l.ctx.Done():
			return
		}
	}
}

// fly adds the delay of the way, and holds everything back while it is blocked.
func (l *lane) fly(in <-chan []byte) {
	defer close(l.out)
	delay := l.fabric.delay(l.from, l.to)
	for {
		data, ok := l.take(in)
		if !ok {
			return
		}
		for l.fabric.isBlocked(l.from, l.to) {
			if sleeper.Sleep(l.ctx, blockedPoll) != nil {
				return
			}
		}
		select {
		case l.out <- segment{data: data, at: time.Now().Add(delay)}:
		case <-l.ctx.Done():
			return
		}
	}
}

// take waits for the next segment; false means that there are no more.
func (l *lane) take(in <-chan []byte) ([]byte, bool) {
	select {
	case data, ok := <-in:
		return data, ok
	case <-l.ctx.Done():
		return nil, false
	}
}

func (l *lane) until(at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		return l.ctx.Err() == nil
	}
	return sleeper.Sleep(l.ctx, d) == nil
}

// conn shapes both directions at the dialing end.
type conn struct {
	net.Conn
	ctx     context.Context
	cancel  context.CancelFunc
	sending *lane
	getting *lane

	writeMu sync.Mutex
	closed  bool

	readMu   sync.Mutex
	rest     segment
	deadMu   sync.Mutex
	readDead time.Time
}

func newConn(f *Fabric, self, peer *station, base net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	c := &conn{Conn: base, ctx: ctx, cancel: cancel}
	c.sending = newLane(ctx, f, self, peer)
	c.getting = newLane(ctx, f, peer, self)
	go c.writeOut()
	go c.readIn()
	return c
}

// writeOut puts segments on the real connection when they are due. What a peer
// no longer reads is dropped: its last words may still be on their way here.
func (c *conn) writeOut() {
	defer func() { _ = c.Conn.Close() }()
	refused := false
	for s := range c.sending.out {
		if !c.sending.until(s.at) {
			return
		}
		if refused {
			continue
		}
		_, err := c.Conn.Write(s.data)
		refused = err != nil
	}
}

// readIn takes bytes off the real connection as fast as the links allow.
func (c *conn) readIn() {
	defer close(c.getting.in)
	for {
		buf := make([]byte, segmentBytes)
		n, err := c.Conn.Read(buf)
		if n > 0 {
			select {
			case c.getting.in <- buf[:n]:
			case <-c.ctx.Done():
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// Write sends the bytes, blocked by the rate of the links.
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
		case c.sending.in <- data:
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
	if len(c.rest.data) == 0 {
		s, err := c.next()
		if err != nil {
			return 0, err
		}
		c.rest = s
	}
	n := copy(p, c.rest.data)
	c.rest.data = c.rest.data[n:]
	return n, nil
}

func (c *conn) next() (segment, error) {
	c.deadMu.Lock()
	dead := c.readDead
	c.deadMu.Unlock()
	var expired <-chan time.Time
	if !dead.IsZero() {
		t := time.NewTimer(time.Until(dead))
		defer t.Stop()
		expired = t.C
	}
	select {
	case s, ok := <-c.getting.out:
		if !ok {
			return segment{}, io.EOF
		}
		if !c.getting.until(s.at) {
			return segment{}, net.ErrClosed
		}
		return s, nil
	case <-expired:
		return segment{}, os.ErrDeadlineExceeded
	case <-c.ctx.Done():
		return segment{}, net.ErrClosed
	}
}

// SetDeadline sets the read deadline; writes are bounded by Close.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline bounds the reads that start after it.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.deadMu.Lock()
	defer c.deadMu.Unlock()
	c.readDead = t
	return nil
}

// SetWriteDeadline does nothing: a blocked link holds a write until Close.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// Close ends the connection at once; what has not left yet is lost.
func (c *conn) Close() error {
	c.cancel()
	err := c.Conn.Close()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
