package connector

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// userTimeout is the time after which a connection whose data is not acknowledged
	// fails, for example during a network partition. It is shorter than the shortest time
	// limit that depends on it: a replica that is leaving must get no more requests after
	// 2 s.
	userTimeout = 1500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect a peer that is gone in
	// about 5 s while no data is being sent. A peer that is silent for 2 s answers one of the
	// probes. On outgoing connections the user timeout applies instead of the count.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// keepAliveConfig configures the keep-alive probes of all connections.
var keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

// setUserTimeout sets the user timeout of a socket before it connects.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}
