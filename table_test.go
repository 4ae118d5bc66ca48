package filbertstile_test

import (
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"filbertstile.example/filbertstile"
)

// TestWithChanges guards against changes that have another result together than one by one.
func TestWithChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		name := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"})
		row := rapid.Custom(func(t *rapid.T) filbertstile.Replica {
			return filbertstile.Replica{ID: name.Draw(t, "id"), Slots: rapid.IntRange(0, 9).Draw(t, "slots")}
		})
		table := filbertstile.NewTable(rapid.SliceOfN(row, 0, 6).Draw(t, "table")...)
		before := slices.Clone(table.All())
		rows := rapid.SliceOfN(row, 0, 6).Draw(t, "rows")
		var removed []string
		for _, key := range rapid.SliceOfN(name, 0, 4).Draw(t, "removed") {
			if !slices.ContainsFunc(rows, func(r filbertstile.Replica) bool { return r.ID == key }) {
				removed = append(removed, key)
			}
		}
		want := table
		for _, r := range rows {
			want = want.With(r)
		}
		for _, key := range removed {
			want = want.Without(key)
		}
		is.True(slices.Equal(table.WithChanges(rows, removed).All(), want.All()))
		is.True(slices.Equal(table.All(), before))
	})
}
