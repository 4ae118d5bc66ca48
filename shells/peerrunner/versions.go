package peerrunner

import (
	"slices"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/decisions/distributor"
	"filbertstile.example/filbertstile/shells/installer"
)

// versionsToHold lists the versions to hold, oldest first, as they must run in this
// order.
func (p *Peer) versionsToHold(w filbertstile.WeightsVersion) []distributor.Want {
	var out []distributor.Want
	for age := min(keptVersions, w.Version) - 1; age >= 0; age-- {
		version := filbertstile.WeightsVersion{Model: w.Model, Version: w.Version - age}
		digest, ok := p.weightSource.digest(version)
		if ok && (age == 0 || p.holdsAllChunks(digest) || p.worthFetching(version, digest)) {
			out = append(out, distributor.Want{Release: version.Model, Manifest: digest, HasManifest: p.weightSource.hasManifest(version)})
			if old := p.replacedToHold(version, digest); old != "" {
				out = append(out, distributor.Want{Release: version.Model, Manifest: old})
			}
		}
	}
	return out
}

// replacedToHold returns the manifest that the version's current one replaces, if its chunks must be kept
// until the current one has arrived, as most of them belong to both.
func (p *Peer) replacedToHold(w filbertstile.WeightsVersion, current filbertstile.Digest) filbertstile.Digest {
	old := p.weightSource.replaced(w)
	if old == "" {
		return ""
	}
	if store := p.fetcher.Load().ChunkStore(); store.Manifest(current) != nil || store.Manifest(old) == nil {
		p.weightSource.forgetReplaced(w)
		return ""
	}
	return old
}

// holdsVersion reports whether all chunks of the version are held.
func (p *Peer) holdsVersion(w filbertstile.WeightsVersion) bool {
	_, _, ok := p.chunks(w)
	return ok
}

// holdsAllChunks reports whether all chunks of the version are held.
func (p *Peer) holdsAllChunks(d filbertstile.Digest) bool {
	_, _, ok := p.fetcher.Load().ChunkStore().AllChunks(d)
	return ok
}

// worthFetching reports whether a version that is not the newest is worth fetching: it
// was chosen so recently that it must run everywhere before the newer one can, or few
// of its chunks are missing and the newer version is not due soon. The latter happens
// after the origin was unreachable.
func (p *Peer) worthFetching(w filbertstile.WeightsVersion, d filbertstile.Digest) bool {
	p.mu.Lock()
	at, known := p.learnedAt[w]
	newerAt, newerKnown := p.newerLearnedAt(w)
	supersededWithin := p.supersededWithin()
	p.mu.Unlock()
	if !known {
		return false
	}
	if newerKnown && newerAt-at <= supersededWithin {
		// Less than half of this version has been read from the origin when the newer one is heard
		// of, which replaces it as well, and would come too late if it were fetched second.
		return p.holdsShare(d, nearlyComplete)
	}
	now := p.config.Clock()
	if now-at < p.config.RolloutTimeout*3/4 {
		return true
	}
	return newerKnown && now-newerAt < p.config.RolloutTimeout-installer.EntryMargin-minUsefulTime && p.holdsShare(d, nearlyComplete)
}

// heardTogetherDivisor is the share of the rollout timeout within which versions count as heard of
// together if the rate of the origin's link is not known.
const heardTogetherDivisor = 16

// supersededWithin returns how soon after a version a newer one must be heard of to replace it: in half of
// the time in which the origin's link carries a copy. The caller holds p.mu.
func (p *Peer) supersededWithin() time.Duration {
	if p.originCopyTime > 0 {
		return p.originCopyTime / 2
	}
	return p.config.RolloutTimeout / heardTogetherDivisor
}

// newerLearnedAt returns when this process learned of the first version after w that it knows.
// The caller holds p.mu.
func (p *Peer) newerLearnedAt(w filbertstile.WeightsVersion) (at time.Duration, known bool) {
	for newer, learnedAt := range p.learnedAt {
		if newer.Model == w.Model && newer.Version > w.Version && (!known || learnedAt < at) {
			at, known = learnedAt, true
		}
	}
	return at, known
}

