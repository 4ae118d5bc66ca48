// Package distributor decides which chunk of which release a host fetches from
// whom: one designated reader at the origin for each chunk, one importer into
// each region, and spreading among a bounded number of peers.
package distributor

import (
	"math/rand/v2"
	"time"

	"filbertstile.example/filbertstile"
)

// Config sets the bounds of a host's part in the distribution.
type Config struct {
	Self filbertstile.Member
	// SourceRegion is the region of the weight store.
	SourceRegion string
	// RegionBytesPerSecond is the rate of the link into the host's region; 0 is
	// no limit.
	RegionBytesPerSecond float64
	// Limits bound what is under way.
	Limits Limits
	// Seed makes the choice among equals repeatable.
	Seed uint64
}

// Limits bound what a host has under way.
type Limits struct {
	// PeersEachWay is the number of peers on either side of the ring.
	PeersEachWay int
	// SourcePeers is the number of peers that an importer follows.
	SourcePeers int
	// Outstanding bounds the chunks under way from peers of the region.
	Outstanding int
	// PerPeer bounds the chunks under way from one peer.
	PerPeer int
	// OriginWindow bounds the chunks under way from the source.
	OriginWindow int
	// ImportWindow bounds the chunks under way from another region.
	ImportWindow int
	// ImportShare is the share of the region link that imports may use.
	ImportShare float64
	// TakeOver is the least time without progress before the next in order acts.
	TakeOver time.Duration
	// ChunkTimeout ends a fetch that does not finish.
	ChunkTimeout time.Duration
	// SlowChunk is the least time after which a chunk is asked of another peer as
	// well; it grows with what chunks usually take.
	SlowChunk time.Duration
	// SetAside is how long a peer that sent a bad chunk is not asked.
	SetAside time.Duration
	// BusyPause is how long a peer that had no slot is not asked.
	BusyPause time.Duration
	// SourceRetry is the time between two tries to read from a source that failed.
	SourceRetry time.Duration
	// ManifestRetry is the time between two requests for a manifest.
	ManifestRetry time.Duration
	// Readers is the number of hosts among which the chunks are divided that come
	// from the origin; origins bound their connections.
	Readers int
	// Importers is the number of hosts among which the chunks that come from other
	// regions are divided.
	Importers int
}

// DefaultLimits are the limits that docs/design/weights.md weighs.
func DefaultLimits() Limits {
	return Limits{
		PeersEachWay:  4,
		SourcePeers:   4,
		Outstanding:   4,
		PerPeer:       2,
		OriginWindow:  2,
		ImportWindow:  8,
		ImportShare:   0.97,
		TakeOver:      time.Second,
		ChunkTimeout:  4 * time.Second,
		SlowChunk:     2 * time.Second,
		SetAside:      30 * time.Second,
		BusyPause:     10 * time.Millisecond,
		SourceRetry:   50 * time.Millisecond,
		ManifestRetry: 50 * time.Millisecond,
		Readers:       12,
		Importers:     2,
	}
}

// Want is a release that the host should hold.
type Want struct {
	Release  string
	Manifest filbertstile.Digest
}

// Event is something that the core takes in.
type Event interface{ event() }

// Wanted replaces the list of releases, the most urgent first.
type Wanted struct{ Wants []Want }

// MembersSeen replaces the hosts of the service.
type MembersSeen struct{ Members []filbertstile.Member }

// ManifestArrived brings a checked manifest, and the chunks of it that the host
// holds already.
type ManifestArrived struct {
	Digest   filbertstile.Digest
	Manifest filbertstile.Manifest
	Held     []int
}

// ManifestFailed tells that no manifest came.
type ManifestFailed struct {
	Digest filbertstile.Digest
	Peer   string
}

// ChunkArrived brings a verified chunk.
type ChunkArrived struct {
	Manifest filbertstile.Digest
	Index    int
	Peer     string
}

// Failure tells why a chunk did not come.
type Failure string

// Failures of a fetch.
const (
	FailedBusy    Failure = "Busy"
	FailedCorrupt Failure = "Corrupt"
	FailedLost    Failure = "Lost"
)

// ChunkFailed tells that a chunk did not come.
type ChunkFailed struct {
	Manifest filbertstile.Digest
	Index    int
	Peer     string
	Failure  Failure
}

