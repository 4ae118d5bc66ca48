package edgerunner

import (
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/decisions/placer"
	"filbertstile.example/filbertstile/shells/installer"
)

// chosenVersion is a version of the weights and the time at which this entry learned that
// operators had chosen it. For a version that may have been chosen before the start, the
// time is set so that the version must be in use when Bounds.SettleTime ends.
type chosenVersion struct {
	version   int64
	learnedAt time.Time
}

// LearnVersions records newly chosen versions, and announces them at once. It must be called
// after each change of Sources.Weights: the time from which a version must be in use does
// not wait for the next refresh.
func (e *Edge) LearnVersions() {
	if e.pulser != nil && e.recordVersions(time.Now()) {
		e.pulser.SendNow()
	}
}

// recordVersions records newly chosen versions, and reports whether there are any.
func (e *Edge) recordVersions(now time.Time) bool {
	learned := false
	view := e.sources.Weights.View()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, w := range view.Rows.All() {
		if e.recordVersion(now, w) {
			learned = true
			e.config.Log.Event(reporter.VersionNamed, reporter.Fields{"Model": w.Model, "Version": w.Version, "Revision": view.Revision, "ViewAge": e.viewAge()})
		}
	}
	e.versionsListed = e.versionsListed || view.Listed
	return learned
}

// recordReportedVersions records newly chosen versions that another process has reported, and
// reports whether there are any. The report may overtake the copy of the store, which shares
// its connection with large changes, or whose reader has failed.
func (e *Edge) recordReportedVersions(now time.Time, peer string, versions []*wire.WeightsVersion) bool {
	learned := false
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, w := range versions {
		if e.recordVersion(now, filbertstile.WeightsVersion{Model: w.GetModel(), Version: w.GetVersion()}) {
			learned = true
			e.config.Log.Event(reporter.VersionNamed, reporter.Fields{"Model": w.GetModel(), "Version": w.GetVersion(), "Peer": peer, "ViewAge": e.viewAge()})
		}
	}
	return learned
}

// recordVersion records a chosen version, and reports whether it is new. The caller holds
// e.mu.
func (e *Edge) recordVersion(now time.Time, w filbertstile.WeightsVersion) bool {
	list := e.chosenVersions[w.Model]
	if len(list) > 0 && list[len(list)-1].version >= w.Version {
		return false
	}
	learnedAt := now.Add(-newsDelay)
	if !e.versionsListed {
		// The version may have been chosen long before the start.
		learnedAt = e.started.Add(e.config.Bounds.SettleTime - e.config.Bounds.RolloutTimeout)
	}
	e.chosenVersions[w.Model] = append(list, chosenVersion{version: w.Version, learnedAt: learnedAt})
	return true
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
	for _, v := range e.chosenVersions[spec.Engine.Model] {
		due := v.learnedAt.Add(e.config.Bounds.RolloutTimeout)
		if !now.Before(due.Add(-installer.EntryMargin)) {
			out.Version = v.version
		} else {
			out.Next = append(out.Next, placer.DueVersion{Version: v.version, At: due})
		}
	}
	return out
}

// learnManifests records the digests of manifests, and reports whether one is new. A new
// digest must be sent at once, as hosts wait for it.
func (e *Edge) learnManifests(versions []*wire.WeightsVersion) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	learned := false
	for _, w := range versions {
		key := filbertstile.WeightsVersion{Model: w.GetModel(), Version: w.GetVersion()}
		if e.manifestDigests[key] == "" && w.GetManifest() != "" {
			e.manifestDigests[key] = w.GetManifest()
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
