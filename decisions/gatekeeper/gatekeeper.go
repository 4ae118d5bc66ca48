package gatekeeper

import (
	"slices"
	"time"

	"filbertstile.example/filbertstile"
)

// Config configures a gate.
type Config struct {
	Kind filbertstile.ServiceKind
	// MaxRunning is the concurrency limit of a warm backend server.
	MaxRunning int
	// MaxWaiting is the maximum number of queued requests.
	MaxWaiting int
	// ResultRetention is how long the results of non-idempotent calls are kept.
	ResultRetention time.Duration
}

const (
	// limitIncrease is added to the concurrency limit after each response with steady
	// latency, if the limit was reached.
	limitIncrease = 0.5
	// steadyLatencyRatio is the maximum ratio of a steady latency to the baseline.
	steadyLatencyRatio = 2.0
	// slowLatencyRatio is the ratio to the baseline above which a response is slow.
	slowLatencyRatio = 3.0
	// slowResponsesToCold is the number of consecutive slow responses after which the
	// backend server counts as cold.
	slowResponsesToCold = 3
	// baselineWeight is the weight of the newest latency in the moving average.
	baselineWeight = 0.1
	// minLatency is the lower bound of latencies, so that variations near the
	// resolution of the clock do not count as slow responses.
	minLatency        = 2 * time.Millisecond
	coldRetryAfter    = 500 * time.Millisecond
	defaultRetryAfter = 100 * time.Millisecond
	// permitMargin is the time before the end of a permit from which on no load order
	// is sent.
	permitMargin = 200 * time.Millisecond
	// failuresToCooldown is the number of consecutive failures after which requests
	// are refused during a cooldown. Cooldowns start at minCooldown and double with
	// each further failure, up to maxCooldown.
	failuresToCooldown = 3
	minCooldown        = 500 * time.Millisecond
	maxCooldown        = 10 * time.Second
)

// runningRequest is a request that was sent to the backend server.
type runningRequest struct {
	request   Request
	abandoned bool
}

// callRecord is the record of a non-idempotent call that was started or sealed.
type callRecord struct {
	id      string
	running bool
	result  Result
	// resultAt is the time at which result was set.
	resultAt time.Time
	// sealTickets are the tickets of SealRequested events that wait for the result.
	sealTickets []string
}

// permit is an accepted permit to switch to a release.
type permit struct {
	release string
	epoch   uint64
	until   time.Time
}

// readyRelease is a release whose weights are complete in the host's memory.
type readyRelease struct {
	release  string
	manifest filbertstile.Digest
	whole    filbertstile.Digest
}

// Core is the gate of a host: it holds the state of the host's requests and makes its
// decisions. It is not safe for concurrent use.
type Core struct {
	config  Config
	status  HostStatus
	queue   queue
	running map[string]runningRequest
	calls   map[string]*callRecord
	// callOrder lists the IDs in calls in the order of insertion.
	callOrder []string
	// limit is the concurrency limit; see slots.
	limit float64
	// baselineLatency is the moving average of latencies without slow responses; 0 if
	// there is none yet.
	baselineLatency time.Duration
	// slowResponses is the number of consecutive slow responses.
	slowResponses int
	// cold is true until the limit reaches MaxRunning. Meanwhile no requests are
	// queued.
	cold          bool
	readyReleases []readyRelease
	// loaded is the release that the engine runs; empty if it is unknown.
	loaded readyRelease
	engine filbertstile.EngineState
	permit permit
	// epoch is the epoch of the last accepted permit.
	epoch uint64
	// loading is the release that the engine has been ordered to load; empty if no
	// load is in progress.
	loading     string
	loadEndedAt time.Time
	// loadFailure says why the last load failed; empty if it succeeded.
	loadFailure         string
	now                 time.Time
	consecutiveFailures int
	cooldown            time.Duration
	// cooldownUntil is the time until which new requests are refused because the
	// backend server fails.
	cooldownUntil time.Time
}

// New returns a gate that refuses all requests until it receives the status of the
// host.
func New(c Config) *Core {
	return &Core{
		config:  c,
		status:  HostStatus{Stale: true},
		running: make(map[string]runningRequest),
		calls:   make(map[string]*callRecord),
		limit:   1,
		cold:    true,
	}
}

// Tick processes the events and returns the commands to execute.
func (c *Core) Tick(now time.Time, inbox []Event) []Command {
	c.now = now
	var out []Command
	for _, e := range inbox {
		out = append(out, c.handle(now, e)...)
	}
	for _, r := range c.queue.removeExpired(now) {
		out = append(out, Refuse{ID: r.ID, Code: CodeTooLate})
	}
	out = append(out, c.startLoad()...)
	out = append(out, c.startQueued()...)
	c.dropExpiredResults(now)
	return out
}

func (c *Core) handle(now time.Time, e Event) []Command {
	switch e := e.(type) {
	case Arrived:
		return c.handleArrived(now, e.Request)
	case Finished:
		return c.handleFinished(now, e)
	case Abandoned:
		return c.handleAbandoned(e.ID)
	case SealRequested:
		return c.handleSeal(now, e)
	case HostStatusChanged:
		c.status = e.Status
	case WeightsReady:
		c.handleWeightsReady(e)
	case EngineReported:
		return c.handleEngineReport(e)
	case PermitReceived:
		return c.handlePermit(now, e)
	case LoadEnded:
		return c.handleLoadEnded(now, e)
	}
	return nil
}

