package dispatcher

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/viewer"
	"filbertstile.example/filbertstile/decisions/evaluator"
	"filbertstile.example/filbertstile/decisions/limiter"
	"filbertstile.example/filbertstile/decisions/router"
)

// Config configures the core of an entry.
type Config struct {
	Self filbertstile.Member
	// Seed seeds the random choice between replicas.
	Seed uint64
	// MaxQueue is the maximum number of requests queued at this entry for one
	// service.
	MaxQueue int
	// MaxWait is the maximum time that a request waits for a replica.
	MaxWait time.Duration
	// RetryBudgetRatio is the number of retries that each arriving request adds to
	// the retry budget.
	RetryBudgetRatio float64
	// DemandInterval is the time between two requests for quota grants.
	DemandInterval time.Duration
}

// DefaultConfig returns the default configuration. docs/design/requests.md gives
// the reasons for its values.
func DefaultConfig(self filbertstile.Member) Config {
	return Config{
		Self:             self,
		MaxQueue:         256,
		MaxWait:          2 * time.Second,
		RetryBudgetRatio: 0.1,
		DemandInterval:   250 * time.Millisecond,
	}
}

const (
	// minCooldown is the cooldown after the first failure of a replica. A quarter of
	// it is the minimum cooldown after a refusal.
	minCooldown = 200 * time.Millisecond
	// maxCooldown is the maximum cooldown of a failing replica, and the maximum
	// RetryAfter of requests rejected for lack of capacity.
	maxCooldown = 5 * time.Second
	// maxRetryBudget is the maximum number of retries that the budget can accumulate.
	maxRetryBudget = 20.0
	minRetryAfter  = 200 * time.Millisecond
	// drainRateWeight is the weight of the newest sample in the moving average of a
	// queue's drain rate, and drainRateInterval the minimum time between samples.
	drainRateWeight   = 0.3
	drainRateInterval = 200 * time.Millisecond
	// minQueueForDrainRate is the queue length from which the drain rate reflects
	// the capacity of the replicas.
	minQueueForDrainRate = 8
	// minDemandInterval is the minimum time between two requests for quota grants
	// while an account exceeds its rate.
	minDemandInterval = 50 * time.Millisecond
	// maxMisses is the number of queued requests without a replica after which the others wait for the next tick.
	maxMisses = 8
	// idleDemandInterval is the time between two requests for quota grants while no
	// account has any demand. They serve as heartbeats: an owner considers an entry
	// silent after limiter.LeaseDuration.
	idleDemandInterval = 700 * time.Millisecond
)

// requestState is an admitted request that has not ended.
type requestState struct {
	request Request
	// queuedAt is when the request was last added to its queue.
	queuedAt time.Time
	tier     filbertstile.Tier
	// weight is the tier's share of the capacity; see Core.weight.
	weight float64
	// hosts lists the hosts that have the request; empty while it is queued.
	hosts []string
	// tried lists the hosts that must not get the request again.
	tried []string
	// pinnedWhole is the digest of the weights that must generate the rest of the
	// response; empty until resumed is true.
	pinnedWhole filbertstile.Digest
	// resumed is true once an attempt has failed after the caller received a part of
	// the response.
	resumed bool
	// mayHaveRun is true once an attempt that may have run has failed.
	mayHaveRun         bool
	callerDisconnected bool
	lastErr            filbertstile.ErrRequest
}

// runState returns the run state of a request that no host has.
func (req *requestState) runState() filbertstile.RunState {
	switch {
	case req.resumed:
		// The caller has received a part of the response.
		return filbertstile.Ran
	case req.mayHaveRun:
		return filbertstile.Unknown
	default:
		return filbertstile.NotRun
	}
}

// Core holds the request state of an entry and makes its decisions. It is not safe
// for concurrent use.
type Core struct {
	config   Config
	rng      *rand.Rand
	view     viewer.View
	trust    evaluator.Trust
	requests map[string]*requestState
	queues   map[string]*queue
	replicas filbertstile.Table[router.Replica]
	buckets  map[string]limiter.Bucket
	// weights are the tiers' shares of the capacity; see tierWeights.
	weights map[string]float64
	// entries is the number of entries that are not leaving.
	entries int
	// retryBudget is the number of retries that may be made now.
	retryBudget float64
	// demandedAt is when grants were last requested; zero to request them now.
	demandedAt time.Time
	// idle is true if no account had any demand when grants were last requested.
	idle bool
}

