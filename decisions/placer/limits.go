package placer

import (
	"cmp"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minLimitedRate is the lowest rate, in requests per second, at which a replica that has
	// named a limit is used: only a response shows that the limit has ended.
	minLimitedRate = 0.25
	// minLimitShare is the lowest share of a limit, in requests per second, if several entries
	// hold one. Each of them may save up a whole request, so that all of them together send at
	// once what the replica takes in a second.
	minLimitShare = 1.0
	// maxLimitBurst is the time for which an entry saves up its share.
	maxLimitBurst = 250 * time.Millisecond
	// limitConfirmTimeout is how long no entry may get a response of the replica until a
	// further one gets a share too. It is longer than the time between two requests at
	// minLimitedRate.
	limitConfirmTimeout = 6 * time.Second
	// maxFurtherShares bounds the number of further shares, as each may add a request at once.
	maxFurtherShares = 4
	// servingTimeout is how long after its latest request an entry still counts as serving.
	servingTimeout = 5 * time.Second
	// limitEndRetention is how long the end of a limit is reported to other entries.
	limitEndRetention = 10 * time.Second
	// tokenTolerance makes up for rounding when a whole token has been saved up.
	tokenTolerance = 1e-6
)

// Limit is the rate of requests that a replica in need names in its responses.
type Limit struct {
	// Named is true if the response names a rate.
	Named bool
	// PerSecond is the number of requests per second that the replica takes from all entries
	// together.
	PerSecond float64
	// Unreadable is what the response holds in place of a rate, if that cannot be read. Such
	// a response neither names a limit nor ends one.
	Unreadable string
}

// LimitReport is what an entry has read in the responses of a replica about its limit.
type LimitReport struct {
	// Replica is the hash of the replica's ID, and Born the time at which it started.
	Replica uint32
	Born    time.Time
	// Limit is the limit; it is not named if the replica no longer names one.
	Limit Limit
	// Age is the time since the response.
	Age time.Duration
}

// limitState is the limit of one start of a replica, and this entry's share of it. The limit
// holds for all entries together. It is divided among as few entries as can use all of it,
// in the order of a hash that all entries compute alike, and the others send nothing: equal
// shares of many entries would each be less than one request. A share is saved up from
// nothing, so that an entry that gets one does not add a burst to those of the entry that
// held it before.
type limitState struct {
	limit Limit
	// statedAt is the time of the latest response, to any entry, that named the limit or no
	// longer did.
	statedAt time.Time
	// ownStatement is true if this entry has got that response or an earlier one that said
	// the same.
	ownStatement bool
	// ownStatedAt is the time of the latest such response.
	ownStatedAt time.Time
	// unreadable is the latest value in place of a limit that could not be read.
	unreadable string
	// share is the rate of requests per second that this entry may send; 0 if only other
	// entries may.
	share float64
	// holders is the number of entries that share the limit.
	holders int
	// tokens is the number of requests that may be sent now, as of refilledAt.
	tokens     float64
	refilledAt time.Time
}

// record records what a response said at the time at, and reports whether it is news.
func (s *limitState) record(at time.Time, l Limit, own bool) (news bool) {
	if !at.After(s.statedAt) {
		return false
	}
	news = s.limit != l
	s.limit, s.statedAt = l, at
	s.ownStatement = own || s.ownStatement && !news
	if own {
		s.ownStatedAt = at
	}
	return news
}

// setShare sets the entry's share.
func (s *limitState) setShare(now time.Time, share float64) {
	s.refill(now)
	if s.share == 0 {
		s.tokens = 0
	}
	s.share = share
}

func (s *limitState) refill(now time.Time) {
	s.tokens = min(max(1, s.share*maxLimitBurst.Seconds()), s.tokens+now.Sub(s.refilledAt).Seconds()*s.share)
	s.refilledAt = now
}

