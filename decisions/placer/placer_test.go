package placer_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/placer"
	"filbertstile.example/filbertstile/rigs/batcher"
)

const model = "model"

func spec() filbertstile.EngineSpec {
	return filbertstile.EngineSpec{Model: model, PrefillTokensPerSecond: 19100, StepTime: 8870 * time.Microsecond, StepTimePerRequest: 39 * time.Microsecond, StepsPerEvent: 5}
}

// fleet returns a fleet of replicas r00, r01 and so on, at 10.0.0.0:1, 10.0.0.1:1 and so
// on.
func fleet(replicas, slots, entries int, coldRate float64) placer.Fleet {
	f := placer.Fleet{OutOfService: map[string]bool{}, Regions: map[string]string{"a": "a", "b": "b"}, Entries: entries}
	engine := spec()
	f.Pools = filbertstile.NewTable(filbertstile.PoolSpec{Service: model, Engine: &engine, ColdRequestsPerSecond: coldRate})
	var list []filbertstile.Replica
	for i := range replicas {
		list = append(list, filbertstile.Replica{
			ID: fmt.Sprintf("r%02d", i), Service: model, Address: fmt.Sprintf("10.0.0.%d:1", i), Domain: "a", Slots: slots, Version: 1,
		})
	}
	f.Replicas = filbertstile.NewTable(list...)
	return f
}

// request returns a request that arrives now, with a prompt of the given length.
func request(tokens int) placer.Request {
	now := time.Now()
	return placer.Request{Service: model, Arrived: now, TargetLatency: 400 * time.Millisecond, Deadline: now.Add(6 * time.Second), PromptTokens: tokens}
}

// withPlacer calls f in virtual time with a placer without replicas.
func withPlacer(t *testing.T, f func(ctx context.Context, is *is.I, p *placer.Placer)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f(t.Context(), is.New(t), placer.New(placer.Config{Region: "a", Seed: 1, ColdBurst: 1.5, ColdSlack: 5}))
	})
}

// Requests of other entries count as load until the entry is no longer live.
func TestPeerLoadCounts(t *testing.T) {
	withPlacer(t, func(ctx context.Context, is *is.I, p *placer.Placer) {
		p.SetFleet(time.Now(), fleet(2, 16, 2, 0))
		p.SetPeerLoads(time.Now(), "entry-2", map[uint32]placer.EntryLoad{placer.HashOf("r00"): {Requests: 2, Tokens: 4000}}, true)
		for range 20 {
			g, err := p.Acquire(ctx, request(100))
			is.NoErr(err)
			is.Equal(g.Replica.ID, "r01")
			p.Release(&g, placer.Completed)
		}
		p.RetainPeers(time.Now(), nil)
		seen := make(map[string]bool)
		for range 40 {
			g, err := p.Acquire(ctx, request(100))
			is.NoErr(err)
			seen[g.Replica.ID] = true
			p.Release(&g, placer.Completed)
		}
		is.Equal(len(seen), 2)
	})
}

// A request to a full replica must be rejected well before its target latency, with a
// retry delay.
func TestRejectedWithinQueueTimeout(t *testing.T) {
	withPlacer(t, func(ctx context.Context, is *is.I, p *placer.Placer) {
		p.SetFleet(time.Now(), fleet(1, 2, 1, 0))
		for range 2 {
			_, err := p.Acquire(ctx, request(100))
			is.NoErr(err)
		}
		started := time.Now()
		_, err := p.Acquire(ctx, request(100))
		var rejected placer.ErrRejected
		is.True(errors.As(err, &rejected))
		is.True(rejected.AnyEligible)
		is.True(rejected.RetryAfter > 0 && rejected.RetryAfter <= 2*time.Second)
		is.True(time.Since(started) <= 250*time.Millisecond) // well before the target latency
	})
}

// A request must not be queued if no replica is eligible.
func TestRejectedAtOnceIfNoneEligible(t *testing.T) {
	withPlacer(t, func(ctx context.Context, is *is.I, p *placer.Placer) {
		f := fleet(1, 16, 1, 0)
		f.OutOfService["a"] = true
		p.SetFleet(time.Now(), f)
		started := time.Now()
		_, err := p.Acquire(ctx, request(100))
		var rejected placer.ErrRejected
		is.True(errors.As(err, &rejected))
		is.True(!rejected.AnyEligible)
		is.Equal(time.Since(started), time.Duration(0)) // at once
	})
}

