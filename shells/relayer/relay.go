package relayer

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/base/sleeper"
	"filbertstile.example/filbertstile/base/viewer"
	"filbertstile.example/filbertstile/decisions/evaluator"
	"filbertstile.example/filbertstile/outside/journaler"
	"filbertstile.example/filbertstile/transport/messenger"
)

// Keys of the configuration in the object API.
const (
	// LogPrefix is the prefix of the entries of the change log.
	LogPrefix = "config/change/"
	// SnapshotKey is the key of the configuration snapshot.
	SnapshotKey = "config/snapshot"
)

const (
	// placeInterval is the maximum time between two checks whether the members have
	// changed.
	placeInterval = 500 * time.Millisecond
	listInterval  = time.Second
	pollInterval  = 500 * time.Millisecond
	// heartbeatInterval is the time without a change after which an update or an ack
	// is sent as a heartbeat.
	heartbeatInterval = time.Second
	// minAckInterval is the minimum time between two acks on a subscription.
	minAckInterval = 400 * time.Millisecond
	// retryDelay is the delay before a lost subscription or a failed watch is
	// retried.
	retryDelay = 200 * time.Millisecond
	// secondaryDelay is how long a secondary parent waits after a change, so that
	// the primary parent sends it first.
	secondaryDelay     = 600 * time.Millisecond
	maxConcurrentPolls = 4
	// storeTimeout is the time without an up-to-date read after which a root reports
	// the store as unreachable.
	storeTimeout = 2 * time.Second
	// pushTimeout is the timeout of a request to all roots.
	pushTimeout = time.Second
	// pushGrace is how long a push, and the operator who requested it, waits for the
	// remaining roots after more than half have replied.
	pushGrace = 100 * time.Millisecond
	// contactTimeout is the time without a message after which a parent or a
	// subscriber counts as lost.
	contactTimeout = 5 * time.Second
	trustInterval  = 100 * time.Millisecond
	// propagationTimeout is the timeout for asking all roots for the state of their
	// subtrees.
	propagationTimeout = time.Second
	// changesPerSnapshot is the number of revisions between two snapshots.
	changesPerSnapshot  = 256
	bootstrapRetryDelay = 100 * time.Millisecond
)

// Config configures a Relay.
type Config struct {
	Self   filbertstile.Member
	Holder *viewer.Holder
	Store  filbertstile.Store
	List   filbertstile.HostList
	Client *messenger.Client
	Log    *reporter.Log
	Limits Limits
	Trust  evaluator.Limits
}

// parentReport is the last report of a parent.
type parentReport struct {
	// lastContact is when this process sent the stamp that the report echoes. The
	// report cannot be older.
	lastContact time.Time
	// outage is true if the parent's trust in its view is evaluator.Outage.
	outage bool
	// storeUnreachable is true if the parent itself cannot reach the store.
	storeUnreachable bool
}

// Relay keeps the view of a process up to date and passes it on to the process's
// subscribers.
type Relay struct {
	config  Config
	log     *journaler.Log
	started time.Time

	mu       sync.Mutex
	place    Place
	children map[string]child
	// parentReports has the last report of each parent, by name.
	parentReports map[string]parentReport
	// lastStoreRead is when a read that did not lag behind last ended.
	lastStoreRead time.Time
	// storeUnreachable is true for a root after storeTimeout without such a read.
	storeUnreachable bool
	trust            evaluator.Trust
	// activePolls is the number of reads of the log in flight.
	activePolls int
	// storeRevision is the highest revision of the store in any read.
	storeRevision uint64
	// membersUpdatedAt is when the host list, for a root, or the primary parent
	// last provided the members.
	membersUpdatedAt time.Time
	wg               sync.WaitGroup
}

// New returns a relay. It does nothing until Run is called.
func New(c Config) *Relay {
	return &Relay{
		config:        c,
		log:           journaler.New(c.Store, LogPrefix),
		started:       time.Now(),
		lastStoreRead: time.Now(),
		children:      make(map[string]child),
		parentReports: make(map[string]parentReport),
		trust:         evaluator.Stale,
	}
}

// Trust returns the trust in the process's view.
func (r *Relay) Trust() evaluator.Trust {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.trust
}

// Place returns the process's place in the tree of relays.
func (r *Relay) Place() Place {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.place
}

// Run keeps the process's view up to date until the context ends.
func (r *Relay) Run(ctx context.Context) {
	r.bootstrap(ctx)
	r.wg.Add(2)
	go func() { defer r.wg.Done(); r.evaluateTrust(ctx) }()
	go func() { defer r.wg.Done(); r.pollHostList(ctx) }()
	r.updatePlace(ctx)
	r.wg.Wait()
}

