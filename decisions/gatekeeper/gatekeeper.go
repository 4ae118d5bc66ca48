package gatekeeper

import (
	"slices"
	"time"

	"filbertstile.example/filbertstile"
)

// Config bounds a gate.
type Config struct {
	Kind filbertstile.ServiceKind
	// MaxRunning is the concurrency that a warm backend server bears.
	MaxRunning int
	// MaxWaiting bounds the requests that wait at the gate.
	MaxWaiting int
	// KeepResults is how long outcomes of non-idempotent calls are kept.
	KeepResults time.Duration
}

const (
	// growPerRequest is what the limit grows by with each request that the
	// server answered at steady latency while the limit was in use.
	growPerRequest = 0.5
	// steadyFactor is how much slower than usual still counts as steady.
	steadyFactor = 2.0
	// jumpFactor is how much slower than usual tells of a cold server.
	jumpFactor = 3.0
	// jumpsToCold is the number of slow answers in a row that it takes.
	jumpsToCold = 3
	// usualWeight is the weight of one answer in the usual latency.
	usualWeight = 0.1
	// leastUsual keeps latencies near the clock's grain from looking like jumps.
	leastUsual   = 2 * time.Millisecond
	coldRetry    = 500 * time.Millisecond
	busyRetry    = 100 * time.Millisecond
	permitMargin = 200 * time.Millisecond
	// restAfter is the number of failures in a row after which the server is
	// left alone for a while, from firstRest, doubled up to longestRest.
	restAfter   = 3
	firstRest   = 500 * time.Millisecond
	longestRest = 10 * time.Second
)

// running is a request in the backend server's hands.
type running struct {
	request   Request
	abandoned bool
}

// onceRow is what is known of a non-idempotent call.
type onceRow struct {
	id      string
	running bool
	result  Result
	at      time.Time
	// tickets wait for the outcome.
	tickets []string
}

// permit is the newest permit to switch.
type permit struct {
	release string
	epoch   uint64
	until   time.Time
}

// ready is a release whose weights are whole in memory.
type ready struct {
	release  string
	manifest filbertstile.Digest
	whole    filbertstile.Digest
}

// Core owns the gate's tables.
type Core struct {
	config   Config
	standing Standing
	queue    queue
	running  map[string]running
	once     map[string]*onceRow
	order    []string
	limit    float64
	usual    time.Duration
	jumps    int
	cold     bool
	readies  []ready
	loaded   ready
	engine   filbertstile.EngineState
	permit   permit
	epoch    uint64
	loading  string
	loadedAt time.Time
	failure  string
	now      time.Time
	failures int
	restFor  time.Duration
	// restUntil is when a failing server gets its next request.
	restUntil time.Time
}

// New returns a gate that lets nothing through before it knows its standing.
func New(c Config) *Core {
	return &Core{
		config:   c,
		standing: Standing{Stale: true},
		running:  make(map[string]running),
		once:     make(map[string]*onceRow),
		limit:    1,
		cold:     true,
	}
}

// Tick takes in the events and decides.
func (c *Core) Tick(now time.Time, inbox []Event) []Command {
	c.now = now
	var out []Command
	for _, e := range inbox {
		out = append(out, c.take(now, e)...)
	}
	for _, r := range c.queue.expired(now) {
		out = append(out, Refuse{ID: r.ID, Code: CodeTooLate})
	}
	out = append(out, c.change()...)
	out = append(out, c.admit()...)
	c.forget(now)
	return out
}

func (c *Core) take(now time.Time, e Event) []Command {
	switch e := e.(type) {
	case Arrived:
		return c.arrived(now, e.Request)
	case Finished:
		return c.finished(now, e)
	case Abandoned:
		return c.abandoned(e.ID)
	case SealAsked:
		return c.seal(now, e)
	case StandingSeen:
		c.standing = e.Standing
	case WeightsReady:
		c.weightsReady(e)
	case EngineSeen:
		return c.engineSeen(e)
	case PermitAsked:
		return c.permitAsked(now, e)
	case LoadEnded:
		return c.loadEnded(now, e)
	}
	return nil
}

