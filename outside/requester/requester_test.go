package requester_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile/outside/requester"
	"filbertstile.example/filbertstile/transport/connector"
)

// startSilentServer starts a server that accepts connections and never responds, and
// returns its address.
func startSilentServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
		}
	}()
	return l.Addr().String()
}

// TestCallEndsWithContext guards against a slow shutdown: a stopping process waited for
// the end of its watches of the store, which took longer than a process may take to
// stop.
func TestCallEndsWithContext(t *testing.T) {
	is := is.New(t)
	c := requester.New(requester.Config{Address: startSilentServer(t), Network: connector.NewTCP(), Timeout: time.Hour})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := c.Do(ctx, requester.Call{Step: "watch", Path: "/"})
	is.True(errors.Is(err, context.Canceled))
}
