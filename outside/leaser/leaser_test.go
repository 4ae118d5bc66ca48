package leaser_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"filbertstile.example/filbertstile/outside/leaser"
	"filbertstile.example/filbertstile/outside/storer"
	"filbertstile.example/filbertstile/rigs/bubbler"
	"filbertstile.example/filbertstile/rigs/imitator"
	"filbertstile.example/filbertstile/rigs/shaper"
)

const (
	duration = 4 * time.Second
	margin   = time.Second
)

// withLeases runs f in virtual time with two processes that compete for one lease.
func withLeases(t *testing.T, f func(ctx context.Context, is *is.I, api *imitator.ObjectAPI, a, b *leaser.Lease)) {
	t.Helper()
	bubbler.Run(t, func(ctx context.Context, t *testing.T) {
		ctx, cancel := context.WithCancel(ctx)
		n := shaper.NewMemory()
		api := imitator.NewObjectAPI()
		address, wait, err := imitator.Start(ctx, n, api)
		if err != nil {
			t.Fatal(err)
		}
		store := storer.New(storer.Config{Address: address, Network: n, Metrics: metrics.NewRegistry()})
		newLease := func(holder string) *leaser.Lease {
			return leaser.New(leaser.Config{Store: store, Key: "lease", Holder: holder, Duration: duration, Margin: margin})
		}
		f(ctx, is.New(t), api, newLease("a"), newLease("b"))
		store.Close()
		cancel()
		wait()
	})
}

func held(l *leaser.Lease) bool {
	_, ok := l.Held(time.Now())
	return ok
}

// TestPausedHolderIsReplaced guards against a holder that is paused, resumes after its
// lease has expired, and still considers itself the holder.
func TestPausedHolderIsReplaced(t *testing.T) {
	withLeases(t, func(ctx context.Context, is *is.I, _ *imitator.ObjectAPI, a, b *leaser.Lease) {
		is.NoErr(a.AcquireOrRenew(ctx))
		is.True(held(a))
		firstEpoch, _ := a.Held(time.Now())
		both := false
		for range 10 {
			is.NoErr(b.AcquireOrRenew(ctx))
			both = both || held(a) && held(b)
			time.Sleep(time.Second)
		}
		is.Equal(both, false) // never two holders at once
		is.True(held(b))
		secondEpoch, _ := b.Held(time.Now())
		is.True(secondEpoch > firstEpoch)
		is.Equal(held(a), false)
		_ = a.AcquireOrRenew(ctx) // a resumes and sees the lease of b
		is.Equal(held(a), false)
	})
}

// TestOutageEndsLease guards against a holder that keeps the lease although it cannot
// renew it, and that does not acquire it again after the outage.
func TestOutageEndsLease(t *testing.T) {
	withLeases(t, func(ctx context.Context, is *is.I, api *imitator.ObjectAPI, a, _ *leaser.Lease) {
		is.NoErr(a.AcquireOrRenew(ctx))
		api.SetFaults(imitator.ObjectFaults{Down: true})
		is.True(a.AcquireOrRenew(ctx) != nil)
		is.Equal(held(a), false)
		api.SetFaults(imitator.ObjectFaults{})
		for range 8 {
			_ = a.AcquireOrRenew(ctx)
			time.Sleep(time.Second)
		}
		is.True(held(a))
	})
}
