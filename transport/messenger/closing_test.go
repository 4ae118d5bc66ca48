package messenger_test

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/rigs/shaper"
	"filbertstile.example/filbertstile/transport/messenger"
)

// slowClosing is a network whose connections take a while to close.
type slowClosing struct {
	filbertstile.Network
	closing atomic.Bool
}

const closeTime = 400 * time.Millisecond

func (n *slowClosing) Dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := n.Network.Dial(ctx, address)
	return &slowClosingConn{Conn: c, network: n}, err
}

type slowClosingConn struct {
	net.Conn
	network *slowClosing
}

func (c *slowClosingConn) Close() error {
	c.network.closing.Store(true)
	time.Sleep(closeTime)
	return c.Conn.Close()
}

// processorTime returns the processor time that the process has used.
func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		t.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// TestReceiveIsIdleWhileSessionCloses guards against a stream that uses the whole processor until its session
// is closed, so that on a host with one core the session is never closed.
func TestReceiveIsIdleWhileSessionCloses(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	network := &slowClosing{Network: shaper.NewMemory()}
	l, err := network.Listen("127.0.0.1:0")
	is.NoErr(err)
	server, err := messenger.NewServer(messenger.ServerConfig{Concurrency: 1, Handler: func(ctx context.Context, _ *wire.Request, _ *messenger.Stream) { <-ctx.Done() }})
	is.NoErr(err)
	go func() { _ = server.Serve(ctx, l) }()
	c := messenger.NewClient(messenger.ClientConfig{Network: network, Sender: "client"})
	s, err := c.Open(ctx, l.Addr().String(), request("1"))
	is.NoErr(err)
	defer s.Close()
	received := make(chan error, 1)
	go func() {
		_, err := s.Receive()
		received <- err
	}()
	time.Sleep(20 * time.Millisecond) // it waits for a frame
	before := processorTime(t)
	c.CloseSession(l.Addr().String())
	is.True(processorTime(t)-before < closeTime/4)
	is.True(network.closing.Load())
	is.True(<-received != nil)
}
