// Package relayer distributes the configuration and the list of members to all
// processes. In each region a few entries, the roots, read the object API. Each other
// process subscribes to two parents in a tree of limited fan-out.
package relayer

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"filbertstile.example/filbertstile"
)

// Limits determine the shape of the tree.
type Limits struct {
	// RootsPerRegion is the maximum number of entries per region that read the store.
	RootsPerRegion int
	// FanOut is the maximum number of processes of a region that have the same primary
	// parent there. As many again may have it as their secondary parent.
	FanOut int
}

// DefaultLimits returns limits that keep the tree's traffic within 4 KB/s per process.
func DefaultLimits() Limits { return Limits{RootsPerRegion: 2, FanOut: 4} }

// Place is the place of a process in the tree.
type Place struct {
	// Root is true if the process reads the store itself.
	Root bool
	// Parents are the processes that the process subscribes to. Unless the process is
	// a root, the first one is its primary parent.
	Parents []filbertstile.Member
	// Roots is the number of roots in the entire tree.
	Roots int
}

// nameHash returns the hash of the member's name, which determines its position in the
// tree.
func nameHash(m filbertstile.Member) uint64 { return xxhash.Sum64String(m.Name) }

// sortMembers returns entries before hosts, each in the order of their hashes, so that
// few processes change their place when one leaves.
func sortMembers(members []filbertstile.Member) []filbertstile.Member {
	hashes := make(map[string]uint64, len(members))
	for _, m := range members {
		hashes[m.Name] = nameHash(m)
	}
	out := slices.Clone(members)
	slices.SortFunc(out, func(a, b filbertstile.Member) int {
		if a.Role != b.Role {
			return strings.Compare(string(a.Role), string(b.Role))
		}
		return cmp.Compare(hashes[a.Name], hashes[b.Name])
	})
	return out
}

// Roots returns the entries that read the store, in all regions.
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
		// If all entries are leaving, they read the store until they stop.
		entries = leaving
	}
	rootsIn := make(map[string]int)
	var roots []filbertstile.Member
	for _, m := range sortMembers(entries) {
		if rootsIn[m.Region] < l.RootsPerRegion {
			rootsIn[m.Region]++
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
	local := regionMembers(self, members, roots)
	at := slices.IndexFunc(local, isSelf)
	localRoots := 0
	for _, r := range roots {
		if r.Region == self.Region {
			localRoots++
		}
	}
	if localRoots == 0 || at < localRoots {
		p.Parents = pickRoots(self, roots)
		return p
	}
	first := (at - localRoots) / l.FanOut
	p.Parents = append(p.Parents, local[first])
	if second := first + 1; second < at && second < len(local) {
		p.Parents = append(p.Parents, local[second])
	} else if first > 0 {
		p.Parents = append(p.Parents, local[first-1])
	}
	return p
}

// regionMembers returns the roots of the process's region, followed by the region's
// other members that are not leaving. The process itself is always included.
func regionMembers(self filbertstile.Member, members filbertstile.Table[filbertstile.Member], roots []filbertstile.Member) []filbertstile.Member {
	var localRoots, others []filbertstile.Member
	for _, m := range roots {
		if m.Region == self.Region {
			localRoots = append(localRoots, m)
		}
	}
	isRoot := func(m filbertstile.Member) bool {
		return slices.ContainsFunc(localRoots, func(r filbertstile.Member) bool { return r.Name == m.Name })
	}
	for _, m := range members.All() {
		if m.Region == self.Region && !isRoot(m) && (!m.Leaving || m.Name == self.Name) {
			others = append(others, m)
		}
	}
	if _, listed := members.Get(self.Name); !listed {
		others = append(others, self)
	}
	return append(localRoots, sortMembers(others)...)
}

// pickRoots returns two roots as parents for a process whose region has no root, chosen
// by the hash of its name.
func pickRoots(self filbertstile.Member, roots []filbertstile.Member) []filbertstile.Member {
	if len(roots) <= 2 {
		return roots
	}
	at := int(nameHash(self) % uint64(len(roots)))
	return []filbertstile.Member{roots[at], roots[(at+1)%len(roots)]}
}
