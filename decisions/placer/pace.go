package placer

import (
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/estimator"
)

const (
	// slowEngineCost is added to the score of an engine for each unit by which its pace exceeds
	// 1, in requests. The model has the same shares of late and refused requests with 2 and with 8.
	slowEngineCost = 4.0
	// slowDelayShare is the part of delayPerRequest that counts for a slow engine, before its pace
	// does: few requests go there while others wait. In the model at 1.2 times the capacity, 7.5 in 100
	// requests are refused and 1.9 late; with a half it is 8.0 and 1.6, and with 0 it is 7.0 and 2.9.
	slowDelayShare = 0.25
	// laterPromptsFactor is the ratio of delayPerRequest to the average time that the prompts of
	// later requests take, on the engines for which it was chosen: most responses must be in
	// time, not those of average delay.
	laterPromptsFactor = 2.6
	// usualDelayRange is the factor by which the delay must be below delayPerRequest to replace
	// it. A longer one never does: requests that could be in time would queue. In the model of 64 slots and
	// steps of 50 ms, 6.5 in 100 were late with it, and 0.3 without.
	usualDelayRange = 2
	// maxLaterShare bounds the delay by later prompts, as a share of the time that the response takes
	// without it: an engine reads prompts for a part of the time only. delayPerRequest alone is the
	// whole target latency on fast engines before their average work is known, and with many slots.
	// In the model with a target of 100 ms, 6.5 in 100 are late and 1.7 refused, with 1 it is 7.1 and
	// 3.1, and without a bound 11.5 and 9.8.
	maxLaterShare = 0.7
	// maxSlowInterval is the share of the target latency that the next interval between events
	// of a slow engine may take if a late request goes there: its streams must not stall.
	maxSlowInterval = 0.6
)

// usePace works out the pace that counts for the replica until the next call. An engine whose
// report is stale counts as one that works as specified, until events show otherwise.
func (r *replicaState) usePace(now time.Time, delay laterDelay) {
	r.usedDelay = delay
	reported := 0.0
	if r.hasFreshLoad(now) {
		reported = r.load.Pace
	}
	r.usedPace = r.observed.Used(now, reported, r.peerLoad.SeenPace)
}

// pace returns how much slower than its specification the engine works.
func (r *replicaState) pace() float64 { return max(1, r.usedPace) }

// laterDelay is the delay of a response by the prompts of later requests.
type laterDelay struct {
	// perRequest is the delay by each request in flight.
	perRequest time.Duration
	// limited is true if the delay is at most maxLaterShare of what the response takes without it.
	limited bool
}

// delay returns the delay of a response by later requests, before the pace counts. The response takes the
// known time without it.
func (r *replicaState) delay(known time.Duration, inFlight int) time.Duration {
	out := time.Duration(inFlight) * r.usedDelay.perRequest
	if r.pace() > 1 {
		out = time.Duration(float64(out) * slowDelayShare)
	}
	if r.usedDelay.limited {
		out = min(out, time.Duration(float64(known)*maxLaterShare))
	}
	return out
}

// laterDelay returns the delay of a response of the service by the prompts of later requests. For each
// request in flight it is the usual one unless the engines are so much faster, or the prompts so much
// shorter, that they would get only a part of the requests that they can answer in time.
func (p *Placer) laterDelay(service string, e *filbertstile.EngineSpec) laterDelay {
	if e == nil || !p.paced[service] {
		return laterDelay{perRequest: delayPerRequest}
	}
	later, known := p.work[service].LaterPrompts(e)
	if later = time.Duration(float64(later) * laterPromptsFactor); !known || later > delayPerRequest/usualDelayRange {
		later = delayPerRequest
	}
	return laterDelay{perRequest: later, limited: true}
}

// atPace returns how long something takes for which the specification says d.
func (r *replicaState) atPace(d time.Duration) time.Duration {
	return time.Duration(float64(d) * r.pace())
}

// paceCost returns what the pace of the engine adds to its score, which is 0 for an engine that
// works as specified: the work that is pending and that of the request take longer.
func (r *replicaState) paceCost(score float64, req Request) float64 {
	return (r.pace() - 1) * (max(0, score) + float64(req.PromptTokens)*pendingTokenCost + slowEngineCost)
}

// delaysStreams reports whether the prompt of the request would stall the streams of a slow
// engine.
func (r *replicaState) delaysStreams(e *filbertstile.EngineSpec, req Request, inFlight int) bool {
	if e == nil {
		return false
	}
	interval := r.atPace(e.EventInterval(inFlight) + e.PrefillTime(r.pendingTokens()+req.PromptTokens))
	return interval > time.Duration(maxSlowInterval*float64(req.TargetLatency))
}

// EventArrived records an event of the response to the request of the grant.
func (p *Placer) EventArrived(g *Grant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if !g.begun {
		p.observeFirstEvent(now, g)
	}
	p.observeEvent(now, g)
	g.timedFrom, g.begun = now, true
	if g.Buffered {
		g.timedFrom = time.Time{}
	}
	p.outputArrived(g)
	p.promptRead(g)
	p.serveQueue(now)
}

// observeEvent compares the time since the previous event, or since the placement, with what the
// specification of the engine explains. It counts only if engines of the service report a pace.
func (p *Placer) observeEvent(now time.Time, g *Grant) {
	r := p.byID[g.Replica.ID]
	if r == nil || !p.paced[r.replica.Service] || g.timedFrom.IsZero() || g.Buffered || !r.replica.Born.Equal(g.Replica.Born) {
		return
	}
	spec := p.engine(r.replica.Service)
	if spec == nil {
		return
	}
	if r.observed == nil {
		r.observed = &estimator.Pace{}
	}
	expected := spec.EventInterval(r.inFlight(now))
	if !g.begun {
		// Other prompts may be read before it as well, as they are between events.
		expected += spec.PrefillTime(g.promptTokens)
	}
	r.observed.Observe(now, now.Sub(g.timedFrom), expected)
}
