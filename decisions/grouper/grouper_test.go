package grouper_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"filbertstile.example/filbertstile/decisions/grouper"
)

func TestSmallSystemsAreOneGroup(t *testing.T) {
	is := is.New(t)
	is.Equal(grouper.Count(0), 1)
	is.Equal(grouper.Count(grouper.MostEntries), 1)
	is.Equal(grouper.Count(grouper.MostEntries+1), 2)
	is.Equal(grouper.Count(44), 6)
}

func items(domains, each int) []grouper.Item {
	var out []grouper.Item
	for d := range domains {
		for i := range each {
			out = append(out, grouper.Item{Key: fmt.Sprintf("10.%d.0.%d:80", d, i), Domain: fmt.Sprint("domain-", d)})
		}
	}
	return out
}

// Every group gets an equal part of each failure domain, whatever there is.
func TestGroupsAreEvenInEachDomain(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		domains := rapid.IntRange(1, 4).Draw(rt, "domains")
		each := rapid.IntRange(0, 60).Draw(rt, "each")
		count := rapid.IntRange(1, 12).Draw(rt, "groups")
		all := items(domains, each)
		got := grouper.Assign(all, grouper.All(count))
		filled := make(map[string]map[int]int)
		for _, x := range all {
			if filled[x.Domain] == nil {
				filled[x.Domain] = make(map[int]int)
			}
			filled[x.Domain][got[x.Key]]++
		}
		for domain, groups := range filled {
			for g := range count {
				if n := groups[g]; n < each/count || n > (each+count-1)/count {
					rt.Fatalf("%s: group %d has %d of %d items in %d groups", domain, g, n, each, count)
				}
			}
		}
	})
}

// One replica that leaves must not send entries to other replicas than before.
func TestFewMoveWhereOneLeaves(t *testing.T) {
	is := is.New(t)
	all := items(3, 30)
	before := grouper.Assign(all, grouper.All(6))
	moved := 0
	for gone := range all {
		rest := append(append([]grouper.Item(nil), all[:gone]...), all[gone+1:]...)
		for key, g := range grouper.Assign(rest, grouper.All(6)) {
			if before[key] != g {
				moved++
			}
		}
	}
	is.True(moved < len(all)*len(all)/10) // a tenth of the replicas at most, on average
}

// A group without entries leaves its replicas to the others.
func TestGroupWithoutEntries(t *testing.T) {
	is := is.New(t)
	for _, g := range grouper.Assign(items(3, 30), []int{0, 2, 5}) {
		is.True(g == 0 || g == 2 || g == 5)
	}
	is.Equal(len(grouper.Assign(items(1, 3), nil)), 0)
}
