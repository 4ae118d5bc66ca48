package edgerunner

import (
	"slices"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/decisions/placer"
	"filbertstile.example/filbertstile/outside/tracker"
	"filbertstile.example/filbertstile/shells/installer"
)

// chosenVersion is a version of the weights that operators have chosen.
type chosenVersion struct {
	version int64
	// chosenAfter is a time of the sources' clock before which the version was not chosen. The
	// time in which it must be in use counts from then, whenever this entry heard of it.
	chosenAfter time.Duration
	// reported is true if only other processes have named the version so far.
	reported bool
	// due is true once requests must run only on the version or a later one.
	due bool
}

// startDelay is the time that a process takes from its start until New.
const startDelay = 150 * time.Millisecond

// LearnVersions records newly chosen versions, and announces them at once. It must be called
// after each change of Sources.Weights: hosts must not wait for the next refresh.
func (e *Edge) LearnVersions() {
	if e.recordVersions() && e.pulser != nil {
		e.pulser.SendNow()
	}
}

// recordVersions records newly chosen versions, and reports whether there are any.
func (e *Edge) recordVersions() bool {
	learned := false
	listed := e.sources.Weights.View().Listed
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, w := range e.sources.Weights.Written() {
		chosenAfter, missedAfter := e.atStart(), e.atStart()
		if e.versionsListed {
			chosenAfter, missedAfter = e.lowerBounds(w)
		}
		if e.recordVersion(w.Row, chosenVersion{version: w.Row.Version, chosenAfter: chosenAfter}, missedAfter) {
			learned = true
			e.logVersion(w.Row, chosenAfter, reporter.Fields{"Revision": w.Revision})
		}
	}
	e.versionsListed = e.versionsListed || listed
	return learned
}

// recordReportedVersions records newly chosen versions that another process has reported, and
// reports whether there are any. The report may overtake the copy of the store, which shares
// its connection with large changes, or whose reader has failed.
func (e *Edge) recordReportedVersions(peer string, versions []*wire.WeightsVersion) bool {
	learned := false
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, reported := range versions {
		w := filbertstile.WeightsVersion{Model: reported.GetModel(), Version: reported.GetVersion()}
		chosenAfter := e.atStart()
		if e.versionsListed {
			// Its revision is not known, only that the copy lacked it.
			chosenAfter = e.sources.Weights.View().ConfirmedAt
		}
		if e.recordVersion(w, chosenVersion{version: w.Version, chosenAfter: chosenAfter, reported: true}, chosenAfter) {
			learned = true
			e.logVersion(w, chosenAfter, reporter.Fields{"Peer": peer})
		}
	}
	return learned
}

// logVersion logs a newly chosen version.
func (e *Edge) logVersion(w filbertstile.WeightsVersion, chosenAfter time.Duration, f reporter.Fields) {
	f["Model"], f["Version"], f["ViewAge"] = w.Model, w.Version, e.viewAge()
	f["ChosenWithin"] = (e.config.Clock() - chosenAfter).String()
	e.config.Log.Event(reporter.VersionNamed, f)
}

// recordVersion records a chosen version of the model, and reports whether it is new. All
// versions between it and the one before may have been chosen right after missedAfter. The caller
// holds e.mu.
func (e *Edge) recordVersion(w filbertstile.WeightsVersion, v chosenVersion, missedAfter time.Duration) bool {
	// Reported versions follow those of the own copy, which are more exact and replace them.
	list := e.chosenVersions[w.Model]
	known, reported := list, []chosenVersion(nil)
	if i := slices.IndexFunc(list, func(c chosenVersion) bool { return c.reported }); i >= 0 && !v.reported {
		known, reported = list[:i:i], list[i:]
	}
	if v.version <= latestVersion(known) {
		return false
	}
	if v.version > latestVersion(known)+1 {
		known = append(known, chosenVersion{version: v.version - 1, chosenAfter: missedAfter, reported: v.reported})
	}
	known = append(known, v)
	for _, c := range reported {
		if c.version > v.version {
			known = append(known, c)
		}
	}
	e.chosenVersions[w.Model] = known
	return v.version > latestVersion(list)
}

