package distributor

import (
	"math"
	"slices"
	"time"

	"filbertstile.example/filbertstile"
)

const (
	// firstReaders is about how many hosts read from the origin at once while they may not know
	// of the others. They fill its link, and most often there is one, even if only half as many
	// hosts run as are expected.
	firstReaders = 6
	// firstReaderShare is the share that reads if the number of hosts is not known. A region of 5 hosts
	// most often has at least one reader, and one of 150 hosts has about 45, fewer than the 48
	// connections that origins accept.
	firstReaderShare = 0.3
	// fullListHosts is the number of hosts of the origin's region from which on a list
	// makes so few hosts readers that all of them may read at once.
	fullListHosts = 48
	// maxFirstReaders is the number of hosts for which the timers before the first request
	// for a manifest are dimensioned.
	maxFirstReaders = 48
	// manifestTimer is the longest of these timers.
	manifestTimer = 150 * time.Millisecond
	// startingManifestStep replaces the takeover delay between two hosts that request the
	// manifest soon after they have started: others may start a little later.
	startingManifestStep = 100 * time.Millisecond
	// severalReaders is the number of readers that fill the origin's link with one read each.
	severalReaders = 8
	// noProgressDelay is the time without a chunk after which more hosts read early.
	noProgressDelay = 500 * time.Millisecond
)

// recordGrowth records whether the list of members has grown.
func (c *Core) recordGrowth(now time.Time, e MembersChanged) {
	if c.firstMembersAt.IsZero() {
		c.firstMembersAt = now
	}
	grown := slices.ContainsFunc(e.Members, func(m filbertstile.Member) bool {
		return m.Name != c.config.Self.Name && !slices.ContainsFunc(c.members, func(o filbertstile.Member) bool { return o.Name == m.Name })
	})
	c.expectedCandidates = e.Expected
	c.listedAlone = e.Listed && len(e.Members) == 1
	if grown {
		// A complete list that grows is one of hosts that are still registering.
		c.listedFirst = e.Listed && len(c.members) <= 1
		c.membersGrewAt = now
	}
}

// settledAt returns the time from which on the list of members counts as complete. After a
// restart of all processes, hosts learn of one another one by one.
func (c *Core) settledAt() time.Time {
	l := c.config.Limits
	if l.SettleDelay == 0 {
		return time.Time{}
	}
	if c.membersGrewAt.IsZero() && c.listedAlone {
		return c.firstMembersAt.Add(l.MaxSettleDelay / 2)
	}
	if c.membersGrewAt.IsZero() {
		return c.firstMembersAt.Add(l.MaxSettleDelay)
	}
	if c.listedFirst {
		return c.membersGrewAt
	}
	at, last := c.membersGrewAt.Add(l.SettleDelay), c.firstMembersAt.Add(l.MaxSettleDelay)
	if at.After(last) {
		return last
	}
	return at
}

func (c *Core) settled(now time.Time) bool { return !now.Before(c.settledAt()) }

// readsEarly reports whether this host reads from the origin while its list of members may be
// incomplete. If all hosts did, each would take most chunks for its own. More hosts do so
// while none of the region makes progress.
func (c *Core) readsEarly(now time.Time, t *transfer) bool {
	if c.config.Self.Region != c.config.SourceRegion {
		return false
	}
	share := max(firstReaderShare, float64(len(c.originCandidates))/fullListHosts)
	if c.expectedCandidates > 0 {
		share = float64(firstReaders) / float64(max(c.expectedCandidates, len(c.originCandidates)))
	}
	if t.missing == len(t.have) && now.Sub(t.started) >= noProgressDelay {
		share *= 2
	}
	return hashFraction(string(t.digest), c.config.Self.Name) <= share
}

// mayReadOrigin reports whether this host may read from the origin now.
func (c *Core) mayReadOrigin(now time.Time, t *transfer) bool {
	return c.readsOrigin && (c.settled(now) || c.readsEarly(now, t))
}

// mayRequestManifestFromOrigin reports whether this host may request the manifest from the
// origin now. Only one request is in progress at a time: the origin's link would carry the
// responses of all of them.
func (c *Core) mayRequestManifestFromOrigin(now time.Time, t *transfer) bool {
	isCandidate := slices.ContainsFunc(c.originCandidates, func(m filbertstile.Member) bool { return m.Name == c.config.Self.Name })
	pending := !t.originManifestRequested.IsZero() && now.Sub(t.originManifestRequested) < c.config.Limits.ChunkTimeout
	return isCandidate && !pending && c.mayReadOrigin(now, t) && !now.Before(c.manifestDue(now, t))
}

// manifestDue returns when a transfer requests the manifest from the origin. While the list of
// members may be incomplete, the delays are distributed so that few hosts do so before the
// manifest of the first has spread, however many hosts there are: the number of those whose time
// has come grows exponentially.
func (c *Core) manifestDue(now time.Time, t *transfer) time.Time {
	if !c.settled(now) {
		part := 1 + math.Log(hashFraction(string(t.digest), "manifest", c.config.Self.Name))/math.Log(maxFirstReaders)
		return t.started.Add(filbertstile.DurationOf(max(0, part), manifestTimer))
	}
	rank := time.Duration(rendezvousRank(c.originCandidates, string(t.digest), c.config.Self.Name))
	if c.config.Limits.SettleDelay > 0 && now.Sub(c.firstMembersAt) < c.config.Limits.MaxSettleDelay {
		// Peers that have the manifest have just become known.
		return laterOf(t.started, c.settledAt()).Add(rank * startingManifestStep)
	}
	return t.started.Add(rank * c.config.Limits.TakeoverDelay)
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// hashFraction returns a hash of the strings, over 0 and at most 1.
func hashFraction(parts ...string) float64 {
	return (float64(hashOf(parts...)>>11) + 1) / (1 << 53)
}

// maxOriginFetches returns the number of chunks that this host reads from the origin at the
// same time. Reads share the link, so that more of them delay the first chunks. While hosts may not
// know of one another, a host reads one chunk at a time if there are several readers, or if reads are
// slow; otherwise the link would idle between two reads. Hosts that know one another always have the
// next read waiting: with one at a time the link idled so much that a copy of 1.9 s took over 2.4 s.
func (c *Core) maxOriginFetches(now time.Time, t *transfer) int {
	l := c.config.Limits
	if l.SlowOriginRead == 0 || c.settled(now) {
		return l.MaxOriginFetches
	}
	unknown := c.averageOriginTime == 0
	if unknown || c.averageOriginTime > l.SlowOriginRead || len(t.topology.owners) >= severalReaders {
		return 1
	}
	return l.MaxOriginFetches
}
