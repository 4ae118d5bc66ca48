package placer_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/placer"
)

// prioritized returns a request of the route, with a target latency that leaves time to queue.
func prioritized(route string, priority int) placer.Request {
	req := request(100)
	req.Route, req.Priority, req.TargetLatency = route, priority, time.Second
	return req
}

// withPrioritized is like withPlacer, with 14 engines, 8 entries and routes of the priorities.
func withPrioritized(t *testing.T, priorities []int, f func(ctx context.Context, is *is.I, p *placer.Placer)) {
	t.Helper()
	withPlacer(t, func(ctx context.Context, is *is.I, p *placer.Placer) {
		x := fleet(14, 12, 8, 0)
		x.Priorities = map[string][]int{model: priorities}
		p.SetFleet(time.Now(), x)
		var peers []filbertstile.Member
		for i := range 7 {
			peers = append(peers, filbertstile.Member{Name: fmt.Sprint("peer-", i)})
		}
		p.RetainPeers(time.Now(), peers)
		for _, r := range x.Replicas.All() {
			p.SetReplicaLoad(time.Now(), r.Address, placer.ReplicaLoad{Version: 1})
		}
		f(ctx, is, p)
	})
}

// fill makes another entry use all slots but one of each of n engines. It gets 500 urgent requests
// per second.
func fill(p *placer.Placer, n int) {
	loads := make(map[uint32]placer.EntryLoad)
	for i := range 14 {
		loads[placer.HashOf(fmt.Sprintf("r%02d", i))] = placer.EntryLoad{Requests: 12}
		if i < n {
			loads[placer.HashOf(fmt.Sprintf("r%02d", i))] = placer.EntryLoad{Requests: 11}
		}
	}
	p.SetPeerLoads(time.Now(), "peer-0", loads, true)
	p.SetPeerDemands("peer-0", []placer.Demand{{Service: placer.HashOf(model), PerSecond: 500}})
}

// If the free slots are fewer than urgent requests are expected to need, others must be refused
// at once, with the figures and the longest retry delay, but for the floor of their route. Urgent
// requests must get the slots.
func TestSlotsAreHeldForUrgentRequests(t *testing.T) {
	withPrioritized(t, []int{0, 2}, func(ctx context.Context, is *is.I, p *placer.Placer) {
		fill(p, 10)
		started, admitted := time.Now(), 0
		for range 10 {
			req := prioritized("batch", 2)
			req.TargetLatency = 400 * time.Millisecond
			_, err := p.Acquire(ctx, req)
			var rejected placer.ErrRejected
			if err == nil {
				admitted++
				continue
			}
			is.True(errors.As(err, &rejected))
			is.True(strings.HasPrefix(rejected.Reason, "held for more urgent requests: free "))
			is.True(rejected.AnyEligible)
			is.True(rejected.RetryAfter >= 1500*time.Millisecond && rejected.RetryAfter <= 2*time.Second) // nearly a third of the time left
		}
		is.Equal(time.Since(started), time.Duration(0))
		is.True(admitted >= 3 && admitted <= 4) // the floor's share
		for range 10 - admitted {
			_, err := p.Acquire(ctx, prioritized("urgent", 0))
			is.NoErr(err)
		}
		is.Equal(p.Admissions(time.Now())[0].View.Free, 0)
	})
}

// Without routes of different priorities, requests must be placed in any free slot.
func TestNothingIsHeldForOnePriority(t *testing.T) {
	withPrioritized(t, []int{1}, func(ctx context.Context, is *is.I, p *placer.Placer) {
		fill(p, 10)
		for range 10 {
			_, err := p.Acquire(ctx, prioritized("batch", 2))
			is.NoErr(err)
		}
		is.Equal(len(p.Admissions(time.Now())), 0)
	})
}

// A queued request must leave the queue when its response can no longer begin in time, not after
// a share of its target latency, which lets a long target outlast an urgent one.
func TestQueueTimeoutFollowsFromTarget(t *testing.T) {
	withPrioritized(t, []int{0, 2}, func(ctx context.Context, is *is.I, p *placer.Placer) {
		fill(p, 0)
		started := time.Now()
		_, err := p.Acquire(ctx, prioritized("urgent", 0))
		is.True(err != nil)
		waited := time.Since(started)
		is.True(waited > 600*time.Millisecond && waited < 800*time.Millisecond) // some 250 ms before the target
		started = time.Now()
		req := prioritized("urgent", 0)
		req.TargetLatency = 200 * time.Millisecond
		_, err = p.Acquire(ctx, req)
		is.True(err != nil)
		is.Equal(time.Since(started), time.Duration(0)) // nothing that ends could start it in time
	})
}

// Callers that allow less time than the route from the start must not be taken for callers that come back
// late: half of an urgent route's requests ranked behind those of a route with a longer target.
func TestShortTimeLimitIsNoLateReturn(t *testing.T) {
	withPrioritized(t, []int{0, 2}, func(ctx context.Context, is *is.I, p *placer.Placer) {
		for _, c := range []struct {
			waited time.Duration
			want   bool
		}{{0, false}, {500 * time.Millisecond, false}, {900 * time.Millisecond, false}, {1300 * time.Millisecond, true}} {
			req := prioritized("urgent", 0)
			req.TargetLatency, req.Waited = 400*time.Millisecond, c.waited
			_, err := p.Acquire(ctx, req)
			is.NoErr(err)
			classes := p.Admissions(time.Now())[0].Classes
			is.Equal(classes[len(classes)-1].Class.Late, c.want)
		}
	})
}

// Routes must be told apart although all accounts have the same priority, which takes precedence: with
// the accounts' priority alone, the least urgent route was served most often.
func TestRoutePriorityCountsWithinAccountPriority(t *testing.T) {
	withPrioritized(t, []int{0, 2}, func(ctx context.Context, is *is.I, p *placer.Placer) {
		for _, c := range []struct{ account, route int }{{1, 2}, {0, 2}, {1, 0}, {0, 0}, {-4, 1 << 30}} {
			req := prioritized("route", c.account)
			req.RoutePriority = c.route
			_, err := p.Acquire(ctx, req)
			is.NoErr(err)
		}
		var got []int
		for _, s := range p.Admissions(time.Now())[0].Classes {
			got = append(got, s.Class.Priority)
		}
		is.Equal(got, []int{0, 2, 15, 16, 18})
	})
}
