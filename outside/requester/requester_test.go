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

// silent accepts connections and answers nothing.
func silent(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
		}
	}()
	return l.Addr().String()
}

// TestCallEndsWithContext is for a process that was told to stop and waited for
// its watches at the store, longer than it may take.
func TestCallEndsWithContext(t *testing.T) {
	is := is.New(t)
	c := requester.New(requester.Config{Address: silent(t), Network: connector.NewTCP(), Timeout: time.Hour})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := c.Do(ctx, requester.Call{Step: "watch", Path: "/"})
	is.True(errors.Is(err, context.Canceled))
}
