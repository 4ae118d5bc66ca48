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

func fleet(replicas, slots, entries int, coldRate float64) placer.Fleet {
	f := placer.Fleet{Out: map[string]bool{}, Regions: map[string]string{"a": "a", "b": "b"}, Entries: entries}
	engine := spec()
	f.Pools = filbertstile.NewTable(filbertstile.PoolSpec{Service: model, Engine: &engine, ColdRequestsPerSecond: coldRate})
	var rows []filbertstile.Replica
	for i := range replicas {
		rows = append(rows, filbertstile.Replica{
			ID: fmt.Sprintf("r%02d", i), Service: model, Address: fmt.Sprintf("10.0.0.%d:1", i), Domain: "a", Slots: slots, Version: 1,
		})
	}
	f.Replicas = filbertstile.NewTable(rows...)
	return f
}

func query(tokens int) placer.Query {
	now := time.Now()
	return placer.Query{Service: model, Arrived: now, Objective: 400 * time.Millisecond, Deadline: now.Add(6 * time.Second), Tokens: tokens}
}

// withPlacer hands over a placer in virtual time.
func withPlacer(t *testing.T, f func(ctx context.Context, is *is.I, p *placer.Placer)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f(t.Context(), is.New(t), placer.New(placer.Config{Region: "a", Seed: 1, ColdBurst: 1.5, ColdSlack: 5}))
	})
}

func TestOthersCount(t *testing.T) {
	withPlacer(t, func(ctx context.Context, is *is.I, p *placer.Placer) {
		p.SetFleet(time.Now(), fleet(2, 16, 2, 0))
		p.SetOthers(time.Now(), "entry-2", map[uint32]placer.Hand{placer.HashOf("r00"): {Requests: 2, Tokens: 4000}}, true)
		for range 20 {
			g, err := p.Acquire(ctx, query(100))
			is.NoErr(err)
			is.Equal(g.Replica.ID, "r01")
			p.Release(&g, placer.Answered)
		}
		p.KeepOthers(time.Now(), nil)
		seen := make(map[string]bool)
		for range 40 {
			g, err := p.Acquire(ctx, query(100))
			is.NoErr(err)
			seen[g.Replica.ID] = true
			p.Release(&g, placer.Answered)
		}
		is.Equal(len(seen), 2)
	})
}

func TestRefusedWithinPatience(t *testing.T) {
	withPlacer(t, func(ctx context.Context, is *is.I, p *placer.Placer) {
		p.SetFleet(time.Now(), fleet(1, 2, 1, 0))
		for range 2 {
			_, err := p.Acquire(ctx, query(100))
			is.NoErr(err)
		}
		started := time.Now()
		_, err := p.Acquire(ctx, query(100))
		var room placer.ErrNoRoom
		is.True(errors.As(err, &room))
		is.True(room.Fitting)
		is.True(room.RetryAfter > 0 && room.RetryAfter <= 2*time.Second)
		is.True(time.Since(started) <= 250*time.Millisecond) // well before the objective
	})
}

func TestNoReplicaFits(t *testing.T) {
	withPlacer(t, func(ctx context.Context, is *is.I, p *placer.Placer) {
		f := fleet(1, 16, 1, 0)
		f.Out["a"] = true
		p.SetFleet(time.Now(), f)
		started := time.Now()
		_, err := p.Acquire(ctx, query(100))
		var room placer.ErrNoRoom
		is.True(errors.As(err, &room))
		is.True(!room.Fitting)
		is.Equal(time.Since(started), time.Duration(0)) // at once
	})
}

func TestOldVersionGetsNothing(t *testing.T) {
	withPlacer(t, func(ctx context.Context, is *is.I, p *placer.Placer) {
		p.SetFleet(time.Now(), fleet(2, 16, 1, 0))
		q := query(100)
		q.Floor.Version = 2
		_, err := p.Acquire(ctx, q)
		is.True(err != nil)
		p.Report(time.Now(), "10.0.0.1:1", placer.Load{Version: 2})
		g, err := p.Acquire(ctx, q)
		is.NoErr(err)
		is.Equal(g.Replica.ID, "r01")
		is.Equal(g.Version, int64(0)) // its host has just told it
		p.Report(time.Now(), "10.0.0.1:1", placer.Load{Version: 2, Loading: true})
		_, err = p.Acquire(ctx, q)
		is.True(err != nil)
	})
}

