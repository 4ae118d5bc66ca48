// Package connector opens and accepts plain TCP connections.
package connector

import (
	"context"
	"fmt"
	"net"
)

// TCP is the network of the machine.
type TCP struct {
	dialer net.Dialer
}

// NewTCP returns the machine's network.
func NewTCP() *TCP {
	return &TCP{dialer: net.Dialer{KeepAliveConfig: keepAlives, Control: setUserTimeout}}
}

// Dial connects to an IP and port.
func (t *TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := t.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	return c, nil
}

// Listen accepts connections at an IP and port; port 0 picks one.
func (t *TCP) Listen(address string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAliveConfig: keepAlives}
	l, err := lc.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen at %s: %w", address, err)
	}
	return l, nil
}
