package filbertstile

import (
	"encoding/json"
	"slices"
	"strings"
)

// Row is an entity that can be stored in a Table.
type Row interface {
	// Key returns the name that identifies the row within its table.
	Key() string
}

// Table is an immutable set of rows, sorted by key. The zero value is empty.
type Table[R Row] struct {
	rows []R
}

// NewTable returns a table of the given rows. If several rows have the same key,
// the last one is kept.
func NewTable[R Row](rows ...R) Table[R] {
	sorted := slices.Clone(rows)
	slices.SortStableFunc(sorted, func(a, b R) int { return strings.Compare(a.Key(), b.Key()) })
	out := sorted[:0]
	for i, r := range sorted {
		if i+1 < len(sorted) && sorted[i+1].Key() == r.Key() {
			continue
		}
		out = append(out, r)
	}
	return Table[R]{rows: out}
}

func (t Table[R]) find(key string) (int, bool) {
	return slices.BinarySearchFunc(t.rows, key, func(r R, k string) int { return strings.Compare(r.Key(), k) })
}

// Get returns the row with the given key, and whether there is one.
func (t Table[R]) Get(key string) (R, bool) {
	i, ok := t.find(key)
	if !ok {
		var zero R
		return zero, false
	}
	return t.rows[i], true
}

// Len returns the number of rows.
func (t Table[R]) Len() int { return len(t.rows) }

// All returns the rows in key order. The caller must not change the slice.
func (t Table[R]) All() []R { return t.rows }

// With returns a copy of the table with the row added, or replaced if its key
// exists.
func (t Table[R]) With(row R) Table[R] {
	i, ok := t.find(row.Key())
	rows := make([]R, 0, len(t.rows)+1)
	rows = append(rows, t.rows[:i]...)
	rows = append(rows, row)
	if ok {
		i++
	}
	rows = append(rows, t.rows[i:]...)
	return Table[R]{rows: rows}
}

// Without returns the table without the row of the given key.
func (t Table[R]) Without(key string) Table[R] {
	i, ok := t.find(key)
	if !ok {
		return t
	}
	rows := make([]R, 0, len(t.rows)-1)
	rows = append(rows, t.rows[:i]...)
	rows = append(rows, t.rows[i+1:]...)
	return Table[R]{rows: rows}
}

// WithChanges returns a copy of the table with the rows added, or replaced where their keys
// exist, and without the rows of the removed keys. A key must not be among both. It copies the
// table once, whatever the number of changes.
func (t Table[R]) WithChanges(rows []R, removed []string) Table[R] {
	changed := NewTable(rows...)
	keys := make([]string, 0, changed.Len()+len(removed))
	for _, r := range changed.rows {
		keys = append(keys, r.Key())
	}
	keys = append(keys, removed...)
	slices.Sort(keys)
	out := make([]R, 0, len(t.rows)+changed.Len())
	copied := 0
	for _, key := range keys {
		i, exists := t.find(key)
		if i > copied {
			out = append(out, t.rows[copied:i]...)
		}
		if r, ok := changed.Get(key); ok {
			out = append(out, r)
		}
		if copied = max(copied, i); exists {
			copied = i + 1
		}
	}
	return Table[R]{rows: append(out, t.rows[copied:]...)}
}

// MarshalJSON encodes the table as a list of its rows.
func (t Table[R]) MarshalJSON() ([]byte, error) {
	if t.rows == nil {
		return []byte("[]"), nil
	}
	return json.Marshal(t.rows)
}

// UnmarshalJSON decodes a list of rows.
func (t *Table[R]) UnmarshalJSON(data []byte) error {
	var rows []R
	if err := json.Unmarshal(data, &rows); err != nil {
		return err
	}
	*t = NewTable(rows...)
	return nil
}