// TestNewerVersionThanNeeded has replicas run a version after the one that must
// be in force: they must be asked for their own, as they refuse any other.
func TestNewerVersionThanNeeded(t *testing.T) {
	withPlacer(t, func(ctx context.Context, is *is.I, p *placer.Placer) {
		f := fleet(1, 16, 1, 0)
		r, _ := f.Replicas.Get("r00")
		r.Version = 3
		f.Replicas = f.Replicas.With(r)
		p.SetFleet(time.Now(), f)
		q := query(100)
		q.Floor.Version = 2
		g, err := p.Acquire(ctx, q)
		is.NoErr(err)
		is.Equal(g.Version, int64(3))
	})
}

// TestSwitchingReplicaIsNotHeld has streams cut off by the order to load: the
// replica must serve at once when it is back.
func TestSwitchingReplicaIsNotHeld(t *testing.T) {
	withPlacer(t, func(ctx context.Context, is *is.I, p *placer.Placer) {
		p.SetFleet(time.Now(), fleet(1, 16, 1, 0))
		g, err := p.Acquire(ctx, query(100))
		is.NoErr(err)
		p.Report(time.Now(), "10.0.0.0:1", placer.Load{Version: 1, Loading: true})
		is.True(p.Release(&g, placer.Broken).IsZero())
		p.Report(time.Now(), "10.0.0.0:1", placer.Load{Version: 2})
		_, err = p.Acquire(ctx, query(100))
		is.NoErr(err)
	})
}

// TestColdReplica draws entries and arrivals and counts what reaches one replica
// within any second.
func TestColdReplica(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		entries := rapid.IntRange(1, 9).Draw(rt, "entries")
		coldRate := rapid.Float64Range(5, 40).Draw(rt, "rate")
		gap := time.Duration(rapid.IntRange(1, 20).Draw(rt, "gap")) * time.Millisecond
		synctest.Test(t, func(t *testing.T) {
			ctx := t.Context()
			var sent []time.Time
			var all []*placer.Placer
			for i := range entries {
				p := placer.New(placer.Config{Region: "a", Seed: uint64(i), ColdBurst: 1.5, ColdSlack: 5})
				p.SetFleet(time.Now(), fleet(1, 1000, entries, coldRate))
				all = append(all, p)
			}
			for range 300 {
				for _, p := range all {
					q := query(0)
					q.Arrived = q.Arrived.Add(-time.Second) // it does not wait
					if g, err := p.Acquire(ctx, q); err == nil {
						sent = append(sent, time.Now())
						p.Release(&g, placer.Answered)
					}
				}
				time.Sleep(gap)
			}
			from := 0
			for to, at := range sent {
				for at.Sub(sent[from]) > time.Second {
					from++
				}
				if n := to - from + 1; float64(n) > coldRate*1.5+5 {
					rt.Fatalf("%d requests within a second, of at most %.1f", n, coldRate*1.5+5)
				}
			}
		})
	})
}

// load is a day's traffic in small.
type load struct {
	entries  int
	replicas int
	perSec   float64
	seconds  int
	// told is false for entries that do not tell each other what they have in
	// hand, and go by reports that are 200 ms old.
	told bool
}

// outcome is what callers got.
type outcome struct {
	mu      sync.Mutex
	asked   int
	inTime  int
	late    int
	refused int
}

// play sends the load through the entries' placers to engines that work as the
// users' pages say, and counts what callers get.
func play(t *testing.T, l load, seed uint64) *outcome {
	t.Helper()
	out := &outcome{}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		rng := rand.New(rand.NewPCG(seed, 2))
		f := fleet(l.replicas, 16, l.entries, 0)
		engines := make(map[string]*batcher.Engine)
		for _, r := range f.Replicas.All() {
			e := batcher.New(batcher.Config{Spec: spec(), Slots: 16, Queue: 32})
			engines[r.ID] = e
			go e.Run(ctx)
		}
		var all []*placer.Placer
		for i := range l.entries {
			p := placer.New(placer.Config{Region: "a", Seed: seed + uint64(i), ColdBurst: 1.5, ColdSlack: 5})
			p.SetFleet(time.Now(), f)
			all = append(all, p)
		}
		go reports(ctx, f, engines, all)
		if l.told {
			go shares(ctx, all)
		}
		var wg sync.WaitGroup
		gap := time.Duration(float64(time.Second) / l.perSec)
		for range int(l.perSec) * l.seconds {
			p := all[rng.IntN(len(all))]
			tokens, events := 150+int(rng.ExpFloat64()*750), min(52, 1+int(rng.ExpFloat64()*18))
			wg.Go(func() { ask(ctx, p, engines, tokens, events, out) })
			time.Sleep(time.Duration(rng.ExpFloat64() * float64(gap)))
		}
		wg.Wait()
	})
	return out
}

