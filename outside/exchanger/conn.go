package exchanger

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertstile.example/filbertstile/base/peeker"
	"filbertstile.example/filbertstile/outside/inspector"
)

const (
	// maxInlineBodyBytes is the maximum size of a body that is written before the
	// response is read. A larger body is written concurrently, as the peer may respond
	// before it has read all of it.
	maxInlineBodyBytes = 16 << 10
	// maxHeadBytes is the maximum size of the status line and the header of a response,
	// together with all informational responses before it.
	maxHeadBytes = 32 << 10
	// maxRequestsPerConn is the number of requests after which a connection is closed. It
	// bounds the memory for their IDs, and one in so many costs a new connection.
	maxRequestsPerConn = 512
	// readBufferBytes is the size of a connection's read buffer, which holds several
	// events of a stream.
	readBufferBytes = 4 << 10
)

// limiter is the source of a connection's reader. It returns no bytes of a response that the
// protocol does not allow and, while limited is true, no more than remaining bytes.
type limiter struct {
	source    io.Reader
	response  inspector.Response
	limited   bool
	remaining int64
}

// Read reads from the source, or returns ErrTooLong if no bytes remain.
func (l *limiter) Read(b []byte) (int, error) {
	if l.limited {
		if l.remaining <= 0 {
			return 0, ErrTooLong{Part: "response head", LimitBytes: maxHeadBytes}
		}
		b = b[:min(int64(len(b)), l.remaining)]
	}
	n, err := l.source.Read(b)
	l.remaining -= int64(n)
	if invalid := l.response.Check(b[:n]); invalid != nil {
		return 0, invalid
	}
	return n, err
}

type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// limiter is the source of the reader.
	limiter *limiter
	// ids holds hashes of the IDs of all requests that the connection has carried.
	ids []uint64
	// reused is true if the connection has carried an earlier request.
	reused    bool
	idleSince time.Time
	// idleTimeout is how long the connection may be idle before it must be closed.
	idleTimeout time.Duration
	// sentBytes is the size of the earlier requests on the connection.
	sentBytes int64
	// userTimeout is the user timeout that the connection had before it was extended; 0 if it
	// was not.
	userTimeout time.Duration
}

// mayCarry reports whether the connection has not carried a request with the ID. A peer may
// send a response again at any later time, and only its ID tells whose it is.
func (c *conn) mayCarry(id string) bool { return !slices.Contains(c.ids, xxhash.Sum64String(id)) }

// carries records that the connection carries a request with the ID.
func (c *conn) carries(id string) { c.ids = append(c.ids, xxhash.Sum64String(id)) }

// reusable reports whether the connection is open and has no unread data.
func (c *conn) reusable() bool { return c.reader.Buffered() == 0 && peeker.Quiet(c.Conn) }

// readHead reads the head of the response, and skips informational (1xx) responses. A peer
// that sends a head without end gets no more than maxHeadBytes read.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.limiter.response = inspector.Response{}
	c.limiter.limited, c.limiter.remaining = true, maxHeadBytes
	defer func() { c.limiter.limited = false }()
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if err := checkHead(resp); err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// send writes the request. A large body may still be being written when send returns;
// the channel receives the outcome.
func send(cn *conn, head, body []byte) (<-chan error, error) {
	done := make(chan error, 1)
	if len(body) > maxInlineBodyBytes {
		go func() {
			bufs := net.Buffers{head, body}
			_, err := bufs.WriteTo(cn.Conn)
			done <- err
		}()
		return done, nil
	}
	_, err := cn.Write(slices.Concat(head, body))
	done <- nil
	return done, err
}