// HoldingSeen tells which chunks a peer holds.
type HoldingSeen struct {
	Peer     string
	Manifest filbertstile.Digest
	// Whole replaces what was known of the peer.
	Whole  bool
	Chunks []int
}

// PeerLost tells that a peer is no longer followed.
type PeerLost struct {
	Peer     string
	Manifest filbertstile.Digest
}

func (Wanted) event()          {}
func (MembersSeen) event()     {}
func (ManifestArrived) event() {}
func (ManifestFailed) event()  {}
func (ChunkArrived) event()    {}
func (ChunkFailed) event()     {}
func (HoldingSeen) event()     {}
func (PeerLost) event()        {}

// Command is something that the shell carries out.
type Command interface{ command() }

// FetchManifest asks for a manifest; an empty peer is the source.
type FetchManifest struct {
	Digest filbertstile.Digest
	Peer   filbertstile.Member
}

// FetchChunk asks for a chunk; an empty peer is the source.
type FetchChunk struct {
	Manifest filbertstile.Digest
	Index    int
	Ref      filbertstile.ChunkRef
	Peer     filbertstile.Member
	Timeout  time.Duration
}

// Follow subscribes to what a peer holds.
type Follow struct {
	Manifest filbertstile.Digest
	Peer     filbertstile.Member
}

// Unfollow ends a subscription.
type Unfollow struct {
	Manifest filbertstile.Digest
	Peer     string
}

// Completed tells that all chunks of a release are held.
type Completed struct {
	Release  string
	Manifest filbertstile.Digest
}

// Drop tells that a release's chunks are needed no more.
type Drop struct{ Manifest filbertstile.Digest }

func (FetchManifest) command() {}
func (FetchChunk) command()    {}
func (Follow) command()        {}
func (Unfollow) command()      {}
func (Completed) command()     {}
func (Drop) command()          {}

// fetch is a chunk under way.
type fetch struct {
	index int
	// peer is empty for the source.
	peer     string
	imported bool
	started  time.Time
}

// peerRow is what is known of one followed peer.
type peerRow struct {
	member   filbertstile.Member
	has      []bool
	known    bool
	underway int
}

// share is the progress of the chunks of one reader or importer.
type share struct {
	last  time.Time
	first time.Time
	seen  int
}

// transfer is one release on its way to this host.
type transfer struct {
	want     Want
	manifest filbertstile.Manifest
	known    bool
	asked    time.Time
	started  time.Time
	have     []bool
	missing  int
	seen     []bool
	fetching map[int]fetch
	peers    map[string]*peerRow
	shares   map[string]*share
	progress time.Time
	// nextImport is when the region link may carry the next chunk.
	nextImport time.Time
	imports    int
	origins    int
	done       bool
	// ring is the host's place among the members; it is worked out anew when
	// they change.
	ring ring
}

// ring is what follows from the members for one transfer.
type ring struct {
	version int
	// neighbours are the peers of the region, source those of the source's.
	neighbours []filbertstile.Member
	source     []filbertstile.Member
	importRank int
	importers  []filbertstile.Member
	// turns are the names of the owners of chunks, in the order of their turns.
	turns []string
}

// Core owns a host's transfers.
type Core struct {
	config  Config
	rng     *rand.Rand
	members []filbertstile.Member
	version int
	origins []filbertstile.Member
	// atSource tells whether this host's region reads from the origin itself.
	atSource  bool
	transfers []*transfer
	// asideUntil and busyUntil say when a peer may be asked again.
	asideUntil map[string]time.Time
	busyUntil  map[string]time.Time
	// sourceLost is when the source last failed this host.
	sourceLost time.Time
	// usual is what a chunk from a peer has taken lately.
	usual time.Duration
}

// slowFactor times the usual, a chunk counts as slow; usualWeight is the share of
// the newest in the usual.
const (
	slowFactor  = 4
	usualWeight = 8
)

// New returns a core without transfers.
func New(c Config) *Core {
	return &Core{
		config:     c,
		rng:        rand.New(rand.NewPCG(c.Seed, hashOf(c.Self.Name))),
		asideUntil: make(map[string]time.Time),
		busyUntil:  make(map[string]time.Time),
	}
}

