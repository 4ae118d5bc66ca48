package dispatcher

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/limiter"
	"filbertstile.example/filbertstile/router"
	"filbertstile.example/filbertstile/viewer"
	"filbertstile.example/filbertstile/voucher"
)

// Config bounds an entry.
type Config struct {
	Self filbertstile.Member
	Seed uint64
	// MaxQueue bounds the requests that wait here for one service.
	MaxQueue int
	// MaxWait is the longest time that a request waits for a replica.
	MaxWait time.Duration
	// RetryShare is the number of retries for each request that arrives.
	RetryShare float64
	// AskEvery is the time between two rounds of quota demands.
	AskEvery time.Duration
}

// DefaultConfig returns the bounds that docs/design/requests.md weighs.
func DefaultConfig(self filbertstile.Member) Config {
	return Config{
		Self:       self,
		MaxQueue:   256,
		MaxWait:    2 * time.Second,
		RetryShare: 0.1,
		AskEvery:   250 * time.Millisecond,
	}
}

const (
	firstHold  = 200 * time.Millisecond
	longest    = 5 * time.Second
	maxBudget  = 20.0
	leastRetry = 200 * time.Millisecond
	// drainWeight is the weight of the newest drain rate.
	drainWeight = 0.3
	drainEvery  = 200 * time.Millisecond
	// leastLine is the length from which a line's drain rate shows what the
	// replicas can do.
	leastLine = 8
	// askGap is the least time between two rounds of quota demands.
	askGap = 50 * time.Millisecond
	// quietAsk is the time between two signs of life without demands; owners
	// take an entry to be out of touch after limiter.Term.
	quietAsk = 700 * time.Millisecond
)

// row is a request in hand.
type row struct {
	request Request
	// queued is when the request last joined the line.
	queued time.Time
	tier   filbertstile.Tier
	// weight is the tier's share, with its floor.
	weight float64
	// hosts are where the request is; none while it waits.
	hosts []string
	tried []string
	// whole pins the request once the caller has a part of the answer.
	whole   filbertstile.Digest
	resumed bool
	// lost is true once the request may have run at a host that went silent.
	lost bool
	gone bool
	last filbertstile.ErrRequest
}

// run is what is known of a request that is with no host.
func (x *row) run() filbertstile.RunState {
	switch {
	case x.resumed:
		// The caller has a part of the answer.
		return filbertstile.Ran
	case x.lost:
		return filbertstile.Unknown
	default:
		return filbertstile.NotRun
	}
}

// line is the waiting requests of one service.
type line struct {
	service string
	waiting []*row
	passes  map[string]float64
	clock   float64
	// drained counts departures since drainAt; perSecond is their recent rate.
	drained   int
	drainAt   time.Time
	perSecond float64
}

// Core owns an entry's tables.
type Core struct {
	config   Config
	rng      *rand.Rand
	view     viewer.View
	trust    voucher.Trust
	leaving  bool
	requests map[string]*row
	lines    map[string]*line
	replicas filbertstile.Table[router.Replica]
	buckets  map[string]limiter.Bucket
	entries  int
	budget   float64
	askedAt  time.Time
	quiet    bool
}

// New returns a core without requests.
func New(c Config) *Core {
	return &Core{
		config:   c,
		rng:      rand.New(rand.NewPCG(c.Seed, uint64(len(c.Self.Name)))),
		trust:    voucher.Stale,
		requests: make(map[string]*row),
		lines:    make(map[string]*line),
		buckets:  make(map[string]limiter.Bucket),
		budget:   maxBudget,
	}
}

// Tick takes in the events and decides.
func (c *Core) Tick(now time.Time, inbox []Event) []Command {
	var out []Command
	for _, e := range inbox {
		out = append(out, c.take(now, e)...)
	}
	for _, name := range c.services() {
		l := c.lines[name]
		out = append(out, c.expire(now, l)...)
		out = append(out, c.route(now, l)...)
		c.measure(now, l)
	}
	return append(out, c.ask(now)...)
}

