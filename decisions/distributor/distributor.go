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

// Limits are the limits and delays of a host. The maximum numbers of fetches apply
// to each transfer separately.
type Limits struct {
	// RingPeersPerSide is the number of peers that a host subscribes to in each
	// direction of its region's ring.
	RingPeersPerSide int
	// SourcePeers is the number of peers in the source region that an importer
	// subscribes to.
	SourcePeers int
	// MaxPeerFetches is the maximum number of fetches in flight from peers of the
	// region.
	MaxPeerFetches int
	// MaxFetchesPerPeer is the maximum number of fetches in flight from one peer.
	MaxFetchesPerPeer int
	// MaxOriginFetches is the maximum number of fetches in flight from the origin.
	MaxOriginFetches int
	// MaxImportFetches is the maximum number of fetches in flight from another
	// region.
	MaxImportFetches int
	// ImportShare is the share of the region link that imports may use.
	ImportShare float64
	// TakeoverDelay is the minimum time without progress after which the next host
	// in order takes over. It is also how long a peer gets no requests after a fetch
	// from it was lost.
	TakeoverDelay time.Duration
	// ChunkTimeout is the timeout of a fetch, and how long a peer gets no requests
	// after a slow one.
	ChunkTimeout time.Duration
	// MinHedgeDelay is the minimum time after which a chunk in flight is also
	// requested from another peer. The actual delay grows with the average fetch
	// time, up to ChunkTimeout.
	MinHedgeDelay time.Duration
	// CorruptPeerCooldown is how long a peer that sent a corrupt chunk gets no
	// requests.
	CorruptPeerCooldown time.Duration
	// BusyPeerCooldown is how long a peer that had no free slot gets no requests.
	BusyPeerCooldown time.Duration
	// OriginRetryDelay is the delay before the origin is read again after a failure.
	OriginRetryDelay time.Duration
	// ManifestRetryDelay is the minimum time between two requests for a manifest, and
	// how long a peer gets no requests after it failed to send one.
	ManifestRetryDelay time.Duration
	// MaxReaders is the maximum number of hosts that read from the origin and divide
	// its chunks among them. It is limited because origins limit their connections.
	MaxReaders int
	// MaxImporters is the maximum number of hosts of a region that import chunks from
	// the source region and divide them among each other.
	MaxImporters int
}

// DefaultLimits returns the default limits, which docs/design/weights.md discusses.
func DefaultLimits() Limits {
	return Limits{
		RingPeersPerSide:    4,
		SourcePeers:         4,
		MaxPeerFetches:      4,
		MaxFetchesPerPeer:   2,
		MaxOriginFetches:    2,
		MaxImportFetches:    8,
		ImportShare:         0.97,
		TakeoverDelay:       time.Second,
		ChunkTimeout:        4 * time.Second,
		MinHedgeDelay:       2 * time.Second,
		CorruptPeerCooldown: 30 * time.Second,
		BusyPeerCooldown:    10 * time.Millisecond,
		OriginRetryDelay:    50 * time.Millisecond,
		ManifestRetryDelay:  50 * time.Millisecond,
		MaxReaders:          12,
		MaxImporters:        2,
	}
}

// SmallReleaseLimits returns the limits for releases of a few megabytes. In a region of
// up to a dozen hosts, each one subscribes to all others, and each imports a part of the
// chunks from other regions: with a single importer the region would wait for that
// host's link.
func SmallReleaseLimits() Limits {
	l := DefaultLimits()
	l.RingPeersPerSide, l.SourcePeers, l.MaxImporters, l.MaxOriginFetches = 4, 6, 6, 2
	l.MaxPeerFetches, l.MaxFetchesPerPeer = 5, 2
	l.MinHedgeDelay = smallReleaseHedgeDelay
	return l
}

// smallReleaseHedgeDelay is about three times the time in which a host that serves all
// its uploads at once completes them, at some 30 ms each at the rate of its link.
const smallReleaseHedgeDelay = 800 * time.Millisecond

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
		c.setMembers(e.Members)
	case ManifestArrived:
		return c.handleManifestArrived(now, e)
	case ManifestFailed:
		c.cooldownUntil[e.Peer] = now.Add(c.config.Limits.ManifestRetryDelay)
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
	t.lastProgress = now
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
	if f, ok := t.endFetch(e.Index, e.Peer); ok && e.Peer != "" {
		c.averageFetchTime += (now.Sub(f.started) - c.averageFetchTime) / averageDivisor
	}
	c.recordInRegion(now, t, e.Index)
	if t.have[e.Index] {
		return nil
	}
	t.have[e.Index] = true
	t.missing--
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
