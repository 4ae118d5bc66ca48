// Package grouper divides the entries of a large system into groups, and the
// replicas among the groups, so that what entries tell each other and what hosts
// tell entries grows with the size of a group and not of the system. All
// processes work out the same division from the members that they know.
package grouper

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// MostEntries is the size up to which entries form one group: each tells all
// others of its group some 25 times a second what it has in hand, which costs an
// entry little up to here.
const MostEntries = 8

// Item is what is assigned to a group.
type Item struct {
	Key    string
	Domain string
}

// Count returns the number of groups that the entries form.
func Count(entries int) int {
	return max(1, (entries+MostEntries-1)/MostEntries)
}

// All returns the numbers of all groups.
func All(count int) []int {
	out := make([]int, count)
	for i := range out {
		out[i] = i
	}
	return out
}

// Assign gives each item one of the groups. The items of each failure domain are
// shared out evenly, so that each group outlives the loss of a domain, and few
// items move where one comes or goes.
func Assign(items []Item, groups []int) map[string]int {
	out := make(map[string]int, len(items))
	if len(groups) == 0 {
		return out
	}
	byDomain := make(map[string][]Item)
	for _, x := range items {
		byDomain[x.Domain] = append(byDomain[x.Domain], x)
	}
	for _, near := range byDomain {
		share(near, groups, out)
	}
	return out
}

// share gives each item the group that its key ranks first among those that are
// not full yet: first up to an equal share, then one more each.
func share(items []Item, groups []int, out map[string]int) {
	slices.SortFunc(items, func(a, b Item) int {
		if ha, hb := xxhash.Sum64String(a.Key), xxhash.Sum64String(b.Key); ha < hb {
			return -1
		} else if ha > hb {
			return 1
		}
		return 0
	})
	bound := len(items) / len(groups)
	filled := make(map[int]int, len(groups))
	for i, x := range items {
		if i == bound*len(groups) {
			bound++
		}
		group := first(x.Key, groups, func(g int) bool { return filled[g] < bound })
		filled[group]++
		out[x.Key] = group
	}
}

// first returns the group that the key ranks first among those that have room.
func first(key string, groups []int, room func(int) bool) int {
	best, rank := groups[0], uint64(0)
	for _, g := range groups {
		if r := xxhash.Sum64String(key + "\x00" + strconv.Itoa(g)); room(g) && r >= rank {
			best, rank = g, r
		}
	}
	return best
}
