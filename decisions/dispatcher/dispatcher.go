package dispatcher

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/viewer"
	"filbertstile.example/filbertstile/decisions/limiter"
	"filbertstile.example/filbertstile/decisions/router"
	"filbertstile.example/filbertstile/decisions/voucher"
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

// Core owns an entry's tables.
type Core struct {
	config   Config
	rng      *rand.Rand
	view     viewer.View
	trust    voucher.Trust
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
		if !kept[r.Host.Name] && r.InFlight == 0 {
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
		Affinity: x.request.Affinity, Tried: x.tried, TopTier: x.tier.Rank == c.topRank(),
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