// Tick takes in the events and decides what to fetch.
func (c *Core) Tick(now time.Time, inbox []Event) []Command {
	var out []Command
	for _, e := range inbox {
		out = append(out, c.take(now, e)...)
	}
	drawn := true
	for i, t := range c.transfers {
		c.placeIn(t)
		out = append(out, c.expire(now, t)...)
		out = append(out, c.follow(now, t)...)
		out = append(out, c.manifests(now, t)...)
		out = append(out, c.spread(now, t)...)
		out = append(out, c.imports(now, t)...)
		if drawn {
			out = append(out, c.origin(now, t)...)
		}
		drawn = drawn && (i+1 == len(c.transfers) || c.drawn(now, t))
	}
	return out
}

func (c *Core) find(d filbertstile.Digest) *transfer {
	for _, t := range c.transfers {
		if t.want.Manifest == d {
			return t
		}
	}
	return nil
}

func (c *Core) take(now time.Time, e Event) []Command {
	switch e := e.(type) {
	case Wanted:
		return c.setWanted(now, e.Wants)
	case MembersSeen:
		c.setMembers(e.Members)
	case ManifestArrived:
		return c.manifestArrived(now, e)
	case ManifestFailed:
		c.busyUntil[e.Peer] = now.Add(c.config.Limits.ManifestRetry)
	case ChunkArrived:
		return c.chunkArrived(now, e)
	case ChunkFailed:
		c.chunkFailed(now, e)
	case HoldingSeen:
		c.holdingSeen(now, e)
	case PeerLost:
		c.peerLost(e)
	}
	return nil
}

// peerLost forgets what a peer held; the shell goes on following it.
func (c *Core) peerLost(e PeerLost) {
	t := c.find(e.Manifest)
	if t == nil || t.peers[e.Peer] == nil {
		return
	}
	p := t.peers[e.Peer]
	p.known = false
	p.has = make([]bool, len(t.have))
}

func (c *Core) setWanted(now time.Time, wants []Want) []Command {
	var out []Command
	var next []*transfer
	for _, w := range wants {
		t := c.find(w.Manifest)
		if t == nil {
			t = &transfer{
				want: w, started: now, progress: now,
				fetching: make(map[int]fetch), peers: make(map[string]*peerRow), shares: make(map[string]*share),
			}
		}
		next = append(next, t)
	}
	for _, t := range c.transfers {
		kept := false
		for _, n := range next {
			kept = kept || n == t
		}
		if kept {
			continue
		}
		for name := range t.peers {
			out = append(out, Unfollow{Manifest: t.want.Manifest, Peer: name})
		}
		out = append(out, Drop{Manifest: t.want.Manifest})
	}
	c.transfers = next
	return out
}

func (c *Core) manifestArrived(now time.Time, e ManifestArrived) []Command {
	t := c.find(e.Digest)
	if t == nil || t.known {
		return nil
	}
	t.known = true
	t.manifest = e.Manifest
	n := len(e.Manifest.Chunks)
	t.have = make([]bool, n)
	t.seen = make([]bool, n)
	t.missing = n
	t.progress = now
	for _, p := range t.peers {
		p.has = resized(p.has, n)
	}
	for _, i := range e.Held {
		t.have[i] = true
		t.seen[i] = true
		t.missing--
	}
	return c.completed(t)
}

func resized(has []bool, n int) []bool {
	out := make([]bool, n)
	copy(out, has)
	return out
}

func (c *Core) completed(t *transfer) []Command {
	if t.missing > 0 || t.done {
		return nil
	}
	t.done = true
	return []Command{Completed{Release: t.want.Release, Manifest: t.want.Manifest}}
}

// release forgets a fetch that ended.
func (t *transfer) release(index int, peer string) (fetch, bool) {
	f, ok := t.fetching[index]
	if !ok || f.peer != peer {
		return fetch{}, false
	}
	delete(t.fetching, index)
	switch {
	case f.peer == "":
		t.origins--
	case f.imported:
		t.imports--
	}
	if p := t.peers[f.peer]; p != nil {
		p.underway--
	}
	return f, true
}

