package placer

import (
	"fmt"
	"slices"
	"time"

	"filbertstile.example/filbertstile/decisions/admitter"
)

const (
	// noRoomShare is the share of the arrivals of a class below which no room for it is in
	// sight.
	noRoomShare = 0.05
	// minSlotsUsedDivisor gives the slots of a replica that an entry may use beyond its quota however
	// many requests others may have placed, as a share of the slots. In the model at four times the
	// capacity, 0.024 of the responses are late with three quarters, 0.017 with a half, and with a
	// quarter no more are refused than with a half.
	minSlotsUsedDivisor = 4
	// beyondQuotaCost is added to the score of a replica whose quota the entry has used up, in requests:
	// entries with the same loads then choose different replicas. The model has the same shares with 10.
	beyondQuotaCost = 20.0
	// minExpectedSlots is the number of slots that must be expected for a request before its queue
	// timeout, and for each one ahead of it, for it to be queued although the reserve holds it back.
	// An entry of many expects a part of a slot. In the model at the capacity, 0.69 of the requests
	// of priority 1 are served in time with 1, 0.75 with 0.5, and 0.77 with 0.3.
	minExpectedSlots = 0.3
	// slotsLeftByLastTry is the number of free slots of a replica that a most urgent request leaves
	// to other entries before it is refused. In the model, with loads of up to 200 ms, this serves
	// 0.88 instead of 0.85 of them at 1.4 times the capacity, and 0.016 instead of 0.012 of the
	// responses are late.
	slotsLeftByLastTry = 1
	// urgentRank is the rank of the most urgent requests, and of those that the floor of their
	// route admits.
	urgentRank = 0
	// maxRetryWindow bounds the time over which retries are spread.
	maxRetryWindow = 20 * time.Second
)

// admission is the admission by priority to one service.
type admission struct {
	admitter *admitter.Admitter
	// view is the view of the engines at viewedAt, less the slots that were taken since.
	view admitter.View
	// unseen is the number of requests that others may have placed at an engine since.
	unseen int
	// dividedAt is the time at which the slots were divided among the entries.
	dividedAt time.Time
}

func (a *admission) setView(now time.Time, v admitter.View) {
	a.view, a.unseen = v, a.admitter.Unseen(now, v)
}

// ticket is the admission of one request.
type ticket struct {
	class admitter.Class
	// byCredit is true if the floor of the route admits the request.
	byCredit bool
	// queueTimeout is how long after its arrival the request may leave the queue; negative if it
	// has not been worked out.
	queueTimeout time.Duration
	// lastTry is true if the request is refused unless it gets a slot now.
	lastTry bool
	// settled is true after the outcome has been recorded.
	settled bool
}

// rank returns the place of the request in the order of the queue; a lower one is served
// first.
func (req Request) rank() int {
	switch {
	case req.ticket == nil:
		return admitter.Class{Priority: req.Priority}.Rank()
	case req.ticket.byCredit:
		return urgentRank
	}
	return req.ticket.class.Rank()
}

// routePriorities is the number of priorities of routes that are told from one another.
const routePriorities = 16

// classPriority returns the priority of the request's class: by the priority of the account, then by
// that of the route. Accounts often have the same priority, so that it alone decides little.
func (req Request) classPriority() int {
	return max(0, req.Priority)*routePriorities + min(max(0, req.RoutePriority), routePriorities-1)
}

// cameBack reports whether the request has been refused before and can no longer be in time: the caller
// has waited longer than the target latency, and as long as a refused caller is asked to. Callers may allow
// somewhat less time than the route from the start, which alone says nothing about earlier attempts.
func (req Request) cameBack() bool { return req.Waited > max(req.TargetLatency, minRetryAfter) }

