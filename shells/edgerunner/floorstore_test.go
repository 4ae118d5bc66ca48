package edgerunner

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/base/sleeper"
	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/decisions/matcher"
	"filbertstile.example/filbertstile/outside/tracker"
)

// floorStore is a store whose objects change at random. Its watches confirm the revision that
// all kinds share.
type floorStore struct {
	started time.Time

	mu       sync.Mutex
	era      uint64
	revision uint64
	writes   []filbertstile.Object
	// changed is closed and replaced at each write.
	changed chan struct{}
	// namedAt is the time at which each version was first confirmed, from version 1 on.
	namedAt []time.Duration
	// states holds the era and the revision at each write, for reads that may be out of date.
	states []struct {
		at            time.Duration
		era, revision uint64
	}
}

func newFloorStore() *floorStore {
	s := &floorStore{started: time.Now(), changed: make(chan struct{})}
	s.write("config/main", "")
	s.name()
	return s
}

func (s *floorStore) clock() time.Duration { return time.Since(s.started) }

func (s *floorStore) write(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.writes = append(s.writes, filbertstile.Object{Key: key, Version: s.revision, Value: []byte(value)})
	s.recordState()
}

// recordState records the state after a change. The caller holds s.mu.
func (s *floorStore) recordState() {
	s.states = append(s.states, struct {
		at            time.Duration
		era, revision uint64
	}{time.Since(s.started), s.era, s.revision})
	close(s.changed)
	s.changed = make(chan struct{})
}

// restore brings an earlier copy back, in a new era: the writes since the latest version are lost,
// and their revisions are given out again.
func (s *floorStore) restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	for last := len(s.writes) - 1; s.writes[last].Key != "versions/m"; last-- {
		s.writes, s.revision = s.writes[:last], s.writes[last].Version-1
	}
	s.recordState()
}

func (s *floorStore) changes() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// name names the next version.
func (s *floorStore) name() {
	s.mu.Lock()
	s.namedAt = append(s.namedAt, time.Since(s.started))
	latest := len(s.namedAt)
	s.mu.Unlock()
	s.write("versions/m", strconv.Itoa(latest))
}

// read returns the latest objects of the kind that were written after the revision, as of lag
// ago.
func (s *floorStore) read(prefix string, after uint64, lag time.Duration) filbertstile.Batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := filbertstile.Batch{Revision: 1}
	for _, state := range s.states {
		if state.at <= time.Since(s.started)-lag {
			b.Era, b.Revision = state.era, state.revision
		}
	}
	latest := make(map[string]filbertstile.Object)
	for _, o := range s.writes {
		if o.Version > after && o.Version <= b.Revision && len(o.Key) > len(prefix) && o.Key[:len(prefix)] == prefix {
			latest[o.Key] = o
		}
	}
	for _, o := range latest {
		b.Objects = append(b.Objects, o)
	}
	return b
}

// floorClient is one entry's connection to the store.
type floorClient struct {
	filbertstile.Store
	store   *floorStore
	entry   *floorEntry
	timeout time.Duration
	stale   bool
}

var errCut = errors.New("cut off")

// lag is how old a response may be.
func (c floorClient) lag() time.Duration {
	if c.stale {
		return c.entry.staleness
	}
	return 0
}

// deliver holds the response until the entry runs.
func (c floorClient) deliver(ctx context.Context, b filbertstile.Batch) (filbertstile.Batch, error) {
	if err := sleeper.Sleep(ctx, 2*time.Millisecond); err != nil {
		return filbertstile.Batch{}, err
	}
	if c.entry.cut(c.store.clock()) {
		_ = sleeper.Sleep(ctx, 300*time.Millisecond)
		return filbertstile.Batch{}, errCut
	}
	c.entry.awaitRunning(ctx)
	return b, ctx.Err()
}

func (c floorClient) List(ctx context.Context, prefix, _ string) (filbertstile.Batch, error) {
	if err := sleeper.Sleep(ctx, 2*time.Millisecond); err != nil {
		return filbertstile.Batch{}, err
	}
	return c.deliver(ctx, c.store.read(prefix, 0, c.lag()))
}

func (c floorClient) Watch(ctx context.Context, prefix string, after uint64) (filbertstile.Batch, error) {
	if err := sleeper.Sleep(ctx, 2*time.Millisecond); err != nil {
		return filbertstile.Batch{}, err
	}
	deadline := time.Now().Add(c.timeout)
	for {
		changed := c.store.changes()
		b := c.store.read(prefix, after, c.lag())
		if len(b.Objects) > 0 || !time.Now().Before(deadline) {
			return c.deliver(ctx, b)
		}
		if c.entry.cut(c.store.clock()) {
			return filbertstile.Batch{}, errCut
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return filbertstile.Batch{}, ctx.Err()
		case <-time.After(min(50*time.Millisecond, time.Until(deadline))):
		}
	}
}

// floorEntry is an entry that may stand still, be cut off from the store and follow another.
type floorEntry struct {
	store     *floorStore
	edge      *Edge
	cancel    context.CancelFunc
	staleness time.Duration

	mu         sync.Mutex
	stillUntil time.Duration
	cutUntil   time.Duration
}

func (f *floorEntry) cut(now time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now < f.cutUntil
}

func (f *floorEntry) still() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.store.clock() < f.stillUntil
}

// awaitRunning waits until the entry does not stand still.
func (f *floorEntry) awaitRunning(ctx context.Context) {
	f.mu.Lock()
	d := f.stillUntil - f.store.clock()
	f.mu.Unlock()
	if d > 0 {
		_ = sleeper.Sleep(ctx, d)
	}
}

