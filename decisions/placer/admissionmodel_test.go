package placer_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/placer"
	"filbertstile.example/filbertstile/rigs/batcher"
)

// competing are the routes of the model, with their share of the requests by time.
var competing = []competingRoute{
	{name: "urgent", priority: 0, target: 400 * time.Millisecond, tokens: 1290, events: 21, perSecond: 247},
	{name: "normal", priority: 1, target: 400 * time.Millisecond, tokens: 787, events: 21, perSecond: 297},
	{name: "batch", priority: 2, target: 800 * time.Millisecond, tokens: 607, events: 10, perSecond: 209},
}

type competingRoute struct {
	name      string
	priority  int
	target    time.Duration
	tokens    float64
	events    float64
	perSecond float64
}

// competingEngines is the number of engines that bear about 3/4 of the rates above.
const competingEngines = 58

func competingSpec() filbertstile.EngineSpec {
	return filbertstile.EngineSpec{Model: model, PrefillTokensPerSecond: 30600, StepTime: 6730 * time.Microsecond, StepTimePerRequest: 22 * time.Microsecond, StepsPerEvent: 7}
}

// competition is a run of the model: groups of entries that share engines and exchange their
// loads in messages that are late and partly lost.
type competition struct {
	entries int
	engines int
	// load is the rate of the requests as a multiple of what the engines bear.
	load    float64
	seconds float64
	// bursts multiplies the rates of the least urgent route by 2.5, and then that of the most
	// urgent by 1.7, each for a fifth of the time.
	bursts bool
	// only is the name of the only route with requests; empty means all.
	only string
	// retries is the number of times that a caller comes back after a refusal.
	retries int
	// skew is the share by which every other entry of a group gets fewer requests.
	skew float64
	// loss is the share of the messages that are lost, and maxAge the age of a message as it
	// arrives, at least 50 ms.
	loss   float64
	maxAge time.Duration
	// fault is called in the middle of the run.
	fault func(c *competitionRun)
	// unprioritized turns the admission by priority off.
	unprioritized bool
	seed          uint64
}

// tally counts the requests of a route.
type tally struct {
	sent, inTime, retriedInTime, late, refusals, accepted int
	// largeSent and largeInTime are those with prompts of at least twice the mean.
	largeSent, largeInTime int
	starts                 []time.Duration
}

func (t *tally) share() float64 { return float64(t.inTime) / float64(max(1, t.sent)) }
func (t *tally) p95() time.Duration {
	if len(t.starts) == 0 {
		return 0
	}
	slices.Sort(t.starts)
	return t.starts[len(t.starts)*95/100]
}

type competitionRun struct {
	competition
	placers []*placer.Placer
	fleets  []placer.Fleet
	dead    []atomic.Bool
	engine  map[string]*batcher.Engine
	rng     *rand.Rand
	started time.Time

	mu      sync.Mutex
	tallies map[string]*tally
	reasons map[string]int
}

func (c competition) run(t *testing.T) *competitionRun {
	t.Helper()
	// On several processors, goroutines that wake at the same virtual time run in any order, and the
	// figures of a seed vary.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	x := &competitionRun{competition: c, engine: make(map[string]*batcher.Engine), tallies: make(map[string]*tally), reasons: make(map[string]int), rng: rand.New(rand.NewPCG(c.seed, 7))}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		x.started = time.Now()
		for _, r := range competing {
			x.tallies[r.name] = &tally{}
		}
		x.build(ctx)
		go x.reportLoads(ctx)
		go x.exchange(ctx)
		if c.fault != nil {
			time.AfterFunc(time.Duration(c.seconds/2*float64(time.Second)), func() { c.fault(x) })
		}
		var wg sync.WaitGroup
		for _, r := range competing {
			if c.only == "" || c.only == r.name {
				wg.Go(func() { x.send(ctx, r, rand.New(rand.NewPCG(c.seed, uint64(r.priority)))) })
			}
		}
		wg.Wait()
	})
	return x
}

func (x *competitionRun) groups() int { return (x.entries + 7) / 8 }

