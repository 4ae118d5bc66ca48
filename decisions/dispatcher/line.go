package dispatcher

import (
	"slices"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/router"
)

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

func (c *Core) lineOf(service string, now time.Time) *line {
	l, ok := c.lines[service]
	if !ok {
		l = &line{service: service, passes: make(map[string]float64), drainAt: now}
		c.lines[service] = l
	}
	return l
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

// again puts a request back in line, ahead of those that never left it.
func (c *Core) again(now time.Time, x *row) {
	l := c.lineOf(x.request.Service, now)
	x.queued = now
	l.waiting = slices.Insert(l.waiting, 0, x)
}
