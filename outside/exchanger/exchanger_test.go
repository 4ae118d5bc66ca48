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
	"testing"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile/outside/exchanger"
	"filbertstile.example/filbertstile/transport/connector"
)

const idHeader = "X-Id"

// server answers each request by the script's text for its number, over all
// connections; "close" ends the connection after the text before it.
type server struct {
	net.Listener
	conns int
}

// withServer hands over a client and the address of a server on loopback.
func withServer(t *testing.T, answers []string, f func(is *is.I, c *exchanger.Client, address string, s *server)) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{Listener: l}
	next := make(chan string, len(answers))
	for _, a := range answers {
		next <- a
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.conns++
			go answer(conn, next)
		}
	}()
	f(is.New(t), exchanger.New(connector.NewTCP()), l.Addr().String(), s)
	_ = l.Close()
	<-done
}

func answer(conn net.Conn, next <-chan string) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		text, closes := strings.CutSuffix(<-next, "close")
		_, _ = io.WriteString(conn, strings.ReplaceAll(text, "ID", r.Header.Get(idHeader)))
		if closes {
			return
		}
	}
}

func request(id string) exchanger.Request {
	head := fmt.Sprintf("GET / HTTP/1.1\r\nHost: a\r\n%s: %s\r\n\r\n", idHeader, id)
	return exchanger.Request{ID: id, IDHeader: idHeader, Method: http.MethodGet, Head: []byte(head)}
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

const sound = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok"

func TestConnectionIsKept(t *testing.T) {
	withServer(t, []string{sound, sound, sound}, func(is *is.I, c *exchanger.Client, address string, s *server) {
		for _, id := range []string{"1", "2", "3"} {
			got, err := do(c, address, id)
			is.NoErr(err)
			is.Equal(got, "ok")
		}
		is.Equal(s.conns, 1)
	})
}

// TestNotKept lists answers after which nothing more may go over the connection.
func TestNotKept(t *testing.T) {
	for name, first := range map[string]string{
		"extra answer": sound + sound,
		"extra bytes":  sound + "x",
		"says close":   "HTTP/1.1 200 OK\r\nX-Id: ID\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
		"no length":    "HTTP/1.1 200 OK\r\nX-Id: ID\r\n\r\nokclose",
		"closed":       sound + "close",
	} {
		t.Run(name, func(t *testing.T) {
			withServer(t, []string{first, sound}, func(is *is.I, c *exchanger.Client, address string, s *server) {
				got, err := do(c, address, "1")
				is.NoErr(err)
				is.Equal(got, "ok")
				// What comes late must have arrived before the next request.
				time.Sleep(200 * time.Millisecond)
				got, err = do(c, address, "2")
				is.NoErr(err)
				is.Equal(got, "ok")
				is.Equal(s.conns, 2)
			})
		})
	}
}

// TestUnsound lists answers that must not be taken for the request's own.
func TestUnsound(t *testing.T) {
	for name, text := range map[string]string{
		"cut":        "HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 9\r\n\r\nokclose",
		"cut chunk":  "HTTP/1.1 200 OK\r\nX-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\nclose",
		"crossed":    "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 2\r\n\r\nok",
		"no answer":  "close",
		"not HTTP":   "nonsense\r\n\r\nclose",
		"torn head":  "HTTP/1.1 200 OK\r\nX-Idclose",
		"bad length": "HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: x\r\n\r\nokclose",
	} {
		t.Run(name, func(t *testing.T) {
			withServer(t, []string{text}, func(is *is.I, c *exchanger.Client, address string, _ *server) {
				_, err := do(c, address, "1")
				is.True(err != nil)
				var unsent exchanger.ErrNotSent
				is.True(!errors.As(err, &unsent)) // it may have arrived
			})
		})
	}
}

func TestNotSent(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	_, err = do(exchanger.New(connector.NewTCP()), l.Addr().String(), "1")
	var unsent exchanger.ErrNotSent
	is.True(errors.As(err, &unsent))
}

// TestCancelled has the caller leave: the replica must see the connection end.
func TestCancelled(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	ended := make(chan struct{})
	asked := make(chan struct{})
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		in := bufio.NewReader(conn)
		_, _ = http.ReadRequest(in)
		close(asked)
		_, _ = in.ReadByte()
		close(ended)
	}()
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-asked; cancel() }()
	_, err = exchanger.New(connector.NewTCP()).Do(ctx, l.Addr().String(), request("1"))
	is.True(errors.Is(err, context.Canceled))
	<-ended
}

// TestMostIdle has a request that must not be repeated ask for a connection
// that has not been unused for long.
// TestEndsWithTheRequestsTime has no answer come: what ends the request must be
// its time, always, and not a failure of the replica.
func TestEndsWithTheRequestsTime(t *testing.T) {
	withServer(t, nil, func(is *is.I, c *exchanger.Client, address string, _ *server) {
		for range 100 {
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Millisecond)
			_, err := c.Do(ctx, address, request("1"))
			cancel()
			is.True(errors.Is(err, context.DeadlineExceeded))
		}
	})
}

func TestMostIdle(t *testing.T) {
	withServer(t, []string{sound, sound}, func(is *is.I, c *exchanger.Client, address string, s *server) {
		_, err := do(c, address, "1")
		is.NoErr(err)
		time.Sleep(10 * time.Millisecond)
		r := request("2")
		r.MostIdle = time.Millisecond
		e, err := c.Do(context.Background(), address, r)
		is.NoErr(err)
		e.Close()
		is.Equal(s.conns, 2)
	})
}
