package placer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile/decisions/placer"
)

// sharedGroup is a group of entries with a few replicas, whose entries tell one another their loads
// and counts every 50 ms.
type sharedGroup struct {
	placers []*placer.Placer
	rng     *rand.Rand
	// lost is the share of messages that are lost, and silent the number of entries that send none.
	lost   float64
	silent int
	// sent holds the times of the placements, by replica.
	sent map[string][]time.Time
}

// newSharedGroup returns a group in which all replicas are no longer new.
func newSharedGroup(entries, replicas int, coldRate float64) *sharedGroup {
	g := &sharedGroup{rng: rand.New(rand.NewPCG(1, 2)), sent: make(map[string][]time.Time)}
	f := fleet(replicas, 400, 9*entries, coldRate)
	f.GroupReplicas, f.GroupEntries = make(map[string]bool), entries
	for _, r := range f.Replicas.All() {
		f.GroupReplicas[r.ID] = true
	}
	for i := range entries {
		p := placer.New(placer.Config{Self: fmt.Sprint(i), Region: "a", Seed: uint64(i), ColdBurst: 1.5, ColdSlack: 5})
		p.SetFleet(time.Now(), f)
		g.placers = append(g.placers, p)
	}
	time.Sleep(11 * time.Second)
	return g
}

// exchange sends the messages of all entries.
func (g *sharedGroup) exchange(all bool) {
	now := time.Now()
	for i, p := range g.placers {
		loads, counts := make(map[uint32]placer.EntryLoad), make(map[uint32]uint32)
		for id, l := range p.LocalLoads(all) {
			loads[placer.HashOf(id)] = l
		}
		for id, n := range p.LocalCounts(all) {
			counts[placer.HashOf(id)] = n
		}
		for j, to := range g.placers {
			if i == j || i < g.silent || g.rng.Float64() < g.lost {
				continue
			}
			to.SetPeerLoads(now, fmt.Sprint(i), loads, all)
			to.SetPeerCounts(now, fmt.Sprint(i), counts, all)
		}
	}
}

// serve lets the first entry get firstRate requests per second and each other one rate, and returns
// the number of requests of the first one that were placed at once, and of all that it got.
func (g *sharedGroup) serve(t *testing.T, d time.Duration, firstRate, rate float64) (placed, got int) {
	const step = 10 * time.Millisecond
	var active []func()
	for tick := range int(d / step) {
		if tick%5 == 0 {
			g.exchange(tick%50 == 0)
		}
		for i, p := range g.placers {
			perSecond := rate
			if i == 0 {
				perSecond = firstRate
			}
			if g.rng.Float64() >= perSecond*step.Seconds() {
				continue
			}
			req := request(100)
			req.Arrived, req.TargetLatency = req.Arrived.Add(-5*time.Second), 10*time.Second // its queue timeout has passed
			grant, err := p.Acquire(t.Context(), req)
			if i == 0 {
				got++
			}
			if err != nil {
				continue
			}
			if i == 0 {
				placed++
			}
			g.sent[grant.Replica.ID] = append(g.sent[grant.Replica.ID], time.Now())
			active = append(active, func() { p.Release(&grant, placer.Completed) })
		}
		if n := len(active); n > 20 {
			for _, end := range active[:n-20] {
				end()
			}
			active = active[n-20:]
		}
		time.Sleep(step)
	}
	return placed, got
}

// mostPerSecond returns the largest number of requests to one replica within a second.
func (g *sharedGroup) mostPerSecond() int {
	most := 0
	for _, sent := range g.sent {
		from := 0
		for to, at := range sent {
			for at.Sub(sent[from]) > time.Second {
				from++
			}
			most = max(most, to-from+1)
		}
	}
	return most
}

// TestUnusedSharesOfColdLimit guards against an entry that refuses requests, or sends them to a
// loaded replica, as its equal share of the limit for cold replicas is used up, while the others
// use little of theirs. The limit must hold over all entries.
func TestUnusedSharesOfColdLimit(t *testing.T) {
	const entries, replicas, coldRate = 7, 5, 14.0
	for _, c := range []struct {
		name            string
		lost            float64
		silent          int
		firstRate, rate float64
		minPlaced       float64
	}{
		{"one entry has most requests", 0, 0, 24, 4, 0.95},
		{"one entry has most requests, and messages are lost", 0.2, 0, 24, 4, 0.9},
		{"all have more than their share", 0, 0, 20, 20, 0},
		{"all have more than their share, and messages are lost", 0.2, 0, 20, 20, 0},
		{"all have more than their share, and three are not heard", 0, 3, 20, 20, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newSharedGroup(entries, replicas, coldRate)
				g.lost, g.silent = c.lost, c.silent
				placed, got := g.serve(t, 20*time.Second, c.firstRate, c.rate)
				t.Logf("%d of %d placed, at most %d a second at one replica", placed, got, g.mostPerSecond())
				is.True(float64(placed) >= c.minPlaced*float64(got))
				is.True(float64(g.mostPerSecond()) <= coldRate*1.5+5)
			})
		})
	}
}
