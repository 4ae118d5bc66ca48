package requester_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile/outside/requester"
	"filbertstile.example/filbertstile/rigs/shaper"
)

// TestCallAfterIdleConnectionsEnded guards against calls that fail one after another on idle connections
// that have ended unnoticed, as after a partition, although the server can be reached.
func TestCallAfterIdleConnectionsEnded(t *testing.T) {
	is := is.New(t)
	const address, idle = "10.0.0.1:80", 5
	network := shaper.NewMemory()
	l, err := network.Listen(address)
	is.NoErr(err)
	var mu sync.Mutex
	var open []net.Conn
	var together sync.WaitGroup
	together.Add(idle)
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/together" {
				together.Done()
				together.Wait()
			}
		}),
		ConnState: func(c net.Conn, s http.ConnState) {
			if s == http.StateNew {
				mu.Lock()
				defer mu.Unlock()
				open = append(open, c)
			}
		},
	}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	c := requester.New(requester.Config{Network: network, Address: address, Timeout: 5 * time.Second})
	var calls sync.WaitGroup
	for range idle {
		calls.Go(func() {
			_, err := c.Do(context.Background(), requester.Call{Step: "test", Method: http.MethodGet, Path: "/together"})
			is.NoErr(err)
		})
	}
	calls.Wait()
	is.Equal(len(open), idle)
	for _, conn := range open {
		is.NoErr(conn.Close())
	}
	_, err = c.Do(context.Background(), requester.Call{Step: "test", Method: http.MethodPut, Path: "/"})
	is.True(err != nil) // a write may have been done, and must not be repeated
	_, err = c.Do(context.Background(), requester.Call{Step: "test", Method: http.MethodGet, Path: "/"})
	is.NoErr(err)
}

// TestReadAfterIdleConnectionsEnded guards against a read that fails on an idle connection that has ended
// unnoticed, although it can be repeated at once.
func TestReadAfterIdleConnectionsEnded(t *testing.T) {
	is := is.New(t)
	const address = "10.0.0.1:80"
	network := shaper.NewMemory()
	l, err := network.Listen(address)
	is.NoErr(err)
	var mu sync.Mutex
	var open []net.Conn
	requests := 0
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			requests++
			mu.Unlock()
			if r.URL.Path == "/abort" {
				panic(http.ErrAbortHandler)
			}
		}),
		ConnState: func(c net.Conn, s http.ConnState) {
			if s == http.StateNew {
				mu.Lock()
				defer mu.Unlock()
				open = append(open, c)
			}
		},
	}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	c := requester.New(requester.Config{Network: network, Address: address, Timeout: 5 * time.Second})
	_, err = c.Do(context.Background(), requester.Call{Step: "test", Method: http.MethodGet, Path: "/"})
	is.NoErr(err)
	is.NoErr(open[0].Close())
	_, err = c.Do(context.Background(), requester.Call{Step: "test", Method: http.MethodGet, Path: "/"})
	is.NoErr(err)
	is.Equal(requests, 2)
	_, err = c.Do(context.Background(), requester.Call{Step: "test", Method: http.MethodGet, Path: "/abort"})
	is.True(err != nil)
	is.True(requests <= 4) // one repetition at most
}