// A stream that is interrupted by an order to load weights must not cause a cooldown:
// the replica must get requests as soon as it has loaded them.
func TestLoadingReplicaGetsNoCooldown(t *testing.T) {
	withPlacer(t, func(ctx context.Context, is *is.I, p *placer.Placer) {
		p.SetFleet(time.Now(), fleet(1, 16, 1, 0))
		g, err := p.Acquire(ctx, request(100))
		is.NoErr(err)
		p.SetReplicaLoad(time.Now(), "10.0.0.0:1", placer.ReplicaLoad{Version: 1, Loading: true})
		is.True(p.Release(&g, placer.NoResponse).IsZero())
		p.SetReplicaLoad(time.Now(), "10.0.0.0:1", placer.ReplicaLoad{Version: 2})
		_, err = p.Acquire(ctx, request(100))
		is.NoErr(err)
	})
}

// workload describes the traffic of a simulation.
type workload struct {
	entries           int
	replicas          int
	requestsPerSecond float64
	seconds           int
	// sharedLoads is true if entries exchange their loads. Otherwise they only have
	// the replicas' reports, which are 200 ms old.
	sharedLoads bool
}

// results counts the requests of a simulation.
type results struct {
	mu       sync.Mutex
	sent     int
	inTime   int
	late     int
	rejected int
}

// simulate sends the workload through the placers of the entries to simulated engines
// with the specified timing, and returns the results.
func simulate(t *testing.T, w workload, seed uint64) *results {
	t.Helper()
	out := &results{}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		rng := rand.New(rand.NewPCG(seed, 2))
		f := fleet(w.replicas, 16, w.entries, 0)
		engines := make(map[string]*batcher.Engine)
		for _, r := range f.Replicas.All() {
			e := batcher.New(batcher.Config{Spec: spec(), Slots: 16, MaxQueued: 32})
			engines[r.ID] = e
			go e.Run(ctx)
		}
		var placers []*placer.Placer
		for i := range w.entries {
			p := placer.New(placer.Config{Region: "a", Seed: seed + uint64(i), ColdBurst: 1.5, ColdSlack: 5})
			p.SetFleet(time.Now(), f)
			placers = append(placers, p)
		}
		go reportLoads(ctx, f, engines, placers)
		if w.sharedLoads {
			go exchangeLoads(ctx, placers)
		}
		var wg sync.WaitGroup
		gap := time.Duration(float64(time.Second) / w.requestsPerSecond)
		for range int(w.requestsPerSecond) * w.seconds {
			p := placers[rng.IntN(len(placers))]
			tokens, events := 150+int(rng.ExpFloat64()*750), min(52, 1+int(rng.ExpFloat64()*18))
			wg.Go(func() { sendRequest(ctx, p, engines, tokens, events, out) })
			time.Sleep(time.Duration(rng.ExpFloat64() * float64(gap)))
		}
		wg.Wait()
	})
	return out
}

// sendRequest sends one request and waits for the end of its response.
func sendRequest(ctx context.Context, p *placer.Placer, engines map[string]*batcher.Engine, tokens, events int, out *results) {
	req := request(tokens)
	g, err := p.Acquire(ctx, req)
	out.mu.Lock()
	out.sent++
	if err != nil {
		out.rejected++
	}
	out.mu.Unlock()
	if err != nil {
		return
	}
	ended := make(chan struct{})
	ok := engines[g.Replica.ID].Submit(&batcher.Request{PromptTokens: tokens, Events: events, OnEvent: func(n int) {
		if n == 1 {
			p.ResponseStarted(&g)
			out.mu.Lock()
			if time.Since(req.Arrived) <= req.TargetLatency {
				out.inTime++
			} else {
				out.late++
			}
			out.mu.Unlock()
		}
		if n == events {
			close(ended)
		}
	}})
	if !ok {
		p.Release(&g, placer.NotRun)
		return
	}
	<-ended
	p.Release(&g, placer.Completed)
}

