package placer

import (
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/estimator"
)

// pendingOutput is the output of a request in flight, in tokens: an engine generates one in each
// step.
type pendingOutput struct {
	request estimator.OutputRequest
	// resumed is true if the caller had the beginning of the response before.
	resumed bool
	// expected is the whole output that was expected, and arrived what has arrived of it.
	expected float64
	arrived  int
	// prompt is the length of the prompt.
	prompt int
	// perEvent is the number of tokens of an event, and perToken the time of a step.
	perEvent int
	perToken time.Duration
	// pending is what the request adds to replicaState.localOutput.
	pending time.Duration
	// placedAt is the time of the placement, and expectedTime the time that the response was
	// expected to take from then on.
	placedAt     time.Time
	expectedTime time.Duration
}

// remaining returns the time that the output still to come takes. A response that is longer than
// expected counts as one that is about to end.
func (o *pendingOutput) remaining() time.Duration {
	return time.Duration(max(float64(o.perEvent), o.expected-float64(o.arrived)) * float64(o.perToken))
}

// outputCounts reports whether the output of requests to the service plays a role.
func (p *Placer) outputCounts(service string) bool {
	return p.paced[service] && p.engine(service) != nil
}

// slotWait returns the time within which the replica, if it is full and works as specified, frees
// slots for the requests that are queued in it. It is bounded, as callers may expect or get any
// output.
func (r *replicaState) slotWait(inFlight int) time.Duration {
	return min(max(maxSlotWait, (r.localOutput+r.peerLoad.Output)/time.Duration(max(1, inFlight))), 4*maxSlotWait)
}

// endsTooLate reports whether the response to the request is expected to end after its deadline
// at a slow engine.
func (p *Placer) endsTooLate(now time.Time, r *replicaState, e *filbertstile.EngineSpec, req Request, inFlight int) bool {
	if e == nil || !p.outputCounts(req.Service) {
		return false
	}
	return now.Add(r.responseTime(e, req, inFlight, p.outputs.Expected(req.Output))).After(req.Deadline)
}

// responseTime returns the time that the response to the request is expected to take.
func (r *replicaState) responseTime(e *filbertstile.EngineSpec, req Request, inFlight int, output float64) time.Duration {
	return r.atPace(e.PrefillTime(r.pendingTokens()+req.PromptTokens) + time.Duration(output*float64(stepTime(e, inFlight))))
}

// stepTime returns the time of a step of the engine, which generates a token of each output.
func stepTime(e *filbertstile.EngineSpec, inFlight int) time.Duration {
	return e.StepTime + time.Duration(inFlight)*e.StepTimePerRequest
}

// expectOutput adds the expected output of the request to that of the replica.
func (p *Placer) expectOutput(now time.Time, r *replicaState, g *Grant, req Request) {
	if !p.outputCounts(req.Service) {
		return
	}
	spec := p.engine(req.Service)
	o := &pendingOutput{
		request: req.Output, resumed: req.Resumed, prompt: req.PromptTokens, expected: p.outputs.Expected(req.Output),
		perEvent: max(1, spec.StepsPerEvent), perToken: stepTime(spec, g.InFlight),
	}
	o.pending = o.remaining()
	o.placedAt, o.expectedTime = now, r.responseTime(spec, req, g.InFlight, o.expected)
	g.output = o
	r.localOutput += o.pending
}

// outputArrived records an event of the output.
func (p *Placer) outputArrived(g *Grant) {
	o := g.output
	if o == nil {
		return
	}
	o.arrived += o.perEvent
	if r := p.byID[g.Replica.ID]; r != nil && r.replica.Born.Equal(g.Replica.Born) {
		before := o.pending
		o.pending = o.remaining()
		r.localOutput = max(0, r.localOutput+o.pending-before)
	}
}

// outputEnded records the end of the output.
func (p *Placer) outputEnded(now time.Time, r *replicaState, g *Grant, outcome Outcome) {
	o := g.output
	if o == nil {
		return
	}
	g.output = nil
	if r.replica.Born.Equal(g.Replica.Born) {
		r.localOutput = max(0, r.localOutput-o.pending)
	}
	if outcome != Completed || o.resumed || o.arrived == 0 {
		return
	}
	p.outputs.Learn(now, o.request, o.arrived)
	w := p.work[r.replica.Service]
	if w == nil {
		w = &estimator.Work{}
		p.work[r.replica.Service] = w
	}
	w.Learn(o.prompt, o.arrived)
	p.costs.Responses++
	p.costs.ExpectedTokens += int64(o.expected)
	p.costs.Tokens += int64(o.arrived)
	p.costs.ExpectedTime += o.expectedTime
	p.costs.Time += now.Sub(o.placedAt)
}
