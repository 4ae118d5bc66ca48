package placer_test

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"filbertstile.example/filbertstile"
)

// pacedRequest is a request to a modelled engine.
type pacedRequest struct {
	tokens, events int
	// event is called for each event, and with last set for the last one.
	event func(last bool)
	steps int
}

// pacedEngine models an engine that reads prompts in chunks between the steps of its batch. All its
// work takes pace times as long as specified.
type pacedEngine struct {
	spec  filbertstile.EngineSpec
	slots int

	mu      sync.Mutex
	pace    float64
	queue   []*pacedRequest
	running []*pacedRequest
	wake    chan struct{}
}

// chunkTokens is the number of prompt tokens that a modelled engine reads in one step.
const chunkTokens = 512

func newPacedEngine(spec filbertstile.EngineSpec, slots int, pace float64) *pacedEngine {
	return &pacedEngine{spec: spec, slots: slots, pace: pace, wake: make(chan struct{}, 1)}
}

func (e *pacedEngine) submit(r *pacedRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queue = append(e.queue, r)
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *pacedEngine) load() (running, queued int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running), len(e.queue)
}

func (e *pacedEngine) run(ctx context.Context) {
	for ctx.Err() == nil {
		d := e.startStep()
		if d == 0 {
			select {
			case <-e.wake:
			case <-ctx.Done():
			}
			continue
		}
		time.Sleep(d)
		e.finishStep()
	}
}

// startStep reads a chunk of the prompts and returns the duration of the step; 0 if there is
// nothing to do.
func (e *pacedEngine) startStep() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.running) < e.slots && len(e.queue) > 0 {
		e.running = append(e.running, e.queue[0])
		e.queue = e.queue[1:]
	}
	if len(e.running) == 0 {
		return 0
	}
	read := 0
	for _, r := range e.running {
		n := min(r.tokens, chunkTokens-read)
		read += n
		r.tokens -= n
	}
	d := e.spec.PrefillTime(read) + e.spec.StepTime + time.Duration(len(e.running))*e.spec.StepTimePerRequest
	return time.Duration(float64(d) * e.pace)
}

// finishStep writes the events that are due.
func (e *pacedEngine) finishStep() {
	e.mu.Lock()
	var callbacks []func()
	kept := e.running[:0]
	for _, r := range e.running {
		if r.tokens > 0 {
			kept = append(kept, r)
			continue
		}
		r.steps++
		last := r.steps == r.events*e.spec.StepsPerEvent
		if r.steps%e.spec.StepsPerEvent == 0 {
			callbacks = append(callbacks, func() { r.event(last) })
		}
		if !last {
			kept = append(kept, r)
		}
	}
	e.running = kept
	e.mu.Unlock()
	for _, f := range callbacks {
		f()
	}
}

// pacedWorkload describes the traffic of a model of engines of which some are slow.
type pacedWorkload struct {
	entries, engines, slots int
	spec                    filbertstile.EngineSpec
	target                  time.Duration
	// slowShare of the engines work slowPace times slower.
	slowShare, slowPace float64
	// meanTokens and meanEvents are the means of prompts and outputs, and sigma the spread of
	// the outputs.
	meanTokens, meanEvents, sigma float64
	// load is the share of the engines' capacity that the requests need.
	load    float64
	seconds float64
	// maxEvents is the maximum number of events.
	maxEvents int
}

// capacity returns the number of requests per second that the engines can run.
func (w pacedWorkload) capacity() float64 {
	n := float64(w.slots)
	step := w.spec.StepTime.Seconds() + n*w.spec.StepTimePerRequest.Seconds()
	perRequest := w.meanEvents*float64(w.spec.StepsPerEvent)*step/n + w.spec.PrefillTime(int(w.meanTokens)).Seconds()
	return float64(w.engines) * (1 - w.slowShare + w.slowShare/w.slowPace) / perRequest
}

// draw returns the lengths of the prompt and of the output of a request.
func (w pacedWorkload) draw(rng *rand.Rand) (tokens, events int) {
	output := w.meanEvents * math.Exp(w.sigma*rng.NormFloat64()-w.sigma*w.sigma/2)
	return int(w.meanTokens * (1 + 5*rng.ExpFloat64()) / 6), max(1, int(min(float64(w.maxEvents), output)))
}

// pacedResults counts the requests of a simulation.
type pacedResults struct {
	mu sync.Mutex
	// late is the number of responses whose first event, or a later one, came too late, and
	// lateSlow that of those of slow engines.
	sent, refused, late, lateSlow, slow int
	firstEvents                         []time.Duration
}

func (r *pacedResults) quantile(q float64) time.Duration {
	if len(r.firstEvents) == 0 {
		return 0
	}
	slices.Sort(r.firstEvents)
	return r.firstEvents[int(q*float64(len(r.firstEvents)-1))]
}

// add adds the results of another simulation.
func (r *pacedResults) add(o *pacedResults) {
	r.sent, r.refused, r.late, r.lateSlow, r.slow = r.sent+o.sent, r.refused+o.refused, r.late+o.late, r.lateSlow+o.lateSlow, r.slow+o.slow
	r.firstEvents = append(r.firstEvents, o.firstEvents...)
}

// tail returns the ratio of the 99th percentile of the first events to their median.
func (r *pacedResults) tail() float64 {
	return float64(r.quantile(0.99)) / float64(max(1, r.quantile(0.5)))
}

func (r *pacedResults) lateShare() float64 {
	return float64(r.late) / float64(max(1, r.sent-r.refused))
}
