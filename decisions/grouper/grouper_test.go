package grouper_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"filbertstile.example/filbertstile/decisions/grouper"
)

func TestSmallSystemIsOneGroup(t *testing.T) {
	is := is.New(t)
	is.Equal(grouper.GroupCount(0), 1)
	is.Equal(grouper.GroupCount(grouper.TargetGroupSize), 1)
	is.Equal(grouper.GroupCount(grouper.TargetGroupSize+1), 2)
	is.Equal(grouper.GroupCount(44), 6)
}

func items(domains, perDomain int) []grouper.Item {
	var out []grouper.Item
	for d := range domains {
		for i := range perDomain {
			out = append(out, grouper.Item{Key: fmt.Sprintf("10.%d.0.%d:80", d, i), Domain: fmt.Sprint("domain-", d)})
		}
	}
	return out
}

// Group sizes must differ by at most one item per failure domain, for any number of
// items and groups.
func TestAssignIsEvenInEachDomain(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		domains := rapid.IntRange(1, 4).Draw(rt, "domains")
		perDomain := rapid.IntRange(0, 60).Draw(rt, "items per domain")
		count := rapid.IntRange(1, 12).Draw(rt, "groups")
		all := items(domains, perDomain)
		got := grouper.Assign(all, grouper.GroupIndices(count))
		sizes := make(map[string]map[int]int)
		for _, x := range all {
			if sizes[x.Domain] == nil {
				sizes[x.Domain] = make(map[int]int)
			}
			sizes[x.Domain][got[x.Key]]++
		}
		for domain, groups := range sizes {
			for g := range count {
				if n := groups[g]; n < perDomain/count || n > (perDomain+count-1)/count {
					rt.Fatalf("%s: group %d has %d of %d items in %d groups", domain, g, n, perDomain, count)
				}
			}
		}
	})
}

// The removal of one item must not move many others: entries would send requests to
// other replicas than before.
func TestAssignMovesFewOnRemoval(t *testing.T) {
	is := is.New(t)
	all := items(3, 30)
	before := grouper.Assign(all, grouper.GroupIndices(6))
	moved := 0
	for removed := range all {
		remaining := append(append([]grouper.Item(nil), all[:removed]...), all[removed+1:]...)
		for key, g := range grouper.Assign(remaining, grouper.GroupIndices(6)) {
			if before[key] != g {
				moved++
			}
		}
	}
	is.True(moved < len(all)*len(all)/10) // at most a tenth of the items on average
}

// Items must be assigned to the listed groups only, as the others have no live
// entries.
func TestAssignOnlyToListedGroups(t *testing.T) {
	is := is.New(t)
	for _, g := range grouper.Assign(items(3, 30), []int{0, 2, 5}) {
		is.True(g == 0 || g == 2 || g == 5)
	}
	is.Equal(len(grouper.Assign(items(1, 3), nil)), 0)
}

// TestAssignmentsOfOtherBuilds guards against a change of the assignment, which entries of the
// build before would not share.
func TestAssignmentsOfOtherBuilds(t *testing.T) {
	is := is.New(t)
	var items []grouper.Item
	for i := range 400 {
		items = append(items, grouper.Item{Key: fmt.Sprint("entry-", i), Domain: fmt.Sprint(i % 5)})
	}
	groupOf := grouper.Assign(items, grouper.GroupIndices(50)[:47])
	var b strings.Builder
	for _, x := range items {
		fmt.Fprintf(&b, "%s=%d;", x.Key, groupOf[x.Key])
	}
	is.Equal(xxhash.Sum64String(b.String()), uint64(5056706025110297925))
}
