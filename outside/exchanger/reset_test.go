package exchanger_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile/outside/exchanger"
	"filbertstile.example/filbertstile/transport/connector"
)

// longRequest returns a request whose body is longer than what the sockets hold.
func longRequest(id string) exchanger.Request {
	r := request(id)
	r.Method, r.Body = http.MethodPost, make([]byte, 16<<20)
	r.Head = func() ([]byte, error) {
		return fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: a\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", idHeader, id, len(r.Body)), nil
	}
	return r
}

// exchangeLong sends a long request to a server, and returns what it reads of the response.
func exchangeLong(t *testing.T, serve func(conn *net.TCPConn, body io.Reader)) (string, error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			serve(conn.(*net.TCPConn), r.Body)
		}
	}()
	e, err := exchanger.New(connector.NewTCP()).Do(t.Context(), l.Addr().String(), longRequest("1"))
	if err != nil {
		return "", err
	}
	defer e.Close()
	data, err := io.ReadAll(e)
	return string(data), err
}

// TestResetWhileRequestIsWrittenEndsResponse guards against a response without a length that is
// reset and taken as complete: the write of the request gets the reset, and the read the end.
func TestResetWhileRequestIsWrittenEndsResponse(t *testing.T) {
	for range 20 {
		_, err := exchangeLong(t, func(conn *net.TCPConn, _ io.Reader) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nhalf of the")
			time.Sleep(10 * time.Millisecond) // what was sent arrives before the reset
			_ = conn.SetLinger(0)
		})
		if err == nil {
			t.Fatal("a response that was reset is complete")
		}
	}
}

// TestResponseToLongRequestEndsWithConnection guards against a complete response that fails, as
// its request is long.
func TestResponseToLongRequestEndsWithConnection(t *testing.T) {
	for range 20 {
		is := is.New(t)
		got, err := exchangeLong(t, func(conn *net.TCPConn, body io.Reader) {
			_, _ = io.Copy(io.Discard, body)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nok")
		})
		is.NoErr(err)
		is.Equal(got, "ok")
	}
}
