package messenger_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/matryer/is"

	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/rigs/shaper"
	"filbertstile.example/filbertstile/transport/messenger"
)

// TestRequestThatTricklesEnds guards against a peer whose requests arrive a byte now and then, and
// that holds all handlers for ever.
func TestRequestThatTricklesEnds(t *testing.T) {
	h := func(_ context.Context, _ *wire.Request, s *messenger.Stream) {
		_ = s.Send(&wire.Frame{Kind: &wire.Frame_Ack{Ack: &wire.Ack{}}})
	}
	for name, pause := range map[string]time.Duration{"Bytes": 200 * time.Millisecond, "Silence": time.Hour} {
		t.Run(name, func(t *testing.T) {
			withServer(t, h, func(ctx context.Context, is *is.I, fabric *shaper.Fabric, c *messenger.Client, address string) {
				conn, err := fabric.Network(shaper.Site{Name: "slow"}).Dial(ctx, address)
				is.NoErr(err)
				session, err := yamux.Client(messenger.NewJoiner(conn), messenger.SessionConfig())
				is.NoErr(err)
				defer func() { _ = session.Close() }()
				for range 4 { // as many as the server handles at once
					stream, err := session.OpenStream()
					is.NoErr(err)
					go trickle(ctx, stream, pause)
				}
				time.Sleep(time.Second)
				_, err = c.Call(ctx, address, request("1"))
				is.True(err != nil) // all handlers are busy
				time.Sleep(15 * time.Second)
				_, err = c.Call(ctx, address, request("2"))
				is.NoErr(err)
			})
		})
	}
}

// trickle writes a request of 100 bytes with a pause after each byte.
func trickle(ctx context.Context, conn net.Conn, pause time.Duration) {
	for b := []byte{100}; ; b[0] = 0 {
		if _, err := conn.Write(b); err != nil {
			return
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
	}
}
