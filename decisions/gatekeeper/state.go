package gatekeeper

import (
	"time"

	"filbertstile.example/filbertstile"
)

// State is the state of the gate for load reports and dumps.
type State struct {
	Running int
	Waiting int
	Limit   int
	Cold    bool
	// Serving is true if new requests are accepted; otherwise Refusal is the refusal
	// code.
	Serving bool
	Refusal string `json:",omitempty"`
	// Release is the release that the engine runs, and Whole the digest of its weights.
	Release string
	Whole   filbertstile.Digest
	// Ready is the target release, if its weights are complete in the host's memory.
	Ready string
	// Epoch is the epoch of the last accepted permit.
	Epoch uint64
	// Loading is the release that is being loaded.
	Loading string `json:",omitempty"`
	// Failure says why the last load failed.
	Failure string `json:",omitempty"`
	// Revision is the revision of the host's configuration.
	Revision uint64
	// BaselineLatency is the moving average of the backend server's latency.
	BaselineLatency time.Duration `json:"Usual"`
	// CallRecords is the number of non-idempotent calls whose record is kept.
	CallRecords int `json:"Kept"`
	// Role is the role that the engine reported.
	Role string `json:",omitempty"`
}

// State returns the state of the gate.
func (c *Core) State() State {
	code, serving := c.accepts(c.loaded.whole)
	s := State{
		Running: len(c.running), Waiting: c.queue.len(), Limit: c.slots(), Cold: c.cold, Serving: serving, Refusal: code,
		Release: c.loaded.release, Whole: c.loaded.whole, Epoch: c.epoch, Loading: c.loading, Failure: c.loadFailure,
		Revision: c.status.Revision, BaselineLatency: c.baselineLatency, CallRecords: len(c.calls), Role: c.engine.Role,
	}
	if c.status.Target.Name != "" {
		if r, ok := c.findReady(c.status.Target.Name); ok {
			s.Ready = r.release
		}
	}
	return s
}

// Idle reports whether no request is running or queued.
func (c *Core) Idle() bool { return len(c.running) == 0 && c.queue.len() == 0 }
