package distributor

import (
	"slices"
	"time"

	"filbertstile.example/filbertstile"
)

// updateSubscriptions subscribes to the peers that the host needs, and
// unsubscribes from the others.
func (c *Core) updateSubscriptions(now time.Time, t *transfer) []Command {
	want := slices.Clone(t.topology.neighbours)
	if c.subscribesToSource(now, t) {
		want = append(want, t.topology.sourcePeers...)
	}
	if t.done {
		// The host needs no more chunks. Other hosts stay subscribed to it.
		want = nil
	}
	var out []Command
	for _, m := range want {
		if t.peers[m.Name] == nil {
			t.peers[m.Name] = &peerState{member: m, holds: make([]bool, len(t.have))}
			out = append(out, Subscribe{Manifest: t.digest, Peer: m})
		}
	}
	for name := range t.peers {
		if !slices.ContainsFunc(want, func(m filbertstile.Member) bool { return m.Name == name }) {
			delete(t.peers, name)
			out = append(out, Unsubscribe{Manifest: t.digest, Peer: name})
		}
	}
	return out
}

// subscribesToSource reports whether this host should subscribe to peers in the source
// region. The importers of its region do, and the hosts after them in the import order
// after a time without progress that grows with their rank.
func (c *Core) subscribesToSource(now time.Time, t *transfer) bool {
	rank := t.topology.importRank
	if rank < 0 || c.readsOrigin {
		return false
	}
	spareRank := max(0, rank-c.config.Limits.MaxImporters+1)
	return now.Sub(t.lastProgress) >= time.Duration(spareRank)*c.config.Limits.TakeoverDelay
}

// requestManifest requests the manifest until it arrives: from the host's own process or a
// peer that has it, or else from the origin. The hosts that may read from the origin ask it one after
// another, TakeoverDelay apart, so that normally only the first one does.
func (c *Core) requestManifest(now time.Time, t *transfer) []Command {
	if t.hasManifest || now.Sub(t.manifestRequested) < c.config.Limits.ManifestRetryDelay && !t.manifestRequested.IsZero() {
		return nil
	}
	if t.processHasManifest {
		t.manifestRequested = now
		return []Command{FetchManifest{Digest: t.digest}}
	}
	var usable []*peerState
	for _, name := range sortedNames(t.peers) {
		if p := t.peers[name]; c.usable(now, p) {
			usable = append(usable, p)
		}
	}
	if len(usable) > 0 {
		// A random peer is chosen, so that a peer that never replies is not chosen
		// every time.
		p := usable[c.rng.IntN(len(usable))]
		t.manifestRequested = now
		return []Command{FetchManifest{Digest: t.digest, Peer: p.member}}
	}
	if !c.mayRequestManifestFromOrigin(now, t) {
		return nil
	}
	t.manifestRequested, t.originManifestRequested = now, now
	return []Command{FetchManifest{Digest: t.digest}}
}

// fetchFromPeers fetches chunks from peers of the region, the rarest chunk first.
func (c *Core) fetchFromPeers(now time.Time, t *transfer) []Command {
	if !t.hasManifest || t.missing == 0 {
		return nil
	}
	free := c.maxPeerFetches(t) - (len(t.fetching) - t.originFetches - t.importFetches)
	var out []Command
	for ; free > 0; free-- {
		index, p := c.rarestChunk(now, t)
		if p == nil {
			break
		}
		out = append(out, c.startFetch(now, t, index, p))
	}
	return out
}

