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
	term   = 4 * time.Second
	margin = time.Second
)

// withLeases hands over two candidates for one lease, in virtual time.
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
		lease := func(holder string) *leaser.Lease {
			return leaser.New(leaser.Config{Store: store, Key: "lease", Holder: holder, Term: term, Margin: margin})
		}
		f(ctx, is.New(t), api, lease("a"), lease("b"))
		store.Close()
		cancel()
		wait()
	})
}

func held(l *leaser.Lease) bool {
	_, ok := l.Held(time.Now())
	return ok
}

// TestPausedHolderIsReplaced has the holder stand still and wake late.
func TestPausedHolderIsReplaced(t *testing.T) {
	withLeases(t, func(ctx context.Context, is *is.I, _ *imitator.ObjectAPI, a, b *leaser.Lease) {
		is.NoErr(a.Step(ctx))
		is.True(held(a))
		first, _ := a.Held(time.Now())
		both := false
		for range 10 {
			is.NoErr(b.Step(ctx))
			both = both || held(a) && held(b)
			time.Sleep(time.Second)
		}
		is.Equal(both, false) // never two at once
		is.True(held(b))
		second, _ := b.Held(time.Now())
		is.True(second > first)
		is.Equal(held(a), false)
		_ = a.Step(ctx) // wakes late, and sees the other's lease
		is.Equal(held(a), false)
	})
}

func TestOutageEndsTheLease(t *testing.T) {
	withLeases(t, func(ctx context.Context, is *is.I, api *imitator.ObjectAPI, a, _ *leaser.Lease) {
		is.NoErr(a.Step(ctx))
		api.SetFaults(imitator.ObjectFaults{Down: true})
		is.True(a.Step(ctx) != nil)
		is.Equal(held(a), false)
		api.SetFaults(imitator.ObjectFaults{})
		for range 8 {
			_ = a.Step(ctx)
			time.Sleep(time.Second)
		}
		is.True(held(a))
	})
}
