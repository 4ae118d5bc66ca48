// Package viewer holds a process's view of the configuration and of the other
// processes. The configuration revision of a view never decreases.
package viewer

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"filbertstile.example/filbertstile"
)

// ErrRevisionGap reports a change that does not directly follow the view's
// revision.
type ErrRevisionGap struct {
	// Have is the revision of the view, and Got that of the change.
	Have uint64
	Got  uint64
}

// Error returns a message with both revisions.
func (e ErrRevisionGap) Error() string {
	return fmt.Sprintf("apply change: revision %d does not follow %d", e.Got, e.Have)
}

// View is what a process knows of the system at one point in time.
type View struct {
	Config  filbertstile.Config
	Members filbertstile.Table[filbertstile.Member]
	// MembersVersion is a hash of the members. It is the same in all processes that
	// have the same members.
	MembersVersion uint64
	// ConfirmedAt is the latest time at which the store confirmed that the view is
	// current, directly or through a chain of processes; zero if it never did.
	ConfirmedAt time.Time
	// StoreUnreachable is true if the processes that query the store get no response.
	StoreUnreachable bool
	// LastContact is the time of the last message from a relay or response of the
	// store, whether or not it advanced ConfirmedAt.
	LastContact time.Time
}

// WithChanges returns the view with the changes applied. Changes that the view
// already includes are skipped.
func (v View) WithChanges(changes []filbertstile.Change) (View, error) {
	for _, ch := range changes {
		if ch.Revision <= v.Config.Revision {
			continue
		}
		if ch.Revision != v.Config.Revision+1 {
			return v, ErrRevisionGap{Have: v.Config.Revision, Got: ch.Revision}
		}
		v.Config = v.Config.WithChange(ch)
	}
	return v, nil
}

// WithSnapshot returns the view with the configuration replaced, if c is newer.
func (v View) WithSnapshot(c filbertstile.Config) View {
	if c.Revision > v.Config.Revision {
		v.Config = c
	}
	return v
}

// WithMembers returns the view with the members replaced.
func (v View) WithMembers(t filbertstile.Table[filbertstile.Member], version uint64) View {
	v.Members = t
	v.MembersVersion = version
	return v
}

// WithConfirmation returns the view with a confirmation as of the given time. An
// older confirmation does not change ConfirmedAt.
func (v View) WithConfirmation(at time.Time, storeUnreachable bool, contact time.Time) View {
	if at.After(v.ConfirmedAt) {
		v.ConfirmedAt = at
	}
	v.StoreUnreachable = storeUnreachable
	v.LastContact = contact
	return v
}

// maxRecentChanges is the maximum number of changes kept for subscribers that are
// behind.
const maxRecentChanges = 1024

// Holder holds the view of a process. It is safe for concurrent use.
type Holder struct {
	mu   sync.Mutex
	view View
	// changes are the most recent changes, encoded, without gaps.
	changes [][]byte
	// firstRevision is the revision of the first of the changes, or of the next
	// change if there are none.
	firstRevision uint64
	// deltas are the most recent changes of the members.
	deltas []MemberDelta
	// changed and confirmed are closed and replaced to notify waiters.
	changed   chan struct{}
	confirmed chan struct{}
	// notifiedAt is the value of View.ConfirmedAt when confirmed was last closed.
	notifiedAt time.Time
}

// NewHolder returns a holder of an empty view.
func NewHolder() *Holder {
	return &Holder{changed: make(chan struct{}), confirmed: make(chan struct{}), firstRevision: 1}
}

// View returns the current view.
func (h *Holder) View() View {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view
}

// Changed returns a channel that is closed at the next change of the configuration
// or of the members.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// notifyChanged wakes the waiters on Changed. The caller holds h.mu.
func (h *Holder) notifyChanged() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// ApplyChanges applies encoded changes. It returns ErrRevisionGap if a change is
// missing; the changes before the gap stay applied.
func (h *Holder) ApplyChanges(encoded [][]byte) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, raw := range encoded {
		var ch filbertstile.Change
		if err := json.Unmarshal(raw, &ch); err != nil {
			return fmt.Errorf("decode change: %w", err)
		}
		if ch.Revision <= h.view.Config.Revision {
			continue
		}
		next, err := h.view.WithChanges([]filbertstile.Change{ch})
		if err != nil {
			return err
		}
		h.view = next
		h.appendChange(raw)
		h.notifyChanged()
	}
	return nil
}

func (h *Holder) appendChange(raw []byte) {
	h.changes = append(h.changes, raw)
	if extra := len(h.changes) - maxRecentChanges; extra > 0 {
		h.changes = h.changes[extra:]
		h.firstRevision += uint64(extra)
	}
}

// ApplySnapshot replaces the configuration, if c is newer.
func (h *Holder) ApplySnapshot(c filbertstile.Config) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c.Revision <= h.view.Config.Revision {
		return
	}
	h.view = h.view.WithSnapshot(c)
	h.changes = nil
	h.firstRevision = c.Revision + 1
	h.notifyChanged()
}

// ChangesSince returns the encoded changes after the revision. The result is false
// if some of them are no longer kept.
func (h *Holder) ChangesSince(revision uint64) ([][]byte, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if revision+1 < h.firstRevision {
		return nil, false
	}
	skip := revision + 1 - h.firstRevision
	if skip >= uint64(len(h.changes)) {
		return nil, true
	}
	return h.changes[skip:], true
}

// confirmationStep is how far ConfirmedAt must advance before waiters on Confirmed
// are notified.
const confirmationStep = 400 * time.Millisecond

// Confirmed returns a channel that is closed when ConfirmedAt has advanced by at
// least confirmationStep.
func (h *Holder) Confirmed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.confirmed
}

// Confirm records that the view was confirmed as of the given time.
func (h *Holder) Confirm(at time.Time, storeUnreachable bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.view = h.view.WithConfirmation(at, storeUnreachable, time.Now())
	if h.view.ConfirmedAt.Sub(h.notifiedAt) < confirmationStep {
		return
	}
	h.notifiedAt = h.view.ConfirmedAt
	close(h.confirmed)
	h.confirmed = make(chan struct{})
}
