// Package installer brings the model engine of a host to the version of the weights
// that it should run. It stages verified chunks at the engine, reads them back right
// before it orders the load, and staggers the switches of a service's replicas, so
// that the others keep serving.
package installer

import (
	"context"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/base/sleeper"
)

const (
	// pollInterval is the time between two reads of the report of the engine, which
	// runs on the same host.
	pollInterval = 50 * time.Millisecond
	// idlePollInterval is the same while no switch is in progress. It may be longer,
	// because engines report their state as of some 200 ms ago.
	idlePollInterval = 200 * time.Millisecond
	// switchDuration is the time that a replica takes from its turn until it serves
	// again: draining (drainTimeout), reading back the staged chunks, and loading.
	switchDuration = 1800 * time.Millisecond
	// maxSwitchWindow is the maximum time over which the turns of the replicas are
	// spread.
	maxSwitchWindow = 3500 * time.Millisecond
	// drainTimeout is how long a replica that accepts no more requests continues with
	// those that it has. Most streams end within about a second.
	drainTimeout = 1200 * time.Millisecond
	// earlyCancelLimit is the number of remaining requests up to which they are
	// cancelled before drainTimeout, to be resumed at other replicas: reading their
	// prompts again takes less time than waiting for their end.
	earlyCancelLimit = 3
	// minRankAfterRecentVersion is the minimum rank of replicas that run the previous
	// version, if that version was chosen less than RolloutTimeout earlier. Replicas
	// that skipped it do not serve, and switch first.
	minRankAfterRecentVersion = 0.4
	// transferDuration is the assumed time from learning of a version until all its
	// chunks are held. A host skips a version only if the next one is expected less
	// than maxSkipOutage after the skipped one must run everywhere, as its replica may
	// not serve in between.
	transferDuration = 4500 * time.Millisecond
	maxSkipOutage    = 1500 * time.Millisecond
	// maxMayCancelAge is how long the answer of Config.MayCancelRunning is used.
	maxMayCancelAge = 2 * time.Second
	// retryDelay is the delay before a failed step is retried.
	retryDelay = 300 * time.Millisecond
)

// EntryMargin is how long before a version must run everywhere entries stop sending
// requests to replicas of older versions. A request may be queued in the replica
// before it starts.
const EntryMargin = 600 * time.Millisecond

// Wanted is a version of the weights that the engine should run.
type Wanted struct {
	Weights filbertstile.WeightsVersion
	// LearnedAt is when this process learned that operators have chosen the version.
	LearnedAt time.Time
	// RolloutTimeout is the maximum time from LearnedAt until the version must run
	// everywhere; 0 is no limit.
	RolloutTimeout time.Duration
	// Rank is the position of this host among those of the service in its failure
	// domain, from 0 to 1. Lower ranks switch first.
	Rank float64
	// MaySkip is true if this host may skip a version that is about to be followed by
	// another.
	MaySkip bool
}

// Config configures an Installer.
type Config struct {
	Engine filbertstile.Engine
	Log    *reporter.Log
	// Clock returns a time that includes the time that the host was suspended.
	Clock func() time.Duration
	// Wanted returns the versions that the engine may run, newest first.
	Wanted func() []Wanted
	// Chunks returns the manifest and all chunks of a version. The result is false
	// until all chunks are held and verified.
	Chunks func(w filbertstile.WeightsVersion) (filbertstile.Manifest, [][]byte, bool)
	// OnReport is called with each report of the engine. If draining is true, the
	// replica must get no more requests.
	OnReport func(r filbertstile.EngineReport, draining bool)
	// MayCancelRunning reports whether running requests may be cancelled because they
	// can continue at other replicas. It is asked as a switch begins, and may take some time.
	MayCancelRunning func(ctx context.Context) bool
}

// Installer controls the weights of an engine.
type Installer struct {
	config  Config
	staging *staging
	// doubt is an order whose load may contain chunks that were corrupt when it was accepted;
	// nil if there is none.
	doubt *doubt
	// heldSince is when all chunks of a version were first held.
	heldSince map[filbertstile.WeightsVersion]time.Time
	// draining is the version for which the replica is being drained, since
	// drainStartedAt; zero if it is not being drained.
	draining       filbertstile.WeightsVersion
	drainStartedAt time.Time
	// mayCancel is what Config.MayCancelRunning said at mayCancelAskedAt.
	mayCancel         bool
	mayCancelAskedAt  time.Time
	engineUnreachable bool
	// loading is true if the engine was loading weights as of its last report.
	loading bool
}

// New returns an installer. It does nothing before Run is called.
func New(c Config) *Installer {
	return &Installer{config: c, heldSince: make(map[filbertstile.WeightsVersion]time.Time)}
}

// Run brings the engine to the wanted versions until the context ends.
func (i *Installer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := pollInterval
		if err := i.step(ctx); err != nil && ctx.Err() == nil {
			i.config.Log.Event(reporter.SwitchFailed, reporter.Fields{"Error": err})
			pause = retryDelay
		} else if !i.switching() {
			pause = idlePollInterval
		}
		if sleeper.Sleep(ctx, pause) != nil {
			return
		}
	}
}

// switching reports whether the replica serves no requests, or is about to, until a step that
// must not be late: the replica drains, or its engine loads weights or has to be found.
func (i *Installer) switching() bool {
	return i.draining != (filbertstile.WeightsVersion{}) || i.loading || i.engineUnreachable || i.doubt != nil
}

