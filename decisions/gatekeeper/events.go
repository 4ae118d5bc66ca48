// Package gatekeeper decides at a host which work reaches the backend server:
// it checks the release, the state of the domain and the host and the caller's
// remaining time, bounds the concurrency to what the server bears now, seals
// requests that must not run, and switches releases by permit.
package gatekeeper

import (
	"time"

	"filbertstile.example/filbertstile"
)

// Codes of refusals. docs/OPERATING.md explains each.
const (
	CodeBusy         = "Busy"
	CodeCold         = "ColdStart"
	CodeDomainOut    = "DomainOut"
	CodeHostOut      = "HostOut"
	CodeLeaving      = "Leaving"
	CodeStale        = "ViewStale"
	CodeWrongRelease = "WrongRelease"
	CodeSwitching    = "Switching"
	CodeTooLate      = "TooLate"
	CodeSealed       = "Sealed"
	CodeDisplaced    = "Displaced"
	CodeNotReady     = "NotReady"
	CodeDuplicate    = "Duplicate"
	CodeFailing      = "BackendFailing"
	CodeOverloaded   = "BackendOverloaded"
	CodeUnreachable  = "BackendUnreachable"
	CodeBackend      = "BackendFailed"
)

// Class is the paid priority of a request.
type Class struct {
	Tier string
	// Rank orders tiers; higher goes first among equals.
	Rank int
	// Weight is the tier's share while all tiers have work.
	Weight int
}

// Request is work at the gate.
type Request struct {
	ID    string
	Class Class
	// Whole is the digest of the weights that must run it; empty for plain
	// services.
	Whole filbertstile.Digest
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Once is true for a call that may run at most once.
	Once bool
}

// Result is the outcome of a call that may run at most once.
type Result struct {
	Run         filbertstile.RunState
	Status      int
	ContentType string
	Body        []byte
}

// Event is something that the core takes in.
type Event interface{ event() }

// Arrived brings a request from an entry.
type Arrived struct{ Request Request }

// Finished tells that a request that was started has ended.
type Finished struct {
	ID string
	// Served is the time that the backend server took for each piece.
	Served time.Duration
	// Failure is what went wrong, if anything did.
	Failure Failure
	Result  Result
}

// Failure tells how a backend server failed a request.
type Failure string

// Failures of a backend server.
const (
	FailureNone       Failure = ""
	FailureOverloaded Failure = "Overloaded"
	FailureBroken     Failure = "Broken"
	FailureCancelled  Failure = "Cancelled"
	// FailureUnused is a slot that was offered and not taken.
	FailureUnused Failure = "Unused"
)

// Abandoned tells that the caller of a request is gone.
type Abandoned struct{ ID string }

// SealAsked asks to make sure that a request never runs.
type SealAsked struct {
	RequestID string
	// Ticket names the answer.
	Ticket string
}

// Standing is what the configuration says of this host now.
type Standing struct {
	DomainOut bool
	HostOut   bool
	Stale     bool
	Leaving   bool
	Revision  uint64
	// Target is the release that the replica should run.
	Target filbertstile.Release
	// TargetWhole is the digest of its weights; empty until it is known.
	TargetWhole   filbertstile.Digest
	ChecksFencing bool
	Role          string
}

// StandingSeen replaces the standing.
type StandingSeen struct{ Standing Standing }

// WeightsReady tells that a release is whole in the host's memory.
type WeightsReady struct {
	Release  string
	Manifest filbertstile.Digest
	Whole    filbertstile.Digest
}

// EngineSeen brings what the engine says of itself.
type EngineSeen struct {
	State filbertstile.EngineState
	// AskedAt is when the question was sent.
	AskedAt time.Time
}

// PermitAsked brings a controller's permit to switch.
type PermitAsked struct {
	Release string
	Epoch   uint64
	// Until is when the permit ends.
	Until  time.Time
	Ticket string
}

// LoadEnded tells how an order to load ended.
type LoadEnded struct {
	Release string
	State   filbertstile.EngineState
	Err     error
}

func (Arrived) event()      {}
func (Finished) event()     {}
func (Abandoned) event()    {}
func (SealAsked) event()    {}
func (StandingSeen) event() {}
func (WeightsReady) event() {}
func (EngineSeen) event()   {}
func (PermitAsked) event()  {}
func (LoadEnded) event()    {}

// Command is something that the shell carries out.
type Command interface{ command() }

// Start passes a request to the backend server.
type Start struct{ ID string }

// Refuse ends a request that was not run.
type Refuse struct {
	ID         string
	Code       string
	RetryAfter time.Duration
}

// Cancel gives up a request that runs.
type Cancel struct{ ID string }

// Sealed answers a seal.
type Sealed struct {
	Ticket string
	Result Result
}

// Permitted answers a permit.
type Permitted struct {
	Ticket   string
	Accepted bool
	Reason   string
}

// Load orders the engine to run a release.
type Load struct {
	Release string
	Fence   uint64
	Role    string
	// Until is when the order must have been given.
	Until time.Time
}

// WentCold tells that the backend server is taken to be cold.
type WentCold struct{ Reason string }

func (Start) command()     {}
func (Refuse) command()    {}
func (Cancel) command()    {}
func (Sealed) command()    {}
func (Permitted) command() {}
func (Load) command()      {}
func (WentCold) command()  {}