// reportLoads reports the engines' loads from 200 ms earlier to the entries.
func reportLoads(ctx context.Context, f placer.Fleet, engines map[string]*batcher.Engine, placers []*placer.Placer) {
	previous := make(map[string]placer.ReplicaLoad)
	for _, r := range f.Replicas.All() {
		previous[r.ID] = placer.ReplicaLoad{Version: 1}
	}
	for ctx.Err() == nil {
		for _, r := range f.Replicas.All() {
			for _, p := range placers {
				p.SetReplicaLoad(time.Now(), r.Address, previous[r.ID])
			}
			running, queued := engines[r.ID].Load()
			previous[r.ID] = placer.ReplicaLoad{Running: running, Waiting: queued, Version: 1}
		}
		select {
		case <-ctx.Done():
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// exchangeLoads sends the load of each entry to the others.
func exchangeLoads(ctx context.Context, placers []*placer.Placer) {
	for ctx.Err() == nil {
		for i, p := range placers {
			loads := make(map[uint32]placer.EntryLoad)
			for id, l := range p.LocalLoads(false) {
				loads[placer.HashOf(id)] = l
			}
			for j, other := range placers {
				if i != j {
					other.SetPeerLoads(time.Now(), fmt.Sprint(i), loads, false)
				}
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(25 * time.Millisecond):
		}
	}
}

// At 140 requests per second to 24 replicas, the expected peak traffic, nearly all
// responses must begin within their target latency, and more than if entries do not
// exchange their loads.
func TestResponsesInTimeAtPeak(t *testing.T) {
	w := workload{entries: 7, replicas: 24, requestsPerSecond: 140, seconds: 10, sharedLoads: true}
	shared := simulate(t, w, 1)
	w.sharedLoads = false
	unshared := simulate(t, w, 1)
	t.Logf("shared loads: %d of %d in time, %d late, %d rejected; not shared: %d, %d, %d", shared.inTime, shared.sent, shared.late, shared.rejected, unshared.inTime, unshared.late, unshared.rejected)
	if share := float64(shared.inTime) / float64(shared.sent); share < 0.97 {
		t.Errorf("%.3f of the responses began in time, want 0.97", share)
	}
	if shared.inTime <= unshared.inTime {
		t.Errorf("%d in time, want more than the %d without shared loads", shared.inTime, unshared.inTime)
	}
}

// If 14 replicas get more requests than they can run, they must still respond in time to
// as many as they have capacity for, and the rest must be rejected while the caller can
// retry.
func TestResponsesInTimeUnderOverload(t *testing.T) {
	out := simulate(t, workload{entries: 7, replicas: 14, requestsPerSecond: 170, seconds: 10, sharedLoads: true}, 1)
	t.Logf("%d of %d in time, %d late, %d rejected", out.inTime, out.sent, out.late, out.rejected)
	// By its specification, an engine has capacity for some 9 requests per second.
	if want := 9.0 * 14 * 10; float64(out.inTime) < want {
		t.Errorf("%d in time, want %.0f", out.inTime, want)
	}
}

// Requests must go to replicas of other groups only if no replica of the entry's own
// group is eligible, and not if the eligible ones are full.
func TestOtherGroupsOnlyIfNoneEligible(t *testing.T) {
	withPlacer(t, func(ctx context.Context, is *is.I, p *placer.Placer) {
		f := fleet(4, 4, 12, 0) // without reports each request counts three times, so two fill a replica
		f.GroupReplicas, f.GroupEntries = map[string]bool{"r00": true, "r01": true}, 6
		p.SetFleet(time.Now(), f)
		used := make(map[string]int)
		for range 4 {
			g, err := p.Acquire(ctx, request(100))
			is.NoErr(err)
			used[g.Replica.ID]++
		}
		is.Equal(used, map[string]int{"r00": 2, "r01": 2})
		var rejected placer.ErrRejected
		_, err := p.Acquire(ctx, request(100))
		is.True(errors.As(err, &rejected))
		for _, id := range []string{"r00", "r01"} {
			x, _ := f.Replicas.Get(id)
			x.Leaving = true
			f.Replicas = f.Replicas.With(x)
		}
		p.SetFleet(time.Now(), f)
		g, err := p.Acquire(ctx, request(100))
		is.NoErr(err)
		is.True(!f.GroupReplicas[g.Replica.ID])
	})
}

// The running sum of the loads of other entries must match their latest reports.
func TestPeerLoadSumMatchesLatestReports(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := placer.New(placer.Config{Region: "a", Seed: 1})
		p.SetFleet(time.Now(), fleet(3, 16, 3, 0))
		latest := map[string]map[string]int{"e1": {}, "e2": {}}
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			entry := rapid.SampledFrom([]string{"e1", "e2"}).Draw(rt, "entry")
			all := rapid.Bool().Draw(rt, "all")
			if all {
				latest[entry] = make(map[string]int)
			}
			loads := make(map[uint32]placer.EntryLoad)
			for _, id := range rapid.SliceOfDistinct(rapid.SampledFrom([]string{"r00", "r01", "r02"}), rapid.ID).Draw(rt, "replicas") {
				n := rapid.IntRange(0, 5).Draw(rt, "requests")
				loads[placer.HashOf(id)] = placer.EntryLoad{Requests: n}
				latest[entry][id] = n
			}
			p.SetPeerLoads(time.Now(), entry, loads, all)
		}
		states, _ := p.Dump(time.Now())
		for _, s := range states {
			if want := latest["e1"][s.Replica.ID] + latest["e2"][s.Replica.ID]; s.Others != want {
				rt.Fatalf("%s: %d requests of other entries, want %d", s.Replica.ID, s.Others, want)
			}
		}
	})
}
