// Package dispatcher decides at an entry what becomes of each request: whether
// its account may call now, when it goes to which replica, whether it may be
// tried again, and when it is given up.
package dispatcher

import (
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/viewer"
	"filbertstile.example/filbertstile/decisions/router"
	"filbertstile.example/filbertstile/decisions/voucher"
)

// Codes of refusals at an entry. docs/OPERATING.md explains each.
const (
	CodeUnknownAccount = "UnknownAccount"
	CodeUnknownService = "UnknownService"
	CodeForbidden      = "ServiceNotAllowed"
	CodeRate           = "RateLimited"
	CodeOverloaded     = "Overloaded"
	CodeNoReplica      = "NoReplica"
	CodeDeadline       = "DeadlineExceeded"
	CodeStale          = "ViewStale"
	CodeBroken         = "BackendFailed"
	CodeLost           = "ContactLost"
	CodeRetryBudget    = "RetryBudgetSpent"
)

// Request is a caller's request as the core sees it.
type Request struct {
	ID      string
	Account string
	Service string
	// Affinity is a hash of the prompt's prefix; 0 for none.
	Affinity uint64
	Deadline time.Time
	// Once is true for a call that may run at most once.
	Once bool
	// Idempotent is true for a call that may be repeated after it broke.
	Idempotent bool
}

// Event is something that the core takes in.
type Event interface{ event() }

// Arrived brings a caller's request.
type Arrived struct{ Request Request }

// Refused tells that a host did not run the request.
type Refused struct {
	ID         string
	Host       string
	Code       string
	RetryAfter time.Duration
	Load       router.Load
	// Reached is false if the host could not be asked.
	Reached bool
}

// Broke tells that the answer ended before its end.
type Broke struct {
	ID   string
	Host string
	// Step and Detail say where and how.
	Step   string
	Detail string
	// Delivered tells that the caller has a part of the answer; it can go on
	// only with the same weights.
	Delivered bool
	Whole     filbertstile.Digest
	// NotRun is true if it is known that the request did not run.
	NotRun bool
}

// Declined tells that a host's slot was not needed: another was first.
type Declined struct {
	ID   string
	Host string
}

// Ended tells that the request has its whole answer, or that the shell ended it.
type Ended struct {
	ID   string
	Host string
	// OK is true for a whole answer.
	OK bool
}

// CallerGone tells that the caller no longer waits.
type CallerGone struct{ ID string }

// LoadSeen brings a host's report.
type LoadSeen struct {
	Host string
	Load router.Load
}

// HostLost tells that a host's reports ended.
type HostLost struct{ Host string }

// ViewSeen brings the configuration and the members.
type ViewSeen struct {
	View viewer.View
	// Hosts are those that the entry sends requests to.
	Hosts []filbertstile.Member
	Trust voucher.Trust
}

// Granted brings the owner's grant for an account.
type Granted struct {
	Account   string
	PerSecond float64
	Until     time.Time
}

func (Arrived) event()    {}
func (Refused) event()    {}
func (Broke) event()      {}
func (Declined) event()   {}
func (Ended) event()      {}
func (CallerGone) event() {}
func (LoadSeen) event()   {}
func (HostLost) event()   {}
func (ViewSeen) event()   {}
func (Granted) event()    {}

// Command is something that the shell carries out.
type Command interface{ command() }

// Target is a host that a request is sent to.
type Target struct {
	Host filbertstile.Member
	// Whole is the digest of the weights that the host is believed to run.
	Whole   filbertstile.Digest
	Release string
}

// Send passes the request to a host. With several targets, the first that
// offers a slot gets it.
type Send struct {
	ID      string
	Targets []Target
	// Tier, Rank and Weight are the request's paid priority.
	Tier   string
	Rank   int
	Weight int
	// Resumed is true if a part of the answer came from another host.
	Resumed bool
}

// Reject ends the request.
type Reject struct {
	ID  string
	Err filbertstile.ErrRequest
}

// Ask asks the owners of account quotas.
type Ask struct {
	Demands []Demand
}

// Demand is what one account asks for here.
type Demand struct {
	Account   string
	PerSecond float64
}

func (Send) command()   {}
func (Reject) command() {}
func (Ask) command()    {}
