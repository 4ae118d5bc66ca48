package placer

import (
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/estimator"
)

// Request describes a request that needs a replica.
type Request struct {
	Service string
	// Regions lists the regions that may serve the request; empty means all.
	Regions []string
	// Route is the name of the route, for the share of its requests that is served whatever
	// their priority.
	Route string
	// Waited is the time for which the caller had waited before the request arrived, in earlier
	// requests that were refused.
	Waited time.Duration
	// Priority orders requests; 0 is the highest priority.
	Priority int
	// RoutePriority orders requests of the same Priority where admission by priority is active: the
	// priority of an account takes precedence over that of the route, but does not replace it.
	RoutePriority int
	// VersionFloor is the minimum version of the weights.
	VersionFloor VersionFloor
	// Tried lists the IDs of replicas that must not be chosen again.
	Tried []string
	// Arrived is the time at which the request arrived at the entry.
	Arrived time.Time
	// TargetLatency is the time within which the caller expects the response to begin.
	TargetLatency time.Duration
	// Deadline is the time at which the caller stops waiting.
	Deadline time.Time
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// MemoryTokens is the number of tokens that the request may hold in the replica's memory: its prompt
	// and the maximum output.
	MemoryTokens int
	// Repeatable is true if the request may be sent again after it has been withdrawn.
	Repeatable bool
	// Output is what is known of the length of the response in advance. Resumed is true if the
	// caller has the beginning of the response.
	Output  estimator.OutputRequest
	Resumed bool
	// PreferIdle asks for the replica with the fewest requests in flight, as the request may
	// crash it.
	PreferIdle bool

	// ticket is the admission of the request; nil if its service has no admission by priority.
	ticket *ticket
}

// Grant is the permission to send a request to a replica. The holder must call
// Placer.Release once.
type Grant struct {
	Replica filbertstile.Replica
	// InFlight is the estimated number of requests that were already in flight at the
	// replica.
	InFlight int
	// PendingTokens is the number of prompt tokens that the replica had yet to read.
	PendingTokens int
	// ExpectedVersion is the version of the weights that the replica must be asked to
	// verify; 0 if the request has no floor, or if the replica's host has just reported
	// the version.
	ExpectedVersion int64
	// Version is the version of the weights that the replica runs; 0 if it has no engine.
	Version int64
	// StartBy is the time at which the holder must withdraw the request if its response has
	// not begun, as a newer version becomes the minimum soon after. SendBy is the time until
	// which the request may be sent to begin in time. Both are zero if there is no such time.
	StartBy time.Time
	SendBy  time.Time
	// promptTokens is the length of the request's prompt; 0 after the replica has read
	// it.
	promptTokens int
	// timedFrom is the time of the latest event of the response or, before the first one, of
	// the placement; zero if it is not known. begun is true after the first event.
	timedFrom time.Time
	begun     bool
	// Buffered says that the next event for which Placer.EventArrived is called may have arrived
	// at any time before. The holder sets it.
	Buffered bool
	// output is the output that is expected; nil if it plays no role.
	output *pendingOutput
	// memoryTokens is what the request may hold in the replica's memory.
	memoryTokens int
	// hasLimitToken is true if the request counts toward the limit of its replica.
	hasLimitToken bool
	// sent is true if the request may have been sent.
	sent bool
	// answered is true if a response has been read.
	answered bool
	// Waited is the time that the request spent in the queue.
	Waited time.Duration
	// placedAt is the time at which the request was placed, and expectedFirst the time that its first
	// event was expected to take from then on; 0 for plain services.
	placedAt      time.Time
	expectedFirst time.Duration
}

// ErrRejected reports that a request gets no replica.
type ErrRejected struct {
	Step   string
	Reason string
	// Short is what the request did not get.
	Short filbertstile.Resource
	// RetryAfter is the delay before the caller should retry.
	RetryAfter time.Duration
	// QueueLength is the number of queued requests.
	QueueLength int
	// AnyEligible is true if at least one replica may run the request, if only after a pause
	// that it has asked for.
	AnyEligible bool
}

// Error returns the step and the reason.
func (e ErrRejected) Error() string { return e.Step + ": " + e.Reason }
