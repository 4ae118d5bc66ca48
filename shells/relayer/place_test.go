package relayer_test

import (
	"fmt"
	"os"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/rigs/bubbler"
	"filbertstile.example/filbertstile/shells/relayer"
)

func TestMain(m *testing.M) { os.Exit(bubbler.Main(m)) }

// TestPrimaryParentsLeadToRoot guards against processes that no root reaches and against
// processes with too many subscribers. For random lists of members, each chain of
// primary parents must end at a root, and no process may be the primary parent of more
// processes than the fan-out.
func TestPrimaryParentsLeadToRoot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := relayer.DefaultLimits()
		regions := rapid.IntRange(1, 4).Draw(t, "regions")
		rows := []filbertstile.Member{{Name: "entry", Role: filbertstile.RoleEntry, Region: "r0"}}
		for i := range rapid.IntRange(0, 150).Draw(t, "processes") {
			role := filbertstile.RoleHost
			if rapid.IntRange(0, 3).Draw(t, "role") == 0 {
				role = filbertstile.RoleEntry
			}
			rows = append(rows, filbertstile.Member{Name: fmt.Sprint("p", i), Role: role, Region: fmt.Sprint("r", i%regions), Leaving: rapid.IntRange(0, 9).Draw(t, "leaving") == 0})
		}
		members := filbertstile.NewTable(rows...)
		children := make(map[string]int)
		for _, m := range members.All() {
			at := m
			for hops := 0; !relayer.PlaceOf(at, members, l).Root; hops++ {
				p := relayer.PlaceOf(at, members, l)
				if len(p.Parents) == 0 || hops > members.Len() {
					t.Fatalf("%s is not connected to a root: %+v", m.Name, p)
				}
				if hops == 0 && !m.Leaving && hasRoot(members, m.Region, l) {
					children[p.Parents[0].Name]++
				}
				at = p.Parents[0]
			}
		}
		for name, n := range children {
			if n > l.FanOut {
				t.Fatalf("%s is the primary parent of %d processes", name, n)
			}
		}
	})
}

// hasRoot reports whether the region has a root. Processes of other regions subscribe
// to roots of any region.
func hasRoot(members filbertstile.Table[filbertstile.Member], region string, l relayer.Limits) bool {
	for _, r := range relayer.Roots(members, l) {
		if r.Region == region {
			return true
		}
	}
	return false
}

// TestLastEntryStaysRoot guards against a single entry whose view becomes stale during
// a planned stop, so that it rejects its callers.
func TestLastEntryStaysRoot(t *testing.T) {
	is := is.New(t)
	last := filbertstile.Member{Name: "entry", Role: filbertstile.RoleEntry, Region: "r", Leaving: true}
	is.True(relayer.PlaceOf(last, filbertstile.NewTable(last), relayer.DefaultLimits()).Root)
	other := filbertstile.Member{Name: "next", Role: filbertstile.RoleEntry, Region: "r"}
	is.Equal(relayer.PlaceOf(last, filbertstile.NewTable(last, other), relayer.DefaultLimits()).Root, false)
}