// New returns a core without requests. Its view is stale until the first
// ViewUpdated event.
func New(c Config) *Core {
	return &Core{
		config:      c,
		rng:         rand.New(rand.NewPCG(c.Seed, uint64(len(c.Self.Name)))),
		trust:       evaluator.Stale,
		requests:    make(map[string]*requestState),
		queues:      make(map[string]*queue),
		buckets:     make(map[string]limiter.Bucket),
		retryBudget: maxRetryBudget,
	}
}

// Tick processes the events and returns the commands that result.
func (c *Core) Tick(now time.Time, inbox []Event) []Command {
	var out []Command
	for _, e := range inbox {
		out = append(out, c.handle(now, e)...)
	}
	for _, name := range c.serviceNames() {
		q := c.queues[name]
		out = append(out, c.rejectExpired(now, q)...)
		out = append(out, c.dispatch(now, q)...)
		c.updateDrainRate(now, q)
	}
	return append(out, c.requestGrants(now)...)
}

func (c *Core) serviceNames() []string {
	names := make([]string, 0, len(c.queues))
	for name := range c.queues {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (c *Core) handle(now time.Time, e Event) []Command {
	switch e := e.(type) {
	case Arrived:
		return c.handleArrival(now, e.Request)
	case Refused:
		return c.handleRefusal(now, e)
	case AttemptFailed:
		return c.handleFailure(now, e)
	case OfferDeclined:
		if req := c.requests[e.ID]; req != nil {
			c.removeHost(req, e.Host, nil)
		}
	case Ended:
		c.handleEnd(e)
	case CallerDisconnected:
		c.handleCallerDisconnected(e.ID)
	case LoadReported:
		c.handleLoad(e)
	case HostLost:
		if r, ok := c.replicas.Get(e.Host); ok {
			r.Connected = false
			c.replicas = c.replicas.With(r)
		}
	case ViewUpdated:
		c.handleView(e)
	case GrantReceived:
		c.handleGrant(now, e)
	}
	return nil
}

func (c *Core) handleView(e ViewUpdated) {
	c.view = e.View
	c.trust = e.Trust
	c.weights = tierWeights(e.View.Config.Tiers.All())
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

func (c *Core) handleLoad(e LoadReported) {
	r, ok := c.replicas.Get(e.Host)
	if !ok {
		return
	}
	c.replicas = c.replicas.With(r.WithReport(e.Load))
}

// reject returns the command that rejects a request before it is queued.
func reject(id string, err filbertstile.ErrRequest) []Command {
	if err.Run == "" {
		err.Run = filbertstile.NotRun
	}
	return []Command{Reject{ID: id, Err: err}}
}

func (c *Core) handleArrival(now time.Time, r Request) []Command {
	c.retryBudget = min(c.retryBudget+c.config.RetryBudgetRatio, maxRetryBudget)
	rejectWith := func(code string, after time.Duration, detail string) []Command {
		return reject(r.ID, filbertstile.ErrRequest{Code: code, Step: "admit", Peer: c.config.Self.Name, RetryAfter: after, Detail: detail})
	}
	account, service, refusal := c.checkCaller(r)
	if refusal.Code != "" {
		return reject(r.ID, refusal)
	}
	tier, _ := c.view.Config.Tiers.Get(account.Tier)
	wait, ok := c.admit(now, account)
	if !ok {
		return rejectWith(CodeRateLimited, max(wait, minRetryAfter), fmt.Sprintf("account %s exceeds its rate of %v requests per second", account.Name, account.RatePerSecond))
	}
	if !r.Deadline.After(now) {
		return rejectWith(CodeDeadline, 0, "the deadline passed before the request arrived")
	}
	req := &requestState{request: r, queuedAt: now, tier: tier, weight: c.weight(tier)}
	q := c.queueFor(service.Name, now)
	if expected := c.expectedWait(q, tier); expected > min(c.config.MaxWait, r.Deadline.Sub(now)) {
		return rejectWith(CodeOverloaded, c.drainTime(q), fmt.Sprintf("requests of tier %s would wait for %v", tier.Name, expected.Round(time.Millisecond)))
	}
	c.requests[r.ID] = req
	q.requests = append(q.requests, req)
	if len(q.requests) > c.config.MaxQueue {
		return c.shed(q)
	}
	return nil
}

// checkCaller returns the account and the service of the request, or an error with a Code if the account
// may not call it.
func (c *Core) checkCaller(r Request) (filbertstile.Account, filbertstile.Service, filbertstile.ErrRequest) {
	refusal := filbertstile.ErrRequest{Step: "admit", Peer: c.config.Self.Name}
	account, knownAccount := c.view.Config.Accounts.Get(r.Account)
	service, knownService := c.view.Config.Services.Get(r.Service)
	switch {
	case c.trust == evaluator.Stale:
		refusal.Code, refusal.RetryAfter, refusal.Detail = CodeStale, time.Second, "the configuration of this entry may be stale; retry at another entry"
	case !knownAccount:
		refusal.Code, refusal.Detail = CodeUnknownAccount, "no such client account"
	case !knownService:
		refusal.Code, refusal.Detail = CodeUnknownService, fmt.Sprintf("no service is named %q", r.Service)
	case !account.MayCall(r.Service):
		refusal.Code, refusal.Detail = CodeForbidden, fmt.Sprintf("account %s may not call service %s", account.Name, r.Service)
	}
	return account, service, refusal
}

// topRank returns the highest rank of all tiers.
func (c *Core) topRank() int {
	top := math.MinInt
	for _, t := range c.view.Config.Tiers.All() {
		top = max(top, t.Rank)
	}
	return top
}

// query returns the query for the replicas that can run the request.
func (c *Core) query(now time.Time, q *queue, req *requestState) router.Query {
	s, _ := c.view.Config.Services.Get(q.service)
	return router.Query{
		Now: now, Service: q.service, Whole: req.pinnedWhole, Plain: s.Kind == filbertstile.ServicePlain,
		Affinity: req.request.Affinity, Tried: req.tried, TopTier: req.tier.Rank == c.topRank(),
		Domain: c.config.Self.Domain, Region: c.config.Self.Region, Config: c.view.Config,
	}
}

// dispatch sends queued requests while replicas have capacity. Tiers share the
// capacity by weight. It skips requests that no replica can accept now, and returns
// after maxMisses of them.
func (c *Core) dispatch(now time.Time, q *queue) []Command {
	var out []Command
	blocked := make(map[*requestState]bool)
	for misses := 0; misses < maxMisses; {
		req := q.next(blocked)
		if req == nil {
			return out
		}
		replicas := router.Choose(c.query(now, q, req), c.replicas.All(), c.rng)
		if len(replicas) == 0 {
			blocked[req] = true
			misses++
			continue
		}
		out = append(out, c.send(q, req, replicas))
	}
	return out
}

// send removes the request from its queue and sends it to the replicas.
func (c *Core) send(q *queue, req *requestState, replicas []router.Replica) Command {
	q.requests = slices.DeleteFunc(q.requests, func(o *requestState) bool { return o == req })
	q.drained++
	q.virtualTime = max(q.virtualTime, q.pass(req.tier.Name))
	q.passes[req.tier.Name] = q.pass(req.tier.Name) + 1/req.weight
	cmd := Send{ID: req.request.ID, Tier: req.tier.Name, Rank: req.tier.Rank, Weight: int(math.Round(req.weight)), Resumed: req.resumed}
	for _, r := range replicas {
		req.hosts = append(req.hosts, r.Host.Name)
		c.replicas = c.replicas.With(r.WithSent())
		cmd.Targets = append(cmd.Targets, Target{Host: r.Host, Whole: r.Load.Whole, Release: r.Load.Release})
	}
	return cmd
}

// removeHost records that the host no longer has the request, and applies change,
// if not nil, to the host's replica.
func (c *Core) removeHost(req *requestState, host string, change func(router.Replica) router.Replica) {
	i := slices.Index(req.hosts, host)
	if i < 0 {
		return
	}
	req.hosts = slices.Delete(req.hosts, i, i+1)
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

// removeRequest removes a request that has ended. Hosts that have not declined it yet no longer
// have it either.
func (c *Core) removeRequest(req *requestState) {
	for len(req.hosts) > 0 {
		c.removeHost(req, req.hosts[0], nil)
	}
	delete(c.requests, req.request.ID)
}

func (c *Core) handleCallerDisconnected(id string) {
	if req := c.requests[id]; req != nil {
		req.callerDisconnected = true
	}
}

func (c *Core) handleEnd(e Ended) {
	req := c.requests[e.ID]
	if req == nil {
		return
	}
	c.removeHost(req, e.Host, func(r router.Replica) router.Replica {
		if e.OK {
			return r.WithSuccess()
		}
		return r
	})
	c.removeRequest(req)
}
