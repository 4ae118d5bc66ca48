package distributor

import (
	"slices"
	"time"
)

// readFromOrigin reads the chunks of which this host is the designated reader, and
// those of readers that have made no progress for too long.
func (c *Core) readFromOrigin(now time.Time, t *transfer) []Command {
	if !t.hasManifest || t.missing == 0 || !c.mayReadOrigin(now, t) || now.Before(c.cooldownUntil[""]) || t.originFetches >= c.maxOriginFetches(now, t) {
		return nil
	}
	var out []Command
	order, ownLeft := c.originOrder(now, t), false
	read := func(own bool) {
		for _, i := range order {
			isOwn := c.ownerOf(t, i) == c.config.Self.Name
			if isOwn != own || t.have[i] || t.isFetching(i) || t.awaitsRetry(now, i) || !c.shouldRead(now, t, i) {
				continue
			}
			if t.originFetches >= c.maxOriginFetches(now, t) {
				ownLeft = ownLeft || own
				return
			}
			out = append(out, c.startFetch(now, t, i, nil))
		}
	}
	read(true)
	if len(t.topology.owners) > 0 && c.settled(now) {
		c.recordFirstMissing(now, t)
	}
	if !ownLeft {
		// Chunks of other readers come last: while there are others to read, the origin's
		// link does not idle.
		read(false)
		out = append(out, c.readForOthers(now, t)...)
	}
	return out
}

// shouldRead reports whether this host should read the chunk from the origin. While hosts may not
// know of one another, the few that read from the origin read any chunk.
func (c *Core) shouldRead(now time.Time, t *transfer, index int) bool {
	if !c.settled(now) {
		return !c.heldInRegion(t, index)
	}
	return c.shouldFetch(now, t, index)
}

// originOrder returns the order in which this host reads its chunks from the origin: at random
// while other hosts may read the same ones, and else from the first to the last.
func (c *Core) originOrder(now time.Time, t *transfer) []int {
	if !c.settled(now) {
		return c.rng.Perm(len(t.have))
	}
	out := make([]int, len(t.have))
	for i := range out {
		out[i] = i
	}
	return out
}

