package placer

import (
	"slices"
	"time"

	"filbertstile.example/filbertstile"
)

// suitable reports whether the replica may run the request, regardless of its load and of
// its announcements.
func (p *Placer) suitable(now time.Time, req Request, r *replicaState) bool {
	x := r.replica
	if x.Service != req.Service || x.Leaving || p.fleet.OutOfService[x.Domain] || slices.Contains(req.Tried, x.ID) {
		return false
	}
	if len(req.Regions) > 0 && !slices.Contains(req.Regions, r.region) {
		return false
	}
	if !p.hasEngine(req.Service) {
		return true
	}
	if r.hasFreshLoad(now) && r.load.Loading || p.neverFits(req) {
		return false
	}
	v := r.version(now)
	return v > 0 && v >= req.VersionFloor.Version
}

func (p *Placer) hasEngine(service string) bool {
	spec, ok := p.fleet.Pools.Get(service)
	return ok && spec.Engine != nil
}

// choose returns a free replica of the entry's group or, if no replica of the group is
// eligible, one of the other groups; nil if none is free. It also reports whether any
// replica is eligible.
func (p *Placer) choose(now time.Time, req Request, maxLatency time.Duration) (best *replicaState, anyEligible bool) {
	if best, anyEligible = p.chooseAmong(now, req, maxLatency, false); anyEligible {
		return best, anyEligible
	}
	return p.chooseAmong(now, req, maxLatency, true)
}

// chooseAmong returns the eligible replica with the lowest score, and whether any
// replica is eligible. The response must begin within maxLatency, unless the replica
// counts as idle. If maxLatency is 0, there is no such limit, but half of the replica's
// slots must be free, so that a late response delays few others. A replica in cooldown is
// chosen only if all eligible ones are in cooldown.
func (p *Placer) chooseAmong(now time.Time, req Request, maxLatency time.Duration, otherGroup bool) (best *replicaState, anyEligible bool) {
	bestScore := 0.0
	var cooling *replicaState
	spec := p.engine(req.Service)
	delay := p.laterDelay(req.Service, spec)
	p.obstacles = obstacleCounts{}
	for r := range p.ofGroups(req.Service, otherGroup) {
		if !p.eligible(now, req, r) {
			continue
		}
		anyEligible = true
		inFlight := r.inFlight(now)
		r.usePace(now, delay)
		if o := p.obstacle(now, req, r, spec, inFlight, maxLatency); o != obstacleNone {
			p.obstacles[o]++
			continue
		}
		if now.Before(r.cooldownUntil) {
			if cooling == nil || r.cooldownUntil.Before(cooling.cooldownUntil) {
				cooling = r
			}
			continue
		}
		if score := p.score(req, r, spec, inFlight, p.rng.Float64()*scoreJitter); best == nil || score < bestScore {
			best, bestScore = r, score
		}
	}
	if best == nil && cooling != nil && !p.anyOutsideCooldown(now, req, otherGroup) {
		best = cooling
	}
	return best, anyEligible
}

// obstacle returns why the eligible replica, whose pace is up to date, is not free for the request.
func (p *Placer) obstacle(now time.Time, req Request, r *replicaState, spec *filbertstile.EngineSpec, inFlight int, maxLatency time.Duration) Obstacle {
	// A late response by an idle slow engine is better than none.
	lastResort := inFlight == 0 && (maxLatency == 0 || !now.Before(req.Arrived.Add(p.queueTimeout(now, req))))
	slow := r.pace() > 1 && !lastResort
	switch {
	case inFlight >= max(1, r.replica.Slots):
		return ObstacleFull
	case !p.withinColdLimit(now, r):
		return ObstacleColdLimit
	case !p.mayUseSlot(req, r, inFlight):
		return ObstacleOthers
	case maxLatency == 0 && inFlight > r.replica.Slots/2:
		return ObstacleHalfFull
	case slow && maxLatency == 0 && r.delaysStreams(spec, req, inFlight):
		return ObstacleStall
	case slow && p.endsTooLate(now, r, spec, req, inFlight):
		return ObstacleSlowEnd
	case maxLatency > 0 && (inFlight > maxIdleRequests || slow) && spec != nil && r.timeToFirstEvent(*spec, inFlight, req.PromptTokens) > maxLatency:
		return ObstacleLateStart
	case spec != nil && r.startsTooLate(now, *spec, req, inFlight):
		return ObstacleVersionDue
	case spec != nil && !r.hasMemory(*spec, req):
		return ObstacleMemory
	}
	return obstacleNone
}

// score returns the score of a free replica, in requests in flight; a lower one is better.
func (p *Placer) score(req Request, r *replicaState, spec *filbertstile.EngineSpec, inFlight int, jitter float64) float64 {
	if req.PreferIdle {
		inFlight *= idlePreference
	}
	score := float64(inFlight) + r.failureRate*failureRateCost + jitter
	if spec != nil {
		score += float64(r.pendingTokens()) * pendingTokenCost
		score += r.paceCost(score, req) + p.turnCost(req.Service, r)
	}
	if p.isLimited(r) {
		score -= limitPreference
	}
	if r.region != p.config.Region {
		score += otherRegionCost
	}
	if p.admissions[req.Service] != nil && r.localRequests >= r.quota {
		score += beyondQuotaCost
	}
	return score
}

// belongsToOtherGroup reports whether only entries of other groups choose the replica as long
// as others are eligible. The limit of a replica is shared by entries of all groups.
func (p *Placer) belongsToOtherGroup(r *replicaState) bool {
	return r.otherGroup && !p.isLimited(r)
}

func (p *Placer) engine(service string) *filbertstile.EngineSpec {
	spec, _ := p.fleet.Pools.Get(service)
	return spec.Engine
}

// anyOutsideCooldown reports whether any eligible replica, free or not, is not in
// cooldown.
func (p *Placer) anyOutsideCooldown(now time.Time, req Request, otherGroup bool) bool {
	for r := range p.ofGroups(req.Service, otherGroup) {
		if p.eligible(now, req, r) && !now.Before(r.cooldownUntil) {
			return true
		}
	}
	return false
}