func ask(ctx context.Context, p *placer.Placer, engines map[string]*batcher.Engine, tokens, events int, out *outcome) {
	q := query(tokens)
	g, err := p.Acquire(ctx, q)
	out.mu.Lock()
	out.asked++
	if err != nil {
		out.refused++
	}
	out.mu.Unlock()
	if err != nil {
		return
	}
	ended := make(chan struct{})
	ok := engines[g.Replica.ID].Submit(&batcher.Request{Tokens: tokens, Events: events, Event: func(n int) {
		if n == 1 {
			p.Began(&g)
			out.mu.Lock()
			if time.Since(q.Arrived) <= q.Objective {
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
		p.Release(&g, placer.Full)
		return
	}
	<-ended
	p.Release(&g, placer.Answered)
}

// reports tells the entries the engines' loads of 200 ms before.
func reports(ctx context.Context, f placer.Fleet, engines map[string]*batcher.Engine, all []*placer.Placer) {
	before := make(map[string]placer.Load)
	for _, r := range f.Replicas.All() {
		before[r.ID] = placer.Load{Version: 1}
	}
	for ctx.Err() == nil {
		for _, r := range f.Replicas.All() {
			for _, p := range all {
				p.Report(time.Now(), r.Address, before[r.ID])
			}
			running, waiting := engines[r.ID].Load()
			before[r.ID] = placer.Load{Running: running, Waiting: waiting, Version: 1}
		}
		select {
		case <-ctx.Done():
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// shares tells each entry what the others have in hand.
func shares(ctx context.Context, all []*placer.Placer) {
	for ctx.Err() == nil {
		for i, p := range all {
			hands := make(map[uint32]placer.Hand)
			for id, h := range p.Hands(false) {
				hands[placer.HashOf(id)] = h
			}
			for j, other := range all {
				if i != j {
					other.SetOthers(time.Now(), fmt.Sprint(i), hands, false)
				}
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(25 * time.Millisecond):
		}
	}
}

// TestFullFleet plays 140 requests a second to 24 replicas, as on the users'
// days once traffic is full: nearly all must begin within their objective, and
// more of them than without the entries' word.
func TestFullFleet(t *testing.T) {
	l := load{entries: 7, replicas: 24, perSec: 140, seconds: 10, told: true}
	with := play(t, l, 1)
	l.told = false
	without := play(t, l, 1)
	t.Logf("told: %d of %d in time, %d late, %d refused; not told: %d, %d, %d", with.inTime, with.asked, with.late, with.refused, without.inTime, without.late, without.refused)
	if share := float64(with.inTime) / float64(with.asked); share < 0.97 {
		t.Errorf("%.3f of the answers began in time, want 0.97", share)
	}
	if with.inTime <= without.inTime {
		t.Errorf("%d in time, of %d where entries do not tell each other", with.inTime, without.inTime)
	}
}

// TestShortFleet plays what 14 replicas cannot do: what is answered must be
// answered in time, and the rest refused while the caller can come back.
func TestShortFleet(t *testing.T) {
	out := play(t, load{entries: 7, replicas: 14, perSec: 170, seconds: 10, told: true}, 1)
	t.Logf("%d of %d in time, %d late, %d refused", out.inTime, out.asked, out.late, out.refused)
	// Some 9 requests a second a replica are what the engines bear, by the users'
	// figures.
	if want := 9.0 * 14 * 10; float64(out.inTime) < want {
		t.Errorf("%d in time, want %.0f", out.inTime, want)
	}
}

// TestNothingBeginsTooLate has a newer version due soon: a replica of the older
// one that is busy gets nothing any more that might begin after that.
func TestNothingBeginsTooLate(t *testing.T) {
	withPlacer(t, func(ctx context.Context, is *is.I, p *placer.Placer) {
		p.SetFleet(time.Now(), fleet(1, 16, 1, 0))
		asked := func(due time.Duration) error {
			q := query(900)
			q.Objective = 5 * time.Second
			q.Floor = placer.Floor{Version: 1, Next: 2, NextAt: time.Now().Add(due)}
			ctx, cancel := context.WithTimeout(ctx, time.Millisecond)
			defer cancel()
			_, err := p.Acquire(ctx, q)
			return err
		}
		is.NoErr(asked(700 * time.Millisecond)) // it is idle
		for range 2 {
			is.NoErr(asked(time.Minute))
		}
		// It may be full by the time that the request arrives, as the hunts showed.
		is.True(asked(1500*time.Millisecond) != nil)
		for range 5 {
			is.NoErr(asked(time.Minute))
		}
		is.True(asked(2*time.Second) != nil) // seven prompts are read before
		p.Report(time.Now(), "10.0.0.0:1", placer.Load{Version: 2, Running: 10})
		is.NoErr(asked(700 * time.Millisecond))
	})
}

// TestOtherGroupsOnlyWhereNoneFits has two groups: the entry stays with the
// replicas of its own while one of them may run the request, full or not.
func TestOtherGroupsOnlyWhereNoneFits(t *testing.T) {
	withPlacer(t, func(ctx context.Context, is *is.I, p *placer.Placer) {
		f := fleet(4, 4, 12, 0) // unheard entries count as three, so that two requests fill a replica
		f.Own, f.Near = map[string]bool{"r00": true, "r01": true}, 6
		p.SetFleet(time.Now(), f)
		used := make(map[string]int)
		for range 4 {
			g, err := p.Acquire(ctx, query(100))
			is.NoErr(err)
			used[g.Replica.ID]++
		}
		is.Equal(used, map[string]int{"r00": 2, "r01": 2})
		var none placer.ErrNoRoom
		_, err := p.Acquire(ctx, query(100))
		is.True(errors.As(err, &none))
		for _, id := range []string{"r00", "r01"} {
			x, _ := f.Replicas.Get(id)
			x.Leaving = true
			f.Replicas = f.Replicas.With(x)
		}
		p.SetFleet(time.Now(), f)
		g, err := p.Acquire(ctx, query(100))
		is.NoErr(err)
		is.True(!f.Own[g.Replica.ID])
	})
}

// TestColdShareOfAGroup has the entries of a group share a cold replica's rate
// among themselves, and not with all entries of the system.
func TestColdShareOfAGroup(t *testing.T) {
	withPlacer(t, func(ctx context.Context, is *is.I, p *placer.Placer) {
		const rate, entries, near = 17, 44, 8
		f := fleet(1, 400, entries, rate)
		f.Own, f.Near = map[string]bool{"r00": true}, near
		p.SetFleet(time.Now(), f)
		placed := 0
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			asked, cancel := context.WithTimeout(ctx, time.Millisecond)
			if g, err := p.Acquire(asked, query(1)); err == nil {
				p.Release(&g, placer.Answered)
				placed++
			}
			cancel()
		}
		is.True(placed*near <= 10*(rate*3/2+5)) // the bound of a cold replica
		is.True(placed*entries > 10*rate)       // an entry of 44 would have less
	})
}

// TestOthersCountAsToldLast compares the running sum of what entries tell with
// what each told last.
func TestOthersCountAsToldLast(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := placer.New(placer.Config{Region: "a", Seed: 1})
		p.SetFleet(time.Now(), fleet(3, 16, 3, 0))
		told := map[string]map[string]int{"e1": {}, "e2": {}}
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			entry := rapid.SampledFrom([]string{"e1", "e2"}).Draw(rt, "entry")
			all := rapid.Bool().Draw(rt, "all")
			if all {
				told[entry] = make(map[string]int)
			}
			hands := make(map[uint32]placer.Hand)
			for _, id := range rapid.SliceOfDistinct(rapid.SampledFrom([]string{"r00", "r01", "r02"}), rapid.ID).Draw(rt, "replicas") {
				n := rapid.IntRange(0, 5).Draw(rt, "requests")
				hands[placer.HashOf(id)] = placer.Hand{Requests: n}
				told[entry][id] = n
			}
			p.SetOthers(time.Now(), entry, hands, all)
		}
		states, _ := p.Dump(time.Now())
		for _, s := range states {
			if want := told["e1"][s.Replica.ID] + told["e2"][s.Replica.ID]; s.Others != want {
				rt.Fatalf("%s: %d requests of others, want %d", s.Replica.ID, s.Others, want)
			}
		}
	})
}
