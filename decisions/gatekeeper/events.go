// Package gatekeeper decides which requests a host passes to its backend server.
// It checks the release, whether the host and its failure domain are in service,
// and the request's deadline, adapts the concurrency limit to the state of the
// backend server, seals requests that must not run, and switches releases when a
// controller permits it.
package gatekeeper

import (
	"time"

	"filbertstile.example/filbertstile"
)

// Refusal codes. docs/OPERATING.md explains each.
const (
	CodeBusy               = "Busy"
	CodeColdStart          = "ColdStart"
	CodeDomainOutOfService = "DomainOut"
	CodeHostOutOfService   = "HostOut"
	CodeLeaving            = "Leaving"
	CodeStale              = "ViewStale"
	CodeWrongRelease       = "WrongRelease"
	CodeSwitching          = "Switching"
	CodeTooLate            = "TooLate"
	CodeSealed             = "Sealed"
	CodeDisplaced          = "Displaced"
	CodeNotReady           = "NotReady"
	CodeDuplicate          = "Duplicate"
	CodeBackendFailing     = "BackendFailing"
	CodeBackendOverloaded  = "BackendOverloaded"
	CodeBackendUnreachable = "BackendUnreachable"
	CodeBackendFailed      = "BackendFailed"
)

// Class is the priority class of a request, from its client account's tier.
type Class struct {
	Tier string
	// Rank orders tiers: the higher rank starts first if two tiers are equally far
	// behind their shares.
	Rank int
	// Weight is the tier's share of starts while all tiers have requests.
	Weight int
}

// Request is a request that an entry sent to the host.
type Request struct {
	ID    string
	Class Class
	// Whole is the Manifest.Whole digest of the weights that must run the request;
	// empty for plain services.
	Whole filbertstile.Digest
	// Deadline is the time at which the caller stops waiting.
	Deadline time.Time
	// Once is true for a non-idempotent call, which may run at most once.
	Once bool
}

// Result is the result of a non-idempotent call.
type Result struct {
	Run         filbertstile.RunState
	Status      int
	ContentType string
	Body        []byte
	// BodyTruncated is true if the body was too large to be kept, and Body is only its start.
	BodyTruncated bool
}

// Event is an input of the core.
type Event interface{ event() }

// Arrived reports that an entry sent a request.
type Arrived struct{ Request Request }

// Finished reports that a started request has ended.
type Finished struct {
	ID string
	// Latency is the time that the backend server took; for a model engine, the
	// average per piece of the response.
	Latency time.Duration
	// Failure is FailureNone if the request succeeded.
	Failure Failure
	Result  Result
}

// Failure says why a started request ended without a complete response.
type Failure string

// Failures of started requests.
const (
	FailureNone       Failure = ""
	FailureOverloaded Failure = "Overloaded"
	// FailureBroken is any failure of the backend server other than overload.
	FailureBroken    Failure = "Broken"
	FailureCancelled Failure = "Cancelled"
	// FailureUnused means that the entry did not use the slot that it was offered.
	FailureUnused Failure = "Unused"
)

// Abandoned reports that the entry no longer waits for a request.
type Abandoned struct{ ID string }

// SealRequested reports that an entry wants a request sealed: if it has not
// started, it must never start; otherwise the entry wants its result.
type SealRequested struct {
	RequestID string
	// Ticket identifies the Sealed command that replies to this event.
	Ticket string
}

// HostStatus is the state of the host as set by the configuration and by its own
// process.
type HostStatus struct {
	DomainOutOfService bool
	HostOutOfService   bool
	// Stale is true if other processes may have a newer configuration.
	Stale bool
	// Leaving is true after the process has announced a planned stop.
	Leaving bool
	// Revision is the revision of the configuration.
	Revision uint64
	// Target is the release that the replica should run.
	Target filbertstile.Release
	// TargetWhole is the Manifest.Whole digest of the target's weights; empty until
	// it is known.
	TargetWhole   filbertstile.Digest
	ChecksFencing bool
	// Role is the engine role that the replica should have.
	Role string
}

// HostStatusChanged reports a new status of the host.
type HostStatusChanged struct{ Status HostStatus }

// WeightsReady reports that the weights of a release are complete in the host's
// memory.
type WeightsReady struct {
	Release string
	// Manifest is the digest of the manifest document, and Whole that of the weights.
	Manifest filbertstile.Digest
	Whole    filbertstile.Digest
}

// EngineReported reports the state of the engine, as the engine reported it.
type EngineReported struct {
	State filbertstile.EngineState
	// RequestedAt is the time at which the host asked the engine for the state.
	RequestedAt time.Time
}

// PermitReceived reports that a rollout controller permits the host to switch to a
// release.
type PermitReceived struct {
	Release string
	// Epoch is the epoch of the controller's lease.
	Epoch uint64
	// Until is the time at which the permit ends.
	Until time.Time
	// Ticket identifies the Permitted command that replies to this event.
	Ticket string
}

// LoadEnded reports that a Load command succeeded or failed.
type LoadEnded struct {
	Release string
	// State is the state that the engine reported after the load.
	State filbertstile.EngineState
	Err   error
}

func (Arrived) event()           {}
func (Finished) event()          {}
func (Abandoned) event()         {}
func (SealRequested) event()     {}
func (HostStatusChanged) event() {}
func (WeightsReady) event()      {}
func (EngineReported) event()    {}
func (PermitReceived) event()    {}
func (LoadEnded) event()         {}

// Command is an output of the core, which the host process executes.
type Command interface{ command() }

// Start sends a request to the backend server.
type Start struct{ ID string }

// Refuse ends a request that the host does not run.
type Refuse struct {
	ID         string
	Code       string
	RetryAfter time.Duration
}

// Cancel cancels a running request.
type Cancel struct{ ID string }

// Sealed replies to a SealRequested event.
type Sealed struct {
	Ticket string
	Result Result
}

// Permitted replies to a PermitReceived event.
type Permitted struct {
	Ticket   string
	Accepted bool
	// Reason says why the permit was not accepted.
	Reason string
}

// Load orders the engine to run a release.
type Load struct {
	Release string
	// Fence is the fencing token of the order.
	Fence uint64
	// Role is the engine role to assume.
	Role string
	// Until is the time before which the order must be sent.
	Until time.Time
}

// WentCold reports that the gate now treats the backend server as cold.
type WentCold struct{ Reason string }

func (Start) command()     {}
func (Refuse) command()    {}
func (Cancel) command()    {}
func (Sealed) command()    {}
func (Permitted) command() {}
func (Load) command()      {}
func (WentCold) command()  {}
