// Package placer decides at an entry which replica runs a request, which
// requests wait for one, and which are refused at once. It serves entries that
// send straight to replicas whose engines run a batch and queue by themselves:
// a request that waits in a replica cannot be taken back, so what exceeds the
// replicas' slots waits here, first by priority, and what cannot be answered
// within its objective is refused while the caller can still come back.
package placer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"filbertstile.example/filbertstile"
)

const (
	// waitShare is the part of the objective that a request may wait here; the
	// rest is for reading its prompt and the first pass.
	waitShare = 0.45
	// rateWeight is the share of the newest second in the rate of placements.
	rateWeight = 0.5
	// wayMargin is kept from the objective for the way to the caller and back.
	wayMargin = 25 * time.Millisecond
	// leastRetry and mostRetry bound the Retry-After of refusals. A shortage lasts
	// for a second or two, and an answer that is late is worth the same then.
	leastRetry = 900 * time.Millisecond
	mostRetry  = 1900 * time.Millisecond
	// retryShare is the part of the time left up to which callers wait.
	retryShare = 3
)

// Config puts a placer together.
type Config struct {
	// Region is that of the entry.
	Region string
	Seed   uint64
	// ColdBurst and ColdSlack bound the requests to a cold replica in one
	// second: its rate x ColdBurst + ColdSlack.
	ColdBurst float64
	ColdSlack float64
}

// Fleet is what the entry knows of the replicas.
type Fleet struct {
	Replicas filbertstile.Table[filbertstile.Replica]
	Pools    filbertstile.Table[filbertstile.PoolSpec]
	// Out lists the failure domains that are out of service.
	Out map[string]bool
	// Regions gives the region of each failure domain.
	Regions map[string]string
	// Entries is the number of entries that send to the replicas.
	Entries int
	// Own lists the model engines of the entry's own group, which Near entries
	// share; those of other groups are for requests that none of these fits. Nil
	// means that there is one group only.
	Own  map[string]bool
	Near int
}

// sharers returns how many entries send to the replica, and whether it belongs
// to another group.
func (f Fleet) sharers(x filbertstile.Replica) (entries int, foreign bool) {
	spec, _ := f.Pools.Get(x.Service)
	if f.Own == nil || spec.Engine == nil {
		return f.Entries, false
	}
	if f.Own[x.ID] {
		return f.Near, false
	}
	return f.Entries, true
}

// Floor is the least version of a model's weights that may begin a request.
type Floor struct {
	// Version holds now; 0 for none.
	Version int64
	// Next holds from NextAt on; 0 for none. A request begins at a replica a while
	// after it was sent.
	Next   int64
	NextAt time.Time
}

// Query is a request that wants a replica.
type Query struct {
	Service  string
	Regions  []string
	Priority int
	// Floor is the version of the weights that must run it.
	Floor Floor
	// Tried lists replicas that the request must not go to.
	Tried []string
	// Arrived is when the caller's request came in.
	Arrived time.Time
	// Objective is the time within which the caller expects the answer to
	// begin; Deadline is when it gives up.
	Objective time.Duration
	Deadline  time.Time
	// Tokens is the length of the prompt.
	Tokens int
}

// Grant is a place at a replica. Release must be called once.
type Grant struct {
	Replica filbertstile.Replica
	// Count is the number of requests that the replica had in hand, Tokens the
	// prompt tokens that it had still to read.
	Count  int
	Tokens int
	// Version is that of the replica's weights where it should be asked to check
	// it: where nobody beside it has told it just now.
	Version int64
	// prompt is the request's own prompt.
	prompt int
	// Waited is how long the request waited here.
	Waited time.Duration
}

// ErrNoRoom is a request that gets no replica.
type ErrNoRoom struct {
	Step       string
	Reason     string
	RetryAfter time.Duration
	// Queue is the number of requests that wait, Fitting whether any replica
	// could run the request.
	Queue   int
	Fitting bool
}

// Error names the reason.
func (e ErrNoRoom) Error() string { return e.Step + ": " + e.Reason }

type waiter struct {
	query Query
	since time.Time
	grant chan Grant
}

// Placer owns the entry's picture of the replicas.
type Placer struct {
	config Config

	mu      sync.Mutex
	rng     *rand.Rand
	fleet   Fleet
	rows    map[string]*row
	byAddr  map[string]*row
	byHash  map[uint32]*row
	waiting []*waiter
	// told is what the other entries last said, by entry and replica hash.
	told map[string]map[uint32]Hand
	// perSecond is the recent rate of placements by service.
	perSecond map[string]float64
	placed    map[string]int
	countedAt time.Time
}

