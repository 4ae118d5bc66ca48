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
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/base/sleeper"
)

const (
	// pollEvery is the time between two looks at the engine, which is asked on
	// its own machine.
	pollEvery = 50 * time.Millisecond
	// idleEvery is the same while no switch is under way: engines report what was
	// some 200 ms ago.
	idleEvery = 100 * time.Millisecond
	// switchTime is what a replica takes from its turn until it serves again:
	// closeTime, reading back what is staged, and loading.
	switchTime = 1800 * time.Millisecond
	// spread bounds the time over which replicas switch one after the other.
	spread = 3500 * time.Millisecond
	// closeTime is how long a replica that takes no more requests goes on with
	// those that it has: most streams end within about a second.
	closeTime = 1200 * time.Millisecond
	// cutOff is the number of streams that are cut off at once, to go on at other
	// replicas: reading their prompts again takes less than waiting for them.
	cutOff = 3
	// secondHalf is where the turns of replicas begin that run the version before,
	// as those that left it out, and do not serve, go first.
	secondHalf = 0.4
	// arrival is how long after its naming a version is there, and skipSlack how
	// long a replica may be out of use before the version that it skipped to is.
	arrival   = 4500 * time.Millisecond
	skipSlack = 1500 * time.Millisecond
	// failedPause is the time before an order that failed is given again.
	failedPause = 300 * time.Millisecond
)

// EntryMargin is how long before a version must be in force entries stop sending
// to replicas of older ones: a request may wait in the replica before it begins.
const EntryMargin = 600 * time.Millisecond

// Wanted is the version that the engine should run.
type Wanted struct {
	Weights filbertstile.WeightsVersion
	// NamedAt is when this process learned of it.
	NamedAt time.Time
	// Within is the time from the naming until it must run everywhere; 0 for no
	// bound.
	Within time.Duration
	// Rank places this host among those of the service, from 0 to 1.
	Rank float64
	// Skips tells that this host may leave out a version that is about to be
	// followed by another.
	Skips bool
}

// Config puts an installer together.
type Config struct {
	Engine filbertstile.Engine
	Log    *reporter.Log
	// Wanted returns the versions that may run, newest first.
	Wanted func() []Wanted
	// Chunks returns the manifest and all chunks of a version; false until all
	// are held and verified.
	Chunks func(w filbertstile.WeightsVersion) (filbertstile.Manifest, [][]byte, bool)
	// Seen is told of each report of the engine, and whether the replica is to
	// take no more requests.
	Seen func(r filbertstile.EngineReport, closing bool)
	// Cuts tells whether all streams of the service may go on elsewhere.
	Cuts func() bool
}

// Installer owns the engine's weights.
type Installer struct {
	config Config
	// staged is the version that lies beside the engine as a whole.
	staged filbertstile.WeightsVersion
	// heldSince is when all chunks of a version were first here.
	heldSince map[filbertstile.WeightsVersion]time.Time
	// closing is the version that the replica is being closed for, since closedAt.
	closing  filbertstile.WeightsVersion
	closedAt time.Time
	lost     bool
}

// New returns an installer that does not run yet.
func New(c Config) *Installer {
	return &Installer{config: c, heldSince: make(map[filbertstile.WeightsVersion]time.Time)}
}

// Run brings the engine to the wanted version until the context ends.
func (i *Installer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := pollEvery
		if err := i.step(ctx); err != nil && ctx.Err() == nil {
			i.config.Log.Event(reporter.SwitchFailed, reporter.Fields{"Error": err})
			pause = failedPause
		} else if i.closing == (filbertstile.WeightsVersion{}) && !i.lost {
			pause = idleEvery
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
	w, m, chunks, due := i.due(time.Now(), r)
	if !due {
		i.closing = filbertstile.WeightsVersion{}
		i.config.Seen(r, false)
		return nil
	}
	i.config.Seen(r, true)
	if !i.closed(r, w.Weights) {
		return nil
	}
	return i.install(ctx, r, w, m, chunks)
}

// due returns the newest version that is here, if the engine is to load it now.
func (i *Installer) due(now time.Time, r filbertstile.EngineReport) (w Wanted, m filbertstile.Manifest, chunks [][]byte, due bool) {
	list := i.config.Wanted()
	for n, w := range list {
		m, chunks, ok := i.config.Chunks(w.Weights)
		if !ok {
			continue
		}
		late := outdated(now, r.Version, list)
		if n > 0 && r.Version > 0 && !late && skipped(now, w, list[n-1]) {
			return w, m, chunks, false
		}
		since := i.since(w.Weights)
		if late {
			// No entry sends to it any more, so that nothing is to be waited for.
			since, w.Rank = time.Time{}, 0
		} else if n+1 < len(list) && w.NamedAt.Sub(list[n+1].NamedAt) < w.Within {
			// Those that left the version before out go first.
			w.Rank = secondHalf + (1-secondHalf)*w.Rank
		}
		return w, m, chunks, Due(now, r, w, since)
	}
	return w, m, chunks, false
}

// outdated tells whether the version is older than one that must be in force.
func outdated(now time.Time, version int64, list []Wanted) bool {
	for _, w := range list {
		if w.Within > 0 && version < w.Weights.Version && now.Sub(w.NamedAt) >= w.Within-EntryMargin {
			return true
		}
	}
	return false
}

// skipped tells whether the host is to leave out a version, as a newer one is
// there before long after it must be in force. Half of the hosts go on with the
// version before meanwhile, which halves the switches.
func skipped(now time.Time, w, newer Wanted) bool {
	if !w.Skips || w.Within == 0 {
		return false
	}
	last := w.NamedAt.Add(w.Within + skipSlack)
	return newer.NamedAt.Add(arrival).Before(last) && now.Before(last)
}

// closed tells whether the replica may be ordered to load: what it had has ended,
// but for a few streams.
func (i *Installer) closed(r filbertstile.EngineReport, w filbertstile.WeightsVersion) bool {
	if i.closing != w {
		i.closing, i.closedAt = w, time.Now()
	}
	if r.Version == 0 || !i.config.Cuts() {
		return true
	}
	return r.Running+r.Waiting <= cutOff || time.Since(i.closedAt) >= closeTime
}

// since returns when all chunks of the version were first here.
func (i *Installer) since(w filbertstile.WeightsVersion) time.Time {
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
	return i.config.Engine.Load(ctx, w.Weights, r.Orders, r.Version > 0 && i.config.Cuts())
}

// ensure makes sure that a chunk lies beside the engine as it should.
func (i *Installer) ensure(ctx context.Context, w filbertstile.WeightsVersion, n int, ref filbertstile.ChunkRef, data []byte) error {
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
