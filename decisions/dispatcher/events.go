// Package dispatcher decides at an entry how each request is handled: whether it is
// admitted, when it is sent to which replica, whether it may be retried, and when it
// is rejected.
package dispatcher

import (
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/viewer"
	"filbertstile.example/filbertstile/decisions/evaluator"
	"filbertstile.example/filbertstile/decisions/router"
)

// Codes with which an entry rejects requests. docs/OPERATING.md explains each.
const (
	CodeUnknownAccount = "UnknownAccount"
	CodeUnknownService = "UnknownService"
	CodeForbidden      = "ServiceNotAllowed"
	CodeRateLimited    = "RateLimited"
	CodeOverloaded     = "Overloaded"
	CodeNoReplica      = "NoReplica"
	CodeDeadline       = "DeadlineExceeded"
	CodeStale          = "ViewStale"
	CodeBackendFailed  = "BackendFailed"
	CodeContactLost    = "ContactLost"
	CodeRetryBudget    = "RetryBudgetSpent"
)

// Request describes a caller's request.
type Request struct {
	ID      string
	Account string
	Service string
	// Affinity is a hash of the prompt's prefix; 0 if there is none.
	Affinity uint64
	Deadline time.Time
	// Once is true for a call that may run at most once.
	Once bool
	// Idempotent is true for a call that may be retried after a failed attempt.
	Idempotent bool
}

// Event is an input of the core.
type Event interface{ event() }

// Arrived reports a new request from a caller.
type Arrived struct{ Request Request }

// Refused reports that a host did not run the request.
type Refused struct {
	ID         string
	Host       string
	Code       string
	RetryAfter time.Duration
	Load       router.Load
	// Reached is false if the host was unreachable.
	Reached bool
}

// AttemptFailed reports that a host's response ended before it was complete.
type AttemptFailed struct {
	ID   string
	Host string
	// Step is where the attempt failed, and Detail describes the failure.
	Step   string
	Detail string
	// Delivered is true if the caller has received a part of the response. Only the
	// same weights may generate the rest.
	Delivered bool
	// Whole is the digest of those weights.
	Whole filbertstile.Digest
	// NotRun is true if the request is known not to have run.
	NotRun bool
}

// OfferDeclined reports that a slot that a host offered is not needed, because
// another host offered one first.
type OfferDeclined struct {
	ID   string
	Host string
}

// Ended reports that the caller has received the complete response, or that the
// entry ended the request without one.
type Ended struct {
	ID   string
	Host string
	// OK is true if the response is complete.
	OK bool
}

// CallerDisconnected reports that the caller no longer waits for the response.
type CallerDisconnected struct{ ID string }

// LoadReported reports the load of a host.
type LoadReported struct {
	Host string
	Load router.Load
}

// HostLost reports that a host's stream of load reports has ended.
type HostLost struct{ Host string }

// ViewUpdated reports a new view of the configuration and the members.
type ViewUpdated struct {
	View viewer.View
	// Hosts lists the hosts that the entry sends requests to.
	Hosts []filbertstile.Member
	Trust evaluator.Trust
}

// GrantReceived reports a grant from the owner of an account.
type GrantReceived struct {
	Account string
	// PerSecond is the granted rate in requests per second.
	PerSecond float64
	Until     time.Time
}

func (Arrived) event()            {}
func (Refused) event()            {}
func (AttemptFailed) event()      {}
func (OfferDeclined) event()      {}
func (Ended) event()              {}
func (CallerDisconnected) event() {}
func (LoadReported) event()       {}
func (HostLost) event()           {}
func (ViewUpdated) event()        {}
func (GrantReceived) event()      {}

// Command is an output of the core, which the entry executes.
type Command interface{ command() }

// Target is a host that a request is sent to.
type Target struct {
	Host filbertstile.Member
	// Whole is the digest of the weights that the host last reported, and Release
	// their release.
	Whole   filbertstile.Digest
	Release string
}

// Send sends the request to a host. With several targets, the first host that
// offers a slot runs it.
type Send struct {
	ID      string
	Targets []Target
	// Tier, Rank and Weight are the priority that the account pays for: its tier, and
	// the tier's rank and share of the capacity.
	Tier   string
	Rank   int
	Weight int
	// Resumed is true if the caller has already received a part of the response
	// from another host.
	Resumed bool
}

// Reject ends the request with an error.
type Reject struct {
	ID  string
	Err filbertstile.ErrRequest
}

// RequestGrants requests quota grants from the owners of the accounts. Entries
// that own none of these accounts get an empty request as a heartbeat.
type RequestGrants struct {
	Demands []Demand
}

// Demand is the rate that an account needs at this entry.
type Demand struct {
	Account string
	// PerSecond is in requests per second; 0 if the account has no demand.
	PerSecond float64
}

func (Send) command()          {}
func (Reject) command()        {}
func (RequestGrants) command() {}