// step reads the engine's report and takes the next step of a switch, if one is due.
func (i *Installer) step(ctx context.Context) error {
	r, err := i.config.Engine.Report(ctx)
	if err != nil {
		i.handleUnreachable(err)
		return nil
	}
	i.loading = r.Loading
	if i.engineUnreachable {
		i.engineUnreachable = false
		i.config.Log.Event(reporter.HostFound, reporter.Fields{"Peer": "engine", "Born": r.Born.UnixMilli()})
	}
	if resolved, err := i.resolveDoubt(ctx, r); !resolved {
		i.config.OnReport(r, true)
		return err
	}
	rejected := i.doubt != nil && i.doubt.rejected
	if rejected {
		r.Version = 0
	}
	w, m, chunks, due := i.versionToLoad(time.Now(), r)
	if !due {
		i.draining = filbertstile.WeightsVersion{}
		i.config.OnReport(r, rejected)
		return nil
	}
	i.config.OnReport(r, true)
	if !i.drained(ctx, r, w.Weights) {
		return nil
	}
	return i.install(ctx, r, w, m, chunks)
}

// versionToLoad returns the newest version whose chunks are all held, and whether the
// engine must load it now.
func (i *Installer) versionToLoad(now time.Time, r filbertstile.EngineReport) (w Wanted, m filbertstile.Manifest, chunks [][]byte, due bool) {
	list := i.config.Wanted()
	for j, w := range list {
		m, chunks, ok := i.config.Chunks(w.Weights)
		if !ok {
			continue
		}
		tooOld := outdated(now, r.Version, list)
		if j > 0 && r.Version > 0 && !tooOld && shouldSkip(now, w, list[j-1]) {
			return w, m, chunks, false
		}
		heldSince := i.firstHeldAt(w.Weights)
		if tooOld {
			// Entries send this replica no more requests, so it need not wait for its
			// turn.
			heldSince, w.Rank = time.Time{}, 0
		} else if j+1 < len(list) && w.LearnedAt.Sub(list[j+1].LearnedAt) < w.RolloutTimeout {
			// Replicas that skipped the previous version switch first.
			w.Rank = minRankAfterRecentVersion + (1-minRankAfterRecentVersion)*w.Rank
		}
		return w, m, chunks, Due(now, r, w, heldSince)
	}
	return w, m, chunks, false
}

// outdated reports whether the version is older than one that must already run
// everywhere, or must do so within EntryMargin.
func outdated(now time.Time, version int64, list []Wanted) bool {
	for _, w := range list {
		if w.RolloutTimeout > 0 && version < w.Weights.Version && now.Sub(w.LearnedAt) >= w.RolloutTimeout-EntryMargin {
			return true
		}
	}
	return false
}

// shouldSkip reports whether this host skips version w because a newer one will be
// held soon after w must run everywhere. Half of the hosts keep running the previous
// version meanwhile, which halves the number of switches.
func shouldSkip(now time.Time, w, newer Wanted) bool {
	if !w.MaySkip || w.RolloutTimeout == 0 {
		return false
	}
	until := w.LearnedAt.Add(w.RolloutTimeout + maxSkipOutage)
	return newer.LearnedAt.Add(transferDuration).Before(until) && now.Before(until)
}

// drained reports whether the load may be ordered. The replica's requests must have
// ended except for a few, or drainTimeout must have passed. If its requests must not
// be cancelled, the load is ordered at once, and the engine waits for them to finish.
func (i *Installer) drained(ctx context.Context, r filbertstile.EngineReport, w filbertstile.WeightsVersion) bool {
	begins := i.draining != w
	if begins {
		i.draining, i.drainStartedAt = w, time.Now()
	}
	if r.Version == 0 {
		return true
	}
	if begins || time.Since(i.mayCancelAskedAt) > maxMayCancelAge {
		i.mayCancel, i.mayCancelAskedAt = i.config.MayCancelRunning(ctx), time.Now()
	}
	if !i.mayCancel {
		return true
	}
	return r.Running+r.Waiting <= earlyCancelLimit || time.Since(i.drainStartedAt) >= drainTimeout
}

// firstHeldAt returns when it was first called for the version, all chunks of which
// must be held.
func (i *Installer) firstHeldAt(w filbertstile.WeightsVersion) time.Time {
	at, ok := i.heldSince[w]
	if !ok {
		at = time.Now()
		i.heldSince[w] = at
	}
	return at
}

func (i *Installer) handleUnreachable(err error) {
	if i.engineUnreachable {
		return
	}
	i.engineUnreachable = true
	i.config.Log.Event(reporter.HostLost, reporter.Fields{"Peer": "engine", "Error": err})
}

// Due reports whether the engine must load the wanted version now. All chunks of the
// version have been held since heldSince. A replica that serves waits for its turn, so
// that the others keep serving. The turns end early enough for the last replica to
// switch in time.
func Due(now time.Time, r filbertstile.EngineReport, w Wanted, heldSince time.Time) bool {
	if r.Loading || r.Version >= w.Weights.Version {
		return false
	}
	if r.Version == 0 || w.RolloutTimeout == 0 {
		return true
	}
	window := min(maxSwitchWindow, w.LearnedAt.Add(w.RolloutTimeout-switchDuration).Sub(heldSince))
	return now.Sub(heldSince) >= time.Duration(w.Rank*float64(max(0, window)))
}
