package lingerer_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile/transport/lingerer"
)

// connect returns both ends of a connection.
func connect(t *testing.T) (l *lingerer.Listener, client, server net.Conn) {
	t.Helper()
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = inner.Close() })
	l = lingerer.New(inner)
	client, err = net.Dial("tcp", inner.Addr().String())
	is.NoErr(err)
	server, err = l.Accept()
	is.NoErr(err)
	t.Cleanup(func() { _ = client.Close(); _ = server.Close() })
	return l, client, server
}

// wait reports whether no connection lingers after at most the timeout.
func wait(l *lingerer.Listener, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return l.Wait(ctx) == nil
}

// TestUnreadDataDoesNotResetConnection guards against a response whose end is lost, as the
// connection is closed while data of the peer is unread.
func TestUnreadDataDoesNotResetConnection(t *testing.T) {
	is := is.New(t)
	l, client, server := connect(t)
	l.Begin()
	response := bytes.Repeat([]byte("response"), 16<<10)
	_, err := client.Write([]byte("a request and the next one"))
	is.NoErr(err)
	time.Sleep(20 * time.Millisecond)
	go func() {
		_, _ = server.Write(response)
		_ = server.Close()
	}()
	time.Sleep(100 * time.Millisecond) // the peer is slow to read
	got, err := io.ReadAll(client)
	is.NoErr(err)
	is.Equal(len(got), len(response))
	is.True(!wait(l, 50*time.Millisecond)) // the peer has not closed its side
	is.NoErr(client.Close())
	is.True(wait(l, time.Second))
}

// TestLingeringConnectionReadsNothing guards against a request that is taken from a connection on
// which it can't be answered any more, and against reads that go on after the close.
func TestLingeringConnectionReadsNothing(t *testing.T) {
	is := is.New(t)
	l, client, server := connect(t)
	l.Begin()
	read := make(chan error, 1)
	go func() {
		_, err := server.Read(make([]byte, 16))
		read <- err
	}()
	time.Sleep(20 * time.Millisecond)
	is.NoErr(server.Close())
	is.True(errors.Is(<-read, net.ErrClosed))
	_, err := client.Write([]byte("a request"))
	is.NoErr(err)
	is.True(errors.Is(server.SetReadDeadline(time.Time{}), net.ErrClosed))
	n, err := server.Read(make([]byte, 16))
	is.Equal(n, 0)
	is.True(errors.Is(err, net.ErrClosed))
	is.True(errors.Is(server.Close(), net.ErrClosed))
}

// TestSilentPeerIsNotAwaitedForever guards against a stop that waits for a peer that never closes.
func TestSilentPeerIsNotAwaitedForever(t *testing.T) {
	is := is.New(t)
	l, _, server := connect(t)
	l.Begin()
	is.NoErr(server.Close())
	is.True(!wait(l, 500*time.Millisecond))
	is.True(wait(l, time.Second))
}

// TestCloseBeforeBegin guards against connections that linger while the process goes on.
func TestCloseBeforeBegin(t *testing.T) {
	is := is.New(t)
	l, client, server := connect(t)
	is.NoErr(server.Close())
	is.True(wait(l, 0))
	_, err := client.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
}