// New returns a placer without replicas.
func New(c Config) *Placer {
	return &Placer{
		config: c, rng: rand.New(rand.NewPCG(c.Seed, 1)), rows: make(map[string]*row), byAddr: make(map[string]*row),
		byHash: make(map[uint32]*row), perSecond: make(map[string]float64), placed: make(map[string]int), told: make(map[string]map[uint32]Hand),
	}
}

// SetFleet replaces the replicas; what is known of those that stay is kept.
func (p *Placer) SetFleet(now time.Time, f Fleet) {
	p.mu.Lock()
	defer p.mu.Unlock()
	rows := make(map[string]*row, f.Replicas.Len())
	byAddr := make(map[string]*row, f.Replicas.Len())
	byHash := make(map[uint32]*row, f.Replicas.Len())
	for _, x := range f.Replicas.All() {
		r := p.rows[x.ID]
		if r == nil || !r.replica.Born.Equal(x.Born) {
			r = &row{}
		}
		r.replica, r.region = x, f.Regions[x.Domain]
		r.entries, r.foreign = f.sharers(x)
		rows[x.ID] = r
		byAddr[x.Address] = r
		byHash[HashOf(x.ID)] = r
	}
	p.fleet, p.rows, p.byAddr, p.byHash = f, rows, byAddr, byHash
	p.sumOthers()
	p.serveWaiting(now)
}

// Report takes in what a host process says of the replica at the address.
func (p *Placer) Report(now time.Time, address string, l Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.byAddr[address]
	if r == nil || !r.replica.Born.IsZero() && !l.Born.IsZero() && !r.replica.Born.Equal(l.Born) {
		return
	}
	r.load, r.loadAt, r.ownAtLoad = l, now, r.own
	p.serveWaiting(now)
}

