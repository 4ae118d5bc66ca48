package placer_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"filbertstile.example/filbertstile/decisions/placer"
)

// TestExplainAgreesWithPlacement guards against an explanation that names another decision than the
// one that is made, or that changes what is decided afterwards.
func TestExplainAgreesWithPlacement(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		loads := rapid.SliceOfN(rapid.IntRange(0, 13), 5, 5).Draw(rt, "loads")
		leaving, prompt := rapid.IntRange(-1, 4).Draw(rt, "leaving"), rapid.IntRange(0, 4000).Draw(rt, "prompt")
		priorities, priority := rapid.SampledFrom([][]int{nil, {0, 2}}).Draw(rt, "priorities"), rapid.IntRange(0, 2).Draw(rt, "priority")
		pace := rapid.SampledFrom([]float64{0, 1, 2.5}).Draw(rt, "pace")
		withPlacer(t, func(ctx context.Context, is *is.I, p *placer.Placer) {
			f := fleet(5, 12, 2, 0)
			if leaving >= 0 {
				r, _ := f.Replicas.Get(fmt.Sprintf("r%02d", leaving))
				r.Leaving = true
				f.Replicas = f.Replicas.With(r)
			}
			f.Priorities = map[string][]int{model: priorities}
			p.SetFleet(time.Now(), f)
			peer := make(map[uint32]placer.EntryLoad)
			for i, n := range loads {
				peer[placer.HashOf(fmt.Sprintf("r%02d", i))] = placer.EntryLoad{Requests: n}
				p.SetReplicaLoad(time.Now(), fmt.Sprintf("10.0.0.%d:1", i), placer.ReplicaLoad{Running: n, Version: 1, Pace: pace})
			}
			p.SetPeerLoads(time.Now(), "entry-2", peer, true)
			req := request(prompt)
			req.Priority, req.Route = priority, "route"
			first := p.Explain(time.Now(), req)
			second := p.Explain(time.Now(), req)
			is.Equal(first.Decision, second.Decision)
			is.Equal(first.Candidates, second.Candidates)
			is.Equal(len(first.Candidates), 5)

			waitCtx, cancel := context.WithTimeout(ctx, 0)
			defer cancel()
			grant, err := p.Acquire(waitCtx, req)
			var rejected placer.ErrRejected
			switch {
			case err == nil && grant.Waited == 0:
				is.Equal(first.Decision, placer.WouldPlace)
				for _, c := range first.Candidates {
					if c.Replica == grant.Replica.ID {
						is.Equal(c.Obstacle, "")
					}
				}
			case errors.As(err, &rejected):
				is.Equal(first.Decision, placer.WouldReject)
				is.Equal(first.Reason, rejected.Reason)
			default:
				is.Equal(first.Decision, placer.WouldQueue)
			}
		})
	})
}