func newFloorTracker[T filbertstile.Row](f *floorEntry, prefix string, timeout, batchDelay time.Duration, stale bool, log *reporter.Log, onChange func(), decode func(filbertstile.Object) T) *tracker.Tracker[T] {
	c := floorClient{store: f.store, entry: f, timeout: timeout, stale: stale}
	return tracker.New(tracker.Config[T]{
		Store: c, Prefix: prefix, WatchTimeout: timeout, BatchDelay: batchDelay, Clock: f.store.clock, Log: log, OnChange: onChange,
		WithWatchTimeout: func(d time.Duration) filbertstile.Store {
			c := c
			c.timeout = d
			return c
		},
		Decode: func(o filbertstile.Object) (T, error) { return decode(o), nil },
	})
}

// start starts the entry, which reads the store, or follows the reader if there is one.
func (f *floorEntry) start(ctx context.Context, staleMembers bool, reader *floorEntry) {
	ctx, f.cancel = context.WithCancel(ctx)
	s := f.store
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := reporter.New(reporter.Config{Logger: logger})
	e := New(Config{Metrics: metrics.NewRegistry(), Log: log, Clock: s.clock, Bounds: Bounds{RolloutTimeout: rolloutTimeout, SettleTime: settleTime}})
	e.matcher.Store(matcher.New(filbertstile.Routing{
		Pools: filbertstile.NewTable(filbertstile.PoolSpec{Service: "s", Engine: &filbertstile.EngineSpec{Model: "m"}}),
	}))
	e.sources = Sources{
		Routing:  newFloorTracker(f, "config/", 800*time.Millisecond, 0, false, log, nil, func(filbertstile.Object) filbertstile.Routing { return filbertstile.Routing{} }),
		Replicas: newFloorTracker(f, "servers/", 2400*time.Millisecond, 600*time.Millisecond, false, log, nil, func(o filbertstile.Object) filbertstile.Replica { return filbertstile.Replica{ID: o.Key} }),
		Marks:    newFloorTracker(f, "evacuations/", 4500*time.Millisecond, 0, false, log, nil, func(o filbertstile.Object) filbertstile.Mark { return filbertstile.Mark{Name: o.Key} }),
		Members:  newFloorTracker(f, "members/", 6*time.Second, 800*time.Millisecond, staleMembers, log, nil, func(o filbertstile.Object) filbertstile.Member { return filbertstile.Member{Name: o.Key} }),
	}
	e.sources.Weights = newFloorTracker(f, "versions/", 4500*time.Millisecond, 0, false, log, func() { e.recordVersions() }, func(o filbertstile.Object) filbertstile.WeightsVersion {
		n, _ := strconv.ParseInt(string(o.Value), 10, 64)
		return filbertstile.WeightsVersion{Model: "m", Version: n}
	})
	f.edge = e
	if reader != nil {
		followFloor(ctx, reader.edge.sources.Routing, e.sources.Routing, reader, f)
		followFloor(ctx, reader.edge.sources.Replicas, e.sources.Replicas, reader, f)
		followFloor(ctx, reader.edge.sources.Marks, e.sources.Marks, reader, f)
		followFloor(ctx, reader.edge.sources.Members, e.sources.Members, reader, f)
		followFloor(ctx, reader.edge.sources.Weights, e.sources.Weights, reader, f)
		return
	}
	go e.sources.Routing.Run(ctx)
	go e.sources.Replicas.Run(ctx)
	go e.sources.Marks.Run(ctx)
	go e.sources.Members.Run(ctx)
	go e.sources.Weights.Run(ctx)
}

// followFloor sends the reader's copy to the follower through a connection that keeps what a
// follower that stands still does not read.
func followFloor[T filbertstile.Row](ctx context.Context, from, to *tracker.Tracker[T], reader, follower *floorEntry) {
	type message struct {
		update      tracker.Update
		confirmedAt time.Duration
	}
	connection := make(chan message, 1000)
	go func() {
		var sent tracker.Position
		for sleeper.Sleep(ctx, 30*time.Millisecond) == nil {
			p, _ := from.Position()
			if reader.still() || !p.Listed || p == sent {
				continue
			}
			u := from.Since(sent.Era, sent.Revision)
			sent = tracker.Position{Era: u.Era, Revision: u.Revision, ConfirmedAt: p.ConfirmedAt, ReadAt: p.ReadAt, Listed: true}
			connection <- message{u, p.ConfirmedAt}
		}
	}()
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case m := <-connection:
				follower.awaitRunning(ctx)
				to.Follow(m.update, m.confirmedAt)
			}
		}
	}()
}

// report tells the entry of the latest version that another one knows.
func (f *floorEntry) report(from *floorEntry) {
	from.edge.mu.Lock()
	latest := latestVersion(from.edge.chosenVersions["m"])
	from.edge.mu.Unlock()
	if latest > 0 {
		f.edge.recordReportedVersions("entry", []*wire.WeightsVersion{{Model: "m", Version: latest}})
	}
}

// check returns an error if the entry allows a version for longer than it may.
func (f *floorEntry) check() error {
	f.store.mu.Lock()
	namedAt := f.store.namedAt
	f.store.mu.Unlock()
	e := f.edge
	e.mu.Lock()
	defer e.mu.Unlock()
	list := e.chosenVersions["m"]
	for i, at := range namedAt[:latestVersion(list)] {
		version := int64(i + 1)
		latestDue := max(at+rolloutTimeout, e.startedAt+settleTime)
		due := time.Duration(1 << 62)
		for _, v := range list {
			if v.version >= version {
				due = min(due, v.chosenAfter+rolloutTimeout)
			}
		}
		if due > latestDue {
			return fmt.Errorf("version %d, named at %s, is due at %s, %s too late; started at %s, chosen %+v", version, at, due, due-latestDue, e.startedAt, list)
		}
	}
	return nil
}
