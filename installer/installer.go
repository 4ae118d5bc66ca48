// Package installer brings the model engine beside a host process to the
// version of the weights that it should run: it stages verified chunks, reads
// them back right before it gives the order to load, and orders replicas to
// switch one group after the other, so that the others go on serving.
package installer

import (
	"context"
	"errors"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/reporter"
	"filbertstile.example/filbertstile/sleeper"
)

const (
	// pollEvery is the time between two looks at the engine, which is asked on
	// its own machine.
	pollEvery = 50 * time.Millisecond
	// switchTime is what a replica takes from the order until it serves again:
	// the streams that run end within some two seconds, then it loads.
	switchTime = 2200 * time.Millisecond
	// spread bounds the time over which replicas switch one after the other.
	spread = 3 * time.Second
	// failedPause is the time before an order that failed is given again.
	failedPause = 300 * time.Millisecond
)

// Wanted is the version that the engine should run.
type Wanted struct {
	Weights filbertstile.NamedWeights
	// NamedAt is when this process learned of it.
	NamedAt time.Time
	// Within is the time from the naming until it must run everywhere; 0 for no
	// bound.
	Within time.Duration
	// Rank places this host among those of the service, from 0 to 1.
	Rank float64
}

// Config puts an installer together.
type Config struct {
	Engine filbertstile.Engine
	Log    *reporter.Log
	// Wanted returns the versions that may run, newest first.
	Wanted func() []Wanted
	// Chunks returns the manifest and all chunks of a version; false until all
	// are held and verified.
	Chunks func(w filbertstile.NamedWeights) (filbertstile.Manifest, [][]byte, bool)
	// Seen is told of each report of the engine.
	Seen func(r filbertstile.EngineReport)
}

// Installer owns the engine's weights.
type Installer struct {
	config Config
	// staged is the version that lies beside the engine as a whole.
	staged filbertstile.NamedWeights
	// heldSince is when all chunks of a version were first here.
	heldSince map[filbertstile.NamedWeights]time.Time
	lost      bool
}

// New returns an installer that does not run yet.
func New(c Config) *Installer {
	return &Installer{config: c, heldSince: make(map[filbertstile.NamedWeights]time.Time)}
}

// Run brings the engine to the wanted version until the context ends.
func (i *Installer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := pollEvery
		if err := i.step(ctx); err != nil && ctx.Err() == nil {
			i.config.Log.Event(reporter.SwitchFailed, reporter.Fields{"Error": err})
			pause = failedPause
		}
		if sleeper.Sleep(ctx, pause) != nil {
			return
		}
	}
}

func (i *Installer) step(ctx context.Context) error {
	r, err := i.config.Engine.Report(ctx)
	if err != nil {
		i.unreached(err)
		return nil
	}
	if i.lost {
		i.lost = false
		i.config.Log.Event(reporter.HostFound, reporter.Fields{"Peer": "engine", "Born": r.Born.UnixMilli()})
	}
	i.config.Seen(r)
	for _, w := range i.config.Wanted() {
		m, chunks, ok := i.config.Chunks(w.Weights)
		if !ok {
			continue
		}
		if !Due(time.Now(), r, w, i.since(w.Weights)) {
			return nil
		}
		return i.install(ctx, r, w, m, chunks)
	}
	return nil
}

// since returns when all chunks of the version were first here.
func (i *Installer) since(w filbertstile.NamedWeights) time.Time {
	at, ok := i.heldSince[w]
	if !ok {
		at = time.Now()
		i.heldSince[w] = at
	}
	return at
}

func (i *Installer) unreached(err error) {
	if i.lost {
		return
	}
	i.lost = true
	i.config.Log.Event(reporter.HostLost, reporter.Fields{"Peer": "engine", "Error": err})
}

// Due tells whether the engine is to load the wanted version now, all of which
// has been here since the moment. A replica that serves waits for its turn, so
// that the others go on serving; the turns end early enough for the last one to
// be in force in time.
func Due(now time.Time, r filbertstile.EngineReport, w Wanted, heldSince time.Time) bool {
	if r.Loading || r.Version >= w.Weights.Version {
		return false
	}
	if r.Version == 0 || w.Within == 0 {
		return true
	}
	window := min(spread, w.NamedAt.Add(w.Within-switchTime).Sub(heldSince))
	return now.Sub(heldSince) >= time.Duration(w.Rank*float64(max(0, window)))
}

// install stages what is not staged soundly, and orders the engine to load it.
func (i *Installer) install(ctx context.Context, r filbertstile.EngineReport, w Wanted, m filbertstile.Manifest, chunks [][]byte) error {
	for n, ref := range m.Chunks {
		if err := i.ensure(ctx, w.Weights, n, ref, chunks[n]); err != nil {
			return err
		}
	}
	i.staged = w.Weights
	i.config.Log.Event(reporter.SwitchStarted, reporter.Fields{
		"Model": w.Weights.Model, "Version": w.Weights.Version, "From": r.Version, "Named": time.Since(w.NamedAt).String(),
		"Running": r.Running, "Waiting": r.Waiting, "Orders": r.Orders,
	})
	return i.config.Engine.Load(ctx, w.Weights, r.Orders)
}

// ensure makes sure that a chunk lies beside the engine as it should.
func (i *Installer) ensure(ctx context.Context, w filbertstile.NamedWeights, n int, ref filbertstile.ChunkRef, data []byte) error {
	if i.staged != w {
		if err := i.config.Engine.Stage(ctx, w.Model, n, data); err != nil {
			return err
		}
	}
	for range stageTries {
		lies, err := i.config.Engine.Staged(ctx, w.Model, n)
		var missing filbertstile.ErrNotFound
		if err != nil && !errors.As(err, &missing) {
			return err
		}
		if err == nil && filbertstile.DigestOf(lies) == ref.Digest {
			return nil
		}
		if err == nil {
			i.config.Log.Event(reporter.ChunkRestaged, reporter.Fields{"Model": w.Model, "Version": w.Version, "Chunk": n})
		}
		if err := i.config.Engine.Stage(ctx, w.Model, n, data); err != nil {
			return err
		}
	}
	return filbertstile.ErrDigest{Step: "stage chunk", Peer: "engine", Want: ref.Digest}
}

// stageTries bounds how often a chunk is staged and read back.
const stageTries = 3
