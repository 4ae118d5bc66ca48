// Package distributor decides which chunks of which releases a host fetches, and
// from whom. Each chunk has one designated reader, which reads it from the origin
// (the weight source outside the hosts), and one designated importer into each other
// region. Within a region, hosts fetch chunks from a bounded number of peers.
package distributor

import (
	"math/rand/v2"
	"slices"
	"time"

	"filbertstile.example/filbertstile"
)

// Config configures a Core.
type Config struct {
	// Self is the host that the core runs on.
	Self filbertstile.Member
	// SourceRegion is the region of the origin.
	SourceRegion string
	// RegionBytesPerSecond is the rate of the link into the host's region; 0 is
	// no limit.
	RegionBytesPerSecond float64
	Limits               Limits
	// Seed makes the random choices among equal candidates reproducible.
	Seed uint64
}

// Want is a release that the host should hold, and the digest of its manifest.
type Want struct {
	Release  string
	Manifest filbertstile.Digest
	// HasManifest is true if the host's process has the manifest already, so that it need not
	// wait for its turn to ask the origin.
	HasManifest bool
}

// Core decides for all transfers of a host.
type Core struct {
	config  Config
	rng     *rand.Rand
	members []filbertstile.Member
	// membersVersion is the number of times that members was replaced.
	membersVersion int
	// originCandidates are the hosts that may read from the origin.
	originCandidates []filbertstile.Member
	// readsOrigin is true if the hosts of this host's region read from the origin.
	readsOrigin bool
	// transfers are ordered by urgency, the most urgent first.
	transfers []*transfer
	// corruptCooldownUntil is the end of the cooldown of each peer that sent a corrupt
	// chunk.
	corruptCooldownUntil map[string]time.Time
	// cooldownUntil is the end of the cooldown of each peer that failed otherwise or had
	// no free slot. The empty name is the origin.
	cooldownUntil map[string]time.Time
	// originFailedAt is when a read from the origin last failed.
	originFailedAt time.Time
	// averageFetchTime is a moving average of the time that a fetch from a peer takes.
	averageFetchTime time.Duration
	// averageOriginTime is the same for reads from the origin.
	averageOriginTime time.Duration
	// firstMembersAt is when the first list of members arrived, and membersGrewAt when a list
	// last named a host that the one before did not.
	firstMembersAt, membersGrewAt time.Time
	// listedFirst is true if the list has not grown since one with all registered hosts.
	listedFirst bool
	// expectedCandidates is MembersChanged.Expected.
	expectedCandidates int
	// listedAlone is true if all registered hosts are this one.
	listedAlone bool
	// wasSettled is whether the list counted as complete at the last tick.
	wasSettled bool
}

const (
	// hedgeFactor is the multiple of the average fetch time after which a chunk is
	// also requested from another peer.
	hedgeFactor = 4
	// averageDivisor sets the weight of a new fetch time in the moving average to
	// 1/averageDivisor.
	averageDivisor = 8
)

// New returns a core without transfers.
func New(c Config) *Core {
	return &Core{
		config:               c,
		rng:                  rand.New(rand.NewPCG(c.Seed, hashOf(c.Self.Name))),
		corruptCooldownUntil: make(map[string]time.Time),
		cooldownUntil:        make(map[string]time.Time),
	}
}

// Tick processes the events and returns the commands that follow.
func (c *Core) Tick(now time.Time, inbox []Event) []Command {
	var out []Command
	for _, e := range inbox {
		out = append(out, c.handle(now, e)...)
	}
	if settled := c.settled(now); settled != c.wasSettled {
		c.wasSettled = settled
		for _, t := range c.transfers {
			// Chunks are missing because hosts did not know of one another.
			clear(t.ownerProgress)
			t.regionChunks, t.regionSince = 0, now
		}
	}
	mayReadOrigin := true
	for i, t := range c.transfers {
		c.updateTopology(t)
		out = append(out, c.expireFetches(now, t)...)
		out = append(out, c.updateSubscriptions(now, t)...)
		out = append(out, c.requestManifest(now, t)...)
		out = append(out, c.fetchFromPeers(now, t)...)
		out = append(out, c.importChunks(now, t)...)
		if mayReadOrigin {
			out = append(out, c.readFromOrigin(now, t)...)
		}
		mayReadOrigin = mayReadOrigin && (i+1 == len(c.transfers) || c.originReadsIssued(now, t))
	}
	return out
}

