package viewer_test

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/viewer"
)

func change(n uint64) filbertstile.Change {
	return filbertstile.Change{Revision: n, Marks: []filbertstile.Mark{{Kind: filbertstile.MarkDomain, Name: "a", Out: n%2 == 0}}}
}

// TestViewNeverReverts guards against a view that returns to an older revision. It
// applies changes, late duplicates, gaps and old snapshots in random order.
func TestViewNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := viewer.NewHolder()
		last := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			from := rapid.Uint64Range(1, last+3).Draw(t, "from")
			if rapid.Bool().Draw(t, "snapshot") {
				c := filbertstile.Config{}
				for n := uint64(1); n <= from; n++ {
					c = c.WithChange(change(n))
				}
				h.ApplySnapshot(c)
			} else {
				var raw [][]byte
				for n := from; n < from+rapid.Uint64Range(0, 3).Draw(t, "count"); n++ {
					data, err := json.Marshal(change(n))
					if err != nil {
						t.Fatal(err)
					}
					raw = append(raw, data)
				}
				_ = h.ApplyChanges(raw) // a gap returns an error and must not revert the view
			}
			c := h.View().Config
			if c.Revision < last {
				t.Fatalf("revision went from %d to %d", last, c.Revision)
			}
			last = c.Revision
			if last > 0 && c.DomainOutOfService("a") != (last%2 == 0) {
				t.Fatalf("the mark at revision %d is from another revision", last)
			}
		}
	})
}

// TestMemberDeltasReproduceMembers guards against deltas that leave a subscriber
// with other members than the sender, including after skipped updates.
func TestMemberDeltasReproduceMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := viewer.NewHolder(), viewer.NewHolder()
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			var rows []filbertstile.Member
			for _, name := range rapid.SliceOfNDistinct(rapid.StringMatching("[a-e]"), 1, 5, rapid.ID[string]).Draw(t, "names") {
				rows = append(rows, filbertstile.Member{Name: name, Leaving: rapid.Bool().Draw(t, "leaving")})
			}
			from.SetMembers(filbertstile.NewTable(rows...))
			if rapid.Bool().Draw(t, "skip") {
				continue
			}
			data, err := from.MembersSince(to.View().MembersVersion)
			if err != nil {
				t.Fatal(err)
			}
			if data == nil {
				continue
			}
			if err := to.ApplyMembers(data); err != nil {
				t.Fatal(err)
			}
			if to.View().MembersVersion != from.View().MembersVersion || to.View().Members.Len() != from.View().Members.Len() {
				t.Fatalf("members differ: %v and %v", from.View().Members, to.View().Members)
			}
		}
	})
}

// TestEmptyViewSendsNoMembers guards against a process that has just started and
// sends its empty table, which erased the members of its subscribers.
func TestEmptyViewSendsNoMembers(t *testing.T) {
	is := is.New(t)
	data, err := viewer.NewHolder().MembersSince(7)
	is.NoErr(err)
	is.Equal(data, nil)
}
