package tracker

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"filbertstile.example/filbertstile"
)

// maxHistoryObjects and maxHistoryBytes limit the changed objects that are kept for processes
// that follow this copy. A process that is further behind gets a complete copy.
const (
	maxHistoryObjects = 4096
	maxHistoryBytes   = 4 << 20
)

// ErrEraChanged reports a list that the store answered in two eras.
type ErrEraChanged struct {
	Step   string
	Prefix string
	Have   uint64
	Got    uint64
}

// Error returns a message with the step and both eras.
func (e ErrEraChanged) Error() string {
	return fmt.Sprintf("%s: %s: the store moved from era %d to %d", e.Step, e.Prefix, e.Have, e.Got)
}

// ErrOutdated reports a complete copy that is older than the one held, as a read that may
// be out of date returns.
type ErrOutdated struct {
	Step   string
	Prefix string
	// Have and Got are the revisions of the copy held and of the other one.
	Have uint64
	Got  uint64
}

// Error returns a message with the step and both revisions.
func (e ErrOutdated) Error() string {
	return fmt.Sprintf("%s: %s: revision %d is older than %d", e.Step, e.Prefix, e.Got, e.Have)
}

// Update is a change of a copy from one revision to another within an era, or a complete
// copy.
type Update struct {
	Era uint64
	// From is the revision after which the objects are all changes; it is not used if
	// Complete is true.
	From     uint64
	Revision uint64
	// Complete is true if Objects are all objects at Revision.
	Complete bool
	Objects  []filbertstile.Object
}

// Prefix returns the prefix of the keys of the copy's objects.
func (t *Tracker[T]) Prefix() string { return t.config.Prefix }

// Position is what a copy reflects, and since when it is known to be up to date.
type Position struct {
	Era      uint64
	Revision uint64
	// ConfirmedAt and ReadAt are those of the view.
	ConfirmedAt time.Duration
	ReadAt      time.Duration
	Listed      bool
}

// Position returns the copy's position, and a channel that is closed when it changes.
func (t *Tracker[T]) Position() (Position, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.view
	return Position{Era: v.Era, Revision: v.Revision, ConfirmedAt: v.ConfirmedAt, ReadAt: v.ReadAt, Listed: v.Listed}, t.changed
}

// Since returns the update that brings a copy at the revision of the era to the position of
// this one, which must be listed.
func (t *Tracker[T]) Since(era, revision uint64) Update {
	t.mu.Lock()
	defer t.mu.Unlock()
	if era == t.view.Era && revision > 0 && revision >= t.historyFrom {
		return t.joinHistory(revision)
	}
	out := Update{Era: t.view.Era, Revision: t.view.Revision, Complete: true}
	for _, o := range t.objects {
		out.Objects = append(out.Objects, o)
	}
	return out
}

// joinHistory returns the changes after the revision as one update. The caller holds t.mu.
func (t *Tracker[T]) joinHistory(revision uint64) Update {
	out := Update{Era: t.view.Era, From: min(revision, t.view.Revision), Revision: t.view.Revision}
	for _, u := range t.history {
		if u.Revision > revision {
			out.Objects = append(out.Objects, u.Objects...)
		}
	}
	return out
}

// Follow applies an update of another process's copy, which the store had confirmed at the
// time confirmedAt of this tracker's clock. It returns false if the update does not continue
// this copy, which then needs a complete one. The copy never goes back in revisions within
// an era, or to an earlier era.
func (t *Tracker[T]) Follow(u Update, confirmedAt time.Duration) bool {
	v := t.View()
	switch {
	case v.Listed && u.Era < v.Era:
		return true // a late update of the era before
	case u.Complete && (!v.Listed || u.Era > v.Era || u.Revision >= v.Revision):
		return t.replace(u, confirmedAt, 0) == nil
	case !v.Listed || u.Era > v.Era || u.From > v.Revision && !u.Complete:
		return false
	}
	t.apply(u, confirmedAt, 0)
	return true
}

