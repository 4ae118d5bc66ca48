// Package relayer brings the configuration and the list of members to every
// process: a few relays in each region ask the object API, everyone else
// subscribes to two processes above it in a tree of bounded fan-out.
package relayer

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"filbertstile.example/filbertstile"
)

// Limits shape the tree.
type Limits struct {
	// RootsPerRegion is the number of entries a region that ask the store.
	RootsPerRegion int
	// FanOut is the number of processes that subscribe to one as their first
	// parent; as many again have it as their second.
	FanOut int
}

// DefaultLimits keep the tree's traffic within 4 KB/s a process.
func DefaultLimits() Limits { return Limits{RootsPerRegion: 2, FanOut: 4} }

// Place is a process's place in the tree.
type Place struct {
	// Root tells that the process asks the store itself.
	Root bool
	// Parents are subscribed to, the first one as primary.
	Parents []filbertstile.Member
	// Roots is the number of roots in the whole tree.
	Roots int
}

func rank(m filbertstile.Member) uint64 { return xxhash.Sum64String(m.Name) }

// order lists entries before hosts, each in the order of their hash, so that a
// process that leaves moves few others.
func order(members []filbertstile.Member) []filbertstile.Member {
	ranks := make(map[string]uint64, len(members))
	for _, m := range members {
		ranks[m.Name] = rank(m)
	}
	out := slices.Clone(members)
	slices.SortFunc(out, func(a, b filbertstile.Member) int {
		if a.Role != b.Role {
			return strings.Compare(string(a.Role), string(b.Role))
		}
		return cmp.Compare(ranks[a.Name], ranks[b.Name])
	})
	return out
}

// Roots returns the processes that ask the store, in all regions.
func Roots(members filbertstile.Table[filbertstile.Member], l Limits) []filbertstile.Member {
	var entries, leaving []filbertstile.Member
	for _, m := range members.All() {
		switch {
		case m.Role != filbertstile.RoleEntry:
		case m.Leaving:
			leaving = append(leaving, m)
		default:
			entries = append(entries, m)
		}
	}
	if len(entries) == 0 {
		// The last entries ask the store to their end.
		entries = leaving
	}
	taken := make(map[string]int)
	var roots []filbertstile.Member
	for _, m := range order(entries) {
		if taken[m.Region] < l.RootsPerRegion {
			taken[m.Region]++
			roots = append(roots, m)
		}
	}
	return roots
}

// PlaceOf returns the place of the process among the members.
func PlaceOf(self filbertstile.Member, members filbertstile.Table[filbertstile.Member], l Limits) Place {
	roots := Roots(members, l)
	p := Place{Roots: len(roots)}
	isSelf := func(m filbertstile.Member) bool { return m.Name == self.Name }
	if slices.ContainsFunc(roots, isSelf) {
		p.Root = true
		p.Parents = slices.DeleteFunc(roots, isSelf)
		return p
	}
	own := region(self, members, roots)
	at := slices.IndexFunc(own, isSelf)
	local := 0
	for _, r := range roots {
		if r.Region == self.Region {
			local++
		}
	}
	if local == 0 || at < local {
		p.Parents = nearestRoots(self, roots)
		return p
	}
	first := (at - local) / l.FanOut
	p.Parents = append(p.Parents, own[first])
	if second := first + 1; second < at && second < len(own) {
		p.Parents = append(p.Parents, own[second])
	} else if first > 0 {
		p.Parents = append(p.Parents, own[first-1])
	}
	return p
}

// region lists the roots of the process's region, then its other members.
func region(self filbertstile.Member, members filbertstile.Table[filbertstile.Member], roots []filbertstile.Member) []filbertstile.Member {
	var head, rest []filbertstile.Member
	for _, m := range roots {
		if m.Region == self.Region {
			head = append(head, m)
		}
	}
	isRoot := func(m filbertstile.Member) bool {
		return slices.ContainsFunc(head, func(r filbertstile.Member) bool { return r.Name == m.Name })
	}
	for _, m := range members.All() {
		if m.Region == self.Region && !isRoot(m) && (!m.Leaving || m.Name == self.Name) {
			rest = append(rest, m)
		}
	}
	if _, listed := members.Get(self.Name); !listed {
		rest = append(rest, self)
	}
	return append(head, order(rest)...)
}

// nearestRoots picks two roots for a process whose region has none.
func nearestRoots(self filbertstile.Member, roots []filbertstile.Member) []filbertstile.Member {
	if len(roots) <= 2 {
		return roots
	}
	at := int(rank(self) % uint64(len(roots)))
	return []filbertstile.Member{roots[at], roots[(at+1)%len(roots)]}
}
