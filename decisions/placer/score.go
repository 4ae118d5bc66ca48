package placer

import (
	"slices"
	"time"

	"filbertstile.example/filbertstile"
)

const (
	// reportFresh is how long a host process's report counts; hosts report
	// every 400 ms, and some reports are lost while links are full.
	reportFresh = 1500 * time.Millisecond
	// firstHold and mostHold bound how long a replica that failed is passed
	// over; the time doubles with each failure in a row.
	firstHold = 250 * time.Millisecond
	mostHold  = 4 * time.Second
	// fullHold is the pause after a replica said that it is full: the lag of
	// its reports.
	fullHold = 120 * time.Millisecond
	// failureWeight is the share of the newest outcome in the failure rate.
	failureWeight = 0.15
	// failureCost is what a failure rate of one adds to the load, in requests.
	failureCost = 24.0
	// tokenCost is what a prompt token that is still to be read adds to the load,
	// in requests: a prompt of some 900 tokens delays the next answer like a
	// dozen requests that write.
	tokenCost = 12.0 / 900
	// abroadCost is what another region adds to the load, in requests.
	abroadCost = 0.4
	// tieSpread is the width of the random part of the load, in requests, so
	// that entries with the same reports choose differently.
	tieSpread = 2.0
	// blindEntries bounds by how many entries the own count is multiplied
	// where no report says what the others send.
	blindEntries = 3
	// reportSlack is by how much a report must exceed what the entries told to be
	// believed: it is some 200 ms older.
	reportSlack = 4
	// crowding is what each request in hand adds to the time until an answer
	// begins: those that follow it are read before the others go on.
	crowding = 14 * time.Millisecond
	// idleCount is the number of requests up to which a replica is as good as idle:
	// nothing better can be hoped for, however long the prompt is.
	idleCount = 2
	// lateFactor times the estimate, an answer has begun all but surely.
	lateFactor = 2
	// slotWait is how long a full replica takes to free a slot for the last of those
	// that wait: most streams end within about a second.
	slotWait = 1500 * time.Millisecond
	// coldMargin is the share of the bound on cold replicas that is used.
	coldMargin = 0.85
)

// Load is what a host process reported of the replica beside it.
type Load struct {
	Born    time.Time
	Running int
	Waiting int
	// Version is that of the weights that run; 0 for none.
	Version int64
	Loading bool
}

// Outcome tells how a replica ended a request.
type Outcome int

// Outcomes.
const (
	// Answered is a whole answer.
	Answered Outcome = iota
	// Failed is an answer that says that the replica failed.
	Failed
	// Broken is an answer that broke off, or was none.
	Broken
	// Unreached is a replica that could not be connected to.
	Unreached
	// Full is the replica's word that it did not run the request.
	Full
	// Moved is the word of another replica at that address.
	Moved
	// Abandoned is a request whose caller left.
	Abandoned
)

// row is a replica with what this entry knows of it.
type row struct {
	replica filbertstile.Replica
	region  string
	// entries is the number of entries that send to the replica.
	entries int
	// foreign tells that it belongs to another group of entries.
	foreign bool
	own     int
	load    Load
	loadAt  time.Time
	// ownAtLoad is what own was when the load arrived.
	ownAtLoad int
	// ownTokens are prompt tokens of own requests whose answer has not begun.
	ownTokens int
	// toldHand is what the other entries were last told of the own requests.
	toldHand Hand
	// others is what the other entries have in hand here.
	others    Hand
	failures  int
	rate      float64
	holdUntil time.Time
	tokens    float64
	filledAt  time.Time
}

func (r *row) reported(now time.Time) bool { return now.Sub(r.loadAt) < reportFresh }

// version returns the version of the weights that the replica runs: the newer
// word of the host process and the platform's list.
func (r *row) version(now time.Time) int64 {
	if r.reported(now) {
		return r.load.Version
	}
	return r.replica.Version
}

// count estimates the requests that the replica has in hand: what all entries
// told, or more where the replica's own report, which is older, has far more.
func (r *row) count(now time.Time) int {
	told := r.own + r.others.Requests
	if r.reported(now) {
		reported := r.load.Running + r.load.Waiting + r.own - r.ownAtLoad
		if reported > told+reportSlack {
			return reported
		}
		return told
	}
	if r.others.Requests > 0 {
		return told
	}
	return r.own * min(max(1, r.entries), blindEntries)
}

// tokens returns the prompt tokens that the replica has still to read.
func (r *row) tokensAhead() int { return r.ownTokens + r.others.Tokens }

// begins estimates how long it takes until the answer to a request begins: the
// pass that runs, the prompts that are read before and with it, a pass, and what
// requests that come later add, the more the fuller the replica is.
func (r *row) begins(e filbertstile.EngineSpec, count, tokens int) time.Duration {
	return e.EventInterval(count)*3/2 + e.PrefillTime(r.tokensAhead()+tokens) + time.Duration(count)*crowding
}

// beginsBy is the time by which the answer has begun all but surely. Entries that
// see the same free slots all take them, so that a request to a replica that is
// in use may wait until others end.
func (r *row) beginsBy(e filbertstile.EngineSpec, count, tokens int) time.Duration {
	out := lateFactor * r.begins(e, count, tokens)
	if count > idleCount {
		out += slotWait
	}
	return out
}