// minUsefulTime is the minimum time for which a version must be of use to justify a
// switch, during which the replica does not serve for about as long.
const minUsefulTime = 1500 * time.Millisecond

// nearlyComplete is the share of the chunks of a version from which it is worth completing.
const nearlyComplete = 0.75

// holdsShare reports whether at least the share of the version's chunks is held.
func (p *Peer) holdsShare(d filbertstile.Digest, share float64) bool {
	held, _ := p.fetcher.Load().ChunkStore().Held(d)
	n := 0
	for _, ok := range held {
		if ok {
			n++
		}
	}
	return n > 0 && float64(n) >= share*float64(len(held))
}

// targetVersion returns the newest version that is known to be chosen, and whether
// there is one.
func (p *Peer) targetVersion() (filbertstile.WeightsVersion, bool) {
	p.mu.Lock()
	model := p.model
	p.mu.Unlock()
	if w, ok := p.sources.Weights.View().Rows.Get(model); ok {
		p.recordVersion(w)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.newestVersion, p.newestVersion.Version > 0
}

// recordVersion records that operators have chosen a version. It ignores versions that
// are not newer than the newest known one.
func (p *Peer) recordVersion(w filbertstile.WeightsVersion) {
	p.mu.Lock()
	known := w.Version <= p.newestVersion.Version
	if !known {
		p.newestVersion = w
		p.learnedAt[w] = p.config.Clock()
		for old := range p.learnedAt {
			if old.Version <= w.Version-keptVersions {
				delete(p.learnedAt, old)
			}
		}
	}
	p.mu.Unlock()
	if !known {
		p.Refresh()
		p.config.Log.Event(reporter.VersionNamed, reporter.Fields{"Model": w.Model, "Version": w.Version})
	}
}

// recordReportedVersion records a chosen version that an entry reported, if it is one
// of this host's model.
func (p *Peer) recordReportedVersion(w filbertstile.WeightsVersion) {
	p.mu.Lock()
	sameModel := w.Model == p.model
	p.mu.Unlock()
	if sameModel {
		p.recordVersion(w)
	}
}

// wantedVersions returns the versions that the engine may run, newest first.
func (p *Peer) wantedVersions() []installer.Wanted {
	w, ok := p.targetVersion()
	if !ok {
		return nil
	}
	rank := p.rolloutRank.Load()
	if rank == nil {
		// The hosts are not known yet.
		rank = &rolloutRank{}
	}
	now, clock := time.Now(), p.config.Clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []installer.Wanted
	for v := w.Version; v > w.Version-keptVersions; v-- {
		version := filbertstile.WeightsVersion{Model: w.Model, Version: v}
		if at, ok := p.learnedAt[version]; ok {
			out = append(out, installer.Wanted{Weights: version, LearnedAt: now.Add(at - clock), RolloutTimeout: p.config.RolloutTimeout, Rank: rank.position, MaySkip: rank.odd})
		}
	}
	return out
}

// rolloutRank is a host's place in the order in which hosts switch to a new version.
type rolloutRank struct {
	// position is from 0, which switches first, to 1.
	position float64
	// odd is true if the host's index is odd.
	odd bool
}

// rankAmong returns the place of self among the hosts of its failure domain. The order is
// per domain so that groups of hosts that switch together are of equal size in each domain.
func rankAmong(hosts []filbertstile.Member, self filbertstile.Member) *rolloutRank {
	var names []string
	for _, m := range hosts {
		if m.Domain == self.Domain {
			names = append(names, m.Name)
		}
	}
	slices.Sort(names)
	i, _ := slices.BinarySearch(names, self.Name)
	return &rolloutRank{position: float64(i) / float64(max(1, len(names))), odd: i%2 == 1}
}
