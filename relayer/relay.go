package relayer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/journaler"
	"filbertstile.example/filbertstile/messenger"
	"filbertstile.example/filbertstile/reporter"
	"filbertstile.example/filbertstile/sleeper"
	"filbertstile.example/filbertstile/viewer"
	"filbertstile.example/filbertstile/voucher"
	"filbertstile.example/filbertstile/wire"
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

// child is a subscriber.
type child struct {
	name     string
	primary  bool
	revision uint64
	members  uint64
	min      uint64
	nodes    int
	slowest  string
	stamp    int64
	stampAt  time.Time
	heardAt  time.Time
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

// list follows the host list, if the process is a root or knows no parent.
func (r *Relay) list(ctx context.Context) {
	for sleeper.Sleep(ctx, listEvery) == nil {
		p := r.Place()
		if !p.Root && len(p.Parents) > 0 && r.heardLately() {
			continue
		}
		members, err := r.config.List.Members(ctx)
		if err != nil {
			r.config.Log.Event(reporter.ListOutOfReach, reporter.Fields{"Error": err})
			continue
		}
		if len(members) > 0 {
			r.config.Holder.SetMembers(filbertstile.NewTable(members...))
			r.noteMembers()
		}
	}
}

func (r *Relay) noteMembers() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.membersAt = time.Now()
}

// wantsMembers tells whether members are taken from a parent. Two processes
// that took them from each other would swap differing lists for ever, so only
// the primary parent counts while it speaks, and a root asks the list itself.
func (r *Relay) wantsMembers(primary bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return primary || time.Since(r.membersAt) > silentAfter
}

func (r *Relay) heardLately() bool {
	return time.Since(r.config.Holder.View().HeardAt) < silentAfter
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
	trust := voucher.Judge(now, r.evidence(v, now), r.config.Trust)
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
	e := voucher.Evidence{VouchedAt: v.VouchedAt}
	if r.place.Root {
		// A root weighs every root's own word, its own among them.
		e.Expected = r.place.Roots
		e.Relays = append(e.Relays, voucher.Relay{Name: r.config.Self.Name, HeardAt: now, StoreOutOfReach: r.noStore})
		for name, w := range r.words {
			e.Relays = append(e.Relays, voucher.Relay{Name: name, HeardAt: w.heardAt, StoreOutOfReach: w.noStore})
		}
		return e
	}
	// Everyone else takes the judgement of a parent.
	e.Expected = 1
	for name, w := range r.words {
		e.Relays = append(e.Relays, voucher.Relay{Name: name, HeardAt: w.heardAt, StoreOutOfReach: w.outage})
	}
	return e
}

// storeAnswered notes a read that shows the log as of its start.
func (r *Relay) storeAnswered(started time.Time, revision uint64) {
	r.mu.Lock()
	// A read that shows less than was seen before lags, and vouches for nothing.
	lags := revision < r.seenRev
	r.seenRev = max(r.seenRev, revision)
	wasOut := r.noStore
	if !lags {
		r.storeAt = time.Now()
		r.noStore = false
	}
	r.mu.Unlock()
	if lags {
		return
	}
	if wasOut {
		r.config.Log.Event(reporter.StoreBack, nil)
	}
	r.config.Holder.Vouch(started, false)
}

// poll reads what follows the view, again and again, without waiting for slow
// answers.
func (r *Relay) poll(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		r.mu.Lock()
		busy := r.polls >= maxPolls
		if !busy {
			r.polls++
		}
		r.mu.Unlock()
		if !busy {
			wg.Add(1)
			go func() {
				defer wg.Done()
				r.pollOnce(ctx)
				r.mu.Lock()
				r.polls--
				r.mu.Unlock()
			}()
		}
		if sleeper.Sleep(ctx, pollEvery) != nil {
			return
		}
	}
}

func (r *Relay) pollOnce(ctx context.Context) {
	started := time.Now()
	if r.config.Holder.View().Config.Revision == 0 {
		if err := r.restore(ctx); err != nil {
			return
		}
	}
	entries, revision, err := r.log.Read(ctx, r.config.Holder.View().Config.Revision)
	if err != nil {
		r.config.Log.Event(reporter.StoreOutOfReach, reporter.Fields{"Error": err})
		return
	}
	var gap viewer.ErrGap
	switch err := r.apply(entries); {
	case err == nil:
		r.storeAnswered(started, revision)
	case errors.As(err, &gap):
		// The log was trimmed past the view: the snapshot covers what is gone.
		err = r.restore(ctx)
		fallthrough
	default:
		r.config.Log.Event(reporter.StepFailed, reporter.Fields{"Step": "poll", "Error": err})
	}
}

// restore takes in the snapshot, if there is one.
func (r *Relay) restore(ctx context.Context) error {
	o, err := r.config.Store.Get(ctx, SnapshotKey)
	var none filbertstile.ErrNotFound
	if errors.As(err, &none) {
		return nil
	}
	if err != nil {
		return err
	}
	var c filbertstile.Config
	if err := json.Unmarshal(o.Value, &c); err != nil {
		return fmt.Errorf("decode snapshot: %w", err)
	}
	r.config.Holder.Restore(c)
	return nil
}

