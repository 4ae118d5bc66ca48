package messenger_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/rigs/bubbler"
	"filbertstile.example/filbertstile/rigs/shaper"
	"filbertstile.example/filbertstile/transport/messenger"
)

// withServer runs f in virtual time with a server that uses the handler, a client, and a
// simulated network between them that can be stalled.
func withServer(t *testing.T, h messenger.Handler, f func(ctx context.Context, is *is.I, fabric *shaper.Fabric, c *messenger.Client, address string)) {
	t.Helper()
	bubbler.Run(t, func(ctx context.Context, t *testing.T) {
		ctx, cancel := context.WithCancel(ctx)
		fabric := shaper.New(shaper.Config{DomainDelay: time.Millisecond, Base: shaper.NewMemory()})
		l, err := fabric.Network(shaper.Site{Name: "server"}).Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server, err := messenger.NewServer(messenger.ServerConfig{Handler: h, Concurrency: 4})
		if err != nil {
			t.Fatal(err)
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = server.Serve(ctx, l)
		}()
		c := messenger.NewClient(messenger.ClientConfig{Network: fabric.Network(shaper.Site{Name: "client"}), Sender: "client"})
		f(ctx, is.New(t), fabric, c, l.Addr().String())
		fabric.SetStalled("server", false)
		c.Close()
		cancel()
		<-done
	})
}

func request(id string) *wire.Request {
	return &wire.Request{Id: id, Kind: &wire.Request_Watch{Watch: &wire.Watch{}}}
}

func TestCallReturnsReply(t *testing.T) {
	h := func(_ context.Context, req *wire.Request, s *messenger.Stream) {
		_ = s.Send(&wire.Frame{Kind: &wire.Frame_Ack{Ack: &wire.Ack{Slowest: req.GetSender()}}})
	}
	withServer(t, h, func(ctx context.Context, is *is.I, _ *shaper.Fabric, c *messenger.Client, address string) {
		f, err := c.Call(ctx, address, request("1"))
		is.NoErr(err)
		is.Equal(f.GetAck().GetSlowest(), "client")
	})
}

// TestFrameOfOtherRequestIsAnError guards against a client that accepts the reply to
// another request: the server sends it on the wrong stream.
func TestFrameOfOtherRequestIsAnError(t *testing.T) {
	streams := make(chan *messenger.Stream, 1)
	h := func(ctx context.Context, req *wire.Request, s *messenger.Stream) {
		if req.GetId() == "first" {
			streams <- s
			<-ctx.Done()
			return
		}
		other := <-streams
		frame := &wire.Frame{Kind: &wire.Frame_Ack{Ack: &wire.Ack{}}}
		_ = messenger.SendAs(other, "second", frame)
	}
	withServer(t, h, func(ctx context.Context, is *is.I, _ *shaper.Fabric, c *messenger.Client, address string) {
		first, err := c.Open(ctx, address, request("first"))
		is.NoErr(err)
		defer first.Close()
		second, err := c.Open(ctx, address, request("second"))
		is.NoErr(err)
		defer second.Close()
		_, err = first.Receive()
		var mismatch messenger.ErrRequestMismatch
		is.True(errors.As(err, &mismatch))
		is.Equal(mismatch.Got, "second")
	})
}

// TestStalledPeerDoesNotBlockCalls guards against a call that outlives its context while
// the peer's network is stalled. An operator once waited 5.3 s for a region that was
// disconnected.
func TestStalledPeerDoesNotBlockCalls(t *testing.T) {
	h := func(_ context.Context, _ *wire.Request, s *messenger.Stream) {
		_ = s.Send(&wire.Frame{Kind: &wire.Frame_Ack{Ack: &wire.Ack{}}})
	}
	withServer(t, h, func(ctx context.Context, is *is.I, fabric *shaper.Fabric, c *messenger.Client, address string) {
		_, err := c.Call(ctx, address, request("1"))
		is.NoErr(err)
		fabric.SetStalled("server", true)
		start := time.Now()
		shortCtx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		for n := 0; err == nil; n++ {
			_, err = c.Call(shortCtx, address, request("2"))
		}
		is.True(time.Since(start) <= time.Second)
	})
}

// TestIdleSessionsAreClosed guards against sessions whose keepalives go on for as long as
// both processes live: a host once had one with each of some twenty others, and exchanged
// more keepalives than heartbeats. A session with an open stream must stay.
func TestIdleSessionsAreClosed(t *testing.T) {
	const timeout = 3 * time.Second
	sessions := make(chan struct{}, 8)
	h := func(ctx context.Context, req *wire.Request, s *messenger.Stream) {
		sessions <- struct{}{}
		if req.GetId() == "long" {
			<-ctx.Done()
			return
		}
		_ = s.Send(&wire.Frame{Kind: &wire.Frame_Ack{Ack: &wire.Ack{}}})
	}
	withServer(t, h, func(ctx context.Context, is *is.I, _ *shaper.Fabric, c *messenger.Client, address string) {
		long, err := c.Open(ctx, address, request("long"))
		is.NoErr(err)
		time.Sleep(2 * timeout)
		c.CloseIdle(timeout)
		is.Equal(c.SessionCount(), 1) // it has a stream
		long.Close()
		time.Sleep(timeout / 2)
		_, err = c.Call(ctx, address, request("short"))
		is.NoErr(err)
		c.CloseIdle(timeout)
		is.Equal(c.SessionCount(), 1) // it was used recently
		time.Sleep(timeout)
		c.CloseIdle(timeout)
		is.Equal(c.SessionCount(), 0)
		_, err = c.Call(ctx, address, request("again"))
		is.NoErr(err)
		is.Equal(c.SessionCount(), 1)
	})
}