// Done reports whether the host holds all wanted releases, or none is wanted, so that
// only events can lead to new commands.
func (c *Core) Done() bool {
	return !slices.ContainsFunc(c.transfers, func(t *transfer) bool { return !t.done })
}

func (c *Core) findTransfer(d filbertstile.Digest) *transfer { return findTransfer(c.transfers, d) }

func (c *Core) handle(now time.Time, e Event) []Command {
	switch e := e.(type) {
	case WantedChanged:
		return c.setWanted(now, e.Wants)
	case MembersChanged:
		c.setMembers(now, e)
	case ManifestArrived:
		return c.handleManifestArrived(now, e)
	case ManifestFailed:
		c.cooldownUntil[e.Peer] = now.Add(c.config.Limits.ManifestRetryDelay)
		if t := c.findTransfer(e.Digest); t != nil && e.Peer == "" {
			t.originManifestRequested = time.Time{}
		}
	case ChunkArrived:
		return c.handleChunkArrived(now, e)
	case ChunkFailed:
		c.handleChunkFailed(now, e)
	case HoldingReported:
		c.handleHoldingReported(now, e)
	case PeerLost:
		c.handlePeerLost(e)
	}
	return nil
}

// handlePeerLost forgets which chunks a peer holds. The peer stays in t.peers because
// the caller of Tick keeps trying to renew the subscription.
func (c *Core) handlePeerLost(e PeerLost) {
	t := c.findTransfer(e.Manifest)
	if t == nil || t.peers[e.Peer] == nil {
		return
	}
	p := t.peers[e.Peer]
	p.holdingKnown = false
	p.holds = make([]bool, len(t.have))
}

func (c *Core) handleManifestArrived(now time.Time, e ManifestArrived) []Command {
	t := c.findTransfer(e.Digest)
	if t == nil || t.hasManifest {
		return nil
	}
	t.hasManifest = true
	t.manifest = e.Manifest
	n := len(e.Manifest.Chunks)
	t.have = make([]bool, n)
	t.seenInRegion = make([]bool, n)
	t.missing = n
	t.lastProgress, t.regionSince = now, now
	for _, p := range t.peers {
		p.holds = resize(p.holds, n)
	}
	for _, i := range e.Held {
		t.have[i] = true
		t.seenInRegion[i] = true
		t.missing--
	}
	return c.checkCompleted(t)
}

func (c *Core) handleChunkArrived(now time.Time, e ChunkArrived) []Command {
	t := c.findTransfer(e.Manifest)
	if t == nil || !t.hasManifest {
		return nil
	}
	if f, ok := t.endFetch(e.Index, e.Peer); ok {
		average := &c.averageFetchTime
		if e.Peer == "" {
			average = &c.averageOriginTime
		}
		if *average == 0 && e.Peer == "" {
			*average = now.Sub(f.started)
		}
		*average += (now.Sub(f.started) - *average) / averageDivisor
	}
	c.recordInRegion(now, t, e.Index)
	if t.have[e.Index] {
		return nil
	}
	t.have[e.Index] = true
	t.missing--
	delete(t.corruptReads, e.Index)
	return c.checkCompleted(t)
}

// recordInRegion records that a chunk is available in the region, if it is the first
// time.
func (c *Core) recordInRegion(now time.Time, t *transfer, index int) {
	if t.seenInRegion[index] {
		return
	}
	t.seenInRegion[index] = true
	t.lastProgress = now
	t.regionChunks++
	p := t.progressOf(now, c.ownerOf(t, index))
	p.lastChunk = now
	p.chunks++
}

