// Package connector opens and accepts plain TCP connections.
package connector

import (
	"context"
	"fmt"
	"net"
)

// TCP implements filbertstile.Network with the TCP stack of the host.
type TCP struct {
	dialer net.Dialer
}

// NewTCP returns a network that sets keep-alives on all connections and a user timeout
// on outgoing ones.
func NewTCP() *TCP {
	return &TCP{dialer: net.Dialer{KeepAliveConfig: keepAliveConfig, Control: setUserTimeout}}
}

// Dial connects to an address, which is an IP and port.
func (t *TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := t.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	return conn, nil
}

// Listen listens at an address, which is an IP and port. Port 0 selects a free port.
func (t *TCP) Listen(address string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAliveConfig: keepAliveConfig}
	l, err := lc.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return l, nil
}