// readForOthers reads chunks of other readers if this host has none left and its last reads
// were so fast that the origin's link is not full. It reads none that the owner reads next.
func (c *Core) readForOthers(now time.Time, t *transfer) []Command {
	owners := len(t.topology.owners)
	fast := c.averageOriginTime > 0 && c.averageOriginTime <= c.config.Limits.SlowOriginRead
	if t.originFetches > 0 || !fast || !slices.Contains(t.topology.owners, c.config.Self.Name) {
		return nil
	}
	missing := make([]int, owners)
	var candidates []int
	for i := range t.have {
		if t.have[i] || t.isFetching(i) || t.awaitsRetry(now, i) || c.heldInRegion(t, i) {
			continue
		}
		missing[i%owners]++
		if missing[i%owners] > 2*c.config.Limits.MaxOriginFetches || c.stuck(now, t, i%owners) {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	// The order of takeover spreads the readers over the chunks.
	return []Command{c.startFetch(now, t, slices.MinFunc(candidates, func(a, b int) int {
		return c.ownerRank(t, a, c.ownerOf(t, a)) - c.ownerRank(t, b, c.ownerOf(t, b))
	}), nil)}
}

// recordFirstMissing records for each owner which of its chunks is the first that is missing in
// the region.
func (c *Core) recordFirstMissing(now time.Time, t *transfer) {
	owners := len(t.topology.owners)
	found := make([]bool, owners)
	for i := range t.have {
		if found[i%owners] || t.have[i] || c.heldInRegion(t, i) {
			continue
		}
		found[i%owners] = true
		if p := t.progressOf(now, t.topology.owners[i%owners]); p.firstMissing != i || p.firstMissingSince.IsZero() {
			p.firstMissing, p.firstMissingSince = i, now
		}
	}
}

// stuck reports whether the owner does not read its chunks: it reads them in order, and the first
// of them has been missing for too long. That other hosts read the rest does not count.
func (c *Core) stuck(now time.Time, t *transfer, owner int) bool {
	p := t.progressOf(now, t.topology.owners[owner])
	if p.failedAt.IsZero() && !p.firstMissingSince.IsZero() && now.Sub(p.firstMissingSince) >= max(c.config.Limits.TakeoverDelay, 2*c.averageOriginTime) {
		p.failedAt = now
	}
	return !p.failedAt.IsZero()
}

// originReadsIssued reports whether all chunks of which this host is the designated
// reader are in the region or in flight, so that it may read less urgent releases from
// the origin. A transfer without progress for ChunkTimeout counts as issued, so that it
// does not block the others.
func (c *Core) originReadsIssued(now time.Time, t *transfer) bool {
	stalled := now.Sub(t.lastProgress) > c.config.Limits.ChunkTimeout
	if t.done || stalled || !c.readsOrigin {
		return true
	}
	if !t.hasManifest {
		return false
	}
	for i := range t.have {
		if !t.have[i] && !t.isFetching(i) && !c.heldInRegion(t, i) && c.ownerOf(t, i) == c.config.Self.Name {
			return false
		}
	}
	return true
}

// shouldFetch reports whether this host should fetch the chunk into its region: no peer
// of the region is known to hold it, and this host is the chunk's owner, or the owner and
// the hosts before this one in the takeover order have made no progress for too long.
func (c *Core) shouldFetch(now time.Time, t *transfer, index int) bool {
	owner := c.ownerOf(t, index)
	if owner == c.config.Self.Name {
		return !c.heldInRegion(t, index)
	}
	if !c.settled(now) {
		return false // the owner may not know that it is
	}
	p := t.progressOf(now, owner)
	delay := c.takeoverDelay(now, t, p)
	// The owner may have learned later than this host that it is one.
	idle := min(now.Sub(p.lastChunk), now.Sub(c.originFailedAt), now.Sub(c.firstMembersAt.Add(c.config.Limits.MaxSettleDelay/2)))
	if idle >= delay && p.failedAt.IsZero() {
		p.failedAt = now
	}
	if p.failedAt.IsZero() || c.heldInRegion(t, index) {
		return false
	}
	// The chunks that others read for a failed owner do not count as its progress.
	rank := c.ownerRank(t, index, owner)
	step := max(c.config.Limits.TakeoverDelay, takeoverReads*c.averageOriginTime)
	return rank >= 0 && now.Sub(p.failedAt) >= time.Duration(rank)*step
}

// takeoverDelay returns the time without progress after which the owner counts as failed. The chunks
// of a slow owner that makes steady progress must not be taken over, nor those of one whose reads take
// long only because all owners share a link: a host that fetches none of them itself sees that from
// the progress of all owners alone.
func (c *Core) takeoverDelay(now time.Time, t *transfer, p *ownerProgress) time.Duration {
	slowest := takeoverGaps * t.usualGap(now)
	if p.chunks > 0 {
		slowest = max(slowest, 4*p.lastChunk.Sub(p.since)/time.Duration(p.chunks))
	}
	if c.readsOrigin && len(t.topology.owners) > 1 && t.regionChunks == 0 {
		// The first reads share the link, and all end at about the same time.
		slowest = c.config.Limits.ChunkTimeout
	}
	return max(c.config.Limits.TakeoverDelay, min(slowest, c.config.Limits.ChunkTimeout))
}

// takeoverGaps is the number of usual gaps between two chunks of an owner after which it counts as
// failed. An owner has two reads in flight, so that the next chunk may take two of them.
const takeoverGaps = 4

// takeoverReads is the number of reads from the origin for which the next host in order
// waits for the one before it to read the chunks of a failed owner.
const takeoverReads = 3