// bootstrap reads the host list until it returns members, so that a place in the
// tree can be computed.
func (r *Relay) bootstrap(ctx context.Context) {
	for ctx.Err() == nil {
		members, err := r.config.List.Members(ctx)
		if err == nil && len(members) > 0 {
			r.config.Holder.SetMembers(filbertstile.NewTable(members...))
			return
		}
		if err != nil {
			r.config.Log.Event(reporter.ListOutOfReach, reporter.Fields{"Error": err})
		}
		_ = sleeper.Sleep(ctx, bootstrapRetryDelay)
	}
}

// task is a goroutine that runs while the process has a certain place in the tree.
// Tasks with the same name are interchangeable.
type task struct {
	name string
	run  func(ctx context.Context)
}

// updatePlace computes the place in the tree after each change of the members, and
// starts and stops tasks accordingly.
func (r *Relay) updatePlace(ctx context.Context) {
	running := make(map[string]context.CancelFunc)
	t := time.NewTicker(placeInterval)
	defer t.Stop()
	version := ^uint64(0)
	for {
		// PlaceOf sorts all members, so it is called only after they have changed.
		if v := r.config.Holder.View(); v.MembersVersion != version {
			version = v.MembersVersion
			p := PlaceOf(r.config.Self, v.Members, r.config.Limits)
			r.mu.Lock()
			r.place = p
			r.mu.Unlock()
			r.adjustTasks(ctx, running, r.tasksFor(p))
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-r.config.Holder.Changed():
		}
	}
}

// tasksFor returns the tasks that a process with the place runs.
func (r *Relay) tasksFor(p Place) []task {
	var out []task
	if p.Root {
		out = append(out, task{"poll", r.pollStore}, task{"watch", r.watchStore})
	}
	for i, m := range p.Parents {
		if m.Address == "" {
			continue
		}
		primary := i == 0 && !p.Root
		out = append(out, task{
			name: fmt.Sprintf("subscribe %s %s %v", m.Name, m.Address, primary),
			run:  func(ctx context.Context) { r.subscribe(ctx, m, primary) },
		})
	}
	return out
}

// adjustTasks starts the wanted tasks that do not run, and stops the other running
// ones.
func (r *Relay) adjustTasks(ctx context.Context, running map[string]context.CancelFunc, wanted []task) {
	for _, t := range wanted {
		if _, ok := running[t.name]; ok {
			continue
		}
		taskCtx, cancel := context.WithCancel(ctx)
		running[t.name] = cancel
		r.wg.Add(1)
		go func() { defer r.wg.Done(); t.run(taskCtx) }()
	}
	for name, cancel := range running {
		if !slices.ContainsFunc(wanted, func(t task) bool { return t.name == name }) {
			cancel()
			delete(running, name)
		}
	}
}

// hasRecentContact reports whether the last confirmation of the view, by a parent or by
// a read of the store, arrived within contactTimeout.
func (r *Relay) hasRecentContact() bool {
	return time.Since(r.config.Holder.View().LastContact) < contactTimeout
}

// evaluateTrust keeps the trust in the view up to date until the context ends.
func (r *Relay) evaluateTrust(ctx context.Context) {
	for sleeper.Sleep(ctx, trustInterval) == nil {
		r.evaluateTrustOnce()
	}
}

func (r *Relay) evaluateTrustOnce() {
	now := time.Now()
	v := r.config.Holder.View()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.place.Root {
		r.storeUnreachable = now.Sub(r.lastStoreRead) > storeTimeout
	}
	trust := evaluator.Evaluate(now, r.evidence(v, now), r.config.Trust)
	if trust == r.trust {
		return
	}
	if trust == evaluator.Stale {
		r.config.Log.Event(reporter.ViewStale, reporter.Fields{"Revision": v.Config.Revision})
	} else if r.trust == evaluator.Stale {
		r.config.Log.Event(reporter.ViewTrusted, reporter.Fields{"Revision": v.Config.Revision, "Trust": trust})
	}
	r.trust = trust
}

// evidence returns what the process knows about its view. The caller holds r.mu.
func (r *Relay) evidence(v viewer.View, now time.Time) evaluator.Evidence {
	e := evaluator.Evidence{ConfirmedAt: v.ConfirmedAt}
	if r.place.Root {
		// Roots evaluate the reports of all roots, including their own.
		e.Expected = r.place.Roots
		e.Relays = append(e.Relays, evaluator.RelayReport{Name: r.config.Self.Name, LastContact: now, StoreUnreachable: r.storeUnreachable})
		for name, report := range r.parentReports {
			e.Relays = append(e.Relays, evaluator.RelayReport{Name: name, LastContact: report.lastContact, StoreUnreachable: report.storeUnreachable})
		}
		return e
	}
	// All others adopt the conclusion of any one parent.
	e.Expected = 1
	for name, report := range r.parentReports {
		e.Relays = append(e.Relays, evaluator.RelayReport{Name: name, LastContact: report.lastContact, StoreUnreachable: report.outage})
	}
	return e
}