// replace replaces the copy by a complete one. A copy of an earlier era, or of an earlier
// revision of the same era, changes nothing.
func (t *Tracker[T]) replace(u Update, confirmedAt, readAt time.Duration) error {
	var rows []T
	rowKeys := make(map[string]string)
	objects := make(map[string]filbertstile.Object, len(u.Objects))
	failures := make(map[string]error)
	for _, o := range u.Objects {
		row, err := t.config.Decode(o)
		if err != nil {
			failures[o.Key] = err
			o.Value = nil
		} else {
			rows = append(rows, row)
			rowKeys[o.Key] = row.Key()
		}
		objects[o.Key] = o
	}
	t.mu.Lock()
	old := t.view
	if old.Listed && (u.Era < old.Era || u.Era == old.Era && u.Revision < old.Revision) {
		t.mu.Unlock()
		return ErrOutdated{Step: "replace copy", Prefix: t.config.Prefix, Have: old.Revision, Got: u.Revision}
	}
	next := View[T]{Rows: filbertstile.NewTable(rows...), Revision: u.Revision, Era: u.Era, ConfirmedAt: confirmedAt, Listed: true, ReadAt: max(old.ReadAt, readAt)}
	if u.Era == old.Era {
		next.ConfirmedAt = max(confirmedAt, old.ConfirmedAt)
	}
	newEra := old.Listed && u.Era != old.Era
	if t.config.Older != nil {
		next.Rows = t.withNewer(next.Rows, rowKeys, objects, newEra)
	}
	switch {
	case t.config.Revived == nil:
	case newEra:
		next.Rows = t.withoutRevived(next.Rows, rowKeys)
	default:
		t.rememberMissing(objects)
		next.Rows = t.withHeld(next.Rows, rowKeys, objects)
	}
	if newEra && t.config.KeepMissing > 0 {
		next.Rows = t.withMissing(next.Rows, rowKeys, objects)
		t.keepUntil = time.Now().Add(t.config.KeepMissing)
		time.AfterFunc(t.config.KeepMissing, t.dropMissing)
	}
	t.view, t.rowKeys, t.objects = next, rowKeys, objects
	maps.DeleteFunc(t.unreadable, func(key string, _ bool) bool { return failures[key] == nil })
	for key, err := range failures {
		t.recordUnreadable(objects[key], err)
	}
	t.history, t.historyFrom = nil, u.Revision
	t.recordConfirmation()
	t.notifyChanged()
	t.mu.Unlock()
	if newEra && t.config.OnEra != nil {
		t.config.OnEra(u.Era)
	}
	t.config.OnChange()
	return nil
}

// withNewer returns the rows with those of the current copy in place of older ones and, in a new
// era, of missing ones. It replaces their objects, too. The caller holds t.mu.
func (t *Tracker[T]) withNewer(rows filbertstile.Table[T], rowKeys map[string]string, objects map[string]filbertstile.Object, newEra bool) filbertstile.Table[T] {
	for key, rowKey := range t.rowKeys {
		held, ok := t.view.Rows.Get(rowKey)
		listed, known := rows.Get(rowKey)
		if ok && (known && t.config.Older(listed, held) || !known && newEra) {
			rows, rowKeys[key], objects[key] = rows.With(held), rowKey, t.objects[key]
		}
	}
	return rows
}

// Adopt adds the objects of another process's copy whose rows are newer than those held, or not
// held at all. The store may have lost them, so that they are at no revision of the current era: a process
// that follows this copy gets them only with a complete copy.
func (t *Tracker[T]) Adopt(objects []filbertstile.Object) {
	adopted := false
	t.mu.Lock()
	for _, o := range objects {
		row, err := t.config.Decode(o)
		if err != nil || o.Removed || t.config.Older == nil {
			continue
		}
		held, known := t.view.Rows.Get(row.Key())
		if known && !t.config.Older(held, row) {
			continue
		}
		t.objects[o.Key], t.rowKeys[o.Key] = o, row.Key()
		t.view.Rows = t.view.Rows.With(row)
		adopted = true
	}
	t.mu.Unlock()
	if adopted {
		t.config.OnChange()
	}
}

// withMissing returns the rows together with those of the current copy whose objects are
// not among the given ones, and adds the keys of these. The caller holds t.mu.
func (t *Tracker[T]) withMissing(rows filbertstile.Table[T], rowKeys map[string]string, objects map[string]filbertstile.Object) filbertstile.Table[T] {
	for key, rowKey := range t.rowKeys {
		_, listed := objects[key]
		_, replaced := rows.Get(rowKey)
		if row, ok := t.view.Rows.Get(rowKey); ok && !listed && !replaced {
			rows, rowKeys[key] = rows.With(row), rowKey
		}
	}
	return rows
}

