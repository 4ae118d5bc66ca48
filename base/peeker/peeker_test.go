package peeker_test

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile/base/peeker"
)

// TestQuiet guards against a connection that is used although its peer has sent something or
// has ended it, and against one that is given up without need. It also checks SideClosed.
func TestQuiet(t *testing.T) {
	for name, c := range map[string]struct {
		act        func(peer, conn net.Conn)
		quiet      bool
		sideClosed bool
	}{
		"idle":         {func(net.Conn, net.Conn) {}, true, false},
		"unread bytes": {func(peer, _ net.Conn) { _, _ = peer.Write([]byte("HTTP")) }, false, false},
		"ended":        {func(peer, _ net.Conn) { _ = peer.Close() }, false, true},
		"reset": {func(peer, _ net.Conn) {
			_ = peer.(*net.TCPConn).SetLinger(0)
			_ = peer.Close()
		}, false, false},
		"half closed": {func(peer, _ net.Conn) { _ = peer.(*net.TCPConn).CloseWrite() }, false, true},
		"half closed, unread bytes": {func(peer, _ net.Conn) {
			_, _ = peer.Write([]byte("HTTP"))
			_ = peer.(*net.TCPConn).CloseWrite()
		}, false, true},
		"half closed, reset": {func(peer, _ net.Conn) {
			_ = peer.(*net.TCPConn).CloseWrite()
			_ = peer.(*net.TCPConn).SetLinger(0)
			_ = peer.Close()
		}, false, false},
		"closed here":   {func(_, conn net.Conn) { _ = conn.Close() }, false, false},
		"past deadline": {func(_, conn net.Conn) { _ = conn.SetReadDeadline(time.Now().Add(-time.Second)) }, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = l.Close() }()
			conn, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			peer, err := l.Accept()
			is.NoErr(err)
			defer func() { _ = peer.Close() }()
			c.act(peer, conn)
			time.Sleep(50 * time.Millisecond)
			is.Equal(peeker.SideClosed(conn), c.sideClosed)
			is.Equal(peeker.Quiet(conn), c.quiet)
		})
	}
}