// latestVersion returns the latest of the versions.
func latestVersion(list []chosenVersion) int64 {
	if len(list) == 0 {
		return 0
	}
	return list[len(list)-1].version
}

// atStart returns the time after which a version counts as chosen that may have been chosen
// long before the start: requests must run on it when Bounds.SettleTime ends.
func (e *Edge) atStart() time.Duration {
	return e.startedAt - startDelay + e.config.Bounds.SettleTime - e.config.Bounds.RolloutTimeout
}

// lowerBounds returns a time after which the version was chosen, and one after which all versions
// between it and the one before were, if there are any. The first is the later of the two, as
// copies of other kinds are confirmed more often. The members are not among them: their reads may
// be out of date, and show nothing about the time at which they were sent. The version's object
// must not be written again without a change.
func (e *Edge) lowerBounds(w tracker.Written[filbertstile.WeightsVersion]) (version, between time.Duration) {
	between, known := e.sources.Weights.CopyAbsentAt(w.Era, w.Revision)
	if !known {
		return e.atStart(), e.atStart()
	}
	version = between
	for _, absentAt := range []func(era, revision uint64) (time.Duration, bool){
		e.sources.Routing.AbsentAt, e.sources.Replicas.AbsentAt, e.sources.Marks.AbsentAt,
	} {
		if at, ok := absentAt(w.Era, w.Revision); ok {
			version = max(version, at)
		}
	}
	return version, between
}

// versionFloor returns the minimum version of the weights for requests to the service. A
// version becomes the minimum installer.EntryMargin before Bounds.RolloutTimeout ends.
func (e *Edge) versionFloor(service string) placer.VersionFloor {
	m := e.matcher.Load()
	if m == nil {
		return placer.VersionFloor{}
	}
	spec, ok := m.Routing().Pools.Get(service)
	if !ok || spec.Engine == nil {
		return placer.VersionFloor{}
	}
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	var out placer.VersionFloor
	for i, v := range e.chosenVersions[spec.Engine.Model] {
		dueIn := e.dueIn(v)
		if dueIn <= installer.EntryMargin {
			out.Version = v.version
			e.chosenVersions[spec.Engine.Model][i].due = true
		} else {
			out.Next = append(out.Next, placer.DueVersion{Version: v.version, At: now.Add(dueIn)})
		}
	}
	return out
}

// dueIn returns the time until requests must run only on the version or a later one. The time
// begins anew after an outage of the store, in which hosts hear of no version and get no weights; a
// version that was due before stays due.
func (e *Edge) dueIn(v chosenVersion) time.Duration {
	if v.due {
		return 0
	}
	from := v.chosenAfter
	if outage := time.Duration(e.outageSeenAt.Load()); outage != 0 {
		from = max(from, outage)
	}
	return from + e.config.Bounds.RolloutTimeout - e.config.Clock()
}

// keepDue records which versions are due, so that an outage of the store does not put them off.
func (e *Edge) keepDue() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, list := range e.chosenVersions {
		for i, v := range list {
			list[i].due = e.dueIn(v) <= installer.EntryMargin
		}
	}
}

// announcedManifest is the digest of a manifest, and its revision: of two manifests of a version the one
// with the higher revision counts.
type announcedManifest struct {
	digest   string
	revision uint32
}

// learnManifests records the digests of manifests, and reports whether one is new. A new
// digest must be sent at once, as hosts wait for it.
func (e *Edge) learnManifests(versions []*wire.WeightsVersion) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	learned := false
	for _, w := range versions {
		key := filbertstile.WeightsVersion{Model: w.GetModel(), Version: w.GetVersion()}
		known, ok := e.manifests[key]
		if w.GetManifest() != "" && (!ok || w.GetManifestRevision() > known.revision) {
			e.manifests[key] = announcedManifest{digest: w.GetManifest(), revision: w.GetManifestRevision()}
			e.otherGroupsSentAt = time.Time{}
			learned = true
		}
	}
	return learned
}

// viewAge returns the time since the store last confirmed the entry's view, for log lines.
func (e *Edge) viewAge() string {
	if e.sources.Routing == nil {
		return ""
	}
	age, known := e.sources.Routing.Age()
	if !known {
		return ""
	}
	return age.String()
}