// serves tells whether new work of the release may come in at all, and if not,
// the code of the refusal.
func (c *Core) serves(whole filbertstile.Digest) (string, bool) {
	switch {
	case c.standing.Leaving:
		return CodeLeaving, false
	case c.standing.DomainOut:
		return CodeDomainOut, false
	case c.standing.HostOut:
		return CodeHostOut, false
	case c.standing.Stale:
		return CodeStale, false
	case c.now.Before(c.restUntil):
		return CodeFailing, false
	case c.config.Kind == filbertstile.ServicePlain:
		return "", true
	case c.loading != "" || c.switching():
		return CodeSwitching, false
	case c.loaded.whole == "":
		return CodeNotReady, false
	case whole != c.loaded.whole:
		return CodeWrongRelease, false
	default:
		return "", true
	}
}

func (c *Core) arrived(now time.Time, r Request) []Command {
	if row := c.once[r.ID]; row != nil {
		code := CodeDuplicate
		if !row.running && row.result.Run == filbertstile.NotRun {
			code = CodeSealed
		}
		return []Command{Refuse{ID: r.ID, Code: code}}
	}
	if code, ok := c.serves(r.Whole); !ok {
		return []Command{Refuse{ID: r.ID, Code: code, RetryAfter: busyRetry}}
	}
	if !r.Deadline.After(now) {
		return []Command{Refuse{ID: r.ID, Code: CodeTooLate}}
	}
	if len(c.running) < c.slots() && c.queue.len() == 0 {
		c.queue.charge(r.Class)
		return c.start(r)
	}
	return c.wait(r)
}

// wait queues a request, or refuses it or a lower one where there is no room.
func (c *Core) wait(r Request) []Command {
	if c.cold {
		return []Command{Refuse{ID: r.ID, Code: CodeCold, RetryAfter: coldRetry}}
	}
	if c.queue.len() < c.config.MaxWaiting {
		c.queue.push(r)
		return nil
	}
	out, ok := c.queue.displace(r.Class.Rank)
	if !ok {
		return []Command{Refuse{ID: r.ID, Code: CodeBusy, RetryAfter: busyRetry}}
	}
	c.queue.push(r)
	return []Command{Refuse{ID: out.ID, Code: CodeDisplaced, RetryAfter: busyRetry}}
}

func (c *Core) slots() int { return max(1, int(c.limit)) }

func (c *Core) start(r Request) []Command {
	c.running[r.ID] = running{request: r}
	if r.Once {
		c.once[r.ID] = &onceRow{id: r.ID, running: true}
		c.order = append(c.order, r.ID)
	}
	return []Command{Start{ID: r.ID}}
}

// admit starts waiting requests while slots are free. Requests that came
// before the standing changed are judged by the new one.
func (c *Core) admit() []Command {
	var out []Command
	c.queue.waiting = slices.DeleteFunc(c.queue.waiting, func(r Request) bool {
		code, ok := c.serves(r.Whole)
		if !ok {
			out = append(out, Refuse{ID: r.ID, Code: code, RetryAfter: busyRetry})
		}
		return !ok
	})
	for c.queue.len() > 0 && len(c.running) < c.slots() {
		out = append(out, c.start(c.queue.pop())...)
	}
	return out
}

func (c *Core) finished(now time.Time, e Finished) []Command {
	if _, ok := c.running[e.ID]; !ok {
		return nil
	}
	full := len(c.running) >= c.slots()
	if e.Failure == FailureUnused {
		c.queue.refund(c.running[e.ID].request.Class)
	}
	delete(c.running, e.ID)
	out := c.settle(now, e)
	switch e.Failure {
	case FailureNone:
		c.failures, c.restFor = 0, 0
		out = append(out, c.learn(e.Served, full)...)
	case FailureOverloaded:
		c.rest(now)
		out = append(out, c.turnCold("overloaded")...)
	case FailureBroken:
		c.rest(now)
	}
	return out
}

// settle keeps the outcome of a non-idempotent call and answers who asked.
func (c *Core) settle(now time.Time, e Finished) []Command {
	row := c.once[e.ID]
	if row == nil {
		return nil
	}
	row.running = false
	row.result = e.Result
	row.at = now
	var out []Command
	for _, ticket := range row.tickets {
		out = append(out, Sealed{Ticket: ticket, Result: row.result})
	}
	row.tickets = nil
	return out
}

// rest leaves a server alone that fails request after request. When the rest is
// over, its limit is one: a single request tells whether it is back.
func (c *Core) rest(now time.Time) {
	c.failures++
	if c.failures < restAfter {
		return
	}
	c.restFor = min(max(firstRest, 2*c.restFor), longestRest)
	c.restUntil = now.Add(c.restFor)
	c.limit = 1
	c.cold = true
}

