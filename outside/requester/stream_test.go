package requester_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile/outside/requester"
	"filbertstile.example/filbertstile/rigs/bubbler"
)

// TestStreamEndsWithContext guards against a response that is read on without its caller, until the
// call's own timeout.
func TestStreamEndsWithContext(t *testing.T) {
	for _, c := range []struct {
		name, path string
		// delay is the time that a connection takes to open.
		delay time.Duration
	}{
		{"connecting", "/silent", time.Second}, {"before the head", "/silent", 0}, {"before the body", "/head", 0}, {"in the body", "/part", 0}, {"in a long body", "/parts", 0},
	} {
		for _, reused := range []bool{false, true} {
			if reused && c.delay > 0 {
				continue
			}
			t.Run(fmt.Sprintf("%s/reused=%v", c.name, reused), func(t *testing.T) {
				bubbler.Run(t, func(ctx context.Context, t *testing.T) {
					is := is.NewRelaxed(t)
					var ended atomic.Int32
					network, open := serveIdle(t, func(w http.ResponseWriter, r *http.Request) { servePart(w, r, &ended) })
					client := requester.New(requester.Config{Network: slow{network, c.delay}, Address: idleAddress, Timeout: 3 * time.Hour})
					readAll := func(_ requester.Response, body io.Reader) error {
						_, err := io.Copy(io.Discard, body)
						return err
					}
					if reused {
						is.NoErr(client.Stream(ctx, requester.Call{Step: "test", Path: "/whole"}, readAll))
					}
					called, cancel := context.WithCancel(ctx)
					left := time.Minute
					if c.delay > 0 {
						left = c.delay / 2
					}
					time.AfterFunc(left, cancel)
					started := time.Now()
					err := client.Stream(called, requester.Call{Step: "test", Path: c.path}, readAll)
					is.True(errors.Is(err, context.Canceled))
					is.Equal(time.Since(started), left)
					var notSent requester.ErrDial
					is.Equal(errors.As(err, &notSent), c.delay > 0)
					time.Sleep(time.Second) // between two parts of the long body
					synctest.Wait()
					if c.delay == 0 {
						is.Equal(ended.Load(), int32(1))
					}
					is.NoErr(client.Stream(ctx, requester.Call{Step: "test", Path: "/whole"}, readAll)) // the client can still be used
					client.Close()
					open.closeAll()
				})
			})
		}
	}
}

// servePart serves responses that end, at their paths, once the caller has gone.
func servePart(w http.ResponseWriter, r *http.Request, ended *atomic.Int32) {
	flush := func(body string) {
		_, _ = io.WriteString(w, body)
		w.(http.Flusher).Flush()
	}
	switch r.URL.Path {
	case "/whole":
		_, _ = io.WriteString(w, "whole")
		return
	case "/head":
		flush("")
	case "/part":
		flush("part")
	case "/parts":
		for r.Context().Err() == nil {
			flush("part")
			time.Sleep(time.Second)
		}
	}
	<-r.Context().Done()
	ended.Add(1)
}

// TestConcurrentStreams guards against streams that read each other's bodies, or take connections
// of their own although some are idle.
func TestConcurrentStreams(t *testing.T) {
	bubbler.Run(t, func(ctx context.Context, t *testing.T) {
		is := is.NewRelaxed(t)
		network, open := serveIdle(t, func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(time.Second)
			_, _ = io.WriteString(w, r.URL.Path)
		})
		client := requester.New(requester.Config{Network: network, Address: idleAddress, Timeout: time.Minute})
		for range 3 {
			errs := make(chan error, 4)
			for _, path := range []string{"/a", "/b", "/c", "/d"} {
				go func() {
					errs <- client.Stream(ctx, requester.Call{Step: "test", Path: path}, func(_ requester.Response, body io.Reader) error {
						got, err := io.ReadAll(body)
						is.Equal(string(got), path)
						return err
					})
				}()
			}
			for range cap(errs) {
				is.NoErr(<-errs)
			}
		}
		client.Close()
		is.Equal(open.closeAll(), 4)
	})
}