func (r *Relay) apply(entries []journaler.Entry) error {
	raw := make([][]byte, 0, len(entries))
	for _, e := range entries {
		raw = append(raw, e.Value)
	}
	return r.take(raw)
}

func (r *Relay) take(raw [][]byte) error {
	before := r.config.Holder.View().Config.Revision
	err := r.config.Holder.Apply(raw)
	if after := r.config.Holder.View().Config.Revision; after != before {
		r.config.Log.Event(reporter.ChangeApplied, reporter.Fields{"Revision": after})
	}
	return err
}

// watch waits for new entries of the log.
func (r *Relay) watch(ctx context.Context) {
	after := uint64(0)
	for ctx.Err() == nil {
		b, err := r.config.Store.Watch(ctx, LogPrefix, after)
		if err != nil {
			_ = sleeper.Sleep(ctx, resubscribe)
			continue
		}
		entries, err := r.log.Parse(b)
		if err != nil {
			r.config.Log.Event(reporter.StepFailed, reporter.Fields{"Error": err})
			_ = sleeper.Sleep(ctx, resubscribe)
			continue
		}
		after = b.Revision
		// A gap is closed by the next poll.
		_ = r.apply(entries)
	}
}

func micros(t time.Time) int64 { return t.UnixMicro() }

// subscribe follows one parent.
func (r *Relay) subscribe(ctx context.Context, parent filbertstile.Member, primary bool) {
	for ctx.Err() == nil {
		err := r.follow(ctx, parent, primary)
		if ctx.Err() != nil {
			return
		}
		r.config.Log.Event(reporter.ParentLost, reporter.Fields{"Peer": parent.Name, "Error": err})
		r.config.Client.Drop(parent.Address)
		_ = sleeper.Sleep(ctx, resubscribe)
	}
}

func (r *Relay) follow(ctx context.Context, parent filbertstile.Member, primary bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	v := r.config.Holder.View()
	s, err := r.config.Client.Open(ctx, parent.Address, &wire.Request{
		Id: r.config.Client.NextID(),
		Kind: &wire.Request_Subscribe{Subscribe: &wire.Subscribe{
			Node: r.config.Self.Name, Revision: v.Config.Revision, MembersVersion: r.ack(primary).GetMembersVersion(),
			StampMicroseconds: micros(time.Now()), Primary: primary,
		}},
	})
	if err != nil {
		return err
	}
	defer s.Close()
	// A parent that falls silent is as good as lost.
	silent := time.AfterFunc(silentAfter, cancel)
	defer silent.Stop()
	r.wg.Add(1)
	go func() { defer r.wg.Done(); r.acknowledge(ctx, s, primary) }()
	for {
		f, err := s.Receive()
		if err != nil {
			return err
		}
		u := f.GetUpdate()
		if u == nil {
			continue
		}
		silent.Reset(silentAfter)
		if err := r.takeUpdate(parent, u, primary); err != nil {
			return err
		}
	}
}

func (r *Relay) takeUpdate(parent filbertstile.Member, u *wire.Update, primary bool) error {
	if len(u.GetSnapshot()) > 0 {
		var c filbertstile.Config
		if err := json.Unmarshal(u.GetSnapshot(), &c); err != nil {
			return fmt.Errorf("decode snapshot of %s: %w", parent.Name, err)
		}
		r.config.Holder.Restore(c)
	}
	if err := r.take(u.GetChanges()); err != nil {
		return err
	}
	if primary {
		r.noteMembers()
	}
	if len(u.GetMembers()) > 0 && r.wantsMembers(primary) {
		if err := r.config.Holder.ApplyMembers(u.GetMembers()); err != nil {
			return err
		}
	}
	stamp := time.UnixMicro(u.GetEchoMicroseconds())
	r.mu.Lock()
	r.words[parent.Name] = parentWord{heardAt: r.local(stamp), outage: u.GetOutage(), noStore: u.GetStoreOutOfReach()}
	r.mu.Unlock()
	if u.GetRevision() > r.config.Holder.View().Config.Revision {
		return viewer.ErrGap{Have: r.config.Holder.View().Config.Revision, Got: u.GetRevision()}
	}
	if u.GetEchoMicroseconds() == 0 || u.GetVouchedMillisecondsAgo() >= neverVouched {
		return nil
	}
	at := r.local(stamp).Add(-time.Duration(u.GetVouchedMillisecondsAgo()) * time.Millisecond)
	// Only what the parent's view covers is vouched for.
	if u.GetRevision() == r.config.Holder.View().Config.Revision {
		r.config.Holder.Vouch(at, u.GetStoreOutOfReach())
	}
	return nil
}

// neverVouched stands for a view that the store has not confirmed.
const neverVouched = int64(1) << 40

// local turns a stamp of this process's own clock back into a time.
func (r *Relay) local(stamp time.Time) time.Time {
	return r.started.Add(stamp.Sub(time.UnixMicro(r.started.UnixMicro())))
}

