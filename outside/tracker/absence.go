package tracker

import (
	"time"

	"filbertstile.example/filbertstile"
)

// maxConfirmations is the number of confirmations that are kept. With one or two a second they
// reach back for longer than news of a change may take.
const maxConfirmations = 64

// confirmation is a time at which the store had not gone beyond the revision of the era.
type confirmation struct {
	era      uint64
	revision uint64
	at       time.Duration
}

// recordConfirmation records when the view was confirmed. The caller holds t.mu, and has just
// changed the view.
func (t *Tracker[T]) recordConfirmation() {
	c := confirmation{era: t.view.Era, revision: t.view.Revision, at: t.view.ConfirmedAt}
	last := len(t.confirmations) - 1
	if last >= 0 && t.confirmations[last].era == c.era && t.confirmations[last].revision == c.revision {
		t.confirmations[last] = c
		return
	}
	t.confirmations = append(t.confirmations, c)
	if extra := len(t.confirmations) - maxConfirmations; extra > 0 {
		t.confirmations = append(t.confirmations[:0], t.confirmations[extra:]...)
	}
}

// lastConfirmation returns the time of the latest confirmation for which holds is true, and
// whether there is one.
func (t *Tracker[T]) lastConfirmation(holds func(confirmation) bool) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := len(t.confirmations) - 1; i >= 0; i-- {
		if holds(t.confirmations[i]) {
			return t.confirmations[i].at, true
		}
	}
	return 0, false
}

// AbsentAt returns the latest time of the clock at which the store is known not to have had
// the revision of the era, and whether there is one. All objects of the store share one count
// of revisions, so that this holds for objects of other prefixes too.
func (t *Tracker[T]) AbsentAt(era, revision uint64) (time.Duration, bool) {
	return t.lastConfirmation(func(c confirmation) bool { return c.era == era && c.revision < revision })
}

// CopyAbsentAt returns the latest time of the clock at which the copy was up to date without
// the revision of the era, and whether there is one.
func (t *Tracker[T]) CopyAbsentAt(era, revision uint64) (time.Duration, bool) {
	return t.lastConfirmation(func(c confirmation) bool { return c.era < era || c.era == era && c.revision < revision })
}

// Written is a row and the write of its object.
type Written[T filbertstile.Row] struct {
	Row T
	// Era and Revision are those of the write.
	Era      uint64
	Revision uint64
}

// Written returns the rows with the writes of their objects.
func (t *Tracker[T]) Written() []Written[T] {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Written[T]
	for objectKey, rowKey := range t.rowKeys {
		row, ok := t.view.Rows.Get(rowKey)
		if o, listed := t.objects[objectKey]; ok && listed {
			out = append(out, Written[T]{Row: row, Era: t.view.Era, Revision: o.Version})
		}
	}
	return out
}
