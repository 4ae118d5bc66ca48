package edgerunner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// excuseTime is the time after a cut in which the requests of an entry do not count.
const excuseTime = 3 * time.Second

// limitFaults ends, restarts and cuts off random entries of a rig.
type limitFaults struct {
	rig *limitRig
	rng *rand.Rand
	// cutUntil is the end of the cut of each entry, and excusedUntil the time until which its
	// requests do not count.
	cutUntil, excusedUntil map[int]time.Time
	incarnation            int64
}

// strike begins one fault at a random entry, and ends those whose time has come.
func (f *limitFaults) strike(t *testing.T) {
	for i, until := range f.cutUntil {
		if !time.Now().Before(until) {
			f.setCut(i, false)
			delete(f.cutUntil, i)
		}
	}
	i := f.rng.IntN(len(f.rig.edges))
	switch down := f.rig.edges[i] == nil; {
	case down:
		f.incarnation++
		f.rig.restart(t.Context(), i, f.incarnation)
	case f.rng.IntN(3) == 0 && f.alive() > 2:
		f.rig.end(i)
	case f.rng.IntN(2) == 0:
		f.setCut(i, true)
		f.cutUntil[i] = time.Now().Add(time.Duration(f.rng.IntN(4000)) * time.Millisecond)
	}
}

func (f *limitFaults) setCut(i int, cut bool) {
	f.rig.network.setCut(fmt.Sprintf("10.0.0.%d:80", i), cut)
	f.excusedUntil[i] = time.Now().Add(excuseTime)
}

func (f *limitFaults) alive() int {
	n := 0
	for _, e := range f.rig.edges {
		if e != nil {
			n++
		}
	}
	return n
}

// excuse removes the latest arrivals of entries that are or were cut off.
func (f *limitFaults) excuse() {
	l := f.rig.replicas
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := l.arrivals[:0]
	for _, a := range l.arrivals {
		var i int
		_, _ = fmt.Sscan(a.entry, &i)
		_, isCut := f.cutUntil[i]
		recent := time.Since(a.at) <= 100*time.Millisecond
		if recent && (isCut || a.at.Before(f.excusedUntil[i])) {
			continue
		}
		kept = append(kept, a)
	}
	l.arrivals = kept
}

// TestNamedLimitUnderRandomFaults guards against entries that exceed the limit of a replica
// because others end, start again or are cut off.
func TestNamedLimitUnderRandomFaults(t *testing.T) {
	for seed := range uint64(24) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, rng := is.New(t), rand.New(rand.NewPCG(seed, 1))
				entries := []int{2, 7, 12, 24}[rng.IntN(4)]
				limit := []float64{0.5, 1, 3, 10, 30}[rng.IntN(5)]
				r := newLimitRig(t.Context(), entries, limit, 0, rng.IntN(2) == 0)
				defer r.stop()
				f := &limitFaults{rig: r, rng: rng, cutUntil: make(map[int]time.Time), excusedUntil: make(map[int]time.Time), incarnation: 1}
				advance(12 * time.Second)
				r.replicas.from = time.Now()
				r.replicas.until = time.Now().Add(time.Hour)
				r.play(t.Context(), is, time.Second)
				from := time.Now()
				for range 200 { // 100 ms each
					if rng.IntN(6) == 0 {
						f.strike(t)
					}
					r.play(t.Context(), is, 100*time.Millisecond)
					f.excuse()
				}
				most := r.replicas.most(from, time.Now(), limitWindow)
				t.Logf("%d entries, limit %v: at most %d requests in %v, %d allowed", entries, limit, most, limitWindow, allowedByLimit(limit))
				is.True(most <= allowedByLimit(limit))
			})
		})
	}
}
