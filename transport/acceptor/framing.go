package acceptor

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// freeFraming is the framing of chunks that each body may have, which is that of 13,000 chunks
	// of one byte. Parsing them takes about a millisecond.
	freeFraming = 64 << 10
	// minDataRatio is how many times the framing the data must be for a body whose framing is not
	// limited. Chunks of 40 bytes and more reach it.
	minDataRatio = 8
	// framingStep is the framing after which a body checks again whether it may have more.
	framingStep = 4 << 10
	// framingTurn is how long a body may take for framingStep before another may have its turn.
	framingTurn = 100 * time.Millisecond
)

// ErrSmallChunks reports a body whose chunks are so small that parsing them costs far more than
// their data, while another such body is being read.
type ErrSmallChunks struct {
	// FramingBytes is the size of the framing, and DataBytes that of the data.
	FramingBytes, DataBytes int64
}

// Error returns a message with the sizes.
func (e ErrSmallChunks) Error() string {
	return fmt.Sprintf("the chunks of the body are too small: %d bytes of framing for %d bytes of data", e.FramingBytes, e.DataBytes)
}

// framingLimit lets one body at a time have more framing than freeFraming. 200 bodies in chunks of
// one byte, of 4 MiB each, would take a minute of processor time.
type framingLimit struct {
	mu sync.Mutex
	// holder is the body whose turn it is; nil if there is none. It was seen at the time at.
	holder *framedBody
	at     time.Time
}

// take reports whether it is the turn of the body.
func (l *framingLimit) take(b *framedBody) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.holder != nil && l.holder != b && now.Sub(l.at) < framingTurn {
		return false
	}
	l.holder, l.at = b, now
	return true
}

// end ends the turn of the body, if it has one.
func (l *framingLimit) end(b *framedBody) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.holder == b {
		l.holder = nil
	}
}

// framedBody is a body in chunks.
type framedBody struct {
	io.ReadCloser
	conn *Conn
	// before is what the connection had received before the body was read.
	before int64
	// data is the size of the body so far, and checked its framing at the last check.
	data, checked int64
	// err is the error that has ended the body because of its framing.
	err error
}

// LimitFraming returns the body in chunks, which the connection's server reads from the connection.
// Reading it returns ErrSmallChunks if its framing exceeds the limit, after which the connection has
// to be closed.
func (c *Conn) LimitFraming(body io.ReadCloser) io.ReadCloser {
	return &framedBody{ReadCloser: body, conn: c, before: c.received.Load()}
}

// Read reads data.
func (b *framedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	b.data += int64(n)
	limit := &b.conn.listener.framing
	if err != nil {
		limit.end(b)
		return n, err
	}
	framing := b.conn.received.Load() - b.before - b.data
	if framing < freeFraming || framing < b.checked+framingStep || b.data >= minDataRatio*framing {
		return n, nil
	}
	b.checked = framing
	if !limit.take(b) {
		b.err = ErrSmallChunks{FramingBytes: framing, DataBytes: b.data}
	}
	return n, b.err
}

// Close closes the body. The rest of one whose framing has exceeded the limit is not read.
func (b *framedBody) Close() error {
	b.conn.listener.framing.end(b)
	if b.err != nil {
		return nil
	}
	return b.ReadCloser.Close()
}

// ExceedsFraming reports whether the error says that a body has too much framing.
func ExceedsFraming(err error) bool {
	var e ErrSmallChunks
	return errors.As(err, &e)
}
