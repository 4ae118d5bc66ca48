package installer_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/shells/installer"
)

const chunks = 4

func chunk(version int64, n int) []byte { return fmt.Appendf(nil, "chunk %d of %d", n, version) }

func manifest(version int64) filbertstile.Manifest {
	var m filbertstile.Manifest
	for n := range chunks {
		data := chunk(version, n)
		m.Chunks = append(m.Chunks, filbertstile.ChunkRef{Digest: filbertstile.DigestOf(data), Size: len(data)})
	}
	return m
}

// fakeEngine is a model engine that loads the chunks staged at it.
type fakeEngine struct {
	mu        sync.Mutex
	staged    map[int][]byte
	version   int64
	running   int
	orders    int64
	cancelled bool
	// loaded contains the chunks as they were when the last order was accepted.
	loaded map[int]string
	// corruptOnce is the set of chunks that are corrupted the next time they are
	// staged.
	corruptOnce map[int]bool
	// loseResponse makes the next Load start the order but return an error.
	loseResponse bool
	// rotAt is when a chunk turned corrupt after it was staged, and spoilt contains those of the
	// last load that had been corrupt for more than 3 s.
	rotAt  map[int]time.Time
	spoilt []int
	// servedSpoilt is true if requests may have been sent to the engine while it ran such a load.
	servedSpoilt bool
	// served is the last version that requests may be sent to.
	served int64
}

// rot corrupts a staged chunk.
func (e *fakeEngine) rot(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staged[n], e.rotAt[n] = []byte("rotten"), time.Now()
}

// onReport records whether requests may be sent to the engine.
func (e *fakeEngine) onReport(r filbertstile.EngineReport, draining bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !draining {
		e.served = r.Version
		e.servedSpoilt = e.servedSpoilt || r.Version > 0 && len(e.spoilt) > 0
	}
}

func (e *fakeEngine) Report(context.Context) (filbertstile.EngineReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return filbertstile.EngineReport{Running: e.running, Version: e.version, Orders: e.orders}, nil
}

func (e *fakeEngine) Stage(_ context.Context, _ string, n int, data []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staged[n] = data
	delete(e.rotAt, n)
	if e.corruptOnce[n] {
		delete(e.corruptOnce, n)
		e.staged[n] = []byte("corrupt")
	}
	return nil
}

func (e *fakeEngine) Staged(_ context.Context, _ string, n int) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if data, ok := e.staged[n]; ok {
		return data, nil
	}
	return nil, filbertstile.ErrNotFound{}
}

func (e *fakeEngine) Load(_ context.Context, w filbertstile.WeightsVersion, orders int64, cancelRunning bool) (bool, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if orders != e.orders {
		return false, filbertstile.ErrConflict{}
	}
	e.spoilt = nil
	for n, at := range e.rotAt {
		if time.Since(at) > 3*time.Second {
			e.spoilt = append(e.spoilt, n)
		}
	}
	e.orders++
	e.version, e.cancelled, e.running = w.Version, cancelRunning, 0
	e.loaded = make(map[int]string)
	for n, data := range e.staged {
		e.loaded[n] = string(data)
	}
	if e.loseResponse {
		e.loseResponse = false
		return false, context.DeadlineExceeded
	}
	return true, nil
}

// withInstaller runs an installer in virtual time, with the versions that the engine
// may run, newest first. The chunks of all versions are held.
func withInstaller(t *testing.T, e *fakeEngine, wanted func() []installer.Wanted, f func(is *is.I)) {
	t.Helper()
	withInstallerHolding(t, e, wanted, func(int64) bool { return true }, f)
}

// withInstallerHolding is like withInstaller, but only the chunks of some versions are
// held.
func withInstallerHolding(t *testing.T, e *fakeEngine, wanted func() []installer.Wanted, held func(version int64) bool, f func(is *is.I)) {
	t.Helper()
	withInstallerOf(t, e, e, wanted, held, f)
}

// withInstallerOf is like withInstallerHolding, for an engine that is built on e.
func withInstallerOf(t *testing.T, engine filbertstile.Engine, e *fakeEngine, wanted func() []installer.Wanted, held func(version int64) bool, f func(is *is.I)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		e.staged, e.rotAt = make(map[int][]byte), make(map[int]time.Time)
		started := time.Now()
		i := installer.New(installer.Config{
			Engine: engine, Log: reporter.New(reporter.Config{Logger: log}), Wanted: wanted,
			Chunks: func(w filbertstile.WeightsVersion) (filbertstile.Manifest, [][]byte, bool) {
				var data [][]byte
				for n := range chunks {
					data = append(data, chunk(w.Version, n))
				}
				return manifest(w.Version), data, held(w.Version)
			},
			Clock: func() time.Duration { return time.Since(started) }, OnReport: e.onReport, MayCancelRunning: func(context.Context) bool { return true },
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { i.Run(ctx); close(done) }()
		defer func() { cancel(); <-done }()
		f(is.New(t))
	})
}

// singleVersion returns a function for Config.Wanted that lists only the version,
// without a rollout timeout.
func singleVersion(version int64) func() []installer.Wanted {
	return func() []installer.Wanted {
		return []installer.Wanted{{Weights: filbertstile.WeightsVersion{Model: "m", Version: version}}}
	}
}

// loadedIntact reports whether the engine runs the version, loaded from intact chunks.
func (e *fakeEngine) loadedIntact(version int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for n := range chunks {
		if e.loaded[n] != string(chunk(version, n)) {
			return false
		}
	}
	return e.version == version
}

