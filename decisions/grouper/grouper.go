// Package grouper divides the entries of a large system into groups, and the
// replicas among the groups, so that the heartbeat traffic between entries and
// from hosts to entries grows with the size of a group and not with that of the
// system. All processes compute the same division from the same members.
package grouper

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// TargetGroupSize is the maximum average number of entries per group. Each entry sends
// its load to the other entries of its group some 25 times per second, which costs an
// entry little up to this size.
const TargetGroupSize = 8

// Item is an entry, host or replica to assign to a group.
type Item struct {
	Key string
	// Domain is the item's failure domain.
	Domain string
}

// GroupCount returns the number of groups for the number of entries.
func GroupCount(entries int) int {
	return max(1, (entries+TargetGroupSize-1)/TargetGroupSize)
}

// GroupIndices returns the indices of all groups.
func GroupIndices(count int) []int {
	out := make([]int, count)
	for i := range out {
		out[i] = i
	}
	return out
}

// Assign assigns each item to one of the groups, and returns the groups by item
// key. The items of each failure domain are distributed evenly, so that every group
// survives the loss of a domain, and adding or removing an item moves few others.
func Assign(items []Item, groups []int) map[string]int {
	out := make(map[string]int, len(items))
	if len(groups) == 0 {
		return out
	}
	byDomain := make(map[string][]Item)
	for _, x := range items {
		byDomain[x.Domain] = append(byDomain[x.Domain], x)
	}
	for _, inDomain := range byDomain {
		assignEvenly(inDomain, groups, out)
	}
	return out
}

// assignEvenly assigns items by rendezvous hashing with bounded group sizes: each
// item goes to the group that ranks highest for its key among the groups below the
// limit. The limit is an equal share of the items, rounded down, and one more once
// all groups have their share.
func assignEvenly(items []Item, groups []int, out map[string]int) {
	hashes := make(map[string]uint64, len(items))
	for _, x := range items {
		hashes[x.Key] = xxhash.Sum64String(x.Key)
	}
	slices.SortFunc(items, func(a, b Item) int { return cmp.Compare(hashes[a.Key], hashes[b.Key]) })
	limit := len(items) / len(groups)
	sizes := make([]int, len(groups))
	for i, x := range items {
		if i == limit*len(groups) {
			limit++
		}
		best := highestRanked(x.Key, groups, sizes, limit)
		sizes[best]++
		out[x.Key] = groups[best]
	}
}

// highestRanked returns the index of the group with the highest rank for the key among those
// whose size is below the limit.
func highestRanked(key string, groups, sizes []int, limit int) int {
	best, bestRank := 0, uint64(0)
	prefix := append([]byte(key), 0)
	for i, g := range groups {
		if sizes[i] >= limit {
			continue
		}
		if rank := xxhash.Sum64(strconv.AppendInt(prefix, int64(g), 10)); rank >= bestRank {
			best, bestRank = i, rank
		}
	}
	return best
}