// learn moves the limit with the latency of an answer.
func (c *Core) learn(served time.Duration, full bool) []Command {
	served = max(served, leastUsual)
	if c.usual == 0 {
		c.usual = served
	}
	if float64(served) > jumpFactor*float64(c.usual) {
		c.jumps++
		if c.jumps >= jumpsToCold {
			return c.turnCold("latency")
		}
		return nil
	}
	c.jumps = 0
	c.usual += time.Duration(usualWeight * float64(served-c.usual))
	steady := float64(served) <= steadyFactor*float64(c.usual)
	if steady && full {
		c.limit = min(c.limit+growPerRequest, float64(c.config.MaxRunning))
	}
	if c.limit >= float64(c.config.MaxRunning) {
		c.cold = false
	}
	return nil
}

func (c *Core) turnCold(reason string) []Command {
	c.limit = 1
	c.jumps = 0
	if c.cold {
		return nil
	}
	c.cold = true
	return []Command{WentCold{Reason: reason}}
}

// abandoned gives up a request whose caller is gone. A non-idempotent call
// that runs goes on, so that its outcome is known.
func (c *Core) abandoned(id string) []Command {
	if c.queue.remove(id) {
		return []Command{Refuse{ID: id, Code: CodeTooLate}}
	}
	r, ok := c.running[id]
	if !ok || r.request.Once {
		return nil
	}
	r.abandoned = true
	c.running[id] = r
	return []Command{Cancel{ID: id}}
}

// seal makes sure that a request that has not started never will, or answers
// with its outcome.
func (c *Core) seal(now time.Time, e SealAsked) []Command {
	row := c.once[e.RequestID]
	if _, runs := c.running[e.RequestID]; runs && row == nil {
		// No outcome is kept of a call that may be repeated.
		return []Command{Sealed{Ticket: e.Ticket, Result: Result{Run: filbertstile.Unknown}}}
	}
	if row == nil {
		row = &onceRow{id: e.RequestID, result: Result{Run: filbertstile.NotRun}, at: now}
		c.once[e.RequestID] = row
		c.order = append(c.order, e.RequestID)
		out := []Command{Sealed{Ticket: e.Ticket, Result: row.result}}
		if c.queue.remove(e.RequestID) {
			out = append(out, Refuse{ID: e.RequestID, Code: CodeSealed})
		}
		return out
	}
	if row.running {
		row.tickets = append(row.tickets, e.Ticket)
		return nil
	}
	return []Command{Sealed{Ticket: e.Ticket, Result: row.result}}
}

// forget drops outcomes that are older than the retention. Outcomes are never
// dropped early: a full table refuses nothing, it only grows to the bound that
// the entries' write budget sets.
func (c *Core) forget(now time.Time) {
	for len(c.order) > 0 {
		row := c.once[c.order[0]]
		if row.running || now.Sub(row.at) < c.config.KeepResults {
			return
		}
		delete(c.once, row.id)
		c.order = c.order[1:]
	}
}

// Gate is the state of the gate, for reports and dumps.
type Gate struct {
	Running  int
	Waiting  int
	Limit    int
	Cold     bool
	Serving  bool
	Refusal  string `json:",omitempty"`
	Release  string
	Whole    filbertstile.Digest
	Ready    string
	Epoch    uint64
	Loading  string `json:",omitempty"`
	Failure  string `json:",omitempty"`
	Revision uint64
	Usual    time.Duration
	Kept     int
	Role     string `json:",omitempty"`
}

// Gate returns the state of the gate.
func (c *Core) Gate() Gate {
	code, serving := c.serves(c.loaded.whole)
	g := Gate{
		Running: len(c.running), Waiting: c.queue.len(), Limit: c.slots(), Cold: c.cold, Serving: serving, Refusal: code,
		Release: c.loaded.release, Whole: c.loaded.whole, Epoch: c.epoch, Loading: c.loading, Failure: c.failure,
		Revision: c.standing.Revision, Usual: c.usual, Kept: len(c.once), Role: c.engine.Role,
	}
	if c.standing.Target.Name != "" {
		if r, ok := c.readyFor(c.standing.Target.Name); ok {
			g.Ready = r.release
		}
	}
	return g
}

// Idle tells whether nothing is in hand.
func (c *Core) Idle() bool { return len(c.running) == 0 && c.queue.len() == 0 }
