// Package tracker keeps a copy of the objects of one kind in the object API:
// it lists them, watches from the list's revision, and lists again where the
// history is gone.
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
	// firstPause and mostPause bound the time between two failed calls; the
	// first is some ten answers of the store, the second a part of the time
	// within which an entry must know of a change.
	firstPause = 50 * time.Millisecond
	mostPause  = 400 * time.Millisecond
)

// Config puts a tracker together.
type Config[T filbertstile.Row] struct {
	Store filbertstile.Store
	// Prefix is that of the keys, with its slash.
	Prefix string
	// Decode reads an object. An object that cannot be read is left out.
	Decode func(o filbertstile.Object) (T, error)
	// Elapsed is a clock that goes on while the machine sleeps.
	Elapsed func() time.Duration
	Log     *reporter.Log
	// Wait is how long a watch waits at the store while nothing changes.
	Wait time.Duration
	// Gather is the pause after a change until the next watch.
	Gather time.Duration
	// Changed is called after each change; it must not block.
	Changed func()
}

// View is the copy at one moment.
type View[T filbertstile.Row] struct {
	Rows filbertstile.Table[T]
	// Revision is the store's revision of the copy.
	Revision uint64
	// ConfirmedAt is when the last call was sent that the store answered with
	// all there was, on the clock that goes on while the machine sleeps.
	ConfirmedAt time.Duration
	// Known is false until the first whole list.
	Known bool
}

// Tracker keeps the copy.
type Tracker[T filbertstile.Row] struct {
	config Config[T]

	mu   sync.Mutex
	view View[T]
	keys map[string]string
	lost bool
}

// New returns a tracker without a copy.
func New[T filbertstile.Row](c Config[T]) *Tracker[T] {
	if c.Changed == nil {
		c.Changed = func() {}
	}
	return &Tracker[T]{config: c, keys: make(map[string]string)}
}

// View returns the copy as it is now.
func (t *Tracker[T]) View() View[T] {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.view
}

// Age returns how long ago the store confirmed the copy, and whether it ever
// did.
func (t *Tracker[T]) Age() (time.Duration, bool) {
	v := t.View()
	return t.config.Elapsed() - v.ConfirmedAt, v.Known
}

// Run keeps the copy until the context ends.
func (t *Tracker[T]) Run(ctx context.Context) {
	pause := firstPause
	listed := false
	for ctx.Err() == nil {
		var err error
		if listed {
			var changed bool
			changed, err = t.watch(ctx)
			if changed && sleeper.Sleep(ctx, t.config.Gather) != nil {
				return
			}
		} else {
			err = t.list(ctx)
			listed = err == nil
		}
		if err == nil {
			pause = firstPause
			t.reached()
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
		t.missed(err)
		if sleeper.Sleep(ctx, pause) != nil {
			return
		}
		pause = min(2*pause, mostPause)
	}
}

func (t *Tracker[T]) reached() {
	t.mu.Lock()
	back := t.lost
	t.lost = false
	t.mu.Unlock()
	if back {
		t.config.Log.Event(reporter.StoreBack, reporter.Fields{"Prefix": t.config.Prefix})
	}
}

func (t *Tracker[T]) missed(err error) {
	t.mu.Lock()
	first := !t.lost
	t.lost = true
	t.mu.Unlock()
	if first {
		age, known := t.Age()
		t.config.Log.Event(reporter.StoreOutOfReach, reporter.Fields{"Prefix": t.config.Prefix, "Error": err, "Age": age.String(), "Known": known})
	}
}

// list replaces the copy. A list of several pages carries the revision of its
// first, so that the watch brings whatever changed meanwhile.
func (t *Tracker[T]) list(ctx context.Context) error {
	asked := t.config.Elapsed()
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
	t.view = View[T]{Rows: filbertstile.NewTable(rows...), Revision: revision, ConfirmedAt: asked, Known: true}
	t.keys = keys
	t.mu.Unlock()
	t.config.Changed()
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

// watch takes in what has changed, and reports whether anything has.
func (t *Tracker[T]) watch(ctx context.Context) (bool, error) {
	asked := t.config.Elapsed()
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
	v.ConfirmedAt = asked
	if len(b.Objects) == 0 && t.config.Elapsed()-asked >= t.config.Wait {
		// The store waited as long as it was asked to before it said that there
		// is nothing.
		v.ConfirmedAt = asked + t.config.Wait
	}
	t.view = v
	t.mu.Unlock()
	if len(b.Objects) > 0 {
		t.config.Changed()
	}
	return len(b.Objects) > 0, nil
}

// apply takes in one change. An object that can no longer be read is gone, as
// it names nothing to use.
func (t *Tracker[T]) apply(rows filbertstile.Table[T], o filbertstile.Object) filbertstile.Table[T] {
	if !o.Removed {
		if row, ok := t.decode(o); ok {
			if old, known := t.keys[o.Key]; known && old != row.Key() {
				rows = rows.Without(old)
			}
			t.keys[o.Key] = row.Key()
			return rows.With(row)
		}
	}
	if old, known := t.keys[o.Key]; known {
		delete(t.keys, o.Key)
		return rows.Without(old)
	}
	return rows
}
