package placer_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/placer"
)

// pacedPolicy chooses an engine for a request of an entry.
type pacedPolicy string

const (
	byRandom   pacedPolicy = "random"
	byOwnCount pacedPolicy = "least own"
	// byCount is the placer without the paces.
	byCount pacedPolicy = "without pace"
	byPace  pacedPolicy = "with pace"
	// byHint is the placer with the paces and callers' hints.
	byHint pacedPolicy = "with hints"
	// byObservation is the placer whose engines claim to work as specified.
	byObservation pacedPolicy = "observed pace"
)

// pacedGroup is a group of entries with its engines.
type pacedGroup struct {
	placers []*placer.Placer
	engines map[string]*pacedEngine
	ids     []string
	own     []map[string]int
}

// run sends the workload to modelled engines by the policy.
func (w pacedWorkload) run(t *testing.T, policy pacedPolicy, seed uint64) *pacedResults {
	t.Helper()
	out := &pacedResults{}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		rng := rand.New(rand.NewPCG(seed, 3))
		groups := w.build(ctx, policy, seed)
		var wg sync.WaitGroup
		rate := w.capacity() * w.load
		for started := time.Now(); time.Since(started).Seconds() < w.seconds; {
			time.Sleep(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
			g := groups[rng.IntN(len(groups))]
			entry, pick := rng.IntN(len(g.placers)), rng.IntN(len(g.ids))
			tokens, events := w.draw(rng)
			wg.Go(func() { w.send(ctx, policy, g, entry, pick, tokens, events, out) })
		}
		wg.Wait()
	})
	return out
}

// build starts the engines and returns the groups of at most 7 entries, whose engines are spread
// as evenly as possible.
func (w pacedWorkload) build(ctx context.Context, policy pacedPolicy, seed uint64) []*pacedGroup {
	n := (w.entries + 6) / 7
	f := fleet(w.engines, w.slots, w.entries, 0)
	f.Pools = filbertstile.NewTable(filbertstile.PoolSpec{Service: model, Engine: &w.spec})
	groups := make([]*pacedGroup, n)
	for i := range groups {
		groups[i] = &pacedGroup{engines: make(map[string]*pacedEngine)}
	}
	slow := rand.New(rand.NewPCG(seed, 4)).Perm(w.engines)[:int(w.slowShare*float64(w.engines))]
	isSlow := make(map[int]bool)
	for _, i := range slow {
		isSlow[i] = true
	}
	for i, r := range f.Replicas.All() {
		e := newPacedEngine(w.spec, w.slots, 1)
		if isSlow[i] {
			e.pace = w.slowPace
		}
		g := groups[i%n]
		g.engines[r.ID], g.ids = e, append(g.ids, r.ID)
		go e.run(ctx)
	}
	for i := range w.entries {
		g := groups[i%n]
		p := placer.New(placer.Config{Self: fmt.Sprint(len(g.placers)), Region: "a", Seed: seed + uint64(i)})
		x := f
		x.GroupReplicas, x.GroupEntries = make(map[string]bool), (w.entries+n-1)/n
		for id := range g.engines {
			x.GroupReplicas[id] = true
		}
		p.SetFleet(time.Now(), x)
		g.placers, g.own = append(g.placers, p), append(g.own, make(map[string]int))
	}
	for _, g := range groups {
		for i, p := range g.placers {
			var peers []filbertstile.Member
			for j := range g.placers {
				if j != i {
					peers = append(peers, filbertstile.Member{Name: fmt.Sprint(j)})
				}
			}
			p.RetainPeers(time.Now(), peers)
		}
		go g.report(ctx, f, policy)
		go exchangeLoads(ctx, g.placers)
	}
	return groups
}

