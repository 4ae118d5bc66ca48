package placer_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile/decisions/placer"
)

// Operators compare the expected time to the first event with the observed one: each response must count
// once, with its first event, and one that has no event not at all.
func TestFirstEventsCountOnce(t *testing.T) {
	withPlacer(t, func(ctx context.Context, is *is.I, p *placer.Placer) {
		p.SetFleet(time.Now(), fleet(2, 12, 1, 0))
		report(p, 0, 0)
		for i := range 3 {
			g, err := p.Acquire(ctx, request(100))
			is.NoErr(err)
			time.Sleep(70 * time.Millisecond)
			if i == 2 {
				p.Release(&g, placer.NoResponse)
				break
			}
			for range 3 {
				p.EventArrived(&g)
				time.Sleep(time.Millisecond)
			}
			p.Release(&g, placer.Completed)
		}
		count, expected, observed := p.FirstEvents()
		is.Equal(count, int64(2))
		is.Equal(observed, 140*time.Millisecond)
		is.True(expected > 100*time.Millisecond && expected < 200*time.Millisecond) // 1.5 intervals of 46 ms and the prompt, each
	})
}
