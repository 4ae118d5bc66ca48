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

// engine loads what lies beside it, as a model engine does.
type engine struct {
	mu      sync.Mutex
	staged  map[int][]byte
	version int64
	running int
	orders  int64
	cut     bool
	// loaded are the chunks as they were when the last order was accepted.
	loaded map[int]string
	// rot spoils each chunk once, after it was staged.
	rot map[int]bool
	// loseOrder does the next order and loses its answer.
	loseOrder bool
}

func (e *engine) Report(context.Context) (filbertstile.EngineReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return filbertstile.EngineReport{Running: e.running, Version: e.version, Orders: e.orders}, nil
}

func (e *engine) Stage(_ context.Context, _ string, n int, data []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staged[n] = data
	if e.rot[n] {
		delete(e.rot, n)
		e.staged[n] = []byte("rotten")
	}
	return nil
}

func (e *engine) Staged(_ context.Context, _ string, n int) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if data, ok := e.staged[n]; ok {
		return data, nil
	}
	return nil, filbertstile.ErrNotFound{}
}

func (e *engine) Load(_ context.Context, w filbertstile.WeightsVersion, orders int64, cut bool) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if orders != e.orders {
		return filbertstile.ErrConflict{}
	}
	e.orders++
	e.version, e.cut, e.running = w.Version, cut, 0
	e.loaded = make(map[int]string)
	for n, data := range e.staged {
		e.loaded[n] = string(data)
	}
	if e.loseOrder {
		e.loseOrder = false
		return context.DeadlineExceeded
	}
	return nil
}

// withInstaller runs an installer in virtual time; wanted are the versions that
// may run, newest first, all of them held.
func withInstaller(t *testing.T, e *engine, wanted func() []installer.Wanted, f func(is *is.I)) {
	t.Helper()
	withHeld(t, e, wanted, func(int64) bool { return true }, f)
}

// withHeld is withInstaller where only some versions are held.
func withHeld(t *testing.T, e *engine, wanted func() []installer.Wanted, held func(version int64) bool, f func(is *is.I)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		e.staged = make(map[int][]byte)
		i := installer.New(installer.Config{
			Engine: e, Log: reporter.New(reporter.Config{Logger: log}), Wanted: wanted,
			Chunks: func(w filbertstile.WeightsVersion) (filbertstile.Manifest, [][]byte, bool) {
				var data [][]byte
				for n := range chunks {
					data = append(data, chunk(w.Version, n))
				}
				return manifest(w.Version), data, held(w.Version)
			},
			Seen: func(filbertstile.EngineReport, bool) {}, Cuts: func() bool { return true },
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { i.Run(ctx); close(done) }()
		defer func() { cancel(); <-done }()
		f(is.New(t))
	})
}

func one(version int64) func() []installer.Wanted {
	return func() []installer.Wanted {
		return []installer.Wanted{{Weights: filbertstile.WeightsVersion{Model: "m", Version: version}}}
	}
}

func (e *engine) sound(version int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for n := range chunks {
		if e.loaded[n] != string(chunk(version, n)) {
			return false
		}
	}
	return e.version == version
}

func TestEmptyEngineLoads(t *testing.T) {
	e := &engine{}
	withInstaller(t, e, one(1), func(is *is.I) {
		time.Sleep(time.Second)
		is.True(e.sound(1))
		is.Equal(e.orders, int64(1))
	})
}

// TestSkippedVersionServesMeanwhile has a host leave out version 2 as version 3
// was near; now that version 1 may serve no more and version 3 has not come, as
// the origin was away, version 2 must be loaded.
func TestSkippedVersionServesMeanwhile(t *testing.T) {
	const within = 10 * time.Second
	e := &engine{version: 1}
	started := time.Now()
	wanted := func() []installer.Wanted {
		return []installer.Wanted{
			{Weights: filbertstile.WeightsVersion{Model: "m", Version: 3}, NamedAt: started.Add(2 * time.Second), Within: within, Skips: true},
			{Weights: filbertstile.WeightsVersion{Model: "m", Version: 2}, NamedAt: started, Within: within, Skips: true},
		}
	}
	withHeld(t, e, wanted, func(version int64) bool { return version == 2 }, func(is *is.I) {
		started = time.Now()
		time.Sleep(within - installer.EntryMargin - 100*time.Millisecond)
		is.Equal(e.version, int64(1))
		time.Sleep(time.Second)
		is.True(e.sound(2))
	})
}