// dropMissing removes the rows that withMissing kept and whose objects have not been
// written again. It does nothing before keepUntil, as the store may have come back once more.
func (t *Tracker[T]) dropMissing() {
	t.mu.Lock()
	if time.Now().Before(t.keepUntil) {
		t.mu.Unlock()
		return
	}
	for key, rowKey := range t.rowKeys {
		if _, listed := t.objects[key]; !listed {
			t.view.Rows = t.view.Rows.Without(rowKey)
			delete(t.rowKeys, key)
		}
	}
	t.mu.Unlock()
	t.config.OnChange()
}

// apply applies changes that continue the copy. Changes that it already includes are
// skipped, and only confirm it if it has not moved beyond them.
func (t *Tracker[T]) apply(u Update, confirmedAt, readAt time.Duration) {
	t.mu.Lock()
	v := t.view
	if u.Era != v.Era || u.Revision < v.Revision || u.From > v.Revision {
		t.mu.Unlock()
		return
	}
	changed := u.Revision > v.Revision && len(u.Objects) > 0
	if changed {
		kept, rows := make([]filbertstile.Object, 0, len(u.Objects)), newRowChanges[T]()
		for _, o := range u.Objects {
			kept = append(kept, t.applyObject(rows, o))
		}
		v.Rows = rows.applyTo(v.Rows)
		u.From, u.Objects = v.Revision, kept
		t.history = append(t.history, u)
		t.trimHistory()
	}
	v.Revision = u.Revision
	v.ConfirmedAt = max(v.ConfirmedAt, confirmedAt)
	v.ReadAt = max(v.ReadAt, readAt)
	t.view = v
	t.recordConfirmation()
	t.notifyChanged()
	t.mu.Unlock()
	if changed {
		t.config.OnChange()
	}
}

// trimHistory removes the oldest updates until the limits hold. The caller holds t.mu.
func (t *Tracker[T]) trimHistory() {
	objects, size := 0, 0
	for i := len(t.history) - 1; i >= 0; i-- {
		objects += len(t.history[i].Objects)
		for _, o := range t.history[i].Objects {
			size += len(o.Key) + len(o.Value)
		}
		if objects > maxHistoryObjects || size > maxHistoryBytes {
			t.historyFrom = t.history[i].Revision
			t.history = slices.Clone(t.history[i+1:])
			return
		}
	}
}

// applyObject applies one change, and returns what is kept of it. An object that can no longer
// be decoded is removed, as it describes nothing that can be used; nor does anything need its
// value, which may be large. The caller holds t.mu.
func (t *Tracker[T]) applyObject(rows *rowChanges[T], o filbertstile.Object) filbertstile.Object {
	delete(t.held, o.Key)
	oldKey, known := t.rowKeys[o.Key]
	if !o.Removed {
		row, err := t.config.Decode(o)
		if held, ok := t.view.Rows.Get(oldKey); err == nil && known && ok && t.config.Older != nil && t.config.Older(row, held) {
			return t.objects[o.Key]
		}
		if err == nil {
			if known && oldKey != row.Key() {
				rows.remove(oldKey)
			}
			t.objects[o.Key], t.rowKeys[o.Key] = o, row.Key()
			delete(t.unreadable, o.Key)
			delete(t.removed, o.Key)
			rows.put(row)
			return o
		}
		t.recordUnreadable(o, err)
		o.Value = nil
		t.objects[o.Key] = o
	} else {
		delete(t.objects, o.Key)
		delete(t.unreadable, o.Key)
	}
	if known {
		if row, ok := t.view.Rows.Get(oldKey); ok && o.Removed {
			t.rememberRemoved(o.Key, row)
		}
		delete(t.rowKeys, o.Key)
		rows.remove(oldKey)
	}
	return o
}

// notifyChanged wakes the processes that follow this copy. The caller holds t.mu.
func (t *Tracker[T]) notifyChanged() {
	close(t.changed)
	t.changed = make(chan struct{})
}
