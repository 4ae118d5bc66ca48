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
	"filbertstile.example/filbertstile/decisions/voucher"
	"filbertstile.example/filbertstile/outside/journaler"
	"filbertstile.example/filbertstile/transport/messenger"
)

// Keys of the configuration in the object API.
const (
	LogPrefix   = "config/change/"
	SnapshotKey = "config/snapshot"
)

const (
	placeEvery  = 500 * time.Millisecond
	listEvery   = time.Second
	pollEvery   = 500 * time.Millisecond
	heartbeat   = time.Second
	ackGap      = 400 * time.Millisecond
	resubscribe = 200 * time.Millisecond
	// secondDelay is how long a second parent waits for the first.
	secondDelay = 600 * time.Millisecond
	maxPolls    = 4
	storeGiveUp = 2 * time.Second
	pushTimeout = time.Second
	// pushGrace is how long an operator waits for the relays beyond the half.
	pushGrace      = 100 * time.Millisecond
	silentAfter    = 5 * time.Second
	trustEvery     = 100 * time.Millisecond
	reportTimeout  = time.Second
	snapshotEvery  = 256
	bootstrapPause = 100 * time.Millisecond
)

// Config puts a relay together.
type Config struct {
	Self   filbertstile.Member
	Holder *viewer.Holder
	Store  filbertstile.Store
	List   filbertstile.HostList
	Client *messenger.Client
	Log    *reporter.Log
	Limits Limits
	Trust  voucher.Limits
}

// parentWord is what a parent last said.
type parentWord struct {
	heardAt time.Time
	outage  bool
	noStore bool
}

// Relay is a process's part in the tree.
type Relay struct {
	config  Config
	log     *journaler.Log
	started time.Time

	mu       sync.Mutex
	place    Place
	children map[string]child
	words    map[string]parentWord
	storeAt  time.Time
	noStore  bool
	trust    voucher.Trust
	polls    int
	seenRev  uint64
	// membersAt is when the members were last brought by the host list, for a
	// root, or by the primary parent.
	membersAt time.Time
	wg        sync.WaitGroup
}

// New returns a relay that does not run yet.
func New(c Config) *Relay {
	return &Relay{
		config:   c,
		log:      journaler.New(c.Store, LogPrefix),
		started:  time.Now(),
		storeAt:  time.Now(),
		children: make(map[string]child),
		words:    make(map[string]parentWord),
		trust:    voucher.Stale,
	}
}

// Trust returns the standing of the process's view.
func (r *Relay) Trust() voucher.Trust {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.trust
}

// Place returns the process's place in the tree.
func (r *Relay) Place() Place {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.place
}

// Run keeps the process's view until the context ends.
func (r *Relay) Run(ctx context.Context) {
	r.bootstrap(ctx)
	r.wg.Add(2)
	go func() { defer r.wg.Done(); r.judge(ctx) }()
	go func() { defer r.wg.Done(); r.list(ctx) }()
	r.keepPlace(ctx)
	r.wg.Wait()
}

// bootstrap reads the list once, so that parents can be found.
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
		_ = sleeper.Sleep(ctx, bootstrapPause)
	}
}

// duty is a goroutine that a place asks for.
type duty struct {
	name string
	run  func(ctx context.Context)
}

func (r *Relay) keepPlace(ctx context.Context) {
	running := make(map[string]context.CancelFunc)
	t := time.NewTicker(placeEvery)
	defer t.Stop()
	version := ^uint64(0)
	for {
		// A place costs an ordering of all members, so it is kept until they change.
		if v := r.config.Holder.View(); v.MembersVersion != version {
			version = v.MembersVersion
			p := PlaceOf(r.config.Self, v.Members, r.config.Limits)
			r.mu.Lock()
			r.place = p
			r.mu.Unlock()
			r.adjust(ctx, running, r.duties(p))
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-r.config.Holder.Changed():
		}
	}
}

func (r *Relay) duties(p Place) []duty {
	var out []duty
	if p.Root {
		out = append(out, duty{"poll", r.poll}, duty{"watch", r.watch})
	}
	for i, m := range p.Parents {
		if m.Address == "" {
			continue
		}
		primary := i == 0 && !p.Root
		out = append(out, duty{
			name: fmt.Sprintf("subscribe %s %s %v", m.Name, m.Address, primary),
			run:  func(ctx context.Context) { r.subscribe(ctx, m, primary) },
		})
	}
	return out
}

func (r *Relay) adjust(ctx context.Context, running map[string]context.CancelFunc, want []duty) {
	for _, d := range want {
		if _, ok := running[d.name]; ok {
			continue
		}
		dutyCtx, cancel := context.WithCancel(ctx)
		running[d.name] = cancel
		r.wg.Add(1)
		go func() { defer r.wg.Done(); d.run(dutyCtx) }()
	}
	for name, cancel := range running {
		if !slices.ContainsFunc(want, func(d duty) bool { return d.name == name }) {
			cancel()
			delete(running, name)
		}
	}
}

func (r *Relay) heardLately() bool {
	return time.Since(r.config.Holder.View().LastContact) < silentAfter
}

// judge keeps the standing of the view up to date.
func (r *Relay) judge(ctx context.Context) {
	for sleeper.Sleep(ctx, trustEvery) == nil {
		r.judgeOnce()
	}
}

func (r *Relay) judgeOnce() {
	now := time.Now()
	v := r.config.Holder.View()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.place.Root {
		r.noStore = now.Sub(r.storeAt) > storeGiveUp
	}
	trust := voucher.Evaluate(now, r.evidence(v, now), r.config.Trust)
	if trust == r.trust {
		return
	}
	if trust == voucher.Stale {
		r.config.Log.Event(reporter.ViewStale, reporter.Fields{"Revision": v.Config.Revision})
	} else if r.trust == voucher.Stale {
		r.config.Log.Event(reporter.ViewTrusted, reporter.Fields{"Revision": v.Config.Revision, "Trust": trust})
	}
	r.trust = trust
}

func (r *Relay) evidence(v viewer.View, now time.Time) voucher.Evidence {
	e := voucher.Evidence{ConfirmedAt: v.ConfirmedAt}
	if r.place.Root {
		// A root weighs every root's own word, its own among them.
		e.Expected = r.place.Roots
		e.Relays = append(e.Relays, voucher.RelayReport{Name: r.config.Self.Name, LastContact: now, StoreUnreachable: r.noStore})
		for name, w := range r.words {
			e.Relays = append(e.Relays, voucher.RelayReport{Name: name, LastContact: w.heardAt, StoreUnreachable: w.noStore})
		}
		return e
	}
	// Everyone else takes the judgement of a parent.
	e.Expected = 1
	for name, w := range r.words {
		e.Relays = append(e.Relays, voucher.RelayReport{Name: name, LastContact: w.heardAt, StoreUnreachable: w.outage})
	}
	return e
}
