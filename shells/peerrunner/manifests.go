package peerrunner

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertstile.example/filbertstile"
)

// ensureManifest ensures that the digest of a version's manifest becomes known. Two
// hosts in the origin's region read the manifest from the origin. The others learn the
// digest from heartbeats and get the manifest from those hosts, which leaves the
// origin's link to the chunks, and its connections to the readers.
func (p *Peer) ensureManifest(ctx context.Context, w filbertstile.WeightsVersion) error {
	if p.weightSource.hasManifest(w) {
		return nil
	}
	if _, known := p.weightSource.digest(w); known || !p.shouldReadManifest(w) {
		return nil
	}
	_, read, err := p.readManifest(ctx, w)
	if read {
		p.pulser.SendNow()
	}
	return err
}

// shouldReadManifest reports whether this host should read the manifest from the
// origin now: it is one of the first readers, or has waited long enough for the
// digest.
func (p *Peer) shouldReadManifest(w filbertstile.WeightsVersion) bool {
	p.mu.Lock()
	at, known := p.learnedAt[w]
	p.mu.Unlock()
	return !known || p.config.Clock()-at >= p.manifestDelay()
}

// manifestDelay returns how long this host waits for the digest before it reads the manifest.
func (p *Peer) manifestDelay() time.Duration {
	wait := p.manifestWaitTime()
	if !p.members.Listed {
		return unlistedManifestDelay(p.config.Self, p.originRegion, wait)
	}
	return manifestDelay(manifestRank(p.members.Members, p.config.Self.Name, p.originRegion), wait)
}

// unlistedManifestDelay returns how long a host waits that does not know the others yet, so that
// each of them could be the only one. The delays are distributed so that few hosts read the
// manifest before the digest of the first has spread, however many hosts there are: the number of
// those whose time has come grows exponentially.
func unlistedManifestDelay(self filbertstile.Member, originRegion string, wait time.Duration) time.Duration {
	fraction := (float64(xxhash.Sum64String(self.Name)>>11) + 1) / (1 << 53)
	if self.Region != originRegion {
		return max(wait, membersWait) + filbertstile.DurationOf(fraction, unlistedSpread)
	}
	return filbertstile.DurationOf(max(0, 1+math.Log(fraction)/math.Log(unlistedHosts)), unlistedManifestTimer)
}

// expectedHosts returns about how many hosts the origin's region has, judging by the entries of
// this host's failure domain, which are known before the list of all processes: there are about as
// many hosts. It returns 0 if they are not known.
func (p *Peer) expectedHosts() int {
	entries, domains := 0, 0
	for _, m := range p.sources.Contacts.View().Rows.All() {
		if m.Role == filbertstile.RoleEntry && m.Domain == p.config.Self.Domain {
			entries++
		}
	}
	for _, region := range p.config.Regions {
		if region == p.originRegion {
			domains++
		}
	}
	return entries * max(1, domains)
}

// syncPause returns the time until the next update of the fetcher, which is earlier than usual
// if this host is to read a manifest before.
func (p *Peer) syncPause() time.Duration {
	if p.fetcher.Load() == nil || time.Since(p.started) > membersWait {
		return syncInterval
	}
	return startingSyncInterval
}

// manifestRank returns the place of the host in the order in which hosts read a manifest:
// those of the origin's region come first.
func manifestRank(hosts []filbertstile.Member, self, originRegion string) int {
	var near, far []string
	for _, m := range hosts {
		if m.Region == originRegion {
			near = append(near, m.Name)
		} else {
			far = append(far, m.Name)
		}
	}
	order := slices.Concat(near, far)
	if i := slices.Index(order, self); i >= 0 {
		return i
	}
	return len(order)
}

// manifestDelay returns how long a host of the rank waits for the digest before it reads
// the manifest. The first readers do not wait, and the others do not follow all at once:
// the origin limits its connections, and would serve none of them.
func manifestDelay(rank int, wait time.Duration) time.Duration {
	if rank < maxFirstReaders {
		return 0
	}
	return wait + time.Duration((rank-maxFirstReaders)/readersPerStep)*readersStep
}

const (
	// membersWait is how long after its start a host expects a list of all hosts.
	membersWait = 2 * time.Second
	// unlistedManifestTimer is the longest wait of a host in the origin's region that has no
	// list yet, and unlistedHosts the number of hosts for which the waits are dimensioned.
	unlistedManifestTimer = 800 * time.Millisecond
	unlistedHosts         = 200
	// unlistedSpread is the time over which such hosts of other regions read the manifest.
	unlistedSpread = 4 * time.Second
	// startingSyncInterval replaces syncInterval for membersWait.
	startingSyncInterval = 50 * time.Millisecond
	// maxFirstReaders is the number of hosts in the origin's region that read a new
	// manifest at once. Every readersStep, readersPerStep others follow.
	maxFirstReaders = 2
	readersPerStep  = 4
	readersStep     = 200 * time.Millisecond
	// manifestWait is how long the other hosts wait for the digest before they read
	// the manifest. severalGroupsManifestWait is the same if the entries form several
	// groups: the digest then takes longer to reach all hosts.
	manifestWait              = 600 * time.Millisecond
	severalGroupsManifestWait = 1500 * time.Millisecond
)

func (p *Peer) manifestWaitTime() time.Duration {
	if p.hasSeveralGroups() {
		return severalGroupsManifestWait
	}
	return manifestWait
}
