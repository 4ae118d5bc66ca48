package placer

import (
	"context"
	"time"

	"filbertstile.example/filbertstile"
)

// queueTimeout returns how long after its arrival the request may leave the queue and
// still get its response in time. With admission by priority, routes with a long target latency
// must not outlast more urgent ones with a short one only because of it, so that the time
// follows from the expected time to the first event.
func (p *Placer) queueTimeout(now time.Time, req Request) time.Duration {
	half := req.Deadline.Sub(req.Arrived) / 2
	if req.ticket == nil {
		return min(half, time.Duration(float64(req.TargetLatency)*queueTimeoutShare))
	}
	if req.ticket.queueTimeout < 0 {
		req.ticket.queueTimeout = max(0, min(half, req.TargetLatency-networkMargin-p.expectedStart(now, req)))
	}
	return req.ticket.queueTimeout
}

// latencyBudget returns the time that remains until the response must begin. It is
// always positive, as choose treats 0 as no limit.
func latencyBudget(now time.Time, req Request) time.Duration {
	return max(time.Millisecond, req.TargetLatency-networkMargin-now.Sub(req.Arrived))
}

// leaveQueue removes the request from the queue after its timeout or the end of ctx.
// A grant that arrived in the meantime is used, unless ctx has ended. Otherwise the
// request may go to a replica that is at most half full: a late response is better
// than none.
func (p *Placer) leaveQueue(ctx context.Context, w *queuedRequest) (Grant, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, x := range p.queue {
		if x == w {
			p.queue = append(p.queue[:i:i], p.queue[i+1:]...)
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
		p.notAdmitted(w.request)
		return Grant{}, ctx.Err()
	}
	now := time.Now()
	p.updateView(now, w.request)
	var best *replicaState
	var anyEligible bool
	if w.request.ticket != nil {
		best, _ = p.chooseLast(now, w.request)
	}
	if best == nil {
		best, anyEligible = p.chooseAdmitted(now, w.request, 0)
	}
	if best != nil {
		g := p.place(now, best, w.request)
		g.Waited = now.Sub(w.queuedAt)
		return g, nil
	}
	return Grant{}, p.rejection(now, w.request, "queue timeout exceeded", anyEligible)
}

// checkQueueable returns an error if the request should not be queued: if its queue
// timeout has passed, if no replica is eligible, or if the requests ahead of it take
// longer to place than its queue timeout.
func (p *Placer) checkQueueable(now time.Time, req Request, anyEligible bool) error {
	if err := p.checkRoom(now, req); err != nil {
		return err
	}
	if !now.Before(req.Arrived.Add(p.queueTimeout(now, req))) {
		return p.rejection(now, req, "no free replica, and queue timeout exceeded", anyEligible)
	}
	if !anyEligible && !p.limitsServe(now, req, p.queuedAhead(req)+1) {
		return p.rejection(now, req, "no eligible replica", anyEligible)
	}
	rate := p.placementRates[req.Service]
	ahead := p.queuedAhead(req)
	if ahead > 0 && rate > 0 && float64(ahead)/rate > (p.queueTimeout(now, req)-now.Sub(req.Arrived)).Seconds() {
		return p.rejection(now, req, "queue too long for the queue timeout", anyEligible)
	}
	return nil
}

func (p *Placer) queuedAhead(req Request) int {
	n := 0
	for _, w := range p.queue {
		if w.request.Service == req.Service && w.request.rank() <= req.rank() {
			n++
		}
	}
	return n
}

// rejection returns an ErrRejected with a random retry delay, so that the retries of
// callers spread over the time in which slots become free.
func (p *Placer) rejection(now time.Time, req Request, reason string, anyEligible bool) error {
	after := minRetryAfter + time.Duration(p.rng.Int64N(int64(maxRetryAfter-minRetryAfter)))
	if delay, ok := p.admissionDelay(now, req); ok && anyEligible {
		after = delay
	}
	p.notAdmitted(req)
	short := p.obstacles.short()
	if !anyEligible {
		short = p.shortWithoutEligible(req)
		if end := p.pauseEnd(now, req); !end.IsZero() {
			reason, short, anyEligible = "all eligible replicas have asked for a pause", filbertstile.ResourceReplicaPause, true
			after = end.Sub(now) + time.Duration(p.rng.Int64N(int64(pauseEndSpread)))
		}
		if delay := p.limitDelay(now, req); delay > 0 {
			reason, short, anyEligible = "all eligible replicas have named limits", filbertstile.ResourceReplicaLimit, true
			after = max(after, delay)
		}
	}
	if limit := time.Until(req.Deadline) / retryAfterDivisor; after > limit {
		after = limit * time.Duration(75+p.rng.IntN(25)) / 100
	}
	return ErrRejected{Step: "place request", Reason: reason, Short: short, RetryAfter: max(0, after), QueueLength: len(p.queue), AnyEligible: anyEligible}
}

// enqueue keeps the queue ordered by rank, then by arrival.
func (p *Placer) enqueue(w *queuedRequest) {
	i := len(p.queue)
	for i > 0 && p.queue[i-1].request.rank() > w.request.rank() {
		i--
	}
	p.queue = append(p.queue, nil)
	copy(p.queue[i+1:], p.queue[i:])
	p.queue[i] = w
}