func (c *Core) handleChunkFailed(now time.Time, e ChunkFailed) {
	t := c.findTransfer(e.Manifest)
	if t == nil {
		return
	}
	t.endFetch(e.Index, e.Peer)
	switch {
	case e.Peer == "":
		c.recordOriginFailure(now)
		if e.Failure == FailedCorrupt {
			t.recordCorruptRead(now, e.Index, c.config.Limits.OriginRetryDelay)
		}
	case e.Failure == FailedCorrupt:
		c.corruptCooldownUntil[e.Peer] = now.Add(c.config.Limits.CorruptPeerCooldown)
	case e.Failure == FailedBusy:
		c.cooldownUntil[e.Peer] = now.Add(c.config.Limits.BusyPeerCooldown)
	default:
		c.cooldownUntil[e.Peer] = now.Add(c.config.Limits.TakeoverDelay)
	}
}

// recordOriginFailure records that a read from the origin failed. While the origin
// fails, a lack of progress does not mean that the other readers have failed, so
// shouldFetch measures it from the last origin failure at the earliest.
func (c *Core) recordOriginFailure(now time.Time) {
	c.originFailedAt = now
	for _, t := range c.transfers {
		t.regionChunks, t.regionSince = 0, now
		for _, p := range t.ownerProgress {
			p.failedAt = time.Time{}
		}
	}
	c.cooldownUntil[""] = now.Add(c.config.Limits.OriginRetryDelay)
}

func (c *Core) handleHoldingReported(now time.Time, e HoldingReported) {
	t := c.findTransfer(e.Manifest)
	if t == nil {
		return
	}
	p := t.peers[e.Peer]
	if p == nil {
		return
	}
	p.holdingKnown = true
	if e.Complete || p.holds == nil {
		p.holds = make([]bool, len(t.have))
	}
	for _, i := range e.Chunks {
		if i >= len(p.holds) {
			if t.hasManifest {
				continue // the manifest has no such chunk
			}
			p.holds = resize(p.holds, i+1)
		}
		p.holds[i] = true
		if t.hasManifest && p.member.Region == c.config.Self.Region {
			c.recordInRegion(now, t, i)
		}
	}
}

// expireFetches removes fetches from the origin that have timed out, and fetches from
// peers that take much longer than average, so that the chunks are requested again,
// from other peers where possible. A peer may hang or have a slow link, and a release
// is complete only with its last chunks. A chunk that still arrives later is used.
func (c *Core) expireFetches(now time.Time, t *transfer) []Command {
	hedgeDelay := max(c.config.Limits.MinHedgeDelay, hedgeFactor*c.averageFetchTime)
	for i, f := range t.fetching {
		age := now.Sub(f.started)
		switch {
		case f.peer == "" && age > c.config.Limits.ChunkTimeout:
			c.recordOriginFailure(now)
		case f.peer != "" && age > min(hedgeDelay, c.config.Limits.ChunkTimeout):
			c.cooldownUntil[f.peer] = now.Add(c.config.Limits.ChunkTimeout)
		default:
			continue
		}
		t.endFetch(i, f.peer)
	}
	return nil
}

// usable reports whether the peer may get another request now.
func (c *Core) usable(now time.Time, p *peerState) bool {
	name := p.member.Name
	return p.holdingKnown && p.inFlight < c.config.Limits.MaxFetchesPerPeer &&
		!now.Before(c.corruptCooldownUntil[name]) && !now.Before(c.cooldownUntil[name])
}

// startFetch records a fetch from the peer and returns its command; nil is the origin.
func (c *Core) startFetch(now time.Time, t *transfer, index int, p *peerState) Command {
	f := fetch{index: index, started: now}
	cmd := FetchChunk{Manifest: t.digest, Index: index, Ref: t.manifest.Chunks[index], Timeout: c.config.Limits.ChunkTimeout}
	if p == nil {
		t.originFetches++
	} else {
		f.peer = p.member.Name
		f.imported = p.member.Region != c.config.Self.Region
		cmd.Peer = p.member
		p.inFlight++
		if f.imported {
			t.importFetches++
		}
	}
	t.fetching[index] = f
	return cmd
}
