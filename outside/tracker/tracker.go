// Package tracker keeps a local copy of the objects under one prefix of the object API.
// It lists the objects, watches for changes from the revision of the list, and lists
// them again if the store no longer has the history from that revision, or has come back
// from an older copy of its data. The copy of one process can be kept up to date from that
// of another instead of the store.
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
	// initialRetryDivisor makes the first delay at least 1/initialRetryDivisor of the
	// maximum.
	initialRetryDivisor = 4
	// maxRetryDelay is a fraction of the time within which an entry must learn of a
	// change.
	maxRetryDelay = 400 * time.Millisecond
)

// Config configures a Tracker.
type Config[T filbertstile.Row] struct {
	Store filbertstile.Store
	// Prefix is the prefix of the objects' keys, including the slash at its end.
	Prefix string
	// Decode decodes an object. An object that cannot be decoded has no row, whatever was
	// known of it before, until it is written again.
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
	// WithWatchTimeout, if not nil, returns a client of the same store whose watches wait for
	// the given time, in whole milliseconds; 0 means that they return at once. A watch
	// confirms nothing before it returns, and one that returns a change confirms the copy
	// only as of the time at which it was sent. The next one then waits for as much less.
	WithWatchTimeout func(timeout time.Duration) filbertstile.Store
	// Receiving, if not nil, reports whether a large response of the store is arriving.
	Receiving func() bool
	// KeepMissing is how long rows stay in the copy that the first list of a new era lacks:
	// what was written since the store's copy was made is written again only after some
	// time, and its absence says nothing about what it describes.
	KeepMissing time.Duration
	// Older, if not nil, reports whether a listed row describes an earlier state than the one held
	// under the same key. A row held is then never replaced by an older one, nor lost because the
	// list of a new era lacks it: others that follow this copy get it, too.
	Older func(listed, held T) bool
	// Revived, if not nil, reports whether the list of a new era shows a row as it was before it
	// became the one held, or before that was removed, and that this is no new row under the same
	// key. What is held, or its absence, then stays for HoldRevived, or until the object is written
	// or removed in the new era.
	Revived     func(listed, held T, removed bool) bool
	HoldRevived time.Duration
	// OnEra, if not nil, is called after the copy has moved to a new era of the store. It
	// must not block.
	OnEra func(era uint64)
}

// View is the copy at one point in time.
type View[T filbertstile.Row] struct {
	Rows filbertstile.Table[T]
	// Revision is the store's revision that the copy reflects, and Era the store's era.
	Revision uint64
	Era      uint64
	// ConfirmedAt is the latest time, on Config.Clock, at which the copy is known to have
	// been up to date: the time at which the last successful list or watch was sent,
	// or WatchTimeout later if the store waited that long and nothing changed. A store that
	// ends a watch early without changes may make it later by up to 0.1 s.
	ConfirmedAt time.Duration
	// Listed is true after the objects have been listed completely for the first time.
	Listed bool
	// ReadAt is the value of ConfirmedAt that this process's own calls of the store have
	// reached; copies of other processes do not advance it.
	ReadAt time.Duration
}

// Tracker keeps the copy up to date. Its methods are safe for concurrent use.
type Tracker[T filbertstile.Row] struct {
	config Config[T]

	mu   sync.Mutex
	view View[T]
	// rowKeys maps the keys of objects to the keys of their rows.
	rowKeys map[string]string
	// objects are the objects of the copy, by key. Those that cannot be decoded have no value.
	objects map[string]filbertstile.Object
	// unreadable are the keys of the objects that cannot be decoded.
	unreadable map[string]bool
	// keepUntil is when the rows end that the current era lacks.
	keepUntil time.Time
	// removed are the rows that were removed lately, by the keys of their objects.
	removed map[string]removedRow[T]
	// held are the keys of the objects that the current era lists in an earlier state than their
	// rows show, until heldUntil.
	held      map[string]bool
	heldUntil time.Time
	// history holds all changes after the revision historyFrom.
	history     []Update
	historyFrom uint64
	// confirmations are the latest confirmations of the view, in ascending order.
	confirmations []confirmation
	// changed is closed and replaced when the view changes, ConfirmedAt included.
	changed chan struct{}
	// reading is false while another process's copy keeps this one up to date, and
	// readingChanged is closed and replaced when it changes.
	reading        bool
	readingChanged chan struct{}
	// maxRetryDelay is the maximum delay between two calls that fail.
	maxRetryDelay time.Duration
	// storeUnreachable is true if the last call failed.
	storeUnreachable bool
}

