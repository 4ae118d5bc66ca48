package requester_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/sleeper"
	"filbertstile.example/filbertstile/outside/requester"
	"filbertstile.example/filbertstile/rigs/bubbler"
	"filbertstile.example/filbertstile/rigs/shaper"
)

const idleAddress = "10.0.0.1:80"

// openConns are the connections of a server.
type openConns struct {
	mu    sync.Mutex
	conns []net.Conn
}

// closeAll closes the connections and returns how many there were.
func (o *openConns) closeAll() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, c := range o.conns {
		_ = c.Close()
	}
	return len(o.conns)
}

// serveIdle serves the handler at idleAddress.
func serveIdle(t *testing.T, h http.HandlerFunc) (filbertstile.Network, *openConns) {
	t.Helper()
	network, open := shaper.NewMemory(), &openConns{}
	l, err := network.Listen(idleAddress)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: h, ConnState: func(c net.Conn, s http.ConnState) {
		if s == http.StateNew {
			open.mu.Lock()
			defer open.mu.Unlock()
			open.conns = append(open.conns, c)
		}
	}}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return network, open
}

func call(c *requester.Client, method, path string) error {
	_, err := c.Do(context.Background(), requester.Call{Step: "test", Method: method, Path: path})
	return err
}

// TestCallAfterIdleConnectionsEnded guards against calls that fail one after another on idle connections
// that have ended unnoticed, as after a partition, although the server can be reached.
func TestCallAfterIdleConnectionsEnded(t *testing.T) {
	is := is.New(t)
	const idle = 5
	var together sync.WaitGroup
	together.Add(idle)
	network, open := serveIdle(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/together" {
			together.Done()
			together.Wait()
		}
	})
	c := requester.New(requester.Config{Network: network, Address: idleAddress, Timeout: 5 * time.Second})
	var calls sync.WaitGroup
	errs := make(chan error, idle)
	for range idle {
		calls.Go(func() { errs <- call(c, http.MethodGet, "/together") })
	}
	calls.Wait()
	for range idle {
		is.NoErr(<-errs)
	}
	is.Equal(open.closeAll(), idle)
	is.True(call(c, http.MethodPut, "/") != nil) // a write may have been done, and must not be repeated
	is.NoErr(call(c, http.MethodGet, "/"))
}

// TestReadAfterIdleConnectionsEnded guards against a read that fails on an idle connection that has ended
// unnoticed, although it can be repeated at once.
func TestReadAfterIdleConnectionsEnded(t *testing.T) {
	is := is.New(t)
	var requests atomic.Int32
	network, open := serveIdle(t, func(_ http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		if r.URL.Path == "/abort" {
			panic(http.ErrAbortHandler)
		}
	})
	c := requester.New(requester.Config{Network: network, Address: idleAddress, Timeout: 5 * time.Second})
	is.NoErr(call(c, http.MethodGet, "/"))
	is.Equal(open.closeAll(), 1)
	is.NoErr(call(c, http.MethodGet, "/"))
	is.Equal(requests.Load(), int32(2))
	is.True(call(c, http.MethodGet, "/abort") != nil)
	is.True(requests.Load() <= 4) // one repetition at most
}

// TestConnectionEndsWithContext guards against a call that goes on without its caller, and keeps its
// connection open, until its own timeout.
func TestConnectionEndsWithContext(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Second} {
		bubbler.Run(t, func(ctx context.Context, t *testing.T) {
			is := is.NewRelaxed(t)
			var ended atomic.Int32
			network, open := serveIdle(t, func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/wait" {
					<-r.Context().Done()
					ended.Add(1)
				}
			})
			c := requester.New(requester.Config{Network: slow{network, delay}, Address: idleAddress, Timeout: time.Hour})
			is.NoErr(call(c, http.MethodGet, "/"))
			ctx, cancel := context.WithCancel(ctx)
			time.AfterFunc(time.Minute, cancel) // on the idle connection
			_, err := c.Do(ctx, requester.Call{Step: "test", Path: "/wait"})
			is.True(errors.Is(err, context.Canceled))
			synctest.Wait()
			is.Equal(ended.Load(), int32(1))

			ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), time.Millisecond) // on a new one
			defer cancel()
			_, err = c.Do(ctx, requester.Call{Step: "test", Path: "/wait"})
			is.True(err != nil)
			synctest.Wait()
			is.NoErr(call(c, http.MethodGet, "/")) // the client can still be used
			open.closeAll()
		})
	}
}

// slow is a network that opens connections after a delay.
type slow struct {
	filbertstile.Network
	delay time.Duration
}

// Dial opens a connection.
func (s slow) Dial(ctx context.Context, address string) (net.Conn, error) {
	if err := sleeper.Sleep(ctx, s.delay); err != nil {
		return nil, err
	}
	return s.Network.Dial(ctx, address)
}
