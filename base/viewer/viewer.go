// Package viewer holds a process's view of the configuration and of the other
// processes. A view only ever moves to higher revisions.
package viewer

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"filbertstile.example/filbertstile"
)

// ErrGap is a change that does not follow the view's revision.
type ErrGap struct {
	Have uint64
	Got  uint64
}

// Error names both revisions.
func (e ErrGap) Error() string {
	return fmt.Sprintf("apply change: revision %d does not follow %d", e.Got, e.Have)
}

// View is what a process knows, at one moment.
type View struct {
	Config  filbertstile.Config
	Members filbertstile.Table[filbertstile.Member]
	// MembersVersion is a digest over the members, equal wherever they are.
	MembersVersion uint64
	// VouchedAt is the newest moment at which the store confirmed the view,
	// directly or through a chain of processes; zero if it never did.
	VouchedAt time.Time
	// StoreOutOfReach is true if the processes that ask the store get no answer.
	StoreOutOfReach bool
	// HeardAt is when a relay last said anything.
	HeardAt time.Time
}

// WithChanges returns the view after the changes that follow it; changes that
// it already has are passed over.
func (v View) WithChanges(changes []filbertstile.Change) (View, error) {
	for _, ch := range changes {
		if ch.Revision <= v.Config.Revision {
			continue
		}
		if ch.Revision != v.Config.Revision+1 {
			return v, ErrGap{Have: v.Config.Revision, Got: ch.Revision}
		}
		v.Config = v.Config.WithChange(ch)
	}
	return v, nil
}

// WithSnapshot returns the view with the configuration if it is newer.
func (v View) WithSnapshot(c filbertstile.Config) View {
	if c.Revision > v.Config.Revision {
		v.Config = c
	}
	return v
}

// WithMembers returns the view with other members.
func (v View) WithMembers(t filbertstile.Table[filbertstile.Member], version uint64) View {
	v.Members = t
	v.MembersVersion = version
	return v
}

// WithVouch returns the view confirmed at the moment, if that is newer.
func (v View) WithVouch(at time.Time, storeOutOfReach bool, heard time.Time) View {
	if at.After(v.VouchedAt) {
		v.VouchedAt = at
	}
	v.StoreOutOfReach = storeOutOfReach
	v.HeardAt = heard
	return v
}

// recentChanges bounds the changes kept for subscribers that are behind.
const recentChanges = 1024

// Holder owns the view of a process.
type Holder struct {
	mu      sync.Mutex
	view    View
	recent  [][]byte
	first   uint64
	deltas  []MemberDelta
	changed chan struct{}
	vouched chan struct{}
	sentAt  time.Time
}

// NewHolder returns a holder of an empty view.
func NewHolder() *Holder {
	return &Holder{changed: make(chan struct{}), vouched: make(chan struct{}), first: 1}
}

// View returns the view as it is now.
func (h *Holder) View() View {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view
}

// Changed returns a channel that is closed when the configuration or the
// members change.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

func (h *Holder) wake() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// Apply takes in encoded changes. It returns ErrGap if some are missing.
func (h *Holder) Apply(encoded [][]byte) error {
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
		h.keep(raw)
		h.wake()
	}
	return nil
}

func (h *Holder) keep(raw []byte) {
	h.recent = append(h.recent, raw)
	if extra := len(h.recent) - recentChanges; extra > 0 {
		h.recent = h.recent[extra:]
		h.first += uint64(extra)
	}
}

// Restore takes in a whole configuration if it is newer than the view.
func (h *Holder) Restore(c filbertstile.Config) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c.Revision <= h.view.Config.Revision {
		return
	}
	h.view = h.view.WithSnapshot(c)
	h.recent = nil
	h.first = c.Revision + 1
	h.wake()
}

// Since returns the encoded changes after the revision, or false if some of
// them are no longer kept.
func (h *Holder) Since(revision uint64) ([][]byte, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if revision+1 < h.first {
		return nil, false
	}
	skip := revision + 1 - h.first
	if skip >= uint64(len(h.recent)) {
		return nil, true
	}
	return h.recent[skip:], true
}

// vouchStep is how far a confirmation must move to be passed on at once.
const vouchStep = 400 * time.Millisecond

// Vouched returns a channel that is closed when the confirmation has moved on.
func (h *Holder) Vouched() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.vouched
}

// Vouch notes that the view was confirmed as of the moment.
func (h *Holder) Vouch(at time.Time, storeOutOfReach bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.view = h.view.WithVouch(at, storeOutOfReach, time.Now())
	if h.view.VouchedAt.Sub(h.sentAt) < vouchStep {
		return
	}
	h.sentAt = h.view.VouchedAt
	close(h.vouched)
	h.vouched = make(chan struct{})
}
