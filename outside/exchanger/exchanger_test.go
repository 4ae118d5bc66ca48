package exchanger_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile/outside/exchanger"
	"filbertstile.example/filbertstile/transport/connector"
)

const idHeader = "X-Id"

// server sends one scripted response for each request, in the order of the requests
// on all connections. A script that ends in "close" closes the connection after the
// text before it.
type server struct {
	net.Listener
	// conns is the number of accepted connections.
	conns atomic.Int32
}

// withServer runs f with a client and the address of a server on loopback that
// sends the given responses.
func withServer(t *testing.T, responses []string, f func(is *is.I, c *exchanger.Client, address string, s *server)) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{Listener: l}
	next := make(chan string, len(responses))
	for _, r := range responses {
		next <- r
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go respond(conn, next)
		}
	}()
	f(is.New(t), exchanger.New(connector.NewTCP()), l.Addr().String(), s)
	_ = l.Close()
	<-done
}

func respond(conn net.Conn, next <-chan string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		text, closeConn := strings.CutSuffix(<-next, "close")
		_, _ = io.WriteString(conn, strings.ReplaceAll(text, "ID", r.Header.Get(idHeader)))
		if closeConn {
			return
		}
	}
}

func request(id string) exchanger.Request {
	head := fmt.Sprintf("GET / HTTP/1.1\r\nHost: a\r\n%s: %s\r\n\r\n", idHeader, id)
	return exchanger.Request{ID: id, IDHeader: idHeader, Method: http.MethodGet, Head: func() ([]byte, error) { return []byte(head), nil }}
}

func do(c *exchanger.Client, address, id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	e, err := c.Do(ctx, address, request(id))
	if err != nil {
		return "", err
	}
	defer e.Close()
	data, err := io.ReadAll(e)
	return string(data), err
}

const okResponse = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok"

func TestConnectionIsReused(t *testing.T) {
	withServer(t, []string{okResponse, okResponse, okResponse}, func(is *is.I, c *exchanger.Client, address string, s *server) {
		for _, id := range []string{"1", "2", "3"} {
			got, err := do(c, address, id)
			is.NoErr(err)
			is.Equal(got, "ok")
		}
		is.Equal(int(s.conns.Load()), 1)
	})
}

// TestConnectionIsNotReused lists responses after which the connection must not
// carry another request.
func TestConnectionIsNotReused(t *testing.T) {
	for name, first := range map[string]string{
		"extra response":           okResponse + okResponse,
		"extra bytes":              okResponse + "x",
		"Connection: close header": "HTTP/1.1 200 OK\r\nX-Id: ID\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
		"no Content-Length":        "HTTP/1.1 200 OK\r\nX-Id: ID\r\n\r\nokclose",
		"closed by the server":     okResponse + "close",
	} {
		t.Run(name, func(t *testing.T) {
			withServer(t, []string{first, okResponse}, func(is *is.I, c *exchanger.Client, address string, s *server) {
				got, err := do(c, address, "1")
				is.NoErr(err)
				is.Equal(got, "ok")
				// Extra data or the end of the connection must arrive before the next
				// request is sent.
				time.Sleep(200 * time.Millisecond)
				got, err = do(c, address, "2")
				is.NoErr(err)
				is.Equal(got, "ok")
				is.Equal(int(s.conns.Load()), 2)
			})
		})
	}
}

// TestUnusableResponse lists responses that must be reported as an error, and not as
// a request that was not sent.
func TestUnusableResponse(t *testing.T) {
	for name, text := range map[string]string{
		"truncated body":         "HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 9\r\n\r\nokclose",
		"truncated chunk":        "HTTP/1.1 200 OK\r\nX-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\nclose",
		"ID of another request":  "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 2\r\n\r\nok",
		"no response":            "close",
		"not HTTP":               "nonsense\r\n\r\nclose",
		"truncated header":       "HTTP/1.1 200 OK\r\nX-Idclose",
		"invalid Content-Length": "HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: x\r\n\r\nokclose",
	} {
		t.Run(name, func(t *testing.T) {
			withServer(t, []string{text}, func(is *is.I, c *exchanger.Client, address string, _ *server) {
				_, err := do(c, address, "1")
				is.True(err != nil)
				var notSent exchanger.ErrNotSent
				is.True(!errors.As(err, &notSent)) // the request may have arrived
			})
		})
	}
}