// fill brings the replica's share of the cold rate up to date.
func (r *row) fill(now time.Time, rate, burst float64) {
	if r.filledAt.IsZero() {
		r.tokens = burst
	} else {
		r.tokens = min(burst, r.tokens+now.Sub(r.filledAt).Seconds()*rate)
	}
	r.filledAt = now
}

// ended takes in how a request ended.
func (r *row) ended(now time.Time, o Outcome) {
	r.own = max(0, r.own-1)
	if r.reported(now) && r.load.Loading {
		// It is being switched to other weights and cuts streams off by order.
		return
	}
	switch o {
	case Answered:
		r.failures = 0
		r.rate *= 1 - failureWeight
	case Failed:
		r.rate = r.rate*(1-failureWeight) + failureWeight
	case Broken, Unreached, Moved:
		r.failures++
		r.rate = r.rate*(1-failureWeight) + failureWeight
		r.holdUntil = now.Add(min(mostHold, firstHold<<min(r.failures-1, 6)))
	case Full:
		r.holdUntil = now.Add(fullHold)
	case Abandoned:
	}
}

// fits tells whether the replica may run the request at all.
func (p *Placer) fits(now time.Time, q Query, r *row) bool {
	x := r.replica
	if x.Service != q.Service || x.Leaving || p.fleet.Out[x.Domain] || slices.Contains(q.Tried, x.ID) {
		return false
	}
	if len(q.Regions) > 0 && !slices.Contains(q.Regions, r.region) {
		return false
	}
	if !p.modelled(q.Service) {
		return true
	}
	if r.reported(now) && r.load.Loading {
		return false
	}
	v := r.version(now)
	return v > 0 && v >= q.Floor.Version
}

func (p *Placer) modelled(service string) bool {
	spec, ok := p.fleet.Pools.Get(service)
	return ok && spec.Engine != nil
}

// choose returns a replica of the entry's own group, or of the others where none
// of its own may run the request at all, and whether any may.
func (p *Placer) choose(now time.Time, q Query, within time.Duration) (best *row, fitting bool) {
	if best, fitting = p.chooseAmong(now, q, within, false); fitting {
		return best, fitting
	}
	return p.chooseAmong(now, q, within, true)
}

// chooseAmong returns the replica with the least load. With a limit, the answer must
// begin within it, unless the replica is as good as idle; without one, half of the
// replica's slots must be free, so that a late answer delays few others. Replicas
// that fail are taken only where all others fail as well. Fitting tells whether
// any replica may run the request at all.
func (p *Placer) chooseAmong(now time.Time, q Query, within time.Duration, foreign bool) (best *row, fitting bool) {
	least := 0.0
	var held *row
	spec := p.engine(q.Service)
	for _, r := range p.rows {
		if r.foreign != foreign || !p.fits(now, q, r) {
			continue
		}
		fitting = true
		count := r.count(now)
		if count >= max(1, r.replica.Slots) || !p.coldRoom(now, r) {
			continue
		}
		if within == 0 && count > r.replica.Slots/2 {
			continue
		}
		if within > 0 && count > idleCount && spec != nil && r.begins(*spec, count, q.Tokens) > within {
			continue
		}
		if spec != nil && r.version(now) < q.Floor.Next && now.Add(r.beginsBy(*spec, count, q.Tokens)).After(q.Floor.NextAt) {
			continue
		}
		if now.Before(r.holdUntil) {
			if held == nil || r.holdUntil.Before(held.holdUntil) {
				held = r
			}
			continue
		}
		score := float64(count) + r.rate*failureCost + p.rng.Float64()*tieSpread
		if spec != nil {
			score += float64(r.tokensAhead()) * tokenCost
		}
		if r.region != p.config.Region {
			score += abroadCost
		}
		if best == nil || score < least {
			best, least = r, score
		}
	}
	if best == nil && held != nil && !p.othersFit(now, q, foreign) {
		best = held
	}
	return best, fitting
}

func (p *Placer) engine(service string) *filbertstile.EngineSpec {
	spec, _ := p.fleet.Pools.Get(service)
	return spec.Engine
}

// othersFit tells whether a replica that does not fail fits, though it has no
// room now.
func (p *Placer) othersFit(now time.Time, q Query, foreign bool) bool {
	for _, r := range p.rows {
		if r.foreign == foreign && p.fits(now, q, r) && !now.Before(r.holdUntil) {
			return true
		}
	}
	return false
}

// coldRoom keeps the requests of all entries together below what a cold replica
// bears. Replicas turn cold without warning, so the share holds at all times.
func (p *Placer) coldRoom(now time.Time, r *row) bool {
	spec, ok := p.fleet.Pools.Get(r.replica.Service)
	if !ok || spec.ColdRequestsPerSecond <= 0 {
		return true
	}
	entries := float64(max(1, r.entries))
	bound := (spec.ColdRequestsPerSecond*p.config.ColdBurst + p.config.ColdSlack) * coldMargin
	rate := min(spec.ColdRequestsPerSecond, bound/2) / entries
	r.fill(now, rate, max(1, bound/entries-rate))
	return r.tokens >= 1
}
