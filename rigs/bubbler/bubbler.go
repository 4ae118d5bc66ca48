// Package bubbler runs tests in virtual time, in a bubble of testing/synctest.
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

// idleConnWait is longer than the idle timeout of any connection.
const idleConnWait = 10 * time.Minute

// Run calls f in virtual time, with a context that is cancelled when f returns.
func Run(t *testing.T, f func(ctx context.Context, t *testing.T)) {
	t.Helper()
	// fasthttp starts a goroutine for the date, which never ends. It must not start in
	// the bubble, which ends only after all of its goroutines.
	var h fasthttp.ResponseHeader
	_ = h.Header()
	ClearPools()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f(ctx, t)
		cancel()
		// Idle connections are closed only by their timeout.
		time.Sleep(idleConnWait)
	})
}

// ClearPools empties the sync.Pools in which yamux keeps timers, because a timer that
// was created in one bubble must not be used outside it or in another bubble. A pool
// keeps its items for up to two garbage collections.
func ClearPools() {
	runtime.GC()
	runtime.GC()
}

// fixedSeed makes property tests use the same inputs in every run. The flag -rapid.seed
// selects others.
const fixedSeed = "1"

// Main runs a package's tests with a fixed seed for its property tests, and returns the
// exit code.
func Main(m *testing.M) int {
	if err := flag.Set("rapid.seed", fixedSeed); err != nil {
		panic(err) // the package has no property tests, so it must not call Main
	}
	return m.Run()
}
