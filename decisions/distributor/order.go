package distributor

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"filbertstile.example/filbertstile"
)

func hashOf(parts ...string) uint64 {
	d := xxhash.New()
	for _, p := range parts {
		_, _ = d.WriteString(p)
		_, _ = d.WriteString("\x00")
	}
	return d.Sum64()
}

// ordered sorts the members by rendezvous hash of the key.
func ordered(members []filbertstile.Member, key string) []filbertstile.Member {
	out := slices.Clone(members)
	weight := make(map[string]uint64, len(out))
	for _, m := range out {
		weight[m.Name] = hashOf(key, m.Name)
	}
	slices.SortFunc(out, func(a, b filbertstile.Member) int {
		if weight[a.Name] < weight[b.Name] {
			return -1
		}
		return 1
	})
	return out
}

// of returns the hosts of a region.
func of(members []filbertstile.Member, region string) []filbertstile.Member {
	var out []filbertstile.Member
	for _, m := range members {
		if m.Region == region {
			out = append(out, m)
		}
	}
	return out
}

// setMembers takes in the hosts of the service. Those that may read from the
// origin are the hosts of its region, or all where it has none.
func (c *Core) setMembers(members []filbertstile.Member) {
	c.members = members
	c.version++
	c.origins = of(members, c.config.SourceRegion)
	c.atSource = c.config.Self.Region == c.config.SourceRegion || len(c.origins) == 0
	if len(c.origins) == 0 {
		c.origins = members
	}
}

// placeIn works out the host's place in a transfer if the members changed.
func (c *Core) placeIn(t *transfer) {
	if t.ring.version == c.version {
		return
	}
	t.ring = ring{version: c.version, neighbours: c.neighbours(t), source: c.sourcePeers(t), importRank: c.importRank(t), importers: c.importers(t)}
	for _, m := range ordered(c.owners(t), string(t.want.Manifest)) {
		t.ring.turns = append(t.ring.turns, m.Name)
	}
}

// ownerOf returns the host that brings a chunk into this host's region: its
// designated reader at the origin, or its designated importer. The shares are
// equal, as all wait for whoever has most, and follow from the members alone, so
// that hosts that know the same members agree; none is known before there are any.
func (c *Core) ownerOf(t *transfer, index int) string {
	if len(t.ring.turns) == 0 {
		return ""
	}
	return t.ring.turns[index%len(t.ring.turns)]
}

// owners returns the hosts among which the chunks of this region are divided.
func (c *Core) owners(t *transfer) []filbertstile.Member {
	if c.atSource {
		return c.readers()
	}
	return t.ring.importers
}

// readers returns the hosts that read from the origin. They are the same for
// every version, so that connections to the origin stay few.
func (c *Core) readers() []filbertstile.Member {
	near := ordered(c.origins, c.config.SourceRegion)
	return near[:min(len(near), c.config.Limits.Readers)]
}

// importers returns the hosts that bring chunks into this host's region.
func (c *Core) importers(t *transfer) []filbertstile.Member {
	near := ordered(of(c.members, c.config.Self.Region), string(t.want.Manifest)+c.config.Self.Region)
	return near[:min(len(near), c.config.Limits.Importers)]
}

// ownerRank is the place of this host in the order of those that may bring a
// chunk into the region; -1 if it may not.
func (c *Core) ownerRank(t *transfer, index int) int {
	among := c.origins
	if !c.atSource {
		among = of(c.members, c.config.Self.Region)
	}
	return rankIn(among, string(t.manifest.Chunks[index].Digest), c.config.Self.Name)
}

// importRank is the place of this host in the order of its region's importers.
func (c *Core) importRank(t *transfer) int {
	key := string(t.want.Manifest) + c.config.Self.Region
	return rankIn(of(c.members, c.config.Self.Region), key, c.config.Self.Name)
}

// rankIn counts the members before the name in the key's rendezvous order.
func rankIn(members []filbertstile.Member, key, name string) int {
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

// neighbours returns the peers of this host in its region: a ring in hash
// order with links of growing length, so that few links give a small diameter.
func (c *Core) neighbours(t *transfer) []filbertstile.Member {
	ring := ordered(of(c.members, c.config.Self.Region), string(t.want.Manifest))
	n := len(ring)
	at := slices.IndexFunc(ring, func(m filbertstile.Member) bool { return m.Name == c.config.Self.Name })
	if at < 0 {
		return nil
	}
	if n-1 <= 2*c.config.Limits.PeersEachWay {
		return slices.Delete(ring, at, at+1)
	}
	var out []filbertstile.Member
	add := func(m filbertstile.Member) {
		dup := slices.ContainsFunc(out, func(o filbertstile.Member) bool { return o.Name == m.Name })
		if !dup && m.Name != c.config.Self.Name {
			out = append(out, m)
		}
	}
	for _, step := range strides(n, c.config.Limits.PeersEachWay) {
		add(ring[(at+step)%n])
		add(ring[((at-step)%n+n)%n])
	}
	return out
}

// strides returns link lengths from 1 that grow so that count of them span a
// ring of n.
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

func pow(base, exp int) int {
	out := 1
	for range exp {
		out *= base
	}
	return out
}

// sourcePeers returns the peers of other regions that an importer follows.
func (c *Core) sourcePeers(t *transfer) []filbertstile.Member {
	from := of(c.members, c.config.SourceRegion)
	peers := ordered(from, string(t.want.Manifest)+c.config.Self.Name)
	return peers[:min(len(peers), c.config.Limits.SourcePeers)]
}