// setAdmissions starts the admission by priority to the services that need it, and ends it for
// the others. The caller must hold p.mu.
func (p *Placer) setAdmissions(f Fleet) {
	for service, priorities := range f.Priorities {
		spec, _ := f.Pools.Get(service)
		if len(priorities) < 2 || spec.Engine == nil {
			delete(p.admissions, service)
		} else if p.admissions[service] == nil {
			p.admissions[service] = &admission{admitter: admitter.New()}
		}
	}
	for service := range p.admissions {
		if _, ok := f.Priorities[service]; !ok {
			delete(p.admissions, service)
		}
	}
}

// arrive records the arrival of the request if its service has admission by priority, and
// gives it a ticket. A request that is sent again has been admitted before: it is neither
// counted nor held back.
func (p *Placer) arrive(now time.Time, req *Request) {
	a := p.admissions[req.Service]
	if a == nil || len(req.Tried) > 0 {
		return
	}
	req.ticket = &ticket{queueTimeout: -1, class: a.admitter.Arrived(now, req.Route, req.classPriority(), req.cameBack())}
	p.updateView(now, *req)
	if now.Sub(a.dividedAt) >= divideInterval {
		p.divideSlots(now, req.Service, a)
	}
}

// updateView brings the view for the request up to date.
func (p *Placer) updateView(now time.Time, req Request) {
	if a := p.admissions[req.Service]; a != nil && req.ticket != nil {
		a.setView(now, p.viewOf(now, req))
	}
}

// viewOf returns the view of the engines that may run the request.
func (p *Placer) viewOf(now time.Time, req Request) admitter.View {
	var out admitter.View
	for r := range p.ofGroups(req.Service, false) {
		if !p.eligible(now, req, r) {
			continue
		}
		slots, inFlight := max(1, r.replica.Slots), r.inFlight(now)
		out.Replicas++
		out.Slots += slots
		out.InFlight += inFlight
		if !now.Before(r.cooldownUntil) {
			out.Free += max(0, slots-inFlight)
		}
	}
	return out
}

// admits reports whether the request may use a free slot now. The view must be up to date.
func (p *Placer) admits(now time.Time, req Request) bool {
	a := p.admissions[req.Service]
	if a == nil || req.ticket == nil || req.ticket.byCredit || a.view.Slots == 0 {
		return true
	}
	return a.admitter.Admits(now, req.ticket.class, a.view)
}

// chooseAdmitted is like choose, unless slots are held for more urgent requests. What is held
// back may be admitted by the floor of its route.
func (p *Placer) chooseAdmitted(now time.Time, req Request, maxLatency time.Duration) (best *replicaState, anyEligible bool) {
	if !p.admits(now, req) && !p.takeCredit(req) {
		p.obstacles = obstacleCounts{ObstacleReserve: 1}
		return nil, true
	}
	if best, anyEligible = p.choose(now, req, maxLatency); best == nil && anyEligible {
		p.takeCredit(req)
	}
	return best, anyEligible
}

// chooseLast is like chooseAdmitted for a request that is refused otherwise.
func (p *Placer) chooseLast(now time.Time, req Request) (best *replicaState, anyEligible bool) {
	req.ticket.lastTry = true
	return p.chooseAdmitted(now, req, latencyBudget(now, req))
}

func (p *Placer) takeCredit(req Request) bool {
	a := p.admissions[req.Service]
	if a == nil || req.ticket == nil || req.ticket.settled {
		return false
	}
	if !req.ticket.byCredit {
		req.ticket.byCredit = a.admitter.TakeCredit(req.ticket.class, req.Route)
	}
	return req.ticket.byCredit
}

// admitted records that the request got a slot.
func (p *Placer) admitted(req Request) {
	a := p.admissions[req.Service]
	if a == nil {
		return
	}
	a.view.Free--
	a.view.InFlight++
	if t := req.ticket; t != nil && !t.settled {
		t.settled = true
		a.admitter.Placed(t.class, req.Route, t.byCredit)
	}
}

// notAdmitted records that the request got no slot.
func (p *Placer) notAdmitted(req Request) {
	a, t := p.admissions[req.Service], req.ticket
	if a == nil || t == nil || t.settled {
		return
	}
	t.settled = true
	a.admitter.Refused(t.class, req.Route, t.byCredit)
}

