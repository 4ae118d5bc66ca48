// Package peeker looks at the state of connections.
package peeker

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Quiet reports whether the connection is open and has received nothing that is unread. It reads
// a byte if there is one, after which the connection can't be used. It returns true for
// connections that don't give access to their socket.
func Quiet(conn net.Conn) bool {
	s, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		noData = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && noData
}

// SideClosed reports whether the peer has closed its side of a connection that is open on this one.
// That is so for peers that wait for more data as well as for those that have closed their socket.
// It returns false for connections that don't give access to their socket.
func SideClosed(conn net.Conn) bool {
	s, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.State == unix.BPF_TCP_CLOSE_WAIT
	})
	return err == nil && closed
}