// tokenWait returns the time until the entry may send a request, and false if it may not at
// all.
func (s *limitState) tokenWait(now time.Time) (time.Duration, bool) {
	if !s.limit.Named {
		return 0, true
	}
	if s.share == 0 {
		return 0, false
	}
	s.refill(now)
	if s.tokens >= 1-tokenTolerance {
		return 0, true
	}
	return time.Duration((1 - s.tokens) / s.share * float64(time.Second)), true
}

// take takes the token for one request, if there is one.
func (s *limitState) take(now time.Time) bool {
	if wait, held := s.tokenWait(now); wait > 0 || !held {
		return false
	}
	s.tokens--
	return true
}

// isLimited reports whether the replica has named a limit.
func (p *Placer) isLimited(r *replicaState) bool {
	x := p.announced[r.replica.ID]
	return x != nil && x.limit.limit.Named
}

// rate returns the rate that all entries together may use.
func (s *limitState) rate() float64 { return max(s.limit.PerSecond, minLimitedRate) }

// divideLimit works out this entry's share of the limit of the replica. The caller must hold
// p.mu.
func (p *Placer) divideLimit(now time.Time, id string, s *limitState) {
	if !s.limit.Named {
		return
	}
	senders := max(1, len(p.fleet.Senders))
	holders := int(min(float64(senders), max(1, s.rate()/minLimitShare)))
	// If those that hold the limit do not use it, nobody learns of its end.
	further := min(maxFurtherShares, int(now.Sub(s.statedAt)/limitConfirmTimeout))
	share := 0.0
	if p.rank(id) < holders+further {
		share = s.rate() / float64(holders)
	}
	s.holders = holders
	s.setShare(now, share)
}

// rank returns the number of entries that come before this one in the order for the replica.
// An entry that is not among Fleet.Senders, because it stops, comes last.
func (p *Placer) rank(id string) int {
	weight := func(entry string) uint64 { return xxhash.Sum64String(entry + "\x00" + id) }
	own, listed, n := weight(p.config.Self), len(p.fleet.Senders) == 0, 0
	for _, entry := range p.fleet.Senders {
		listed = listed || entry == p.config.Self
		if cmp.Or(cmp.Compare(weight(entry), own), cmp.Compare(entry, p.config.Self)) > 0 {
			n++
		}
	}
	if !listed {
		return math.MaxInt
	}
	return n
}

// Tick updates what depends on the time alone. It must be called about every second.
func (p *Placer) Tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.divideLimits(now)
	p.serveQueue(now)
}

// Serving reports whether the entry has had requests lately.
func (p *Placer) Serving() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.requestedAt) < servingTimeout
}

// divideLimits works out this entry's shares of all limits. The caller must hold p.mu.
func (p *Placer) divideLimits(now time.Time) {
	for id, x := range p.announced {
		p.divideLimit(now, id, &x.limit)
	}
}

// LimitEnded records a response without a limit to a request that was written at the time
// sentAt, and reports whether it ends a limit that the replica had named: for as long as the
// replica is in need, all its responses name one. Requests that were written before the
// latest such response may have been answered before it.
func (p *Placer) LimitEnded(id string, born, sentAt time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	x := p.announced[id]
	if x == nil || !x.limit.limit.Named || !sentAt.After(x.limit.statedAt) || born.Before(x.born) {
		return false
	}
	now := time.Now()
	x.limit.record(now, Limit{}, true)
	p.serveQueue(now)
	return true
}

// LimitReports returns what this entry has itself read about the limits of replicas, for the
// other entries. What it has heard of others is left out, as its age would grow on the way.
func (p *Placer) LimitReports() []LimitReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var out []LimitReport
	for id, x := range p.announced {
		s := &x.limit
		if !s.ownStatement || !s.limit.Named && now.Sub(s.ownStatedAt) > limitEndRetention {
			continue
		}
		out = append(out, LimitReport{Replica: HashOf(id), Born: x.born, Limit: s.limit, Age: now.Sub(s.ownStatedAt)})
	}
	return out
}

