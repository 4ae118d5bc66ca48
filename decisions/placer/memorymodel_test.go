package placer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"filbertstile.example/filbertstile/decisions/placer"
)

// memoryWorld is a group of entries and its replicas. Each entry tells the others of its loads every 50 ms.
type memoryWorld struct {
	entries  []*placer.Placer
	capacity int

	mu sync.Mutex
	// held is the number of tokens in the memory of each replica, and peak its maximum.
	held         map[string]int
	peak, placed int
}

func newMemoryWorld(entries, replicas, capacity int) *memoryWorld {
	w := &memoryWorld{capacity: capacity, held: make(map[string]int)}
	f := memoryFleet(capacity)
	f.Replicas, f.Entries = fleet(replicas, 12, entries, 0).Replicas, entries
	for i := range entries {
		p := placer.New(placer.Config{Self: fmt.Sprint(i), Region: "a", Seed: uint64(i)})
		for j := range entries {
			if j != i {
				p.SetPeerLoads(time.Now(), fmt.Sprint(j), nil, true)
			}
		}
		p.SetFleet(time.Now(), f)
		w.entries = append(w.entries, p)
	}
	return w
}

// shareLoads sends the loads of an entry to the others until the context ends.
func (w *memoryWorld) shareLoads(ctx context.Context, from int) {
	for k := 0; ctx.Err() == nil; k++ {
		time.Sleep(50 * time.Millisecond)
		all := k%10 == 0
		loads := make(map[uint32]placer.EntryLoad)
		for id, l := range w.entries[from].LocalLoads(all) {
			loads[placer.HashOf(id)] = l
		}
		for i, p := range w.entries {
			if i != from {
				p.SetPeerLoads(time.Now(), fmt.Sprint(from), loads, all)
			}
		}
	}
}

func (w *memoryWorld) hold(replica string, tokens int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.held[replica] += tokens
	w.peak = max(w.peak, w.held[replica])
	if tokens > 0 {
		w.placed++
	}
}

// serve runs a request at an entry.
func (w *memoryWorld) serve(ctx context.Context, entry, tokens int) {
	r := memoryRequest(tokens)
	r.PromptTokens = tokens / 4
	g, err := w.entries[entry].Acquire(ctx, r)
	if err != nil {
		return
	}
	w.hold(g.Replica.ID, tokens)
	time.Sleep(600 * time.Millisecond)
	w.hold(g.Replica.ID, -tokens)
	w.entries[entry].Release(&g, placer.Completed)
}

// TestEntriesShareMemory guards against entries that send requests to the same replica before they learn of
// one another's, so that these together exceed its memory, and against memory that stays unused. One
// replica holds six to twelve of the largest requests.
func TestEntriesShareMemory(t *testing.T) {
	const runFor = 20 * time.Second
	for _, c := range []struct{ rate, capacity, minPlaced int }{{60, 20000, 1000}, {60, 40000, 1150}, {120, 20000, 1300}, {300, 20000, 1600}, {300, 40000, 2200}} {
		t.Run(fmt.Sprintf("%d requests/s, %d tokens", c.rate, c.capacity), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				w := newMemoryWorld(7, 5, c.capacity)
				for i := range w.entries {
					go w.shareLoads(ctx, i)
				}
				rng := rand.New(rand.NewPCG(1, 1))
				for end := time.Now().Add(runFor); time.Now().Before(end); {
					time.Sleep(time.Duration(rng.ExpFloat64() * float64(time.Second) / float64(c.rate)))
					go w.serve(ctx, rng.IntN(len(w.entries)), 300+rng.IntN(2800))
				}
				time.Sleep(3 * time.Second)
				cancel()
				time.Sleep(time.Second)
				t.Logf("peak %.2f of the memory, %d requests placed", float64(w.peak)/float64(c.capacity), w.placed)
				if w.peak > c.capacity || w.placed < c.minPlaced {
					t.Errorf("peak %d of %d tokens, %d requests placed, want at least %d", w.peak, c.capacity, w.placed, c.minPlaced)
				}
			})
		})
	}
}