func (x *competitionRun) build(ctx context.Context) {
	engine := competingSpec()
	x.dead = make([]atomic.Bool, x.entries)
	var list []filbertstile.Replica
	for i := range x.engines {
		id := fmt.Sprintf("r%03d", i)
		list = append(list, filbertstile.Replica{ID: id, Service: model, Address: fmt.Sprintf("10.0.%d.%d:1", i/256, i%256), Domain: "ab"[i/x.groups()%2 : i/x.groups()%2+1], Slots: 12, Version: 1})
		e := batcher.New(batcher.Config{Spec: engine, Slots: 12, MaxQueued: 32})
		x.engine[id] = e
		go e.Run(ctx)
	}
	for i := range x.entries {
		f := placer.Fleet{
			OutOfService: map[string]bool{}, Regions: map[string]string{"a": "a", "b": "a"}, Entries: x.entries,
			Pools: filbertstile.NewTable(filbertstile.PoolSpec{Service: model, Engine: &engine}), Replicas: filbertstile.NewTable(list...),
		}
		if !x.unprioritized {
			f.Priorities = map[string][]int{model: {0, 1, 2}}
		}
		if x.groups() > 1 {
			f.GroupReplicas = make(map[string]bool)
			for j, r := range list {
				if j%x.groups() == i%x.groups() {
					f.GroupReplicas[r.ID] = true
				}
			}
		}
		for j := range x.entries {
			if j%x.groups() == i%x.groups() {
				f.GroupEntries++
			}
		}
		p := placer.New(placer.Config{Self: fmt.Sprint(i), Region: "a", Seed: x.seed + uint64(i), ColdBurst: 1.5, ColdSlack: 5})
		p.SetFleet(time.Now(), f)
		x.placers, x.fleets = append(x.placers, p), append(x.fleets, f)
	}
	x.retainPeers()
}

// retainPeers tells the entries which others of their group are live.
func (x *competitionRun) retainPeers() {
	for i, p := range x.placers {
		var peers []filbertstile.Member
		for j := range x.placers {
			if j != i && j%x.groups() == i%x.groups() && !x.dead[j].Load() {
				peers = append(peers, filbertstile.Member{Name: fmt.Sprint(j)})
			}
		}
		p.RetainPeers(time.Now(), peers)
	}
}

// reportLoads reports the engines' loads from 200 ms earlier to the entries of their group. Each report
// has a time of its own, as synctest fires timers that are due at the same time in random order.
func (x *competitionRun) reportLoads(ctx context.Context) {
	for ctx.Err() == nil {
		for i, r := range x.fleets[0].Replicas.All() {
			running, queued := x.engine[r.ID].Load()
			l := placer.ReplicaLoad{Running: running, Waiting: queued, Version: 1}
			time.AfterFunc(200*time.Millisecond+time.Duration(i)*time.Microsecond, func() {
				for j, p := range x.placers {
					if j%x.groups() == i%x.groups() {
						p.SetReplicaLoad(time.Now(), r.Address, l)
					}
				}
			})
		}
		pause(ctx, 400*time.Millisecond)
	}
}

// exchange sends the loads of each entry to the others of its group.
func (x *competitionRun) exchange(ctx context.Context) {
	rng := rand.New(rand.NewPCG(x.seed, 9))
	// Not at the time of a report.
	pause(ctx, 25*time.Millisecond)
	for n := 0; ctx.Err() == nil; n++ {
		for i, p := range x.placers {
			if x.dead[i].Load() {
				continue
			}
			all := n%10 == i%10
			loads := make(map[uint32]placer.EntryLoad)
			for id, l := range p.LocalLoads(all) {
				loads[placer.HashOf(id)] = l
			}
			demands, _ := p.Demands(time.Now())
			withDemands := n%4 == i%4
			if len(loads) == 0 && !all && !withDemands {
				continue
			}
			for j, other := range x.placers {
				if j == i || j%x.groups() != i%x.groups() || rng.Float64() < x.loss {
					continue
				}
				age := max(0, time.Duration(rng.Int64N(max(1, int64(x.maxAge-50*time.Millisecond)))))
				time.AfterFunc(age, func() {
					other.SetPeerLoads(time.Now(), fmt.Sprint(i), loads, all)
					if withDemands {
						other.SetPeerDemands(fmt.Sprint(i), demands)
					}
				})
			}
		}
		pause(ctx, 50*time.Millisecond)
	}
}

// pause waits for the time or the end of ctx.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// rate returns the requests per second of the route after the time since the start. It rises
// within the first second.
func (x *competitionRun) rate(r competingRoute, since time.Duration) float64 {
	out := r.perSecond * float64(x.engines) / competingEngines * 0.75 * x.load * min(1, max(0.05, since.Seconds()))
	if at := since.Seconds() / x.seconds; x.bursts && (r.priority == 2 && at >= 0.2 && at < 0.4) {
		out *= 2.5
	} else if x.bursts && r.priority == 0 && at >= 0.6 && at < 0.8 {
		out *= 1.7
	}
	return out
}

