package installer_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile"
)

// loadingEngine is an engine that takes some time to load weights.
type loadingEngine struct {
	fakeEngine
	loadTime time.Duration
	// loadedAt is when the load ends, and reportedAt when a report first shows its end.
	loadedAt, reportedAt time.Time
}

func (e *loadingEngine) Report(ctx context.Context) (filbertstile.EngineReport, error) {
	r, err := e.fakeEngine.Report(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := time.Now(); now.Before(e.loadedAt) {
		r.Version, r.Loading = 0, true
	} else if !e.loadedAt.IsZero() && e.reportedAt.IsZero() {
		e.reportedAt = now
	}
	return r, err
}

func (e *loadingEngine) Load(ctx context.Context, w filbertstile.WeightsVersion, orders int64, cancelRunning bool) (bool, error) {
	accepted, err := e.fakeEngine.Load(ctx, w, orders, cancelRunning)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loadedAt = time.Now().Add(e.loadTime)
	return accepted, err
}

// TestEndOfLoadIsSeenSoon guards against replicas that have loaded their weights and get no
// requests, as their hosts have not looked.
func TestEndOfLoadIsSeenSoon(t *testing.T) {
	const limit = 50 * time.Millisecond
	for _, loadTime := range []time.Duration{60, 110, 160, 210, 260, 310, 460, 1010} {
		loadTime *= time.Millisecond
		t.Run(loadTime.String(), func(t *testing.T) {
			e := &loadingEngine{loadTime: loadTime}
			withInstallerOf(t, e, &e.fakeEngine, singleVersion(1), func(int64) bool { return true }, func(is *is.I) {
				time.Sleep(3 * time.Second)
				e.mu.Lock()
				defer e.mu.Unlock()
				is.Equal(e.orders, int64(1))
				if late := e.reportedAt.Sub(e.loadedAt); late > limit {
					t.Errorf("the end of the load was seen %s late, want at most %s", late, limit)
				}
			})
		})
	}
}