// updateViews brings the views up to date for the queued requests.
func (p *Placer) updateViews(now time.Time) {
	if len(p.admissions) == 0 {
		return
	}
	var done []string
	for _, w := range p.queue {
		if a := p.admissions[w.request.Service]; a != nil && !slices.Contains(done, w.request.Service) {
			req := w.request
			req.Tried = nil
			a.setView(now, p.viewOf(now, req))
			done = append(done, w.request.Service)
		}
	}
}

// checkRoom returns an error if the reserve holds the request back and the slots that become
// free are not enough to admit it before its queue timeout.
func (p *Placer) checkRoom(now time.Time, req Request) error {
	a, t := p.admissions[req.Service], req.ticket
	if a == nil || t == nil || t.byCredit {
		return nil
	}
	reserve := a.admitter.Reserve(now, t.class, a.view)
	left := req.Arrived.Add(p.queueTimeout(now, req)).Sub(now).Seconds()
	if ahead := p.queuedAhead(req); reserve > 0 && a.admitter.RoomRate(now, t.class, a.view)*left < minExpectedSlots*float64(ahead+1) {
		return p.rejection(now, req, fmt.Sprintf("held for more urgent requests: free %d, reserve %d", a.view.Free, reserve), true)
	}
	return nil
}

// admissionDelay returns the retry delay of a request that was refused: spread over the time
// in which room for its class is expected, or the longest that callers may wait if none is in
// sight.
func (p *Placer) admissionDelay(now time.Time, req Request) (time.Duration, bool) {
	a, t := p.admissions[req.Service], req.ticket
	if a == nil || t == nil {
		return 0, false
	}
	share := a.admitter.RoomShare(now, t.class, a.view)
	if share < noRoomShare {
		return maxRetryWindow, true
	}
	window := min(maxRetryWindow, time.Duration(float64(maxRetryAfter-minRetryAfter)/share))
	return minRetryAfter + time.Duration(p.rng.Int64N(int64(window))), true
}

// expectedStart returns the expected time to the first event of the request at the engine that
// is about to begin it: it has one slot free.
func (p *Placer) expectedStart(now time.Time, req Request) time.Duration {
	spec := p.engine(req.Service)
	out := time.Duration(-1)
	for r := range p.ofGroups(req.Service, false) {
		if spec == nil || !p.eligible(now, req, r) {
			continue
		}
		if d := r.timeToFirstEvent(*spec, max(1, r.replica.Slots)-1, req.PromptTokens); out < 0 || d < out {
			out = d
		}
	}
	return max(0, out)
}

// mayUseSlot reports whether the request may use a free slot of the replica although other
// entries may be about to. With admission by priority, replicas are full for long while all
// entries have requests in the queue, and each slot that becomes free would get a request from
// every entry that sees it. So an entry that has used up its quota leaves to the others as many
// free slots as they may have taken unseen. The most urgent requests leave one fewer, at the
// half of the entries whose turn it is at the replica and while there is a free slot for every
// other replica: then few entries choose the same one. Before they are refused they leave only
// slotsLeftByLastTry.
func (p *Placer) mayUseSlot(req Request, r *replicaState, inFlight int) bool {
	if len(p.admissions) == 0 {
		return true
	}
	a := p.admissions[req.Service]
	if a == nil {
		return true
	}
	if r.localRequests < r.quota {
		return true
	}
	slots, left := max(1, r.replica.Slots), a.unseen
	if req.rank() <= urgentRank && 2*a.view.Free >= a.view.Replicas {
		if 2*r.turn <= len(p.peerNames) {
			left--
		}
		if t := req.ticket; t != nil && t.lastTry && !t.byCredit {
			left = min(left, slotsLeftByLastTry)
		}
	}
	return slots-inFlight > min(left, slots-max(1, slots/minSlotsUsedDivisor))
}
