package ticker_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile/base/ticker"
)

// countingCore counts its ticks, and is busy for the given number of ticks after each
// event.
type countingCore struct {
	ticks     int
	busyTicks int
}

func (c *countingCore) Tick(_ time.Time, inbox []int) []struct{} {
	c.ticks++
	c.busyTicks = max(0, c.busyTicks-1)
	for _, n := range inbox {
		c.busyTicks = n
	}
	return nil
}

// TestQuietCoreTicksRarely guards against a core that is woken hundreds of times a second
// while it has nothing to do. Hosts spent most of their processor time so.
func TestQuietCoreTicksRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		core := &countingCore{}
		loop := ticker.New(ticker.Config[int, struct{}]{
			Core: core, Execute: func(struct{}) {}, IdleInterval: 5 * time.Millisecond,
			Quiet: func() bool { return core.busyTicks == 0 }, QuietInterval: time.Second,
		})
		done := make(chan struct{})
		go func() { loop.Run(ctx); close(done) }()
		defer func() { cancel(); <-done }()
		ticksWithin := func(d time.Duration) int {
			var before, after int
			loop.Inspect(func() { before = core.ticks })
			time.Sleep(d)
			loop.Inspect(func() { after = core.ticks })
			return after - before
		}
		time.Sleep(time.Second)
		is.True(ticksWithin(10*time.Second) <= 11) // quiet
		loop.Post(400)
		is.True(ticksWithin(time.Second) >= 190) // busy: every 5 ms
		time.Sleep(2 * time.Second)
		is.True(ticksWithin(10*time.Second) <= 11) // quiet again
	})
}
