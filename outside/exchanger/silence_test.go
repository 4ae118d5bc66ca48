package exchanger_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"filbertstile.example/filbertstile/outside/exchanger"
	"filbertstile.example/filbertstile/transport/connector"
)

// silence is how long a sound peer may be silent.
const silence = 2 * time.Second

// control calls f with the file descriptor of the connection or the listener.
func control(is *is.I, c syscall.Conn, f func(fd int) error) {
	is.Helper()
	raw, err := c.SyscallConn()
	is.NoErr(err)
	is.NoErr(raw.Control(func(fd uintptr) { is.NoErr(f(int(fd))) }))
}

// dropSegments makes the kernel drop all that arrives for the socket, as if its host stood still.
func dropSegments(is *is.I, c syscall.Conn) {
	is.Helper()
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
	control(is, c, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(drop)), Filter: &drop[0]})
	})
}

// passSegments ends dropSegments.
func passSegments(is *is.I, c syscall.Conn) {
	is.Helper()
	control(is, c, func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0) })
}

// exchange sends a request with a body of the given size to a peer on loopback, and reads the
// response. It returns when both it and the peer have ended.
func exchange(t *testing.T, bodyBytes int, peer func(is *is.I, c *net.TCPConn)) (string, error) {
	t.Helper()
	is := is.New(t)
	network := connector.NewTCP()
	l, err := (&net.ListenConfig{KeepAlive: -1}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	done := make(chan struct{})
	go func() {
		defer close(done)
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		peer(is, c.(*net.TCPConn))
	}()
	defer func() { <-done }()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	e, err := exchanger.New(network).Do(ctx, l.Addr().String(), exchanger.Request{
		Method: http.MethodPost, Body: make([]byte, bodyBytes), Head: func() ([]byte, error) {
			return fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", bodyBytes), nil
		},
	})
	if err != nil {
		return "", err
	}
	defer e.Close()
	body, err := io.ReadAll(e)
	return string(body), err
}

func readRequest(is *is.I, r *bufio.Reader) {
	req, err := http.ReadRequest(r)
	is.NoErr(err)
	_, err = io.Copy(io.Discard, req.Body)
	is.NoErr(err)
}

func respondLater(c net.Conn) {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
}

// TestPeerPausesInsideRequestBody guards against a request that is ended because its peer stops
// reading the body for a while: the head has reached it, and it may be at work.
func TestPeerPausesInsideRequestBody(t *testing.T) {
	body, err := exchange(t, 8<<20, func(is *is.I, c *net.TCPConn) {
		time.Sleep(silence)
		readRequest(is, bufio.NewReader(c))
		respondLater(c)
	})
	is := is.New(t)
	is.NoErr(err)
	is.Equal(body, "done")
}

// TestPeerPausesAtWork guards against a request that is ended because the host of its peer, which
// has it, stands still for a while.
func TestPeerPausesAtWork(t *testing.T) {
	body, err := exchange(t, 0, func(is *is.I, c *net.TCPConn) {
		readRequest(is, bufio.NewReader(c))
		time.Sleep(1500 * time.Millisecond)
		dropSegments(is, c)
		time.Sleep(silence)
		passSegments(is, c)
		time.Sleep(time.Second)
		respondLater(c)
	})
	is := is.New(t)
	is.NoErr(err)
	is.Equal(body, "done")
}

// TestUndeliveredRequestEnds guards against a request that reaches its peer long after it was
// sent, as it stays in the kernel while the peer's host stands still, also on a connection whose
// timeout was longer for an earlier request.
func TestUndeliveredRequestEnds(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	dropped := make(chan net.Conn, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		readRequest(is, bufio.NewReader(c))
		time.Sleep(time.Second)
		dropSegments(is, c.(*net.TCPConn))
		respondLater(c)
		dropped <- c
	}()
	client := exchanger.New(connector.NewTCP())
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	send := func(id string) error {
		e, err := client.Do(ctx, l.Addr().String(), exchanger.Request{
			ID: id, IDHeader: "X-Request-Id", Method: http.MethodGet, Head: func() ([]byte, error) { return []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), nil },
		})
		if err != nil {
			return err
		}
		defer e.Close()
		_, err = io.ReadAll(e)
		return err
	}
	is.NoErr(send("1"))
	c := <-dropped
	defer func() { _ = c.Close() }()
	started := time.Now()
	err = send("2") // over the same connection
	is.True(err != nil)
	is.True(time.Since(started) < silence) // the time within which a replica that leaves may get requests
}
