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

// withServer runs a server with the handler, behind links that can be cut.
func withServer(t *testing.T, h messenger.Handler, f func(ctx context.Context, is *is.I, fabric *shaper.Fabric, c *messenger.Client, at string)) {
	t.Helper()
	bubbler.Run(t, func(ctx context.Context, t *testing.T) {
		ctx, cancel := context.WithCancel(ctx)
		fabric := shaper.New(shaper.Config{DomainDelay: time.Millisecond, Base: shaper.NewMemory()})
		l, err := fabric.Network(shaper.Site{Name: "server"}).Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		v, err := messenger.NewServer(messenger.ServerConfig{Handler: h, Concurrency: 4})
		if err != nil {
			t.Fatal(err)
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = v.Serve(ctx, l)
		}()
		c := messenger.NewClient(messenger.ClientConfig{Network: fabric.Network(shaper.Site{Name: "client"}), Sender: "client"})
		f(ctx, is.New(t), fabric, c, l.Addr().String())
		fabric.Stall("server", false)
		c.Close()
		cancel()
		<-done
	})
}

func request(id string) *wire.Request {
	return &wire.Request{Id: id, Kind: &wire.Request_Watch{Watch: &wire.Watch{}}}
}

func TestCallAnswers(t *testing.T) {
	h := func(_ context.Context, req *wire.Request, s *messenger.Stream) {
		_ = s.Send(&wire.Frame{Kind: &wire.Frame_Ack{Ack: &wire.Ack{Slowest: req.GetSender()}}})
	}
	withServer(t, h, func(ctx context.Context, is *is.I, _ *shaper.Fabric, c *messenger.Client, at string) {
		f, err := c.Call(ctx, at, request("1"))
		is.NoErr(err)
		is.Equal(f.GetAck().GetSlowest(), "client")
	})
}

// TestCrossedFrameIsAnError has the server answer on the stream of another
// request.
func TestCrossedFrameIsAnError(t *testing.T) {
	streams := make(chan *messenger.Stream, 1)
	h := func(ctx context.Context, req *wire.Request, s *messenger.Stream) {
		if req.GetId() == "first" {
			streams <- s
			<-ctx.Done()
			return
		}
		other := <-streams
		crossed := &wire.Frame{Kind: &wire.Frame_Ack{Ack: &wire.Ack{}}}
		_ = messenger.SendAs(other, "second", crossed)
	}
	withServer(t, h, func(ctx context.Context, is *is.I, _ *shaper.Fabric, c *messenger.Client, at string) {
		first, err := c.Open(ctx, at, request("first"))
		is.NoErr(err)
		defer first.Close()
		second, err := c.Open(ctx, at, request("second"))
		is.NoErr(err)
		defer second.Close()
		_, err = first.Receive()
		var crossed messenger.ErrCrossed
		is.True(errors.As(err, &crossed))
		is.Equal(crossed.Got, "second")
	})
}

// TestStalledPeerHoldsNobodyUp is for an operator who waited 5.3 s for a region
// that was cut off.
func TestStalledPeerHoldsNobodyUp(t *testing.T) {
	h := func(_ context.Context, _ *wire.Request, s *messenger.Stream) {
		_ = s.Send(&wire.Frame{Kind: &wire.Frame_Ack{Ack: &wire.Ack{}}})
	}
	withServer(t, h, func(ctx context.Context, is *is.I, fabric *shaper.Fabric, c *messenger.Client, at string) {
		_, err := c.Call(ctx, at, request("1"))
		is.NoErr(err)
		fabric.Stall("server", true)
		began := time.Now()
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		for n := 0; err == nil; n++ {
			_, err = c.Call(short, at, request("2"))
		}
		is.True(time.Since(began) <= time.Second)
	})
}
