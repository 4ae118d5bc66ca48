package messenger_test

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/transport/messenger"
)

// exhaustedListener has no descriptors for the first connections.
type exhaustedListener struct {
	net.Listener
	accepts atomic.Int32
	closed  chan struct{}
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.accepts.Add(1) <= 3 {
		return nil, syscall.EMFILE
	}
	<-l.closed
	return nil, net.ErrClosed
}

func (l *exhaustedListener) Close() error {
	close(l.closed)
	return nil
}

// TestServerOutlivesLackOfDescriptors guards against a server that stops accepting sessions for
// good after the process has been out of descriptors once.
func TestServerOutlivesLackOfDescriptors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		s, err := messenger.NewServer(messenger.ServerConfig{Handler: func(context.Context, *wire.Request, *messenger.Stream) {}, Concurrency: 1})
		is.NoErr(err)
		l := &exhaustedListener{closed: make(chan struct{})}
		done := make(chan error, 1)
		go func() { done <- s.Serve(ctx, l) }()
		time.Sleep(time.Second)
		is.Equal(l.accepts.Load(), int32(4))
		cancel()
		is.NoErr(<-done)
	})
}
