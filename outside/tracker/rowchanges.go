package tracker

import (
	"maps"
	"slices"

	"filbertstile.example/filbertstile"
)

// rowChanges are changes of rows that are applied together, by key.
type rowChanges[T filbertstile.Row] struct {
	set     map[string]T
	removed map[string]bool
}

func newRowChanges[T filbertstile.Row]() *rowChanges[T] {
	return &rowChanges[T]{set: make(map[string]T), removed: make(map[string]bool)}
}

// put adds or replaces a row.
func (c *rowChanges[T]) put(row T) {
	c.set[row.Key()] = row
	delete(c.removed, row.Key())
}

// remove removes the row with the key.
func (c *rowChanges[T]) remove(key string) {
	c.removed[key] = true
	delete(c.set, key)
}

// applyTo returns the rows with the changes.
func (c *rowChanges[T]) applyTo(rows filbertstile.Table[T]) filbertstile.Table[T] {
	return rows.WithChanges(slices.Collect(maps.Values(c.set)), slices.Collect(maps.Keys(c.removed)))
}
