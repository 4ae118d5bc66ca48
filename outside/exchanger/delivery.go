package exchanger

import (
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// deliveryCheckInterval is the time between two checks whether the peer has the head of a
	// request. The first one comes after most responses.
	deliveryCheckInterval = 500 * time.Millisecond
	// deliveredTimeout is the user timeout of a connection whose peer has the head of the
	// request. Before that the network's own timeout applies, after which the request must
	// not arrive any more; later it would only end the work of a peer that is silent for a
	// while. With the network's keep-alive probes it leaves room for three of them.
	deliveredTimeout = 4500 * time.Millisecond
)

// delivery extends the user timeout of a connection once the peer has the head of a request.
type delivery struct {
	conn *conn
	// ackedBytes is the number of bytes that the peer must have acknowledged.
	ackedBytes uint64

	mu    sync.Mutex
	timer *time.Timer
	ended bool
}

// watchDelivery starts to watch a request that is about to be written.
func watchDelivery(c *conn, headBytes int) *delivery {
	d := &delivery{conn: c, ackedBytes: uint64(c.sentBytes) + uint64(headBytes)}
	if _, ok := c.Conn.(syscall.Conn); ok {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.timer = time.AfterFunc(deliveryCheckInterval, d.check)
	}
	return d
}

// end ends the watch. The connection is not changed afterwards.
func (d *delivery) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ended = true
	if d.timer != nil {
		d.timer.Stop()
	}
}

// check extends the timeout if the peer has the head, and otherwise checks again later.
func (d *delivery) check() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended || d.conn.userTimeout > 0 {
		return
	}
	delivered, err := d.conn.acknowledged(d.ackedBytes)
	if err != nil {
		return
	}
	if delivered {
		d.conn.extendUserTimeout()
		return
	}
	d.timer.Reset(deliveryCheckInterval)
}

// control calls f with the file descriptor of the connection.
func (c *conn) control(f func(fd int) error) error {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return err
	}
	var inner error
	if err := raw.Control(func(fd uintptr) { inner = f(int(fd)) }); err != nil {
		return err
	}
	return inner
}

// acknowledged reports whether the peer has acknowledged n bytes. The kernel counts one more,
// for the start of the connection.
func (c *conn) acknowledged(n uint64) (bool, error) {
	out := false
	err := c.control(func(fd int) error {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			out = info.Bytes_acked > n
		}
		return err
	})
	return out, err
}

// extendUserTimeout sets deliveredTimeout if the connection has a shorter user timeout.
func (c *conn) extendUserTimeout() {
	// A connection that has ended needs no timeout.
	_ = c.control(func(fd int) error {
		ms, err := unix.GetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		before := time.Duration(ms) * time.Millisecond
		if err != nil || before == 0 || before >= deliveredTimeout {
			return err
		}
		c.userTimeout = before
		return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(deliveredTimeout.Milliseconds()))
	})
}

// restoreUserTimeout undoes extendUserTimeout before the connection carries another request.
func (c *conn) restoreUserTimeout() {
	if c.userTimeout == 0 {
		return
	}
	// A connection on which this fails has ended.
	_ = c.control(func(fd int) error {
		return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(c.userTimeout.Milliseconds()))
	})
	c.userTimeout = 0
}