// TestEngineWithoutWeightsLoadsOnce guards against an engine that gets no load order, or
// several, after it started without weights.
func TestEngineWithoutWeightsLoadsOnce(t *testing.T) {
	e := &fakeEngine{}
	withInstaller(t, e, singleVersion(1), func(is *is.I) {
		time.Sleep(time.Second)
		is.True(e.loadedIntact(1))
		is.Equal(e.orders, int64(1))
	})
}

// TestSkippedVersionLoadsIfNewerOneIsLate guards against a host that keeps waiting for
// version 3, for which it skipped version 2, although version 1 may no longer serve
// and version 3 does not arrive because the origin is unreachable. It must load
// version 2.
func TestSkippedVersionLoadsIfNewerOneIsLate(t *testing.T) {
	const rolloutTimeout = 10 * time.Second
	e := &fakeEngine{version: 1}
	started := time.Now()
	wanted := func() []installer.Wanted {
		return []installer.Wanted{
			{Weights: filbertstile.WeightsVersion{Model: "m", Version: 3}, LearnedAt: started.Add(2 * time.Second), RolloutTimeout: rolloutTimeout, MaySkip: true},
			{Weights: filbertstile.WeightsVersion{Model: "m", Version: 2}, LearnedAt: started, RolloutTimeout: rolloutTimeout, MaySkip: true},
		}
	}
	withInstallerHolding(t, e, wanted, func(version int64) bool { return version == 2 }, func(is *is.I) {
		started = time.Now()
		time.Sleep(rolloutTimeout - installer.EntryMargin - 100*time.Millisecond)
		is.Equal(e.version, int64(1))
		time.Sleep(time.Second)
		is.True(e.loadedIntact(2))
	})
}

// TestCorruptStagedChunk guards against loading chunks that were corrupted after they
// were staged.
func TestCorruptStagedChunk(t *testing.T) {
	e := &fakeEngine{corruptOnce: map[int]bool{0: true, 3: true}}
	withInstaller(t, e, singleVersion(1), func(is *is.I) {
		time.Sleep(time.Second)
		is.True(e.loadedIntact(1))
	})
}

// TestLostResponseDoesNotRepeatOrder guards against a second load order after the
// response to the first was lost although the engine had started it.
func TestLostResponseDoesNotRepeatOrder(t *testing.T) {
	e := &fakeEngine{loseResponse: true}
	withInstaller(t, e, singleVersion(1), func(is *is.I) {
		time.Sleep(5 * time.Second)
		is.True(e.loadedIntact(1))
		is.Equal(e.orders, int64(1))
	})
}

// TestSwitchWaitsForRunningRequests guards against cancelling requests too early, and
// against a switch that waits forever for requests that do not end: after drainTimeout
// they must be cancelled, so that they continue at other replicas.
func TestSwitchWaitsForRunningRequests(t *testing.T) {
	e := &fakeEngine{version: 1, running: 8}
	withInstaller(t, e, singleVersion(2), func(is *is.I) {
		time.Sleep(time.Second)
		is.Equal(e.version, int64(1))
		time.Sleep(time.Second)
		is.True(e.loadedIntact(2))
		is.True(e.cancelled)
	})
}

// TestDue guards against load orders that come too early, too late or when none is needed.
func TestDue(t *testing.T) {
	now := time.Now()
	w := installer.Wanted{Weights: filbertstile.WeightsVersion{Model: "m", Version: 2}, LearnedAt: now, RolloutTimeout: 8 * time.Second, Rank: 0.5}
	for _, c := range []struct {
		name   string
		report filbertstile.EngineReport
		held   time.Duration
		now    time.Duration
		due    bool
	}{
		{"no weights yet: loads at once", filbertstile.EngineReport{}, 3 * time.Second, 3 * time.Second, true},
		{"no second order while loading", filbertstile.EngineReport{Loading: true}, 3 * time.Second, 9 * time.Second, false},
		{"no order for the running version", filbertstile.EngineReport{Version: 2}, 3 * time.Second, 9 * time.Second, false},
		{"no return to an older version", filbertstile.EngineReport{Version: 3}, 3 * time.Second, 9 * time.Second, false},
		{"waits for its turn", filbertstile.EngineReport{Version: 1}, 3 * time.Second, 3500 * time.Millisecond, false},
		{"loads at its turn", filbertstile.EngineReport{Version: 1}, 3 * time.Second, 5 * time.Second, true},
		{"too late for turns: loads at once", filbertstile.EngineReport{Version: 1}, 7 * time.Second, 7 * time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(installer.Due(now.Add(c.now), c.report, w, now.Add(c.held)), c.due)
		})
	}
}

// TestTurnsKeepReplicasServing guards against too many replicas switching at once: of
// ten, at most six may be switching, and all must have switched in time.
func TestTurnsKeepReplicasServing(t *testing.T) {
	is := is.New(t)
	learnedAt := time.Now()
	heldSince := learnedAt.Add(3500 * time.Millisecond)
	const switchDuration = 1500 * time.Millisecond
	var starts []time.Time
	for i := range 10 {
		w := installer.Wanted{Weights: filbertstile.WeightsVersion{Version: 2}, LearnedAt: learnedAt, RolloutTimeout: 8 * time.Second, Rank: float64(i) / 10}
		at := heldSince
		for !installer.Due(at, filbertstile.EngineReport{Version: 1}, w, heldSince) {
			at = at.Add(10 * time.Millisecond)
		}
		is.True(!at.Add(switchDuration).After(learnedAt.Add(8 * time.Second)))
		starts = append(starts, at)
	}
	for _, at := range starts {
		n := 0
		for _, s := range starts {
			if !s.After(at) && s.Add(switchDuration).After(at) {
				n++
			}
		}
		is.True(n <= 6)
	}
}
