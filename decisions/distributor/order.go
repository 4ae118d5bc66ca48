package distributor

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertstile.example/filbertstile"
)

// hashOf returns a hash of the strings and of the boundaries between them.
func hashOf(parts ...string) uint64 {
	d := xxhash.New()
	for _, p := range parts {
		_, _ = d.WriteString(p)
		_, _ = d.WriteString("\x00")
	}
	return d.Sum64()
}

// rendezvousOrder returns the members in the order of their rendezvous hashes for the
// key.
func rendezvousOrder(members []filbertstile.Member, key string) []filbertstile.Member {
	out := slices.Clone(members)
	hashes := make(map[string]uint64, len(out))
	for _, m := range out {
		hashes[m.Name] = hashOf(key, m.Name)
	}
	slices.SortFunc(out, func(a, b filbertstile.Member) int {
		if hashes[a.Name] < hashes[b.Name] {
			return -1
		}
		return 1
	})
	return out
}

// inRegion returns the members in the region.
func inRegion(members []filbertstile.Member, region string) []filbertstile.Member {
	var out []filbertstile.Member
	for _, m := range members {
		if m.Region == region {
			out = append(out, m)
		}
	}
	return out
}

// setMembers replaces the hosts of the service. The hosts of the source region may
// read from the origin, or all hosts if that region has none.
func (c *Core) setMembers(now time.Time, e MembersChanged) {
	c.recordGrowth(now, e)
	members := e.Members
	c.members = members
	c.membersVersion++
	c.originCandidates = inRegion(members, c.config.SourceRegion)
	c.readsOrigin = c.config.Self.Region == c.config.SourceRegion || len(c.originCandidates) == 0
	if len(c.originCandidates) == 0 {
		c.originCandidates = members
	}
}

// updateTopology computes the topology of a transfer if the members have changed.
func (c *Core) updateTopology(t *transfer) {
	if t.topology.membersVersion == c.membersVersion {
		return
	}
	t.topology = topology{membersVersion: c.membersVersion, neighbours: c.neighbours(t), sourcePeers: c.sourcePeers(t), importRank: c.importRank(t), importers: c.importers(t), leads: c.leads()}
	owners := rendezvousOrder(c.owners(t), string(t.digest))
	for _, m := range owners {
		t.topology.owners = append(t.topology.owners, m.Name)
	}
	if !c.isLead(t) {
		return
	}
	for _, m := range owners {
		known := slices.ContainsFunc(t.topology.neighbours, func(o filbertstile.Member) bool { return o.Name == m.Name })
		if !known && m.Name != c.config.Self.Name {
			t.topology.neighbours = append(t.topology.neighbours, m)
		}
	}
}

// ownerOf returns the name of the chunk's owner, the host that fetches it into this
// host's region: its designated reader at the origin, or its designated importer. All
// owners get the same number of chunks, because a transfer waits for the owner that has
// the most. The assignment depends only on the members, so that hosts that know the
// same members agree. The name is empty while there are no members.
func (c *Core) ownerOf(t *transfer, index int) string {
	if len(t.topology.owners) == 0 {
		return ""
	}
	return t.topology.owners[index%len(t.topology.owners)]
}

// owners returns the hosts among which the chunks are divided in this host's region.
func (c *Core) owners(t *transfer) []filbertstile.Member {
	if c.readsOrigin {
		return c.readers()
	}
	return t.topology.importers
}

// readers returns the hosts that read from the origin. They are the same for every
// release, so that there are few connections to the origin.
func (c *Core) readers() []filbertstile.Member {
	candidates := rendezvousOrder(c.originCandidates, c.config.SourceRegion)
	return candidates[:min(len(candidates), c.config.Limits.MaxReaders)]
}

// importers returns the hosts that import chunks into this host's region.
func (c *Core) importers(t *transfer) []filbertstile.Member {
	candidates := rendezvousOrder(inRegion(c.members, c.config.Self.Region), string(t.digest)+c.config.Self.Region)
	return candidates[:min(len(candidates), c.config.Limits.MaxImporters)]
}

// ownerRank returns the rank of this host in the order in which hosts take over the
// chunk from its owner, or -1 if this host may not.
func (c *Core) ownerRank(t *transfer, index int, owner string) int {
	if t.topology.ranks == nil {
		t.topology.ranks = make(map[int]int)
	}
	rank, ok := t.topology.ranks[index]
	if !ok {
		rank = c.computeOwnerRank(t, index, owner)
		t.topology.ranks[index] = rank
	}
	return rank
}