// TestRottenChunk spoils chunks after they were staged: the engine must load
// sound ones.
func TestRottenChunk(t *testing.T) {
	e := &engine{rot: map[int]bool{0: true, 3: true}}
	withInstaller(t, e, one(1), func(is *is.I) {
		time.Sleep(time.Second)
		is.True(e.sound(1))
	})
}

// TestLostAnswer loses the answer to an order that was begun: it must not be
// given a second time.
func TestLostAnswer(t *testing.T) {
	e := &engine{loseOrder: true}
	withInstaller(t, e, one(1), func(is *is.I) {
		time.Sleep(5 * time.Second)
		is.True(e.sound(1))
		is.Equal(e.orders, int64(1))
	})
}

// TestStreamsEndBeforeSwitch has streams run for ever: they are waited for a
// while, and then cut off so that they go on elsewhere.
func TestStreamsEndBeforeSwitch(t *testing.T) {
	e := &engine{version: 1, running: 8}
	withInstaller(t, e, one(2), func(is *is.I) {
		time.Sleep(time.Second)
		is.Equal(e.version, int64(1))
		time.Sleep(time.Second)
		is.True(e.sound(2))
		is.True(e.cut)
	})
}

func TestDue(t *testing.T) {
	now := time.Now()
	w := installer.Wanted{Weights: filbertstile.WeightsVersion{Model: "m", Version: 2}, NamedAt: now, Within: 8 * time.Second, Rank: 0.5}
	for _, c := range []struct {
		name   string
		report filbertstile.EngineReport
		held   time.Duration
		now    time.Duration
		due    bool
	}{
		{"empty", filbertstile.EngineReport{}, 3 * time.Second, 3 * time.Second, true},
		{"loading", filbertstile.EngineReport{Loading: true}, 3 * time.Second, 9 * time.Second, false},
		{"runs it", filbertstile.EngineReport{Version: 2}, 3 * time.Second, 9 * time.Second, false},
		{"runs a newer one", filbertstile.EngineReport{Version: 3}, 3 * time.Second, 9 * time.Second, false},
		{"not its turn", filbertstile.EngineReport{Version: 1}, 3 * time.Second, 3500 * time.Millisecond, false},
		{"its turn", filbertstile.EngineReport{Version: 1}, 3 * time.Second, 5 * time.Second, true},
		{"no time for turns", filbertstile.EngineReport{Version: 1}, 7 * time.Second, 7 * time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(installer.Due(now.Add(c.now), c.report, w, now.Add(c.held)), c.due)
		})
	}
}

// TestTurnsLeaveReplicas has ten hosts take their turns: never more than six of
// them may be switching, and all must be done in time.
func TestTurnsLeaveReplicas(t *testing.T) {
	is := is.New(t)
	named := time.Now()
	held := named.Add(3500 * time.Millisecond)
	const switching = 1500 * time.Millisecond
	var starts []time.Time
	for i := range 10 {
		w := installer.Wanted{Weights: filbertstile.WeightsVersion{Version: 2}, NamedAt: named, Within: 8 * time.Second, Rank: float64(i) / 10}
		at := held
		for !installer.Due(at, filbertstile.EngineReport{Version: 1}, w, held) {
			at = at.Add(10 * time.Millisecond)
		}
		is.True(!at.Add(switching).After(named.Add(8 * time.Second)))
		starts = append(starts, at)
	}
	for _, at := range starts {
		n := 0
		for _, s := range starts {
			if !s.After(at) && s.Add(switching).After(at) {
				n++
			}
		}
		is.True(n <= 6)
	}
}