// send sends the requests of a route.
func (x *competitionRun) send(ctx context.Context, r competingRoute, rng *rand.Rand) {
	var wg sync.WaitGroup
	for time.Since(x.started).Seconds() < x.seconds {
		rate := x.rate(r, time.Since(x.started))
		time.Sleep(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		tokens := int(r.tokens * math.Exp(0.6*rng.NormFloat64()-0.18))
		events := 1 + int(rng.ExpFloat64()*(r.events-0.5))
		seed := rng.Uint64()
		wg.Go(func() { x.call(ctx, r, tokens, min(events, 120), rand.New(rand.NewPCG(seed, 1))) })
	}
	wg.Wait()
}

// entry returns the entry that a request goes to.
func (x *competitionRun) entry(rng *rand.Rand) int {
	for {
		i := rng.IntN(len(x.placers))
		if !x.dead[i].Load() && (x.skew == 0 || rng.Float64() >= x.skew*float64(i/x.groups()%2)) {
			return i
		}
	}
}

// call sends a request, and sends it again after a refusal.
func (x *competitionRun) call(ctx context.Context, r competingRoute, tokens, events int, rng *rand.Rand) {
	const timeout = 6 * time.Second
	first := time.Now()
	large := tokens >= int(2*r.tokens)
	t := x.tallies[r.name]
	x.mu.Lock()
	t.sent++
	if large {
		t.largeSent++
	}
	x.mu.Unlock()
	for attempt := 0; attempt <= x.retries; attempt++ {
		i := x.entry(rng)
		now := time.Now()
		req := placer.Request{
			Service: model, Route: r.name, Priority: r.priority, Arrived: now, TargetLatency: r.target, Deadline: first.Add(timeout),
			PromptTokens: tokens, Waited: now.Sub(first), Repeatable: true,
		}
		g, err := x.placers[i].Acquire(ctx, req)
		var rejected placer.ErrRejected
		if errors.As(err, &rejected) {
			x.mu.Lock()
			t.refusals++
			x.reasons[fmt.Sprint(r.priority, " ", rejected.Reason[:min(len(rejected.Reason), 20)])]++
			x.mu.Unlock()
			time.Sleep(min(rejected.RetryAfter, time.Until(req.Deadline)/3))
			continue
		}
		if err != nil {
			return
		}
		start := x.serve(i, &g, tokens, events, now)
		x.mu.Lock()
		defer x.mu.Unlock()
		t.accepted++
		t.starts = append(t.starts, start)
		switch {
		case start > r.target:
			t.late++
		case attempt == 0:
			t.inTime++
			if large {
				t.largeInTime++
			}
		default:
			t.retriedInTime++
		}
		return
	}
}

// serve runs the request at its engine, and returns the time to its first event.
func (x *competitionRun) serve(entry int, g *placer.Grant, tokens, events int, arrived time.Time) time.Duration {
	p, ended, start := x.placers[entry], make(chan struct{}), time.Duration(0)
	ok := x.engine[g.Replica.ID].Submit(&batcher.Request{PromptTokens: tokens, Events: events, OnEvent: func(n int) {
		if n == 1 {
			start = time.Since(arrived)
			p.EventArrived(g)
		}
		if n == events {
			// Here, and not after the wait, as requests that end at the same time would be released in
			// any order.
			p.Release(g, placer.Completed)
			close(ended)
		}
	}})
	if !ok {
		p.Release(g, placer.NotRun)
		return time.Hour
	}
	<-ended
	return start
}

// late returns the share of the accepted requests whose response began late.
func (x *competitionRun) late() float64 {
	late, accepted := 0, 0
	for _, t := range x.tallies {
		late, accepted = late+t.late, accepted+t.accepted
	}
	return float64(late) / float64(max(1, accepted))
}

// String returns the figures by priority.
func (x *competitionRun) String() string {
	out := fmt.Sprintf("%d entries, %d engines, load %.1f, bursts %v:", x.entries, x.engines, x.load, x.bursts)
	total := 0
	for _, r := range competing {
		t := x.tallies[r.name]
		total += t.inTime
		out += fmt.Sprintf("\n  %d: sent %5d in time %.2f (large %.2f) on retry %.2f late %.3f refusals %.2f p95 %v", r.priority, t.sent, t.share(), float64(t.largeInTime)/float64(max(1, t.largeSent)),
			float64(t.retriedInTime)/float64(max(1, t.sent)), float64(t.late)/float64(max(1, t.accepted)), float64(t.refusals)/float64(max(1, t.sent)), t.p95().Round(time.Millisecond))
	}
	return out + fmt.Sprintf("\n  in time %d %v", total, x.reasons)
}
