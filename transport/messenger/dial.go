package messenger

import (
	"context"
	"fmt"
	"net"
	"time"

	"filbertstile.example/filbertstile"
)

const (
	// firstRedialDelay is the time without a connection after which a peer is dialled once
	// more. The delay doubles with each attempt, up to maxDials.
	firstRedialDelay = 30 * time.Millisecond
	maxDials         = 6
)

// dialResult is the result of one attempt to connect.
type dialResult struct {
	conn net.Conn
	err  error
}

// dial connects to the address. The first packet is lost if the peer's host has no power or its
// link loses it, and the network stack sends it again only after a second. Other attempts
// therefore begin beside those before, and the result of the first one to end counts.
func dial(ctx context.Context, network filbertstile.Network, address string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan dialResult)
	attempt := func() {
		conn, err := network.Dial(ctx, address)
		select {
		case results <- dialResult{conn: conn, err: err}:
		case <-ctx.Done():
			if err == nil {
				_ = conn.Close()
			}
		}
	}
	go attempt()
	delay := firstRedialDelay
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for dials := 1; ; {
		select {
		case r := <-results:
			return r.conn, r.err
		case <-ctx.Done():
			return nil, fmt.Errorf("dial %s: %w", address, ctx.Err())
		case <-timer.C:
			if dials++; dials <= maxDials {
				go attempt()
				delay *= 2
				timer.Reset(delay)
			}
		}
	}
}
