package placer

import (
	"maps"
	"slices"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/admitter"
)

// State is the state of a replica in a dump.
type State struct {
	Replica filbertstile.Replica
	// Own is the number of requests that this entry has in flight at the replica.
	Own int
	// Others is the number of requests that the other entries have in flight.
	Others int
	// Load is the latest load that the replica's host reported.
	Load ReplicaLoad
	// LoadAge is the time since Load was received.
	LoadAge time.Duration
	// Failures is the number of consecutive failures.
	Failures int
	// Rate is the moving average of the failure rate, from 0 to 1.
	Rate float64
	// Held is the remaining cooldown.
	Held time.Duration
	// SeenPace is how much slower than its specification this entry sees the engine work, and
	// PeerPace the lowest that others see; 0 if that is not known. UsedPace is what counts.
	SeenPace float64
	PeerPace float64
	UsedPace float64
	// Output is the time that the output still to come of all requests takes at an engine that
	// works as specified, summed over them.
	Output time.Duration
	// Leaving is true if the replica has announced in a response that it leaves.
	Leaving bool
	// Paused is the rest of the pause that the replica has asked for in a response.
	Paused time.Duration
	// Limit is the rate of requests that the replica has named in a response.
	Limit Limit
}

// AdmissionState is the state of the admission by priority to a service in a dump.
type AdmissionState struct {
	Service string
	// View is what the entry knows of the engines of its group.
	View admitter.View
	// Classes are the figures of the classes of requests, in order of urgency.
	Classes []admitter.Stats
}

// Admissions returns the states of the admissions by priority, in order of the service.
func (p *Placer) Admissions(now time.Time) []AdmissionState {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []AdmissionState
	for _, service := range slices.Sorted(maps.Keys(p.admissions)) {
		v := p.viewOf(now, Request{Service: service})
		out = append(out, AdmissionState{Service: service, View: v, Classes: p.admissions[service].admitter.Stats(now, v)})
	}
	return out
}

// Dump returns the states of all replicas and the length of the queue.
func (p *Placer) Dump(now time.Time) ([]State, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []State
	for _, x := range p.fleet.Replicas.All() {
		r := p.byID[x.ID]
		r.usePace(now, p.laterDelay(x.Service, p.engine(x.Service)))
		leaving, paused, limit := p.announced[x.ID].state(now)
		out = append(out, State{
			Replica: x, Own: r.localRequests, Others: r.peerLoad.Requests, Load: r.load, LoadAge: now.Sub(r.loadAt), Failures: r.failures, Rate: r.failureRate,
			Held: max(0, r.cooldownUntil.Sub(now)), Leaving: leaving, Paused: paused, Limit: limit,
			SeenPace: r.observed.Seen(now), PeerPace: r.peerLoad.SeenPace, UsedPace: r.pace(), Output: r.localOutput + r.peerLoad.Output,
		})
	}
	return out, len(p.queue)
}

// Costs are sums over the complete responses of engines whose service reports paces.
type Costs struct {
	// Responses is the number of responses.
	Responses int64
	// ExpectedTokens and Tokens are the expected and the real output.
	ExpectedTokens int64
	Tokens         int64
	// ExpectedTime and Time are the expected and the real time from the placement to the end,
	// without what requests that came later cost.
	ExpectedTime time.Duration
	Time         time.Duration
}

// Costs returns the expected and the real cost of the requests so far.
func (p *Placer) Costs() Costs {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.costs
}