// LearnLimit records the report of another entry. It returns the ID of the replica, and
// whether the report is news. Reports whose limit is no rate are ignored.
func (p *Placer) LearnLimit(report LimitReport) (id string, news bool) {
	if rate := report.Limit.PerSecond; math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return "", false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.byHash[report.Replica]
	if r == nil {
		return "", false
	}
	id = r.replica.ID
	if x := p.announced[id]; x == nil && !report.Limit.Named || x != nil && report.Born.Before(x.born) {
		return id, false
	}
	now := time.Now()
	x, earlierStart := p.announcedBy(now, id, report.Born)
	if earlierStart || !x.limit.record(now.Add(-report.Age), report.Limit, false) {
		return id, false
	}
	p.divideLimit(now, id, &x.limit)
	p.serveQueue(now)
	p.endHopelessWaits(now)
	return id, true
}

// limitWait returns the time until this entry may send a request to the replica without
// exceeding its limit, and false if it may not at all.
func (p *Placer) limitWait(now time.Time, id string) (time.Duration, bool) {
	if x := p.announced[id]; x != nil {
		return x.limit.tokenWait(now)
	}
	return 0, true
}

// takeLimitToken takes the token for the request of the grant, if its replica is limited.
func (p *Placer) takeLimitToken(now time.Time, g *Grant) bool {
	x := p.announced[g.Replica.ID]
	if x == nil || !x.limit.limit.Named || g.hasLimitToken {
		return true
	}
	g.hasLimitToken = x.limit.take(now)
	return g.hasLimitToken
}

// returnLimitToken gives the token back if the request of the grant was not sent.
func (p *Placer) returnLimitToken(g *Grant) {
	if x := p.announced[g.Replica.ID]; x != nil && g.hasLimitToken && !g.sent {
		x.limit.tokens++
	}
	g.hasLimitToken = false
}

// limitedReplicas calls f with the limits of the limited replicas that may run the request but
// for them.
func (p *Placer) limitedReplicas(now time.Time, req Request, f func(s *limitState)) {
	for id, x := range p.announced {
		if r := p.byID[id]; r != nil && x.limit.limit.Named && !p.declines(now, id) && p.suitable(now, req, r) {
			f(&x.limit)
		}
	}
}

// limitsServe reports whether this entry's shares of limited replicas serve n requests like
// req before the queue timeout of req.
func (p *Placer) limitsServe(now time.Time, req Request, n int) bool {
	left := req.Arrived.Add(p.queueTimeout(now, req)).Sub(now).Seconds()
	total := 0
	p.limitedReplicas(now, req, func(s *limitState) {
		if _, held := s.tokenWait(now); held {
			total += int(min(float64(n), max(0, s.tokens+s.share*left)))
		}
	})
	return total >= n
}

// limitDelay returns the time in which all entries together may send the queued requests and
// req to limited replicas. It is 0 if there are none, or if a replica without a limit may run
// the request, tried before or not.
func (p *Placer) limitDelay(now time.Time, req Request) time.Duration {
	req.Tried = nil
	for r := range p.all(req.Service) {
		if x := p.announced[r.replica.ID]; (x == nil || !x.limit.limit.Named) && p.eligible(now, req, r) {
			return 0
		}
	}
	rate := 0.0
	p.limitedReplicas(now, req, func(s *limitState) { rate += s.rate() })
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(p.queuedAhead(req)+1) / rate * float64(time.Second))
}

// serveQueueAtToken serves the queue again once a limited replica may take a request. The
// caller must hold p.mu.
func (p *Placer) serveQueueAtToken(now time.Time) {
	if len(p.queue) == 0 || now.Before(p.tokenDueAt) {
		return
	}
	earliest := time.Duration(-1)
	for id, x := range p.announced {
		if wait, held := x.limit.tokenWait(now); held && wait > 0 && p.byID[id] != nil && (earliest < 0 || wait < earliest) {
			earliest = wait
		}
	}
	if earliest < 0 {
		return
	}
	p.tokenDueAt = now.Add(earliest)
	time.AfterFunc(earliest, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.tokenDueAt = time.Time{}
		p.serveQueue(time.Now())
	})
}
