// Package tracker keeps a local copy of the objects under one prefix of the object API.
// It lists the objects, watches for changes from the revision of the list, and lists
// them again if the store no longer has the history from that revision.
package tracker

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/base/sleeper"
)

const (
	// initialRetryDelay is the delay after the first of several failed calls, about ten
	// times the store's response time.
	initialRetryDelay = 50 * time.Millisecond
	// maxRetryDelay is a fraction of the time within which an entry must learn of a
	// change.
	maxRetryDelay = 400 * time.Millisecond
)

// Config configures a Tracker.
type Config[T filbertstile.Row] struct {
	Store filbertstile.Store
	// Prefix is the prefix of the objects' keys, including the slash at its end.
	Prefix string
	// Decode decodes an object. An object that cannot be decoded is omitted from the
	// copy.
	Decode func(o filbertstile.Object) (T, error)
	// Clock is a monotonic clock that keeps running while the host is suspended.
	Clock func() time.Duration
	Log   *reporter.Log
	// WatchTimeout is how long the store waits for a change before it responds to a
	// watch.
	WatchTimeout time.Duration
	// BatchDelay is the delay between a change and the next watch, which then returns
	// all changes made meanwhile.
	BatchDelay time.Duration
	// OnChange is called after each change; it must not block.
	OnChange func()
}

// View is the copy at one point in time.
type View[T filbertstile.Row] struct {
	Rows filbertstile.Table[T]
	// Revision is the store's revision that the copy reflects.
	Revision uint64
	// ConfirmedAt is the latest time, on Config.Clock, at which the copy is known to have
	// been up to date: the time at which the last successful list or watch was sent,
	// or WatchTimeout later if the store waited that long and nothing changed.
	ConfirmedAt time.Duration
	// Listed is true after the objects have been listed completely for the first time.
	Listed bool
}

// Tracker keeps the copy up to date. Its methods are safe for concurrent use.
type Tracker[T filbertstile.Row] struct {
	config Config[T]

	mu   sync.Mutex
	view View[T]
	// rowKeys maps the keys of objects to the keys of their rows.
	rowKeys map[string]string
	// storeUnreachable is true if the last call failed.
	storeUnreachable bool
}

// New returns a tracker whose copy is empty until Run has listed the objects.
func New[T filbertstile.Row](c Config[T]) *Tracker[T] {
	if c.OnChange == nil {
		c.OnChange = func() {}
	}
	return &Tracker[T]{config: c, rowKeys: make(map[string]string)}
}

// View returns the current copy.
func (t *Tracker[T]) View() View[T] {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.view
}

// Age returns the time since the store last confirmed the copy, and whether it ever has.
func (t *Tracker[T]) Age() (time.Duration, bool) {
	v := t.View()
	return t.config.Clock() - v.ConfirmedAt, v.Listed
}

// Run keeps the copy up to date until the context ends.
func (t *Tracker[T]) Run(ctx context.Context) {
	delay := initialRetryDelay
	listed := false
	for ctx.Err() == nil {
		var err error
		if listed {
			var changed bool
			changed, err = t.watch(ctx)
			if changed && sleeper.Sleep(ctx, t.config.BatchDelay) != nil {
				return
			}
		} else {
			err = t.list(ctx)
			listed = err == nil
		}
		if err == nil {
			delay = initialRetryDelay
			t.recordSuccess()
			continue
		}
		var gone filbertstile.ErrHistoryGone
		if errors.As(err, &gone) {
			listed = false
			t.config.Log.Event(reporter.HistoryGone, reporter.Fields{"Prefix": t.config.Prefix, "Revision": t.View().Revision})
			continue
		}
		if ctx.Err() != nil {
			return
		}
		t.recordFailure(err)
		if sleeper.Sleep(ctx, delay) != nil {
			return
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

func (t *Tracker[T]) recordSuccess() {
	t.mu.Lock()
	recovered := t.storeUnreachable
	t.storeUnreachable = false
	t.mu.Unlock()
	if recovered {
		t.config.Log.Event(reporter.StoreBack, reporter.Fields{"Prefix": t.config.Prefix})
	}
}

func (t *Tracker[T]) recordFailure(err error) {
	t.mu.Lock()
	first := !t.storeUnreachable
	t.storeUnreachable = true
	t.mu.Unlock()
	if first {
		age, known := t.Age()
		t.config.Log.Event(reporter.StoreOutOfReach, reporter.Fields{"Prefix": t.config.Prefix, "Error": err, "Age": age.String(), "Known": known})
	}
}

// list replaces the copy. If the list has several pages, the copy gets the revision of
// the first, so that the next watch returns all changes made meanwhile.
func (t *Tracker[T]) list(ctx context.Context) error {
	sentAt := t.config.Clock()
	after := ""
	revision := uint64(0)
	var rows []T
	keys := make(map[string]string)
	for {
		b, err := t.config.Store.List(ctx, t.config.Prefix, after)
		if err != nil {
			return err
		}
		if revision == 0 {
			revision = b.Revision
		}
		for _, o := range b.Objects {
			if row, ok := t.decode(o); ok {
				rows = append(rows, row)
				keys[o.Key] = row.Key()
			}
			after = strings.TrimPrefix(o.Key, t.config.Prefix)
		}
		if !b.More {
			break
		}
	}
	t.mu.Lock()
	t.view = View[T]{Rows: filbertstile.NewTable(rows...), Revision: revision, ConfirmedAt: sentAt, Listed: true}
	t.rowKeys = keys
	t.mu.Unlock()
	t.config.OnChange()
	return nil
}

func (t *Tracker[T]) decode(o filbertstile.Object) (T, bool) {
	row, err := t.config.Decode(o)
	if err != nil {
		t.config.Log.Event(reporter.ObjectUnreadable, reporter.Fields{"Key": o.Key, "Revision": o.Version, "Error": err})
		return row, false
	}
	return row, true
}

// watch waits for changes and applies them, and reports whether there were any.
func (t *Tracker[T]) watch(ctx context.Context) (bool, error) {
	sentAt := t.config.Clock()
	b, err := t.config.Store.Watch(ctx, t.config.Prefix, t.View().Revision)
	if err != nil {
		return false, err
	}
	t.mu.Lock()
	v := t.view
	for _, o := range b.Objects {
		v.Rows = t.apply(v.Rows, o)
	}
	if b.Revision > v.Revision {
		v.Revision = b.Revision
	}
	v.ConfirmedAt = sentAt
	if len(b.Objects) == 0 && t.config.Clock()-sentAt >= t.config.WatchTimeout {
		// The store waited for the full timeout before it reported that nothing has
		// changed.
		v.ConfirmedAt = sentAt + t.config.WatchTimeout
	}
	t.view = v
	t.mu.Unlock()
	if len(b.Objects) > 0 {
		t.config.OnChange()
	}
	return len(b.Objects) > 0, nil
}

// apply applies one change. An object that can no longer be decoded is removed, as it
// describes nothing that can be used.
func (t *Tracker[T]) apply(rows filbertstile.Table[T], o filbertstile.Object) filbertstile.Table[T] {
	if !o.Removed {
		if row, ok := t.decode(o); ok {
			if oldKey, known := t.rowKeys[o.Key]; known && oldKey != row.Key() {
				rows = rows.Without(oldKey)
			}
			t.rowKeys[o.Key] = row.Key()
			return rows.With(row)
		}
	}
	if oldKey, known := t.rowKeys[o.Key]; known {
		delete(t.rowKeys, o.Key)
		return rows.Without(oldKey)
	}
	return rows
}
