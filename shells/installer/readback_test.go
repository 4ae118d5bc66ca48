package installer_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile"
)

// delayedEngine is an engine whose calls take long.
type delayedEngine struct {
	fakeEngine
	// callTime is how long it takes to stage a chunk and to read it back.
	callTime time.Duration
	// onRead is called after the read of a chunk, with the number of reads before.
	onRead func(reads, n int)
	reads  int
	// onLoad is called before an order is accepted, with the number of orders before.
	onLoad func(orders int)
	loads  int
}

func (e *delayedEngine) Stage(ctx context.Context, model string, n int, data []byte) error {
	time.Sleep(e.callTime)
	return e.fakeEngine.Stage(ctx, model, n, data)
}

func (e *delayedEngine) Staged(ctx context.Context, model string, n int) ([]byte, error) {
	time.Sleep(e.callTime)
	data, err := e.fakeEngine.Staged(ctx, model, n)
	e.mu.Lock()
	reads := e.reads
	e.reads++
	e.mu.Unlock()
	if e.onRead != nil {
		e.onRead(reads, n)
	}
	return data, err
}

func (e *delayedEngine) Load(ctx context.Context, w filbertstile.WeightsVersion, orders int64, cancelRunning bool) (bool, error) {
	if e.onLoad != nil {
		e.onLoad(e.loads)
	}
	e.loads++
	return e.fakeEngine.Load(ctx, w, orders, cancelRunning)
}

// TestRottenChunksAreNotServed guards against weights that are loaded long after their chunks
// were read back, and contain those that have turned corrupt since.
func TestRottenChunksAreNotServed(t *testing.T) {
	for name, newEngine := range map[string]func() *delayedEngine{
		"SlowEngine": func() *delayedEngine {
			e := &delayedEngine{callTime: 1200 * time.Millisecond}
			e.onRead = func(reads, n int) {
				if reads == 0 {
					e.rot(n)
				}
			}
			return e
		},
		"SuspendedWhileReading": func() *delayedEngine {
			e := &delayedEngine{}
			e.onRead = func(reads, _ int) {
				if reads == chunks/2 {
					e.rot(0)
					time.Sleep(4 * time.Second)
				}
			}
			return e
		},
		"SuspendedBeforeOrder": func() *delayedEngine {
			e := &delayedEngine{}
			e.onLoad = func(orders int) {
				if orders == 0 {
					e.rot(0)
					time.Sleep(4 * time.Second)
				}
			}
			return e
		},
		"SuspendedBeforeTwoOrders": func() *delayedEngine {
			e := &delayedEngine{}
			e.onLoad = func(orders int) {
				if orders == 0 {
					e.rot(0)
				}
				if orders <= 1 {
					time.Sleep(4 * time.Second)
				}
			}
			return e
		},
		"LateOrderWithoutResponse": func() *delayedEngine {
			e := &delayedEngine{}
			e.loseResponse = true
			e.onLoad = func(orders int) {
				if orders == 0 {
					e.rot(0)
					time.Sleep(4 * time.Second)
				}
			}
			return e
		},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEngine()
			withInstallerOf(t, e, &e.fakeEngine, singleVersion(1), func(int64) bool { return true }, func(is *is.I) {
				time.Sleep(30 * time.Second)
				e.mu.Lock()
				defer e.mu.Unlock()
				is.True(!e.servedSpoilt)
				is.Equal(len(e.spoilt), 0)
				is.Equal(e.served, int64(1))
				is.True(e.orders <= 2)
			})
		})
	}
}

// TestLateOrderOfIntactChunksIsServed guards against replicas that get no requests, or load
// their weights twice, as the order was accepted late although all chunks were intact.
func TestLateOrderOfIntactChunksIsServed(t *testing.T) {
	e := &delayedEngine{onLoad: func(int) { time.Sleep(4 * time.Second) }}
	withInstallerOf(t, e, &e.fakeEngine, singleVersion(1), func(int64) bool { return true }, func(is *is.I) {
		time.Sleep(10 * time.Second)
		e.mu.Lock()
		defer e.mu.Unlock()
		is.Equal(e.served, int64(1))
		is.Equal(e.orders, int64(1))
	})
}

// TestVerySlowEngineIsSwitched guards against a replica that never loads a version, as its engine
// takes too long to read the chunks back right before the order.
func TestVerySlowEngineIsSwitched(t *testing.T) {
	e := &delayedEngine{callTime: 3 * time.Second}
	withInstallerOf(t, e, &e.fakeEngine, singleVersion(1), func(int64) bool { return true }, func(is *is.I) {
		time.Sleep(2 * time.Minute)
		e.mu.Lock()
		defer e.mu.Unlock()
		is.Equal(e.served, int64(1))
		is.Equal(e.orders, int64(1))
	})
}