// accepts reports whether requests for the weights are accepted, and returns the
// refusal code if not.
func (c *Core) accepts(whole filbertstile.Digest) (string, bool) {
	switch {
	case c.status.Leaving:
		return CodeLeaving, false
	case c.status.DomainOutOfService:
		return CodeDomainOutOfService, false
	case c.status.HostOutOfService:
		return CodeHostOutOfService, false
	case c.status.Stale:
		return CodeStale, false
	case c.now.Before(c.cooldownUntil):
		return CodeBackendFailing, false
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

func (c *Core) handleArrived(now time.Time, r Request) []Command {
	if call := c.calls[r.ID]; call != nil {
		code := CodeDuplicate
		if !call.running && call.result.Run == filbertstile.NotRun {
			code = CodeSealed
		}
		return []Command{Refuse{ID: r.ID, Code: code}}
	}
	if code, ok := c.accepts(r.Whole); !ok {
		return []Command{Refuse{ID: r.ID, Code: code, RetryAfter: defaultRetryAfter}}
	}
	if !r.Deadline.After(now) {
		return []Command{Refuse{ID: r.ID, Code: CodeTooLate}}
	}
	if len(c.running) < c.slots() && c.queue.len() == 0 {
		c.queue.charge(r.Class)
		return c.start(r)
	}
	return c.enqueue(r)
}

// enqueue adds a request to the queue. If the queue is full, it refuses either a
// queued request of lower rank or the new one.
func (c *Core) enqueue(r Request) []Command {
	if c.cold {
		return []Command{Refuse{ID: r.ID, Code: CodeColdStart, RetryAfter: coldRetryAfter}}
	}
	if c.queue.len() < c.config.MaxWaiting {
		c.queue.push(r)
		return nil
	}
	displaced, ok := c.queue.displace(r.Class.Rank)
	if !ok {
		return []Command{Refuse{ID: r.ID, Code: CodeBusy, RetryAfter: defaultRetryAfter}}
	}
	c.queue.push(r)
	return []Command{Refuse{ID: displaced.ID, Code: CodeDisplaced, RetryAfter: defaultRetryAfter}}
}

// slots returns the maximum number of requests that may run now.
func (c *Core) slots() int { return max(1, int(c.limit)) }

func (c *Core) start(r Request) []Command {
	c.running[r.ID] = runningRequest{request: r}
	if r.Once {
		c.calls[r.ID] = &callRecord{id: r.ID, running: true}
		c.callOrder = append(c.callOrder, r.ID)
	}
	return []Command{Start{ID: r.ID}}
}

// startQueued starts queued requests while slots are free. It first refuses those that
// are no longer accepted, as the status may have changed since they arrived.
func (c *Core) startQueued() []Command {
	var out []Command
	c.queue.requests = slices.DeleteFunc(c.queue.requests, func(r Request) bool {
		code, ok := c.accepts(r.Whole)
		if !ok {
			out = append(out, Refuse{ID: r.ID, Code: code, RetryAfter: defaultRetryAfter})
		}
		return !ok
	})
	for c.queue.len() > 0 && len(c.running) < c.slots() {
		out = append(out, c.start(c.queue.pop())...)
	}
	return out
}

// handleAbandoned drops a queued request and cancels a running one. A running
// non-idempotent call continues, so that its result becomes known.
func (c *Core) handleAbandoned(id string) []Command {
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

// handleSeal ensures that a request that has not started never starts; otherwise it
// replies with the request's result as soon as there is one.
func (c *Core) handleSeal(now time.Time, e SealRequested) []Command {
	call := c.calls[e.RequestID]
	if _, runs := c.running[e.RequestID]; runs && call == nil {
		// The results of idempotent requests are not kept.
		return []Command{Sealed{Ticket: e.Ticket, Result: Result{Run: filbertstile.Unknown}}}
	}
	if call == nil {
		call = &callRecord{id: e.RequestID, result: Result{Run: filbertstile.NotRun}, resultAt: now}
		c.calls[e.RequestID] = call
		c.callOrder = append(c.callOrder, e.RequestID)
		out := []Command{Sealed{Ticket: e.Ticket, Result: call.result}}
		if c.queue.remove(e.RequestID) {
			out = append(out, Refuse{ID: e.RequestID, Code: CodeSealed})
		}
		return out
	}
	if call.running {
		call.sealTickets = append(call.sealTickets, e.Ticket)
		return nil
	}
	return []Command{Sealed{Ticket: e.Ticket, Result: call.result}}
}

// dropExpiredResults deletes the call records whose retention has ended. Records
// are never deleted earlier, and requests are not refused because of their number:
// the entries' budget for writes bounds it.
func (c *Core) dropExpiredResults(now time.Time) {
	for len(c.callOrder) > 0 {
		call := c.calls[c.callOrder[0]]
		if call.running || now.Sub(call.resultAt) < c.config.ResultRetention {
			return
		}
		delete(c.calls, call.id)
		c.callOrder = c.callOrder[1:]
	}
}
