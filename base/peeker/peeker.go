// Package peeker looks at idle connections before they are used again.
package peeker

import (
	"errors"
	"net"
	"syscall"
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
