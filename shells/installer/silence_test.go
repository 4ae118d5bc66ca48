package installer_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/shells/installer"
)

// silentEngine is an engine that falls silent as it gets the first order to load weights.
type silentEngine struct {
	fakeEngine
	// orderTimeout is how long the host waits for a response to the order, and acceptedAfter
	// is when the engine accepts it.
	orderTimeout, acceptedAfter time.Duration
	// stageTime is how long it takes to stage a chunk.
	stageTime time.Duration
	ordered   atomic.Bool
}

func (e *silentEngine) Stage(ctx context.Context, model string, n int, data []byte) error {
	time.Sleep(e.stageTime)
	return e.fakeEngine.Stage(ctx, model, n, data)
}

func (e *silentEngine) Load(ctx context.Context, w filbertstile.WeightsVersion, orders int64, cancelRunning bool) (bool, error) {
	if !e.ordered.CompareAndSwap(false, true) {
		return e.fakeEngine.Load(ctx, w, orders, cancelRunning)
	}
	time.AfterFunc(e.acceptedAfter, func() { _, _ = e.fakeEngine.Load(ctx, w, orders, cancelRunning) })
	time.Sleep(min(e.orderTimeout, e.acceptedAfter+time.Millisecond))
	if e.acceptedAfter < e.orderTimeout {
		return true, nil
	}
	return false, context.DeadlineExceeded
}

// TestSilentEngineLoadsWholeVersion guards against weights that are mixed of two versions, or
// loaded twice, as the engine is silent while it is ordered to switch, and accepts the order late
// or after its host has given it up. A newer version is held by then.
func TestSilentEngineLoadsWholeVersion(t *testing.T) {
	for name, acceptedAfter := range map[string]time.Duration{"Late": 1900 * time.Millisecond, "AfterTimeout": 2500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			e := &silentEngine{orderTimeout: 2 * time.Second, acceptedAfter: acceptedAfter, stageTime: 100 * time.Millisecond}
			e.version = 1
			newest := int64(2)
			wanted := func() []installer.Wanted {
				if e.ordered.Load() {
					newest = 3
				}
				return singleVersion(newest)()
			}
			withInstallerOf(t, e, &e.fakeEngine, wanted, func(int64) bool { return true }, func(is *is.I) {
				seen := int64(1)
				for range 80 {
					time.Sleep(100 * time.Millisecond)
					e.mu.Lock()
					version := e.version
					e.mu.Unlock()
					if version != seen {
						is.True(e.loadedIntact(version)) // all chunks are of the version
						seen = version
					}
				}
				is.Equal(seen, int64(3))
				is.True(e.orders <= 2) // one for each version
			})
		})
	}
}
