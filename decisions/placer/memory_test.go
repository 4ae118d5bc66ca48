package placer_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/placer"
)

// memoryFleet returns a fleet of two replicas into whose memory the number of tokens fits.
func memoryFleet(tokens int) placer.Fleet {
	f := fleet(2, 64, 2, 0)
	engine := spec()
	engine.MemoryTokens = tokens
	f.Pools = filbertstile.NewTable(filbertstile.PoolSpec{Service: model, Engine: &engine})
	return f
}

func memoryRequest(tokens int) placer.Request {
	r := request(0)
	r.MemoryTokens = tokens
	return r
}

// TestRequestsFitIntoMemory guards against replicas that crash because the requests that they hold, of all
// entries together, exceed their memory, and against memory that is not used again.
func TestRequestsFitIntoMemory(t *testing.T) {
	const capacity = 10000
	rapid.Check(t, func(rt *rapid.T) {
		withPlacer(t, func(ctx context.Context, is *is.I, p *placer.Placer) {
			p.SetFleet(time.Now(), memoryFleet(capacity))
			held, grants := map[string]int{}, []placer.Grant{}
			peer := rapid.IntRange(0, capacity).Draw(rt, "peer")
			p.SetPeerLoads(time.Now(), "entry-2", map[uint32]placer.EntryLoad{placer.HashOf("r00"): {Requests: 1, Memory: peer}}, true)
			held["r00"] = peer
			sizes := map[string][]int{}
			for range rapid.IntRange(1, 40).Draw(rt, "steps") {
				if len(grants) > 0 && rapid.Bool().Draw(rt, "release") {
					g := grants[0]
					grants = grants[1:]
					p.Release(&g, placer.Completed)
					held[g.Replica.ID] -= sizes[g.Replica.ID][0]
					sizes[g.Replica.ID] = sizes[g.Replica.ID][1:]
					continue
				}
				n := rapid.IntRange(1, capacity/2).Draw(rt, "tokens")
				g, err := p.Acquire(ctx, memoryRequest(n))
				if err != nil {
					is.True(held["r00"]+n > capacity*95/100 && held["r01"]+n > capacity*95/100)
					continue
				}
				grants = append(grants, g)
				sizes[g.Replica.ID] = append(sizes[g.Replica.ID], n)
				held[g.Replica.ID] += n
				is.True(held[g.Replica.ID] <= capacity)
			}
			is.Equal(p.LocalLoads(true)["r01"].Memory, held["r01"])
		})
	})
}

// TestRequestThatNeverFitsIsRefused guards against a request that waits for memory which no replica has.
func TestRequestThatNeverFitsIsRefused(t *testing.T) {
	withPlacer(t, func(ctx context.Context, is *is.I, p *placer.Placer) {
		p.SetFleet(time.Now(), memoryFleet(1000))
		began := time.Now()
		_, err := p.Acquire(ctx, memoryRequest(1001))
		var rejected placer.ErrRejected
		is.True(errors.As(err, &rejected))
		is.True(!rejected.AnyEligible && rejected.RetryAfter > 0)
		is.Equal(time.Since(began), time.Duration(0))
		p.SetFleet(time.Now(), memoryFleet(0)) // not known
		g, err := p.Acquire(ctx, memoryRequest(1<<21))
		is.NoErr(err)
		is.True(!p.MemoryNearlyFull(time.Now(), g.Replica.ID))
	})
}

// TestQueuedRequestGetsFreedMemory guards against a request that is refused although memory becomes free
// while it may wait, and against a replica that does not count as full as its requests end.
func TestQueuedRequestGetsFreedMemory(t *testing.T) {
	withPlacer(t, func(ctx context.Context, is *is.I, p *placer.Placer) {
		p.SetFleet(time.Now(), memoryFleet(1000))
		var grants []placer.Grant
		for range 2 {
			g, err := p.Acquire(ctx, memoryRequest(900))
			is.NoErr(err)
			is.True(p.MemoryNearlyFull(time.Now(), g.Replica.ID))
			grants = append(grants, g)
		}
		go func() {
			time.Sleep(50 * time.Millisecond)
			p.Release(&grants[0], placer.Completed)
		}()
		g, err := p.Acquire(ctx, memoryRequest(100))
		is.NoErr(err)
		is.Equal(g.Replica.ID, grants[0].Replica.ID)
		is.True(p.MemoryNearlyFull(time.Now(), g.Replica.ID))
		time.Sleep(3 * time.Second)
		is.True(!p.MemoryNearlyFull(time.Now(), g.Replica.ID))
	})
}