func (c *Core) computeOwnerRank(t *transfer, index int, owner string) int {
	candidates := c.originCandidates
	if !c.readsOrigin {
		candidates = inRegion(c.members, c.config.Self.Region)
	}
	self, key := c.config.Self.Name, string(t.manifest.Chunks[index].Digest)
	isOwner := func(m filbertstile.Member) bool { return slices.Contains(t.topology.owners, m.Name) }
	var owners, others []filbertstile.Member
	for _, m := range candidates {
		switch {
		case m.Name == owner:
		case isOwner(m):
			owners = append(owners, m)
		default:
			others = append(others, m)
		}
	}
	if rank := rendezvousRank(owners, key, self); rank >= 0 {
		return rank
	}
	if rank := rendezvousRank(others, key, self); rank >= 0 {
		return rank + min(len(owners), ownersBeforeOthers)
	}
	return -1
}

// ownersBeforeOthers is the maximum number of other owners that take over a chunk before the
// hosts that own none. The owners have connections to the origin.
const ownersBeforeOthers = 2

// leads returns the hosts that complete a release first. They subscribe to all readers, so
// that there is a complete copy soon after the last chunk was read. The second one is there in
// case the first fails. They are not readers if there are enough hosts, as the chunks that they
// receive would delay those that they read.
func (c *Core) leads() []filbertstile.Member {
	candidates := rendezvousOrder(c.originCandidates, c.config.SourceRegion)
	return candidates[max(0, len(candidates)-c.config.Limits.Leads):]
}

func (c *Core) isLead(t *transfer) bool {
	return slices.ContainsFunc(t.topology.leads, func(m filbertstile.Member) bool { return m.Name == c.config.Self.Name })
}

// maxPeerFetches returns the maximum number of fetches in flight from peers of the region.
func (c *Core) maxPeerFetches(t *transfer) int {
	if c.isLead(t) && !slices.Contains(t.topology.owners, c.config.Self.Name) {
		return 2 * c.config.Limits.MaxPeerFetches
	}
	return c.config.Limits.MaxPeerFetches
}

// importRank returns the rank of this host in the order in which hosts import into its
// region, or -1 if it is not a member. Ranks from MaxImporters on are spares.
func (c *Core) importRank(t *transfer) int {
	key := string(t.digest) + c.config.Self.Region
	return rendezvousRank(inRegion(c.members, c.config.Self.Region), key, c.config.Self.Name)
}

// rendezvousRank returns the number of members before the named one in the rendezvous
// order for the key, or -1 if there is no such member.
func rendezvousRank(members []filbertstile.Member, key, name string) int {
	own := hashOf(key, name)
	rank := 0
	found := false
	for _, m := range members {
		if m.Name == name {
			found = true
		} else if hashOf(key, m.Name) < own {
			rank++
		}
	}
	if !found {
		return -1
	}
	return rank
}

// neighbours returns the peers of this host in its region. The hosts form a ring in
// rendezvous order, in which links of growing length keep the diameter small with few
// links per host. In a small region, all other hosts are neighbours.
func (c *Core) neighbours(t *transfer) []filbertstile.Member {
	ring := rendezvousOrder(inRegion(c.members, c.config.Self.Region), string(t.digest))
	n := len(ring)
	self := slices.IndexFunc(ring, func(m filbertstile.Member) bool { return m.Name == c.config.Self.Name })
	if self < 0 {
		return nil
	}
	if n-1 <= 2*c.config.Limits.RingPeersPerSide {
		return slices.Delete(ring, self, self+1)
	}
	var out []filbertstile.Member
	add := func(m filbertstile.Member) {
		dup := slices.ContainsFunc(out, func(o filbertstile.Member) bool { return o.Name == m.Name })
		if !dup && m.Name != c.config.Self.Name {
			out = append(out, m)
		}
	}
	for _, step := range strides(n, c.config.Limits.RingPeersPerSide) {
		add(ring[(self+step)%n])
		add(ring[((self-step)%n+n)%n])
	}
	return out
}

// strides returns the lengths of count links, the first of which is 1. Each is the
// same multiple of the one before, so that together they span a ring of n hosts.
func strides(n, count int) []int {
	out := []int{1}
	factor := 2
	for pow(factor, count) < n {
		factor++
	}
	for len(out) < count {
		out = append(out, out[len(out)-1]*factor)
	}
	return out
}

// pow returns base raised to exp.
func pow(base, exp int) int {
	out := 1
	for range exp {
		out *= base
	}
	return out
}

// sourcePeers returns the peers in the source region that this host subscribes to if it
// imports.
func (c *Core) sourcePeers(t *transfer) []filbertstile.Member {
	sources := inRegion(c.members, c.config.SourceRegion)
	peers := rendezvousOrder(sources, string(t.digest)+c.config.Self.Name)
	return peers[:min(len(peers), c.config.Limits.SourcePeers)]
}
