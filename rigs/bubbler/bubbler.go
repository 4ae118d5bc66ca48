// Package bubbler runs tests in virtual time.
package bubbler

import (
	"context"
	"flag"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"
)

// idleTime is longer than any connection idles.
const idleTime = 10 * time.Minute

// Run runs the function in virtual time, with a context that ends with it.
func Run(t *testing.T, f func(ctx context.Context, t *testing.T)) {
	t.Helper()
	// fasthttp keeps one goroutine for the date, for ever; it must not start
	// inside.
	var h fasthttp.ResponseHeader
	_ = h.Header()
	Clean()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f(ctx, t)
		cancel()
		// Idle connections time out.
		time.Sleep(idleTime)
	})
}

// Clean empties the pools in which yamux keeps timers: a timer of virtual time
// must not be used outside of it, or in another run. Two collections drop what
// a pool keeps.
func Clean() {
	runtime.GC()
	runtime.GC()
}

// fixedSeed makes property tests draw the same every run; -rapid.seed on the
// command line draws others.
const fixedSeed = "1"

// Main runs a package's tests with a fixed seed for its property tests.
func Main(m *testing.M) int {
	if err := flag.Set("rapid.seed", fixedSeed); err != nil {
		panic(err) // the package has no property tests and needs no Main
	}
	return m.Run()
}