// rarestChunk returns the missing chunk that the fewest peers of the region hold, and
// the usable peer with the fewest fetches in flight that holds it. Ties are broken at
// random. The peer is nil if there is no such chunk.
func (c *Core) rarestChunk(now time.Time, t *transfer) (int, *peerState) {
	var usable, regional []*peerState
	for _, name := range sortedNames(t.peers) {
		p := t.peers[name]
		if p.member.Region != c.config.Self.Region {
			continue
		}
		regional = append(regional, p)
		if c.usable(now, p) {
			usable = append(usable, p)
		}
	}
	if len(usable) == 0 {
		return 0, nil
	}
	best, fewest, ties := -1, 0, 0
	for i := range t.have {
		if t.have[i] || t.isFetching(i) || !anyHolds(usable, i) {
			continue
		}
		n := countHolders(regional, i)
		switch {
		case best < 0 || n < fewest:
			best, fewest, ties = i, n, 1
		case n == fewest:
			ties++
			if c.rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	if best < 0 {
		return 0, nil
	}
	return best, c.leastLoaded(usable, best)
}

func (t *transfer) isFetching(index int) bool {
	_, ok := t.fetching[index]
	return ok
}

func anyHolds(peers []*peerState, index int) bool {
	return slices.ContainsFunc(peers, func(p *peerState) bool { return index < len(p.holds) && p.holds[index] })
}

func countHolders(peers []*peerState, index int) int {
	n := 0
	for _, p := range peers {
		if index < len(p.holds) && p.holds[index] {
			n++
		}
	}
	return n
}

// leastLoaded returns the peer with the fewest fetches in flight among those that hold
// the chunk, or nil if none holds it. Ties are broken at random.
func (c *Core) leastLoaded(peers []*peerState, index int) *peerState {
	var best *peerState
	ties := 0
	for _, p := range peers {
		if index >= len(p.holds) || !p.holds[index] {
			continue
		}
		switch {
		case best == nil || p.inFlight < best.inFlight:
			best, ties = p, 1
		case p.inFlight == best.inFlight:
			ties++
			if c.rng.IntN(ties) == 0 {
				best = p
			}
		}
	}
	return best
}

func sortedNames(peers map[string]*peerState) []string {
	names := make([]string, 0, len(peers))
	for name := range peers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// importChunks fetches chunks that no peer of the region is known to hold from the
// source region, at most at the importer's share of the region link.
func (c *Core) importChunks(now time.Time, t *transfer) []Command {
	if !t.hasManifest || t.missing == 0 || !c.subscribesToSource(now, t) {
		return nil
	}
	var usable []*peerState
	for _, name := range sortedNames(t.peers) {
		p := t.peers[name]
		if p.member.Region != c.config.Self.Region && c.usable(now, p) {
			usable = append(usable, p)
		}
	}
	var out []Command
	for _, i := range c.rng.Perm(len(t.have)) {
		if t.importFetches >= c.config.Limits.MaxImportFetches || now.Before(t.nextImport) {
			break
		}
		if t.have[i] || t.isFetching(i) || !c.shouldFetch(now, t, i) {
			continue
		}
		p := c.leastLoaded(usable, i)
		if p == nil || !c.usable(now, p) {
			continue
		}
		out = append(out, c.startFetch(now, t, i, p))
		c.paceImports(now, t, i)
	}
	return out
}

// paceImports delays the next import by the time that the importer's share of the
// region link takes to carry the chunk.
func (c *Core) paceImports(now time.Time, t *transfer, index int) {
	rate := c.config.RegionBytesPerSecond * c.config.Limits.ImportShare / float64(max(1, len(t.topology.importers)))
	if rate <= 0 {
		return
	}
	// A late tick may make up for one chunk, so that the tick interval does not lower
	// the rate.
	interval := filbertstile.DurationOf(float64(t.manifest.Chunks[index].Size)/rate, time.Second)
	if t.nextImport.Before(now.Add(-interval)) {
		t.nextImport = now.Add(-interval)
	}
	t.nextImport = t.nextImport.Add(interval)
}

// heldInRegion reports whether a subscribed peer of the region holds the chunk now. A
// peer that held it and was lost does not count, as it may have been the only one.
func (c *Core) heldInRegion(t *transfer, index int) bool {
	for _, p := range t.peers {
		if p.member.Region == c.config.Self.Region && index < len(p.holds) && p.holds[index] {
			return true
		}
	}
	return false
}

// Progress is the state of the transfer of one release, for state dumps and reports.
type Progress struct {
	Release  string
	Manifest filbertstile.Digest
	// Chunks is the number of chunks of the release; 0 until the manifest arrives.
	Chunks int
	// Missing is the number of chunks that the host does not hold.
	Missing int
	// Peers are the names of the peers that the host subscribes to.
	Peers []string
	// Fetching is the number of fetches in flight.
	Fetching int
	// Done is true once the host holds all chunks.
	Done bool
}

// Progress returns the state of the transfers of all wanted releases, the most urgent first.
func (c *Core) Progress() []Progress {
	out := make([]Progress, 0, len(c.transfers))
	for _, t := range c.transfers {
		for _, release := range t.releases {
			out = append(out, Progress{
				Release: release, Manifest: t.digest, Chunks: len(t.have), Missing: t.missing,
				Peers: sortedNames(t.peers), Fetching: len(t.fetching), Done: t.done,
			})
		}
	}
	return out
}