// New returns a tracker whose copy is empty until Run has listed the objects.
func New[T filbertstile.Row](c Config[T]) *Tracker[T] {
	if c.OnChange == nil {
		c.OnChange = func() {}
	}
	return &Tracker[T]{
		config: c, rowKeys: make(map[string]string), objects: make(map[string]filbertstile.Object), unreadable: make(map[string]bool),
		removed: make(map[string]removedRow[T]), changed: make(chan struct{}), reading: true, readingChanged: make(chan struct{}), maxRetryDelay: maxRetryDelay,
	}
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

// Run keeps the copy up to date until the context ends. While SetReading(false) is in
// force, it makes no calls.
func (t *Tracker[T]) Run(ctx context.Context) {
	delay := initialRetryDelay
	listed := false
	for ctx.Err() == nil {
		resumed, err := t.awaitReading(ctx)
		if err != nil {
			return
		}
		if v := t.View(); v.Listed && resumed {
			// Another process's copy may have replaced the own one meanwhile.
			listed = true
		}
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
		var unreadable filbertstile.ErrUnreadable
		if errors.As(err, &unreadable) {
			// The same watch would return the same. A list has other content and smaller pages.
			listed = false
		}
		t.recordFailure(err)
		limit := t.retryLimit()
		delay = max(delay, limit/initialRetryDivisor)
		if sleeper.Sleep(ctx, delay) != nil {
			return
		}
		delay = min(2*delay, limit)
	}
}

// SetReading sets whether the copy is kept up to date by calls of the store, and the maximum
// delay between two calls that fail; 0 means the default. A call that is in progress is
// completed.
func (t *Tracker[T]) SetReading(reading bool, maxDelay time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.maxRetryDelay = maxDelay; maxDelay == 0 {
		t.maxRetryDelay = maxRetryDelay
	}
	if t.reading != reading {
		t.reading = reading
		close(t.readingChanged)
		t.readingChanged = make(chan struct{})
	}
}

// Receiving reports whether a large response of the store is arriving, which may be that to
// a call of this tracker.
func (t *Tracker[T]) Receiving() bool { return t.config.Receiving != nil && t.config.Receiving() }

func (t *Tracker[T]) retryLimit() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.maxRetryDelay
}

// awaitReading waits until the tracker may call the store, and reports whether it had to
// wait.
func (t *Tracker[T]) awaitReading(ctx context.Context) (waited bool, err error) {
	for {
		t.mu.Lock()
		reading, changed := t.reading, t.readingChanged
		t.mu.Unlock()
		if reading {
			return waited, nil
		}
		waited = true
		select {
		case <-changed:
		case <-ctx.Done():
			return waited, ctx.Err()
		}
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

// errNoProgress reports a page of a list after which the next one cannot be asked for.
var errNoProgress = errors.New("the page ends with an object without a name, or where it began")

// list replaces the copy. If the list has several pages, the copy gets the revision of
// the first, so that the next watch returns all changes made meanwhile.
func (t *Tracker[T]) list(ctx context.Context) error {
	sentAt := t.config.Clock()
	after := ""
	var first filbertstile.Batch
	var objects []filbertstile.Object
	for {
		b, err := t.config.Store.List(ctx, t.config.Prefix, after)
		if err != nil {
			return err
		}
		if after == "" {
			first = b
		}
		if b.Era != first.Era {
			return ErrEraChanged{Step: "list objects", Prefix: t.config.Prefix, Have: first.Era, Got: b.Era}
		}
		objects = append(objects, b.Objects...)
		if !b.More {
			break
		}
		next := strings.TrimPrefix(b.Objects[len(b.Objects)-1].Key, t.config.Prefix)
		if next == "" || next == after {
			return filbertstile.ErrUnreadable{Step: "list objects", Peer: t.config.Prefix, Cause: errNoProgress}
		}
		after = next
	}
	return t.replace(Update{Era: first.Era, Revision: first.Revision, Complete: true, Objects: objects}, sentAt, sentAt)
}

// recordUnreadable logs that the object cannot be decoded, unless the one before could not
// either. The caller holds t.mu.
func (t *Tracker[T]) recordUnreadable(o filbertstile.Object, err error) {
	if !t.unreadable[o.Key] {
		t.unreadable[o.Key] = true
		t.config.Log.Event(reporter.ObjectUnreadable, reporter.Fields{"Key": o.Key, "Revision": o.Version, "Error": err})
	}
}

// watch waits for changes and applies them, and reports whether there were any.
func (t *Tracker[T]) watch(ctx context.Context) (bool, error) {
	sentAt := t.config.Clock()
	from := t.View()
	store, timeout := t.config.Store, t.config.WatchTimeout
	if t.config.WithWatchTimeout != nil {
		timeout = max(0, timeout-(sentAt-from.ReadAt)).Truncate(time.Millisecond)
		store = t.config.WithWatchTimeout(timeout)
	}
	endArrival := awaitArrival(ctx, t.config.Clock, timeout)
	b, err := store.Watch(ctx, t.config.Prefix, from.Revision)
	notBefore := endArrival()
	if err != nil {
		return false, err
	}
	if b.Era != from.Era {
		t.logEra(from, b)
		return false, t.list(ctx)
	}
	confirmedAt := sentAt
	if len(b.Objects) == 0 {
		confirmedAt = confirmedUntil(sentAt, timeout, t.config.Clock(), notBefore)
	}
	t.apply(Update{Era: b.Era, From: from.Revision, Revision: max(b.Revision, from.Revision), Objects: b.Objects}, confirmedAt, confirmedAt)
	return len(b.Objects) > 0, nil
}

// logEra logs that the store has come back from an older copy of its data.
func (t *Tracker[T]) logEra(from View[T], b filbertstile.Batch) {
	t.config.Log.Event(reporter.StoreEraChanged, reporter.Fields{
		"Prefix": t.config.Prefix, "Era": b.Era, "Revision": b.Revision, "OldEra": from.Era, "OldRevision": from.Revision,
	})
}