// acknowledge tells the parent how far the subtree is.
func (r *Relay) acknowledge(ctx context.Context, s *messenger.Stream, primary bool) {
	for {
		changed := r.config.Holder.Changed()
		if s.Send(&wire.Frame{Kind: &wire.Frame_Ack{Ack: r.ack(primary)}}) != nil {
			return
		}
		if sleeper.Sleep(ctx, ackGap) != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-r.config.Holder.Vouched():
		case <-time.After(heartbeat):
		}
	}
}

// ack sums up the process and those below it.
func (r *Relay) ack(primary bool) *wire.Ack {
	v := r.config.Holder.View()
	a := &wire.Ack{
		MinRevision: v.Config.Revision, Revision: v.Config.Revision, MembersVersion: v.MembersVersion,
		Slowest: r.config.Self.Name, StampMicroseconds: micros(time.Now()),
	}
	if !r.wantsMembers(primary) {
		a.MembersVersion = unwanted
	}
	if !primary {
		return a
	}
	a.Nodes = 1
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(r.children)) {
		c := r.children[name]
		if !c.primary || time.Since(c.heardAt) > silentAfter {
			continue
		}
		a.Nodes += int32(c.nodes)
		if c.min < a.MinRevision {
			a.MinRevision = c.min
			a.Slowest = c.slowest
		}
	}
	return a
}

// Subtree reports on the process and those below it.
func (r *Relay) Subtree() *wire.Ack { return r.ack(true) }

// HandleSubscribe serves one subscriber until it goes away.
func (r *Relay) HandleSubscribe(ctx context.Context, req *wire.Request, s *messenger.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sub := req.GetSubscribe()
	c := child{
		name: sub.GetNode(), primary: sub.GetPrimary(), revision: sub.GetRevision(), members: sub.GetMembersVersion(),
		min: sub.GetRevision(), slowest: sub.GetNode(), stamp: sub.GetStampMicroseconds(), stampAt: time.Now(), heardAt: time.Now(),
	}
	// Ids of requests are unique to their sender only.
	key := sub.GetNode() + " " + s.ID()
	r.setChild(key, c)
	defer r.dropChild(key)
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		defer cancel()
		r.hear(s, key, c)
	}()
	for {
		changed := r.config.Holder.Changed()
		vouched := r.config.Holder.Vouched()
		if err := r.update(s, key); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
			// A second parent waits for the first: what the subscriber has by then
			// is not sent again.
			if !sub.GetPrimary() && sleeper.Sleep(ctx, secondDelay) != nil {
				return
			}
		case <-vouched:
		case <-time.After(heartbeat):
		}
	}
}

func (r *Relay) setChild(id string, c child) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.children[id] = c
}

func (r *Relay) dropChild(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.children, id)
}

func (r *Relay) hear(s *messenger.Stream, key string, c child) {
	for {
		f, err := s.Receive()
		if err != nil {
			return
		}
		a := f.GetAck()
		if a == nil {
			continue
		}
		r.mu.Lock()
		// What was sent since may not be acknowledged yet.
		sent := r.children[key]
		c.revision = max(sent.revision, a.GetRevision())
		c.members = a.GetMembersVersion()
		c.min, c.nodes, c.slowest = a.GetMinRevision(), int(a.GetNodes()), a.GetSlowest()
		c.stamp, c.stampAt, c.heardAt = a.GetStampMicroseconds(), time.Now(), time.Now()
		r.children[key] = c
		r.mu.Unlock()
	}
}

// update sends what the subscriber lacks, and how fresh the view is.
func (r *Relay) update(s *messenger.Stream, key string) error {
	v := r.config.Holder.View()
	r.mu.Lock()
	c := r.children[key]
	u := &wire.Update{
		Revision: v.Config.Revision, MembersVersion: v.MembersVersion,
		StoreOutOfReach: r.noStore, Outage: r.trust == voucher.Outage,
		EchoMicroseconds: c.stamp, VouchedMillisecondsAgo: neverVouched,
	}
	r.mu.Unlock()
	if !v.VouchedAt.IsZero() {
		u.VouchedMillisecondsAgo = c.stampAt.Sub(v.VouchedAt).Milliseconds()
	}
	if err := r.fill(u, c, v); err != nil {
		return err
	}
	if err := s.Send(&wire.Frame{Kind: &wire.Frame_Update{Update: u}}); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	c = r.children[key]
	c.revision = max(c.revision, v.Config.Revision)
	if c.members != unwanted {
		c.members = v.MembersVersion
	}
	r.children[key] = c
	return nil
}

// unwanted is the members' version of a subscriber that has them from another
// parent.
const unwanted = ^uint64(0)

func (r *Relay) fill(u *wire.Update, c child, v viewer.View) error {
	changes, ok := r.config.Holder.Since(c.revision)
	if ok {
		u.Changes = changes
	} else {
		snapshot, err := json.Marshal(v.Config)
		if err != nil {
			return fmt.Errorf("encode snapshot: %w", err)
		}
		u.Snapshot = snapshot
	}
	if c.members == unwanted {
		return nil
	}
	members, err := r.config.Holder.MembersSince(c.members)
	u.Members = members
	return err
}