func TestRefusedConnectionReportsNotSent(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	_, err = do(exchanger.New(connector.NewTCP()), l.Addr().String(), "1")
	var notSent exchanger.ErrNotSent
	is.True(errors.As(err, &notSent))
}

// TestCancelClosesConnection guards against a replica that keeps working for a
// caller that has disconnected: the connection to the replica must be closed.
func TestCancelClosesConnection(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	closed := make(chan struct{})
	received := make(chan struct{})
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		reader := bufio.NewReader(conn)
		_, _ = http.ReadRequest(reader)
		close(received)
		_, _ = reader.ReadByte()
		close(closed)
	}()
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-received; cancel() }()
	_, err = exchanger.New(connector.NewTCP()).Do(ctx, l.Addr().String(), request("1"))
	is.True(errors.Is(err, context.Canceled))
	<-closed
}

// TestDeadlineIsReported guards against a deadline that expires before the response and
// is reported as a failure of the replica.
func TestDeadlineIsReported(t *testing.T) {
	withServer(t, nil, func(is *is.I, c *exchanger.Client, address string, _ *server) {
		for range 100 {
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Millisecond)
			_, err := c.Do(ctx, address, request("1"))
			cancel()
			is.True(errors.Is(err, context.DeadlineExceeded))
		}
	})
}

// TestMaxIdleOpensNewConnection guards against the reuse of a connection that has
// been idle for longer than the request allows. Non-idempotent requests set such a
// limit, as they must not be retried.
func TestMaxIdleOpensNewConnection(t *testing.T) {
	withServer(t, []string{okResponse, okResponse}, func(is *is.I, c *exchanger.Client, address string, s *server) {
		_, err := do(c, address, "1")
		is.NoErr(err)
		time.Sleep(10 * time.Millisecond)
		r := request("2")
		r.MaxIdle = time.Millisecond
		e, err := c.Do(context.Background(), address, r)
		is.NoErr(err)
		e.Close()
		is.Equal(int(s.conns.Load()), 2)
	})
}

// TestDeclinedRequestIsNotSent guards against a request that is sent, on a new or a kept
// connection, although it may no longer be sent when the connection is ready.
func TestDeclinedRequestIsNotSent(t *testing.T) {
	withServer(t, []string{okResponse, okResponse}, func(is *is.I, c *exchanger.Client, address string, s *server) {
		errDeclined := errors.New("declined")
		declined := request("declined")
		declined.Head = func() ([]byte, error) { return nil, errDeclined }
		for range 2 {
			_, err := c.Do(t.Context(), address, declined)
			var notSent exchanger.ErrNotSent
			is.True(errors.As(err, &notSent))
			is.True(errors.Is(err, errDeclined))
			got, err := do(c, address, "1") // it gets the first response
			is.NoErr(err)
			is.Equal(got, "ok")
		}
	})
}

// TestReadDeadlineEndsWithResponse guards against a connection that is given up because a
// deadline for reading an earlier response has passed since.
func TestReadDeadlineEndsWithResponse(t *testing.T) {
	withServer(t, []string{okResponse, okResponse}, func(is *is.I, c *exchanger.Client, address string, s *server) {
		e, err := c.Do(t.Context(), address, request("1"))
		is.NoErr(err)
		e.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		_, err = io.ReadAll(e)
		is.NoErr(err)
		e.Close()
		time.Sleep(100 * time.Millisecond)
		_, err = do(c, address, "2")
		is.NoErr(err)
		is.Equal(int(s.conns.Load()), 1)
	})
}
