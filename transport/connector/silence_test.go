package connector_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"filbertstile.example/filbertstile/transport/connector"
)

// TestCallerHostPauses guards against a caller that loses the answer it waits for, as its host
// stands still for up to two seconds.
func TestCallerHostPauses(t *testing.T) {
	is := is.New(t)
	l, err := connector.NewTCP().Listen("127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	caller, err := (&net.Dialer{KeepAlive: -1}).Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer func() { _ = caller.Close() }()
	c, err := l.Accept()
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	raw, err := caller.(syscall.Conn).SyscallConn()
	is.NoErr(err)
	setDropping := func(dropping bool) {
		drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
		is.NoErr(raw.Control(func(fd uintptr) {
			if dropping {
				is.NoErr(unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop[0]}))
				return
			}
			is.NoErr(unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0))
		}))
	}
	time.Sleep(1500 * time.Millisecond)
	setDropping(true)
	time.Sleep(2 * time.Second)
	setDropping(false)
	time.Sleep(time.Second)
	_, err = io.WriteString(c, "done")
	is.NoErr(err)
	answer := make([]byte, 4)
	_, err = io.ReadFull(caller, answer)
	is.NoErr(err)
	is.Equal(string(answer), "done")
}
