package placer

import "time"

const (
	// announcementRetention is how long an announcement is kept after its replica has
	// disappeared from the fleet. Replicas whose objects expired while the store was away
	// are listed again some two seconds after its return.
	announcementRetention = time.Minute
	// pauseEndSpread is the time after the end of a pause over which the retries of callers
	// are spread.
	pauseEndSpread = 300 * time.Millisecond
)

// Announcement is what a replica says in a response about the requests that it wants.
type Announcement struct {
	// Leaving is true if the replica stops and wants no more requests.
	Leaving bool
	// RetryAfter is the time for which the replica, which has rejected the request, wants no
	// requests from this entry; 0 if it gives none.
	RetryAfter time.Duration
	// Limit is the rate of requests that the replica names.
	Limit Limit
}

// announced holds the announcements of one start of a replica.
type announced struct {
	// born is the time at which the replica started; zero if it is unknown.
	born time.Time
	// at is the time of the latest announcement.
	at time.Time
	// leaving is true if the replica has announced that it leaves.
	leaving bool
	// pausedUntil is the latest end of the pauses that the replica has asked for.
	pausedUntil time.Time
	// limit is the limit that the replica has named.
	limit limitState
	// confirmed is true if the fleet has shown since that this start ends.
	confirmed bool
	// missingSince is the time from which the fleet lacks the replica; zero if it lists it.
	missingSince time.Time
}

// Announced records the announcement of a replica that started at the time born; zero means
// the start that the fleet lists. An announcement outweighs the fleet, which may be older.
// That the replica leaves holds until it starts again. Announced returns the part of the
// announcement that is news.
func (p *Placer) Announced(id string, born time.Time, a Announcement) Announcement {
	if a == (Announcement{}) {
		return Announcement{}
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	x, earlierStart := p.announcedBy(now, id, born)
	var news Announcement
	if a.Leaving && !earlierStart && !x.leaving {
		x.leaving, news.Leaving = true, true
	}
	if end := now.Add(a.RetryAfter); end.After(now) && end.After(x.pausedUntil) {
		if !now.Before(x.pausedUntil) {
			news.RetryAfter = a.RetryAfter
		}
		x.pausedUntil = end
	}
	if !earlierStart {
		news.Limit = p.recordLimit(now, id, x, a.Limit)
	}
	if news != (Announcement{}) {
		p.serveQueue(now)
		p.endHopelessWaits(now)
	}
	return news
}

// ConfirmSend reports whether the request of the grant may still be sent: the replica may have
// announced since that it wants none or fewer, may be leaving, or its failure domain may be
// out of service. If it may, the request counts as sent.
func (p *Placer) ConfirmSend(g *Grant) bool {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.byID[g.Replica.ID]
	if r != nil && (r.replica.Leaving || p.fleet.OutOfService[r.replica.Domain]) {
		return false
	}
	if p.declines(now, g.Replica.ID) || !p.takeLimitToken(now, g) {
		return false
	}
	g.sent = true
	return true
}

// recordLimit records what a response of the replica to this entry says about its limit, and
// returns it if it is news.
func (p *Placer) recordLimit(now time.Time, id string, x *announced, l Limit) (news Limit) {
	s := &x.limit
	switch {
	case l.Named:
		if s.record(now, l, true) {
			news = l
		}
		p.divideLimit(now, id, s)
	case l.Unreadable != "" && l.Unreadable != s.unreadable:
		s.unreadable, news = l.Unreadable, l
	}
	return news
}

// announcedBy returns the announcements of the latest known start of the replica, and whether
// born is that of an earlier one.
func (p *Placer) announcedBy(now time.Time, id string, born time.Time) (x *announced, earlierStart bool) {
	r, x := p.byID[id], p.announced[id]
	if r != nil && (born.IsZero() || r.replica.Born.After(born)) {
		earlierStart = !born.IsZero()
		born = r.replica.Born
	}
	if x != nil && x.born.After(born) {
		earlierStart = true
	} else if x == nil || !x.born.Equal(born) {
		x = &announced{born: born}
		p.announced[id] = x
	}
	x.at = now
	x.compare(now, r)
	return x, earlierStart
}

// compare updates the announcements with what the fleet lists of the replica; nil means that
// it lacks the replica.
func (x *announced) compare(now time.Time, r *replicaState) {
	x.confirmed = x.confirmed || r == nil || r.replica.Leaving && r.replica.Born.Equal(x.born)
	if r != nil {
		x.missingSince = time.Time{}
	} else if x.missingSince.IsZero() {
		x.missingSince = now
	}
}

// retainAnnouncements forgets the announcements that no longer hold: those of replicas that
// have started again, and of those that the fleet has lacked for announcementRetention. The
// caller must hold p.mu.
func (p *Placer) retainAnnouncements(now time.Time) {
	for id, x := range p.announced {
		r := p.byID[id]
		x.compare(now, r)
		switch {
		case r == nil && now.Sub(x.missingSince) > announcementRetention:
			delete(p.announced, id)
		case r != nil && r.replica.Born.After(x.born) && r.replica.Born.After(x.at):
			delete(p.announced, id)
		case r != nil && r.replica.Born.After(x.born) && x.confirmed:
			// The pause may be that of the later start, which began before it. That the
			// replica leaves was said by the earlier one, as the fleet has confirmed it.
			x.born, x.leaving, x.confirmed = r.replica.Born, false, false
		}
	}
}

// declines reports whether the replica has announced that it wants no requests now.
func (p *Placer) declines(now time.Time, id string) bool {
	x := p.announced[id]
	return x != nil && (x.leaving || now.Before(x.pausedUntil))
}

// eligible reports whether the replica may run the request now, regardless of its load.
func (p *Placer) eligible(now time.Time, req Request, r *replicaState) bool {
	if !p.suitable(now, req, r) || p.declines(now, r.replica.ID) || !p.isOpen(now, r) {
		return false
	}
	wait, held := p.limitWait(now, r.replica.ID)
	return held && wait == 0
}

// pauseEnd returns the earliest end of the pauses of replicas that may run the request after
// it, tried before or not; zero if there are none.
func (p *Placer) pauseEnd(now time.Time, req Request) time.Time {
	req.Tried = nil
	var out time.Time
	for id, x := range p.announced {
		r := p.byID[id]
		if r == nil || x.leaving || !now.Before(x.pausedUntil) || !p.suitable(now, req, r) {
			continue
		}
		if out.IsZero() || x.pausedUntil.Before(out) {
			out = x.pausedUntil
		}
	}
	return out
}

// state returns whether the replica has announced that it leaves, the rest of the pause that
// it has asked for, and the limit that it has named.
func (x *announced) state(now time.Time) (leaving bool, paused time.Duration, limit Limit) {
	if x == nil {
		return false, 0, Limit{}
	}
	return x.leaving, max(0, x.pausedUntil.Sub(now)), x.limit.limit
}

// endHopelessWaits ends the wait of queued requests for which no replica is eligible.
func (p *Placer) endHopelessWaits(now time.Time) {
	for _, w := range p.queue {
		if _, anyEligible := p.choose(now, w.request, latencyBudget(now, w.request)); anyEligible || p.limitsServe(now, w.request, 1) {
			continue
		}
		select {
		case w.hopeless <- struct{}{}:
		default:
		}
	}
}