func (c *Core) services() []string {
	names := make([]string, 0, len(c.lines))
	for name := range c.lines {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (c *Core) take(now time.Time, e Event) []Command {
	switch e := e.(type) {
	case Arrived:
		return c.arrived(now, e.Request)
	case Refused:
		return c.refused(now, e)
	case Broke:
		return c.broke(now, e)
	case Declined:
		if x := c.requests[e.ID]; x != nil {
			c.leave(x, e.Host, nil)
		}
	case Ended:
		c.ended(e)
	case CallerGone:
		c.callerGone(e.ID)
	case LoadSeen:
		c.loadSeen(e)
	case HostLost:
		if r, ok := c.replicas.Get(e.Host); ok {
			r.Connected = false
			c.replicas = c.replicas.With(r)
		}
	case ViewSeen:
		c.viewSeen(e)
	case Granted:
		c.granted(now, e)
	}
	return nil
}

func (c *Core) viewSeen(e ViewSeen) {
	c.view = e.View
	c.trust = e.Trust
	c.leaving = e.Leaving
	c.entries = 0
	for _, m := range e.View.Members.All() {
		if m.Role == filbertstile.RoleEntry && !m.Leaving {
			c.entries++
		}
	}
	kept := make(map[string]bool, len(e.Hosts))
	for _, m := range e.Hosts {
		kept[m.Name] = true
		r, _ := c.replicas.Get(m.Name)
		r.Host = m
		c.replicas = c.replicas.With(r)
	}
	for _, r := range c.replicas.All() {
		if !kept[r.Host.Name] && r.Own == 0 {
			c.replicas = c.replicas.Without(r.Host.Name)
		}
	}
}

func (c *Core) loadSeen(e LoadSeen) {
	r, ok := c.replicas.Get(e.Host)
	if !ok {
		return
	}
	c.replicas = c.replicas.With(r.WithReport(e.Load))
}

// reject ends a request that is not with any host.
func reject(id string, err filbertstile.ErrRequest) []Command {
	if err.Run == "" {
		err.Run = filbertstile.NotRun
	}
	return []Command{Reject{ID: id, Err: err}}
}

func (c *Core) arrived(now time.Time, r Request) []Command {
	c.budget = min(c.budget+c.config.RetryShare, maxBudget)
	refuse := func(code string, after time.Duration, detail string) []Command {
		return reject(r.ID, filbertstile.ErrRequest{Code: code, Step: "admit", Peer: c.config.Self.Name, RetryAfter: after, Detail: detail})
	}
	if c.trust == voucher.Stale {
		return refuse(CodeStale, time.Second, "this entry's configuration may be old; ask another entry")
	}
	account, ok := c.view.Config.Accounts.Get(r.Account)
	if !ok {
		return refuse(CodeUnknownAccount, 0, "no such client account")
	}
	service, ok := c.view.Config.Services.Get(r.Service)
	if !ok {
		return refuse(CodeUnknownService, 0, fmt.Sprintf("no service is named %q", r.Service))
	}
	if !account.MayCall(r.Service) {
		return refuse(CodeForbidden, 0, fmt.Sprintf("account %s may not call %s", account.Name, r.Service))
	}
	tier, _ := c.view.Config.Tiers.Get(account.Tier)
	wait, ok := c.admit(now, account)
	if !ok {
		return refuse(CodeRate, max(wait, leastRetry), fmt.Sprintf("account %s has used its %v requests a second", account.Name, account.RatePerSecond))
	}
	if !r.Deadline.After(now) {
		return refuse(CodeDeadline, 0, "the deadline had passed on arrival")
	}
	x := &row{request: r, queued: now, tier: tier, weight: c.weight(tier)}
	l := c.lineOf(service.Name, now)
	if expected := c.expectedWait(l, tier); expected > min(c.config.MaxWait, r.Deadline.Sub(now)) {
		return refuse(CodeOverloaded, c.drainTime(l), fmt.Sprintf("tier %s would wait for %v", tier.Name, expected.Round(time.Millisecond)))
	}
	c.requests[r.ID] = x
	l.waiting = append(l.waiting, x)
	if len(l.waiting) > c.config.MaxQueue {
		return c.shed(l)
	}
	return nil
}

func (c *Core) lineOf(service string, now time.Time) *line {
	l, ok := c.lines[service]
	if !ok {
		l = &line{service: service, passes: make(map[string]float64), drainAt: now}
		c.lines[service] = l
	}
	return l
}

// admit counts a request against its account's rate.
func (c *Core) admit(now time.Time, a filbertstile.Account) (time.Duration, bool) {
	b, ok := c.buckets[a.Name]
	if !ok {
		b = limiter.NewBucket(a, now, c.entries)
	}
	b = b.WithFill(now, a, c.entries)
	b, pass := b.WithArrival()
	c.buckets[a.Name] = b
	if !ok || c.quiet || !pass && now.Sub(c.askedAt) > askGap {
		// The owner is asked at once for an account that is new here, or whose
		// rate has grown.
		c.askedAt = time.Time{}
	}
	return b.Wait(), pass
}

func (c *Core) granted(now time.Time, e Granted) {
	b, ok := c.buckets[e.Account]
	a, known := c.view.Config.Accounts.Get(e.Account)
	if !ok || !known {
		return
	}
	c.buckets[e.Account] = b.WithFill(now, a, c.entries).WithGrant(e.PerSecond, e.Until)
}

// ask brings the buckets up to date and asks the owners for new grants.
func (c *Core) ask(now time.Time) []Command {
	every := c.config.AskEvery
	if c.quiet {
		// A sign of life is enough.
		every = quietAsk
	}
	if now.Sub(c.askedAt) < every {
		return nil
	}
	c.askedAt = now
	c.quiet = true
	var cmd Ask
	for _, name := range sortedKeys(c.buckets) {
		a, ok := c.view.Config.Accounts.Get(name)
		if !ok {
			delete(c.buckets, name)
			continue
		}
		b := c.buckets[name].WithFill(now, a, c.entries).WithDemand(now)
		b = b.WithFallback(now, a.RatePerSecond/float64(max(1, c.entries)))
		c.buckets[name] = b
		if b.Asks() == 0 && b.PerSecond == 0 {
			continue
		}
		c.quiet = c.quiet && b.Asks() == 0
		cmd.Demands = append(cmd.Demands, Demand{Account: name, PerSecond: b.Asks()})
	}
	return []Command{cmd}
}

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// shed gives up the newest request of the lowest rank.
func (c *Core) shed(l *line) []Command {
	worst := 0
	for i, x := range l.waiting {
		if x.tier.Rank <= l.waiting[worst].tier.Rank {
			worst = i
		}
	}
	return c.giveUp(l, worst, CodeOverloaded, "more work is waiting than the replicas can do")
}

// giveUp ends a waiting request; its answer is final and goes out at once.
func (c *Core) giveUp(l *line, i int, code, detail string) []Command {
	x := l.waiting[i]
	l.waiting = slices.Delete(l.waiting, i, i+1)
	delete(c.requests, x.request.ID)
	if x.gone {
		return nil
	}
	err := filbertstile.ErrRequest{Code: code, Run: x.run(), Step: "wait", Peer: c.config.Self.Name, RetryAfter: c.drainTime(l), Detail: detail}
	if x.last.Code != "" {
		err.Detail += "; last: " + x.last.Detail
		err.Peer = x.last.Peer
		err.Step = x.last.Step
	}
	return []Command{Reject{ID: x.request.ID, Err: err}}
}

// expectedWait is how long a new request of the tier would wait for its turn:
// the tier's own line, at its share of the recent rate.
func (c *Core) expectedWait(l *line, tier filbertstile.Tier) time.Duration {
	if len(l.waiting) < leastLine || l.perSecond <= 0 {
		return 0
	}
	ahead := 0
	weights := c.weight(tier)
	var counted []string
	for _, x := range l.waiting {
		switch {
		case x.tier.Name == tier.Name:
			ahead++
		case !slices.Contains(counted, x.tier.Name):
			counted = append(counted, x.tier.Name)
			weights += x.weight
		}
	}
	share := l.perSecond * c.weight(tier) / weights
	return time.Duration(float64(ahead) / share * float64(time.Second))
}

// drainTime is how long the waiting work takes at the recent rate.
func (c *Core) drainTime(l *line) time.Duration {
	if l.perSecond <= 0 {
		return time.Second
	}
	d := time.Duration(float64(len(l.waiting)+1) / l.perSecond * float64(time.Second))
	return min(max(d, leastRetry), longest)
}

func (c *Core) measure(now time.Time, l *line) {
	dt := now.Sub(l.drainAt)
	if dt < drainEvery {
		return
	}
	l.perSecond += drainWeight * (float64(l.drained)/dt.Seconds() - l.perSecond)
	l.drained = 0
	l.drainAt = now
}

// expire gives up requests that waited too long, that could not finish in
// time, or that no replica can serve.
func (c *Core) expire(now time.Time, l *line) []Command {
	var out []Command
	for i := 0; i < len(l.waiting); {
		x := l.waiting[i]
		switch {
		case x.gone:
			out = append(out, c.giveUp(l, i, CodeDeadline, "the caller is gone")...)
		case !x.request.Deadline.After(now):
			out = append(out, c.giveUp(l, i, CodeDeadline, "the deadline passed while the request waited")...)
		case now.Sub(x.queued) > c.config.MaxWait && !x.resumed:
			out = append(out, c.giveUp(l, i, c.waitCode(now, l, x), "no replica had room in time")...)
		default:
			i++
		}
	}
	return out
}

// waitCode tells whether there are replicas that only lack room.
func (c *Core) waitCode(now time.Time, l *line, x *row) string {
	q := c.query(now, l, x)
	q.Tried = nil
	for _, r := range c.replicas.All() {
		if router.Eligible(q, r) {
			return CodeOverloaded
		}
	}
	return CodeNoReplica
}

// topRank is the highest rank of all tiers.
func (c *Core) topRank() int {
	top := math.MinInt
	for _, t := range c.view.Config.Tiers.All() {
		top = max(top, t.Rank)
	}
	return top
}

func (c *Core) query(now time.Time, l *line, x *row) router.Query {
	s, _ := c.view.Config.Services.Get(l.service)
	return router.Query{
		Now: now, Service: l.service, Whole: x.whole, Plain: s.Kind == filbertstile.ServicePlain,
		Affinity: x.request.Affinity, Tried: x.tried, First: x.tier.Rank == c.topRank(),
		Domain: c.config.Self.Domain, Region: c.config.Self.Region, Config: c.view.Config,
	}
}

// route sends waiting requests while replicas have room. Tiers share by
// weight; a request that cannot be placed does not hold up the others.
func (c *Core) route(now time.Time, l *line) []Command {
	var out []Command
	blocked := make(map[*row]bool)
	for misses := 0; misses < 8; {
		x := l.next(blocked)
		if x == nil {
			return out
		}
		to := router.Choose(c.query(now, l, x), c.replicas.All(), c.rng)
		if len(to) == 0 {
			blocked[x] = true
			misses++
			continue
		}
		out = append(out, c.send(l, x, to))
	}
	return out
}

// next returns the waiting request whose tier is furthest behind its share.
func (l *line) next(blocked map[*row]bool) *row {
	var best *row
	for _, x := range l.waiting {
		if blocked[x] || best != nil && x.tier.Name == best.tier.Name {
			continue
		}
		if best == nil || l.before(x, best) {
			best = x
		}
	}
	return best
}

func (l *line) pass(tier string) float64 { return max(l.passes[tier], l.clock-1) }

func (l *line) before(a, b *row) bool {
	if a.resumed != b.resumed {
		return a.resumed
	}
	pa, pb := l.pass(a.tier.Name), l.pass(b.tier.Name)
	if pa != pb {
		return pa < pb
	}
	return a.tier.Rank > b.tier.Rank
}

// weight is a tier's share of the capacity while all tiers have work: its
// weight, or its floor where that is more.
func (c *Core) weight(t filbertstile.Tier) float64 {
	sum := 0
	for _, other := range c.view.Config.Tiers.All() {
		sum += other.Weight
	}
	return max(1, float64(t.Weight), float64(sum*t.FloorPercent)/100)
}

func (c *Core) send(l *line, x *row, to []router.Replica) Command {
	l.waiting = slices.DeleteFunc(l.waiting, func(o *row) bool { return o == x })
	l.drained++
	l.clock = max(l.clock, l.pass(x.tier.Name))
	l.passes[x.tier.Name] = l.pass(x.tier.Name) + 1/x.weight
	cmd := Send{ID: x.request.ID, Tier: x.tier.Name, Rank: x.tier.Rank, Weight: int(math.Round(x.weight)), Resumed: x.resumed}
	for _, r := range to {
		x.hosts = append(x.hosts, r.Host.Name)
		c.replicas = c.replicas.With(r.WithSent())
		cmd.Targets = append(cmd.Targets, Target{Host: r.Host, Whole: r.Load.Whole, Release: r.Load.Release})
	}
	return cmd
}

// leave takes a request off a host.
func (c *Core) leave(x *row, host string, change func(router.Replica) router.Replica) {
	i := slices.Index(x.hosts, host)
	if i < 0 {
		return
	}
	x.hosts = slices.Delete(x.hosts, i, i+1)
	r, ok := c.replicas.Get(host)
	if !ok {
		return
	}
	r = r.WithEnded()
	if change != nil {
		r = change(r)
	}
	c.replicas = c.replicas.With(r)
}

func (c *Core) callerGone(id string) {
	if x := c.requests[id]; x != nil {
		x.gone = true
	}
}

func (c *Core) ended(e Ended) {
	x := c.requests[e.ID]
	if x == nil {
		return
	}
	c.leave(x, e.Host, func(r router.Replica) router.Replica {
		if e.OK {
			return r.WithSuccess()
		}
		return r
	})
	delete(c.requests, e.ID)
}

// again puts a request back in line, ahead of those that never left it.
func (c *Core) again(now time.Time, x *row) {
	l := c.lineOf(x.request.Service, now)
	x.queued = now
	l.waiting = slices.Insert(l.waiting, 0, x)
}