// report sends the engines' reports to the entries of the group.
func (g *pacedGroup) report(ctx context.Context, f placer.Fleet, policy pacedPolicy) {
	for ctx.Err() == nil {
		for id, e := range g.engines {
			r, _ := f.Replicas.Get(id)
			running, queued := e.load()
			l := placer.ReplicaLoad{Running: running, Waiting: queued, Version: 1}
			switch policy {
			case byPace, byHint:
				l.Pace = e.pace
			case byObservation:
				l.Pace = 1
			}
			for _, p := range g.placers {
				p.SetReplicaLoad(time.Now(), r.Address, l)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(400 * time.Millisecond):
		}
	}
}

// send sends one request and waits for the end of its response.
func (w pacedWorkload) send(ctx context.Context, policy pacedPolicy, g *pacedGroup, entry, pick, tokens, events int, out *pacedResults) {
	p, id := g.placers[entry], g.ids[pick]
	now := time.Now()
	var grant placer.Grant
	var err error
	switch policy {
	case byRandom:
	case byOwnCount:
		out.mu.Lock()
		for _, x := range g.ids {
			if g.own[entry][x] < g.own[entry][id] {
				id = x
			}
		}
		g.own[entry][id]++
		out.mu.Unlock()
	default:
		req := placer.Request{Service: model, Arrived: now, TargetLatency: w.target, Deadline: now.Add(15 * w.target), PromptTokens: tokens, Repeatable: true}
		req.Output.Route, req.Output.Max = "route", w.maxEvents*w.spec.StepsPerEvent
		if policy == byHint {
			req.Output.Hint = events * w.spec.StepsPerEvent
		}
		grant, err = p.Acquire(ctx, req)
		id = grant.Replica.ID
	}
	out.mu.Lock()
	out.sent++
	if err != nil {
		out.refused++
	}
	out.mu.Unlock()
	if err != nil {
		return
	}
	e, ended, heard, first, late := g.engines[id], make(chan struct{}), now, time.Duration(0), false
	e.submit(&pacedRequest{tokens: tokens, events: events, event: func(last bool) {
		if grant.Replica.ID != "" {
			p.EventArrived(&grant)
		}
		late = late || time.Since(heard) > w.target
		heard = time.Now()
		if first == 0 {
			first = time.Since(now)
		}
		if last {
			close(ended)
		}
	}})
	<-ended
	if grant.Replica.ID != "" {
		p.Release(&grant, placer.Completed)
	}
	out.mu.Lock()
	defer out.mu.Unlock()
	g.own[entry][id]--
	out.firstEvents = append(out.firstEvents, first)
	if e.pace > 1 {
		out.slow++
	}
	if late {
		out.late++
		if e.pace > 1 {
			out.lateSlow++
		}
	}
}

// deployment is a system of 65 entries and 45 engines of which a fifth is slow.
func deployment(load float64) pacedWorkload {
	return pacedWorkload{
		entries: 65, engines: 45, slots: 12, target: 400 * time.Millisecond, slowShare: 0.2, slowPace: 2.5, meanTokens: 900, meanEvents: 18, sigma: 1.4, load: load, seconds: 6, maxEvents: 53,
		spec: filbertstile.EngineSpec{Model: model, PrefillTokensPerSecond: 19100, StepTime: 8870 * time.Microsecond, StepTimePerRequest: 39 * time.Microsecond, StepsPerEvent: 5},
	}
}

func (r *pacedResults) String() string {
	return fmt.Sprintf("%5d sent, %4.1f%% refused, %4.1f%% late (%d of %d on slow engines), %4.1f%% on slow engines, first event p50 %v p99 %v", r.sent, 100*float64(r.refused)/float64(r.sent),
		100*r.lateShare(), r.lateSlow, r.late, 100*float64(r.slow)/float64(r.sent), r.quantile(0.5).Round(time.Millisecond), r.quantile(0.99).Round(time.Millisecond))
}

// runs adds up the results of the workload with several seeds.
func (w pacedWorkload) runs(t *testing.T, policy pacedPolicy) *pacedResults {
	out := &pacedResults{}
	for seed := range uint64(3) {
		out.add(w.run(t, policy, seed))
	}
	t.Logf("%.1f of capacity, %-13s %v", w.load, policy, out)
	return out
}

// If a fifth of the engines is slow, they must get so little that few responses are late, fewer
// than without the paces or with simple policies, and that no more requests are lost under
// overload. If they claim to work as specified, what is seen of them must help.
func TestSlowEnginesGetWhatTheyAnswerInTime(t *testing.T) {
	is := is.New(t)
	for _, load := range []float64{0.2, 0.6, 1.2} {
		w := deployment(load)
		random, own, without, with, seen := w.runs(t, byRandom), w.runs(t, byOwnCount), w.runs(t, byCount), w.runs(t, byPace), w.runs(t, byObservation)
		is.True(with.lateShare() <= max(0.01, without.lateShare()/3))
		is.True(with.late < random.late && with.late < own.late)
		is.True(with.late+with.refused < without.late+without.refused)
		is.True(seen.late < without.late)
	}
}

// If all engines work as specified, requests must be served as well as if none reported a pace.
func TestNominalPacesChangeLittle(t *testing.T) {
	is := is.New(t)
	w := deployment(1.2)
	w.slowShare = 0
	without, with := w.runs(t, byCount), w.runs(t, byPace)
	lost := func(r *pacedResults) float64 { return float64(r.late+r.refused) / float64(r.sent) }
	is.True(math.Abs(lost(with)-lost(without)) < 0.01)
}

// pacedDeployment is a kind of engine with the target latency of its requests.
type pacedDeployment struct {
	target, step time.Duration
	steps, slots int
	entries      []int
}

// pacedDeployments are kinds that meet the target for late responses, and pacedLimits kinds that do
// not, which only one number of entries is modelled for, as they take long.
var (
	pacedDeployments = []pacedDeployment{
		{400 * time.Millisecond, 9 * time.Millisecond, 5, 4, []int{1, 12, 65, 100}},
		{400 * time.Millisecond, 9 * time.Millisecond, 5, 12, []int{1, 12, 65, 100}},
		{2 * time.Second, 50 * time.Millisecond, 5, 12, []int{1, 12, 65, 100}},
	}
	pacedLimits = []pacedDeployment{
		{100 * time.Millisecond, 5 * time.Millisecond, 2, 12, []int{65}},
		{400 * time.Millisecond, 9 * time.Millisecond, 5, 64, []int{65}},
		{2 * time.Second, 50 * time.Millisecond, 5, 64, []int{65}},
	}
)

// String returns the target and the slots.
func (x pacedDeployment) String() string { return fmt.Sprintf("%v/%dSlots", x.target, x.slots) }

// run sends requests with two spreads of outputs at 0.6 of the capacity, by the policy.
func (x pacedDeployment) run(t *testing.T, policy pacedPolicy) *pacedResults {
	t.Helper()
	var out pacedResults
	for _, entries := range x.entries {
		for _, sigma := range []float64{0.7, 1.6} {
			w := deployment(0.6)
			w.target, w.spec.StepTime, w.spec.StepsPerEvent, w.slots, w.sigma, w.entries, w.seconds = x.target, x.step, x.steps, x.slots, sigma, entries, 10*x.target.Seconds()
			w.spec.PrefillTokensPerSecond = w.meanTokens / (x.target.Seconds() / 8.5)
			out.add(w.run(t, policy, 1))
		}
	}
	t.Logf("%s: %v, p99/p50 %.1f", policy, &out, out.tail())
	return &out
}

// At most 1 in 100 responses must be late with any spread of outputs, whatever the steps and the number of
// entries, and fewer than without the paces.
func TestLateAcrossDeployments(t *testing.T) {
	for _, x := range pacedDeployments {
		t.Run(x.String(), func(t *testing.T) {
			is := is.New(t)
			with, without := x.run(t, byPace), x.run(t, byCount)
			is.True(with.lateShare() <= 0.01)
			is.True(with.late < without.late && with.tail() < without.tail())
		})
	}
	for _, x := range pacedLimits {
		t.Run(x.String(), func(t *testing.T) { is.New(t).True(x.run(t, byPace).late < x.run(t, byCount).late) })
	}
}

// The same target for late responses must hold with short targets and with many slots.
func TestLateWithShortTargetsAndManySlots(t *testing.T) {
	for _, x := range pacedLimits {
		t.Run(x.String(), func(t *testing.T) { is.New(t).True(x.run(t, byPace).lateShare() <= 0.01) })
	}
}

// One in a hundred first events may come three times later than half of them.
func TestTailOfFirstEvents(t *testing.T) {
	for _, x := range append(pacedDeployments, pacedLimits...) {
		t.Run(x.String(), func(t *testing.T) { is.New(t).True(x.run(t, byPace).tail() <= 3) })
	}
}

// Entries that share many engines must not choose the same one before they know of one another's
// placements: without a cost by turn, 3.1 in 100 responses were late.
func TestEntriesChooseDifferentEngines(t *testing.T) {
	is := is.New(t)
	x := pacedDeployments[1]
	x.entries = []int{7}
	is.True(x.run(t, byPace).lateShare() <= 0.01)
}