func (c *Core) chunkArrived(now time.Time, e ChunkArrived) []Command {
	t := c.find(e.Manifest)
	if t == nil || !t.known {
		return nil
	}
	if f, ok := t.release(e.Index, e.Peer); ok && e.Peer != "" {
		c.usual += (now.Sub(f.started) - c.usual) / usualWeight
	}
	c.note(now, t, e.Index)
	if t.have[e.Index] {
		return nil
	}
	t.have[e.Index] = true
	t.missing--
	return c.completed(t)
}

// note records that a chunk is in the region for the first time.
func (c *Core) note(now time.Time, t *transfer, index int) {
	if t.seen[index] {
		return
	}
	t.seen[index] = true
	t.progress = now
	s := t.share(now, c.ownerOf(t, index))
	s.last = now
	s.seen++
}

func (t *transfer) share(now time.Time, owner string) *share {
	s, ok := t.shares[owner]
	if !ok {
		s = &share{last: now, first: now}
		t.shares[owner] = s
	}
	return s
}

func (c *Core) chunkFailed(now time.Time, e ChunkFailed) {
	t := c.find(e.Manifest)
	if t == nil {
		return
	}
	t.release(e.Index, e.Peer)
	switch {
	case e.Peer == "":
		c.loseSource(now)
	case e.Failure == FailedCorrupt:
		c.asideUntil[e.Peer] = now.Add(c.config.Limits.SetAside)
	case e.Failure == FailedBusy:
		c.busyUntil[e.Peer] = now.Add(c.config.Limits.BusyPause)
	default:
		c.busyUntil[e.Peer] = now.Add(c.config.Limits.TakeOver)
	}
}

// loseSource notes that the source failed. That others show no progress says
// nothing about them then.
func (c *Core) loseSource(now time.Time) {
	c.sourceLost = now
	c.busyUntil[""] = now.Add(c.config.Limits.SourceRetry)
}

func (c *Core) holdingSeen(now time.Time, e HoldingSeen) {
	t := c.find(e.Manifest)
	if t == nil {
		return
	}
	p := t.peers[e.Peer]
	if p == nil {
		return
	}
	p.known = true
	if e.Whole || p.has == nil {
		p.has = make([]bool, len(t.have))
	}
	for _, i := range e.Chunks {
		if i >= len(p.has) {
			if t.known {
				continue // a peer cannot hold a chunk that the manifest lacks
			}
			p.has = resized(p.has, i+1)
		}
		p.has[i] = true
		if t.known && p.member.Region == c.config.Self.Region {
			c.note(now, t, i)
		}
	}
}

// expire gives up fetches that take too long, and asks others for chunks that
// take far longer than usual: a peer may stand still, or its link be slow, and
// the last few chunks are what a release waits for. A slow chunk that comes
// after all counts.
func (c *Core) expire(now time.Time, t *transfer) []Command {
	slow := max(c.config.Limits.SlowChunk, slowFactor*c.usual)
	for i, f := range t.fetching {
		took := now.Sub(f.started)
		switch {
		case f.peer == "" && took > c.config.Limits.ChunkTimeout:
			c.loseSource(now)
		case f.peer != "" && took > min(slow, c.config.Limits.ChunkTimeout):
			c.busyUntil[f.peer] = now.Add(c.config.Limits.ChunkTimeout)
		default:
			continue
		}
		t.release(i, f.peer)
	}
	return nil
}

// usable tells whether the peer may be asked now.
func (c *Core) usable(now time.Time, p *peerRow) bool {
	name := p.member.Name
	return p.known && p.underway < c.config.Limits.PerPeer &&
		!now.Before(c.asideUntil[name]) && !now.Before(c.busyUntil[name])
}

func (c *Core) start(now time.Time, t *transfer, index int, p *peerRow) Command {
	f := fetch{index: index, started: now}
	cmd := FetchChunk{Manifest: t.want.Manifest, Index: index, Ref: t.manifest.Chunks[index], Timeout: c.config.Limits.ChunkTimeout}
	if p == nil {
		t.origins++
	} else {
		f.peer = p.member.Name
		f.imported = p.member.Region != c.config.Self.Region
		cmd.Peer = p.member
		p.underway++
		if f.imported {
			t.imports++
		}
	}
	t.fetching[index] = f
	return cmd
}
