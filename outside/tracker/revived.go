package tracker

import (
	"time"

	"filbertstile.example/filbertstile"
)

// endedMemory is how long a removed row is remembered. The copy from which the store comes back may
// be some seconds old.
const endedMemory = 30 * time.Second

// removedRow is a row whose object was removed.
type removedRow[T filbertstile.Row] struct {
	row T
	at  time.Time
}

// rememberRemoved records that the row is removed. The caller holds t.mu.
func (t *Tracker[T]) rememberRemoved(key string, row T) {
	if t.config.Revived == nil {
		return
	}
	now := time.Now()
	for k, r := range t.removed {
		if now.Sub(r.at) > endedMemory {
			delete(t.removed, k)
		}
	}
	t.removed[key] = removedRow[T]{row: row, at: now}
}

// rememberMissing records the rows that are gone from a later list of the same era as removed. The
// caller holds t.mu.
func (t *Tracker[T]) rememberMissing(objects map[string]filbertstile.Object) {
	for key, rowKey := range t.rowKeys {
		if row, ok := t.view.Rows.Get(rowKey); ok && objects[key].Key == "" {
			t.rememberRemoved(key, row)
		}
	}
}

// withoutRevived returns the rows of a new era without those of which this copy knows that they have
// changed for good or are gone: the row held takes their place, or none. The caller holds t.mu.
func (t *Tracker[T]) withoutRevived(rows filbertstile.Table[T], rowKeys map[string]string) filbertstile.Table[T] {
	t.held = make(map[string]bool)
	for key, rowKey := range rowKeys {
		listed, _ := rows.Get(rowKey)
		held, known := t.view.Rows.Get(rowKey)
		removed, wasRemoved := t.removed[key]
		switch {
		case known && t.config.Revived(listed, held, false):
			rows = rows.With(held)
		case !known && wasRemoved && time.Since(removed.at) <= endedMemory && t.config.Revived(listed, removed.row, true):
			rows = rows.Without(rowKey)
			delete(rowKeys, key)
		default:
			continue
		}
		t.held[key] = true
	}
	if len(t.held) > 0 {
		t.heldUntil = time.Now().Add(t.config.HoldRevived)
		time.AfterFunc(t.config.HoldRevived, t.releaseHeld)
	}
	return rows
}

// withHeld returns the rows of another list of the same era, with what withoutRevived has held in place
// of objects that have not been written since. The caller holds t.mu.
func (t *Tracker[T]) withHeld(rows filbertstile.Table[T], rowKeys map[string]string, objects map[string]filbertstile.Object) filbertstile.Table[T] {
	for key := range t.held {
		rowKey, listed := rowKeys[key]
		if !listed || objects[key].Version != t.objects[key].Version {
			delete(t.held, key)
			continue
		}
		if held, ok := t.view.Rows.Get(rowKey); ok {
			rows = rows.With(held)
		} else {
			rows = rows.Without(rowKey)
			delete(rowKeys, key)
		}
	}
	return rows
}

// releaseHeld replaces what withoutRevived has held by what the store lists. It does nothing before
// heldUntil, as the store may have come back once more.
func (t *Tracker[T]) releaseHeld() {
	t.mu.Lock()
	if time.Now().Before(t.heldUntil) {
		t.mu.Unlock()
		return
	}
	for key := range t.held {
		if row, err := t.config.Decode(t.objects[key]); err == nil {
			t.view.Rows, t.rowKeys[key] = t.view.Rows.With(row), row.Key()
		}
	}
	clear(t.held)
	t.mu.Unlock()
	t.config.OnChange()
}