// Acquire returns a place for the request, at once or after a while, or
// ErrNoRoom.
func (p *Placer) Acquire(ctx context.Context, q Query) (Grant, error) {
	now := time.Now()
	p.mu.Lock()
	best, fitting := p.choose(now, q, left(now, q))
	if best != nil {
		g := p.place(now, best, q)
		p.mu.Unlock()
		return g, nil
	}
	if err := p.hopeless(now, q, fitting); err != nil {
		p.mu.Unlock()
		return Grant{}, err
	}
	w := &waiter{query: q, since: now, grant: make(chan Grant, 1)}
	p.enqueue(w)
	p.mu.Unlock()
	timer := time.NewTimer(q.Arrived.Add(patience(q)).Sub(now))
	defer timer.Stop()
	select {
	case g := <-w.grant:
		return g, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return p.giveUp(ctx, w)
}

// patience is how long after its arrival the request may still be placed in
// time.
func patience(q Query) time.Duration {
	out := time.Duration(float64(q.Objective) * waitShare)
	if left := q.Deadline.Sub(q.Arrived) / 2; left < out {
		return left
	}
	return out
}

// left returns the time that remains for the answer to begin in time.
func left(now time.Time, q Query) time.Duration {
	return max(time.Millisecond, q.Objective-wayMargin-now.Sub(q.Arrived))
}

// giveUp takes the request out of the line; a place granted meanwhile counts,
// unless the caller has left. Where replicas are not much behind, it is answered
// late rather than not at all.
func (p *Placer) giveUp(ctx context.Context, w *waiter) (Grant, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, x := range p.waiting {
		if x == w {
			p.waiting = append(p.waiting[:i:i], p.waiting[i+1:]...)
			break
		}
	}
	select {
	case g := <-w.grant:
		if ctx.Err() == nil {
			return g, nil
		}
		p.release(time.Now(), &g, Abandoned)
	default:
	}
	if ctx.Err() != nil {
		return Grant{}, ctx.Err()
	}
	now := time.Now()
	best, fitting := p.choose(now, w.query, 0)
	if best != nil {
		g := p.place(now, best, w.query)
		g.Waited = now.Sub(w.since)
		return g, nil
	}
	return Grant{}, p.refusal(w.query, "waited as long as the objective allows", fitting)
}

// hopeless tells why a request should not wait: the line before it is longer
// than what is placed within its patience.
func (p *Placer) hopeless(now time.Time, q Query, fitting bool) error {
	if !now.Before(q.Arrived.Add(patience(q))) {
		return p.refusal(q, "no room, and too late to wait", fitting)
	}
	if !fitting {
		return p.refusal(q, "no replica may run it", fitting)
	}
	rate := p.perSecond[q.Service]
	ahead := p.ahead(q)
	if ahead > 0 && rate > 0 && float64(ahead)/rate > (patience(q)-now.Sub(q.Arrived)).Seconds() {
		return p.refusal(q, "the line is longer than what is placed in time", fitting)
	}
	return nil
}

func (p *Placer) ahead(q Query) int {
	n := 0
	for _, w := range p.waiting {
		if w.query.Service == q.Service && w.query.Priority <= q.Priority {
			n++
		}
	}
	return n
}

// refusal spreads the callers' return over the time in which places become
// free.
func (p *Placer) refusal(q Query, reason string, fitting bool) error {
	after := leastRetry + time.Duration(p.rng.Int64N(int64(mostRetry-leastRetry)))
	if most := time.Until(q.Deadline) / retryShare; after > most {
		after = most * time.Duration(75+p.rng.IntN(25)) / 100
	}
	return ErrNoRoom{Step: "place request", Reason: reason, RetryAfter: max(0, after), Queue: len(p.waiting), Fitting: fitting}
}

// enqueue keeps the line ordered by priority, then by arrival.
func (p *Placer) enqueue(w *waiter) {
	i := len(p.waiting)
	for i > 0 && p.waiting[i-1].query.Priority > w.query.Priority {
		i--
	}
	p.waiting = append(p.waiting, nil)
	copy(p.waiting[i+1:], p.waiting[i:])
	p.waiting[i] = w
}

func (p *Placer) place(now time.Time, r *row, q Query) Grant {
	g := Grant{Replica: r.replica, Count: r.count(now), Tokens: r.tokensAhead(), prompt: q.Tokens}
	if q.Floor.Version > 0 && !r.reported(now) {
		g.Version = r.replica.Version
	}
	r.own++
	r.ownTokens += q.Tokens
	r.tokens--
	p.countPlaced(now, q.Service)
	return g
}

// Began tells that the answer of the request has begun: its prompt is read.
func (p *Placer) Began(g *Grant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.read(g)
	p.serveWaiting(time.Now())
}

func (p *Placer) read(g *Grant) {
	if r := p.rows[g.Replica.ID]; r != nil && g.prompt > 0 {
		r.ownTokens = max(0, r.ownTokens-g.prompt)
	}
	g.prompt = 0
}

func (p *Placer) countPlaced(now time.Time, service string) {
	p.placed[service]++
	if now.Sub(p.countedAt) < time.Second {
		return
	}
	for s, n := range p.placed {
		rate := float64(n)
		if p.countedAt.IsZero() {
			p.perSecond[s] = rate
		} else {
			seconds := now.Sub(p.countedAt).Seconds()
			p.perSecond[s] = p.perSecond[s]*(1-rateWeight) + rate/seconds*rateWeight
		}
		p.placed[s] = 0
	}
	p.countedAt = now
}

// Release ends the use of a place.
func (p *Placer) Release(g *Grant, o Outcome) (heldUntil time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.release(time.Now(), g, o)
}

func (p *Placer) release(now time.Time, g *Grant, o Outcome) time.Time {
	r := p.rows[g.Replica.ID]
	if r == nil {
		return time.Time{}
	}
	p.read(g)
	r.ended(now, o)
	p.serveWaiting(now)
	return r.holdUntil
}

// serveWaiting places requests from the head of the line. One that no replica
// has room for lets later ones of other services and regions pass.
func (p *Placer) serveWaiting(now time.Time) {
	kept := p.waiting[:0]
	for _, w := range p.waiting {
		best, _ := p.choose(now, w.query, left(now, w.query))
		if best == nil {
			kept = append(kept, w)
			continue
		}
		g := p.place(now, best, w.query)
		g.Waited = now.Sub(w.since)
		w.grant <- g
	}
	clear(p.waiting[len(kept):])
	p.waiting = kept
}

// State is a replica as the placer sees it, for dumps.
type State struct {
	Replica filbertstile.Replica
	Own     int
	// Others is what the other entries have in hand.
	Others   int
	Load     Load
	LoadAge  time.Duration
	Failures int
	Rate     float64
	Held     time.Duration
}

// Dump returns all replicas and the length of the line.
func (p *Placer) Dump(now time.Time) ([]State, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []State
	for _, x := range p.fleet.Replicas.All() {
		r := p.rows[x.ID]
		out = append(out, State{
			Replica: x, Own: r.own, Others: r.others.Requests, Load: r.load, LoadAge: now.Sub(r.loadAt), Failures: r.failures, Rate: r.rate,
			Held: max(0, r.holdUntil.Sub(now)),
		})
	}
	return out, len(p.waiting)
}
