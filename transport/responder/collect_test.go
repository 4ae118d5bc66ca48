package responder_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"filbertstile.example/filbertstile/base/collector"
	"filbertstile.example/filbertstile/transport/responder"
)

const maxBodyBytes = 256 << 10

// serve serves a handler that responds with the length of the body, and returns the address.
func serve(t *testing.T, bodies *collector.Memory) string {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = responder.Serve(ctx, l, responder.Config{MaxBodyBytes: maxBodyBytes, Bodies: bodies, Handler: func(rc *fasthttp.RequestCtx) {
			_, _ = fmt.Fprint(rc, len(rc.PostBody()))
		}})
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return l.Addr().String()
}

// TestBodiesAreCollected guards against bodies that change, that are accepted over their limit, or
// whose memory is not released, with and without a length.
func TestBodiesAreCollected(t *testing.T) {
	is := is.New(t)
	bodies := collector.New(collector.Config{LimitBytes: 4 * maxBodyBytes})
	url := "http://" + serve(t, bodies)
	for _, n := range []int{0, 1, 8 << 10, collector.StepBytes, maxBodyBytes, maxBodyBytes + 1} {
		for name, body := range map[string]io.Reader{"length": bytes.NewReader(make([]byte, n)), "chunks": io.MultiReader(bytes.NewReader(make([]byte, n)))} {
			t.Run(fmt.Sprint(name, n), func(t *testing.T) {
				is := is.New(t)
				resp, err := http.Post(url, "text/plain", body)
				is.NoErr(err)
				defer func() { _ = resp.Body.Close() }()
				data, err := io.ReadAll(resp.Body)
				is.NoErr(err)
				if n > maxBodyBytes {
					is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
					return
				}
				is.Equal(resp.StatusCode, http.StatusOK)
				is.Equal(string(data), fmt.Sprint(n))
			})
		}
	}
	is.Equal(bodies.Used(), int64(0))
}

// TestBodiesWithoutMemoryAreRefused guards against a refusal without an advice to come back, or that
// doesn't say that the request has not run, and against one that a sender of a long body misses.
func TestBodiesWithoutMemoryAreRefused(t *testing.T) {
	is := is.New(t)
	bodies := collector.New(collector.Config{LimitBytes: 2 * collector.StepBytes})
	url := "http://" + serve(t, bodies)
	for range 20 {
		resp, err := http.Post(url, "text/plain", bytes.NewReader(make([]byte, maxBodyBytes)))
		is.NoErr(err)
		data, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		is.Equal(resp.Header.Get("Retry-After"), "1")
		is.True(strings.Contains(string(data), "NotRun"))
	}
	is.Equal(bodies.Used(), int64(0))
}

// TestStalledBodyMakesRoom guards against clients that stop within a body and keep others out.
func TestStalledBodyMakesRoom(t *testing.T) {
	is := is.New(t)
	bodies := collector.New(collector.Config{LimitBytes: 2 * maxBodyBytes})
	address := serve(t, bodies)
	for range 20 {
		c, err := net.Dial("tcp", address)
		is.NoErr(err)
		defer func() { _ = c.Close() }()
		_, err = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", maxBodyBytes, strings.Repeat("b", maxBodyBytes/2))
		is.NoErr(err)
	}
	time.Sleep(time.Second) // they count as stalled
	resp, err := http.Post("http://"+address, "text/plain", bytes.NewReader(make([]byte, maxBodyBytes)))
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusOK)
}
