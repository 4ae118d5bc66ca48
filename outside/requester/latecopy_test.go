package requester_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile/outside/requester"
	"filbertstile.example/filbertstile/transport/connector"
)

// numbering is a server that answers the requests of all connections with their numbers.
type numbering struct {
	address  string
	received atomic.Int32
	// read must be closed when the first answer has been read. The server then writes the late
	// bytes and closes written.
	read, written chan struct{}
}

// serveNumbered starts a server. After the first answer it writes what late returns, or ends the
// connection if that is "close".
func serveNumbered(t *testing.T, late func(answer string) string) *numbering {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &numbering{address: l.Addr().String(), read: make(chan struct{}), written: make(chan struct{})}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, late)
		}
	}()
	return s
}

func (s *numbering) serve(conn net.Conn, late func(string) string) {
	defer func() { _ = conn.Close() }()
	for reader := bufio.NewReader(conn); ; {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		n := s.received.Add(1)
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", n)
		_, _ = io.WriteString(conn, answer)
		if n > 1 {
			continue
		}
		<-s.read
		text := late(answer)
		if text == "close" {
			_ = conn.Close()
		}
		_, _ = io.WriteString(conn, text)
		close(s.written)
	}
}

// TestLateCopyIsNotTaken guards against bytes after an answer that are taken for that to the
// next call, which then seems to have been done. Nothing has been sent then, so that a write is
// made again as well.
func TestLateCopyIsNotTaken(t *testing.T) {
	for name, late := range map[string]func(string) string{
		"copy":       func(answer string) string { return answer },
		"other":      func(string) string { return "HTTP/1.1 409 Conflict\r\nContent-Length: 1\r\n\r\nx" },
		"half":       func(answer string) string { return answer[:20] },
		"one byte":   func(string) string { return "!" },
		"two":        func(answer string) string { return answer + answer },
		"connection": func(string) string { return "close" },
	} {
		for _, method := range []string{http.MethodGet, http.MethodPut, http.MethodPost, http.MethodDelete} {
			t.Run(name+" "+method, func(t *testing.T) {
				is := is.New(t)
				s := serveNumbered(t, late)
				c := requester.New(requester.Config{Network: connector.NewTCP(), Address: s.address, Timeout: 5 * time.Second})
				defer c.Close()
				for i := range 3 {
					got, err := c.Do(context.Background(), requester.Call{Step: "test", Method: method, Path: "/", Body: []byte("body")})
					is.NoErr(err)
					is.Equal(string(got.Body), fmt.Sprint(i+1))
					if i == 0 {
						close(s.read)
						<-s.written
						time.Sleep(10 * time.Millisecond) // it arrives
					}
				}
				is.Equal(s.received.Load(), int32(3)) // no call was sent twice
			})
		}
	}
}

// TestIdleConnectionOutlivesTimeout guards against an idle connection that is given up because
// the deadline of the last call on it has passed.
func TestIdleConnectionOutlivesTimeout(t *testing.T) {
	is := is.New(t)
	var conns atomic.Int32
	server := httptest.NewUnstartedServer(http.NotFoundHandler())
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			conns.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	c := requester.New(requester.Config{Network: connector.NewTCP(), Address: server.Listener.Addr().String(), Timeout: time.Second})
	defer c.Close()
	is.NoErr(call(c, http.MethodGet, "/"))
	time.Sleep(1100 * time.Millisecond)
	is.NoErr(call(c, http.MethodGet, "/"))
	is.Equal(conns.Load(), int32(1))
}
