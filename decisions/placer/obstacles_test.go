package placer_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/placer"
)

// TestRefusalNamesWhatIsShort guards against refusals whose log lines don't lead to the resource that
// the request did not get, and against one that names what was short for the request before.
func TestRefusalNamesWhatIsShort(t *testing.T) {
	refused := func(ctx context.Context, is *is.I, p *placer.Placer, req placer.Request) filbertstile.Resource {
		explained := p.Explain(time.Now(), req)
		_, err := p.Acquire(ctx, req)
		var rejected placer.ErrRejected
		is.True(errors.As(err, &rejected))
		if explained.Decision == placer.WouldReject {
			is.Equal(explained.Short, rejected.Short)
		}
		return rejected.Short
	}
	withPlacer(t, func(ctx context.Context, is *is.I, p *placer.Placer) {
		f := memoryFleet(10000)
		is.Equal(refused(ctx, is, p, request(0)), filbertstile.ResourceReplicas)
		p.SetFleet(time.Now(), f)
		is.Equal(refused(ctx, is, p, memoryRequest(20000)), filbertstile.ResourceEngineMemory)
		p.SetPeerLoads(time.Now(), "entry-2", map[uint32]placer.EntryLoad{placer.HashOf("r00"): {Requests: 1, Memory: 9000}, placer.HashOf("r01"): {Requests: 1, Memory: 9000}}, true)
		is.Equal(refused(ctx, is, p, memoryRequest(2000)), filbertstile.ResourceEngineMemory)
		p.SetPeerLoads(time.Now(), "entry-2", map[uint32]placer.EntryLoad{placer.HashOf("r00"): {Requests: 64}, placer.HashOf("r01"): {Requests: 64}}, true)
		is.Equal(refused(ctx, is, p, request(0)), filbertstile.ResourceSlots)
		// The last try before the queue timeout allows late responses, at replicas that are half full.
		p.SetPeerLoads(time.Now(), "entry-2", map[uint32]placer.EntryLoad{placer.HashOf("r00"): {Requests: 40}, placer.HashOf("r01"): {Requests: 40}}, true)
		late := request(100)
		late.Arrived = time.Now().Add(-300 * time.Millisecond)
		is.Equal(refused(ctx, is, p, late), filbertstile.ResourceTime)
		is.Equal(refused(ctx, is, p, memoryRequest(20000)), filbertstile.ResourceEngineMemory)
	})
	withPrioritized(t, []int{0, 2}, func(ctx context.Context, is *is.I, p *placer.Placer) {
		fill(p, 10)
		var short filbertstile.Resource
		for range 10 { // the floor of the route admits some
			req := prioritized("batch", 2)
			req.TargetLatency = 400 * time.Millisecond
			var rejected placer.ErrRejected
			if _, err := p.Acquire(ctx, req); errors.As(err, &rejected) {
				short = rejected.Short
			}
		}
		is.Equal(short, filbertstile.ResourceReserve)
	})
}
