// Package forwarder forwards callers' requests to replicas: it acquires a replica for
// each request, sends the request, retries it at another replica if that is safe, and
// writes the response to the caller. It counts the attempts after which a request may
// have run, so that it never reports such a request as not run.
package forwarder

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/collector"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/decisions/estimator"
	"filbertstile.example/filbertstile/decisions/placer"
	"filbertstile.example/filbertstile/decisions/suspector"
)

const (
	// minTimeLeft is the minimum time until the deadline at which a request is still
	// sent: the fastest responses take that long.
	minTimeLeft = 25 * time.Millisecond
	// replicaRetryAfter is the retry delay sent to the caller if replicas did not run the
	// request or the retry budget is spent. It covers the delay after which the entry
	// learns of changes at replicas.
	replicaRetryAfter = 400 * time.Millisecond
	// maxSends is the maximum number of sends of one request, including those that the
	// replicas did not run.
	maxSends = 4
)

// Error codes of requests that end without a complete response. docs/OPERATIONS.md
// explains them.
const (
	CodeOverloaded    = "Overloaded"
	CodeNoReplica     = "NoReplica"
	CodeDeadline      = "DeadlineExceeded"
	CodeBackendFailed = "BackendFailed"
	CodeRetryBudget   = "RetryBudgetSpent"
	// CodePromptPart means that a part of the prompt is suspected of crashing replicas.
	CodePromptPart = "PromptPartBlocked"
	// CodeRequest means that the request itself is suspected of crashing replicas.
	CodeRequest = "RequestBlocked"
	// CodeStopping means that the entry stopped before the response was complete.
	CodeStopping = "Stopping"
	// CodeSideClosed means that the caller closed its side of the connection before the response
	// was complete.
	CodeSideClosed = "SideClosed"
)

// Call is a caller's request to forward.
type Call struct {
	ID      string
	Route   filbertstile.Route
	Service string
	Account string
	// Priority is the priority of the account or, if it has none, of the route; 0 is the
	// highest priority.
	Priority int
	// Regions lists the regions that may serve the request; empty means all.
	Regions []string
	// Arrived is the time at which the request arrived at the entry.
	Arrived time.Time
	// Deadline is the time at which the call ends by the routing that was applied. Limit returns
	// the time by the latest one.
	Deadline time.Time
	// CallerDeadline is the time at which the caller stops waiting, which no change moves; zero if
	// it has not said.
	CallerDeadline time.Time
	// LatestDeadline returns the time at which the call's route ends it by the latest known
	// routing, or zero if that says nothing else. It is nil if Deadline does not change.
	LatestDeadline func() time.Time
	// ReplicaDeadline is the time until which replicas may work; zero means Limit.
	ReplicaDeadline time.Time
	// Sending ends once the caller has closed its side of the connection: it may have left, or
	// wait for the response. It is nil if that is not known.
	Sending context.Context
	// LastEventID is the ID of the last stream event that the caller has, if any.
	LastEventID EventID
	// PromptTokens is the length of the prompt in tokens; 0 for plain services.
	PromptTokens int
	// OutputTokens is the maximum length of the output in tokens, and OutputHint the length that
	// the caller expects; 0 if it is not given.
	OutputTokens int
	OutputHint   int
	// PromptParts identifies the parts of the prompt that other requests may share.
	PromptParts []uint64
	// Key identifies the request: a caller who repeats it sends one with the same key, which
	// is a suspector.RequestKey. It is 0 if it is not known.
	Key uint64
	// ConfigVersion is the version of the routing that was applied.
	ConfigVersion int64
	// ConfigAge is the time since the store had last confirmed that version.
	ConfigAge time.Duration
	// Message is the request to send, in the form that the Link expects.
	Message any
}

// Attempt is one attempt to run a call at a replica.
type Attempt struct {
	Call    *Call
	Replica filbertstile.Replica
	// Deadline is the time until which the replica may work. The attempt may be ended sooner.
	Deadline time.Time
	// LastEventID is the ID of the event after which the replica must resume the stream; it must begin
	// with the first event if there is none.
	LastEventID EventID
	// ExpectedVersion is the only version of the weights that may run the request. The
	// replica verifies it; 0 if any version may run the request.
	ExpectedVersion int64
	// CheckSend returns an error if the request may no longer be sent. The Link must call it
	// when the connection is ready: the time to connect is not bounded by the decision to
	// send.
	CheckSend func() error
}

// Verdict says what a replica's response means.
type Verdict int

// Verdicts.
const (
	// Ran means that the replica ran the request.
	Ran Verdict = iota
	// NotRun means that the replica reported that it did not run the request.
	NotRun
	// WrongReplica means that another replica responded at the address and did not
	// run the request.
	WrongReplica
	// Failed means that the replica reported a failure while it ran the request.
	Failed
	// Invalid means that the response is not a valid response of a replica.
	Invalid
)

// Body is the body of a response. Read returns io.EOF only at the end of a complete
// response.
type Body interface {
	io.Reader
	// Discard prevents the connection from being used again after Close.
	Discard()
	Close()
}

// Response is a replica's response.
type Response struct {
	Verdict Verdict
	Status  int
	// Announcement is what the replica says about the requests that it wants.
	Announcement placer.Announcement
	// Responder is the ID of the replica that responded; empty if it is not given.
	Responder string
	// Streamed is true if the body is a stream of events.
	Streamed bool
	// EndsWithConnection is true if only the end of the connection ends the body.
	EndsWithConnection bool
	// Head is the header, in the form that the ResponseWriter expects.
	Head any
	Body Body
	// WrittenAt is the time at which the request was written to the connection.
	WrittenAt time.Time
}

// Link sends attempts to replicas.
type Link interface {
	// Send returns the response. It returns exchanger.ErrNotSent if nothing was sent;
	// after any other error the request may have run.
	Send(ctx context.Context, a Attempt) (Response, error)
}

// ResponseWriter writes the response to the caller.
type ResponseWriter interface {
	// WriteResponse writes a complete response.
	WriteResponse(r Response, body []byte) error
	// WriteHeader writes the header of a streamed response.
	WriteHeader(r Response) error
	// WriteEvent writes one event of a stream. It may be buffered until Flush.
	WriteEvent(e []byte) error
	Flush() error
	// WriteError writes an error instead of a replica's response.
	WriteError(e filbertstile.ErrRequest)
	// Abort closes the caller's connection, so that a partial response does not look
	// complete.
	Abort()
}

// Config configures a Forwarder.
type Config struct {
	Placer      *placer.Placer
	Link        Link
	RetryBudget RetryBudgetConfig
	// Suspector decides which requests are kept away from replicas; nil means one that knows
	// only of this forwarder's requests.
	Suspector *suspector.Suspector
	// Prober tells whether a replica's process has ended; nil means that it is never known.
	Prober Prober
	// OnNews is called when other entries should be told of new evidence about requests that
	// crash replicas, or of a limit that a replica has named; nil if there are none.
	OnNews func()
	// BufferBytes is the memory for the bodies, and the long events of streams, of all
	// responses that are being read; 0 means the default.
	BufferBytes int64
	Log         *reporter.Log
	// VersionFloor returns the minimum version of the weights for requests to a service.
	VersionFloor func(service string) placer.VersionFloor
	// Situation returns the situation of the entry, for log events; nil if there is none.
	Situation func() Situation
	// OnRequestEnd is called at the end of each request. The status is an error code,
	// "Done" or "CallerLeft".
	OnRequestEnd func(c *Call, status string, took time.Duration)
	// OnRefused is called for each request that ends without having run, with what it did not get;
	// nil if that is not needed.
	OnRefused func(short filbertstile.Resource)
}

// Forwarder forwards requests. It is safe for concurrent use.
type Forwarder struct {
	config      Config
	retryBudget *retryBudget
	buffers     *collector.Memory
	deliveries  *deliveries
	crashes     *crashChecks
	durations   durations
	usage       usage
	// plannedStop is the planned stop; nil if none has begun. stopBegun ends as it begins, by
	// stopBegins.
	plannedStop atomic.Pointer[PlannedStop]
	stopBegun   context.Context
	stopBegins  context.CancelFunc
	// stopped ends when Stop is called, by stop.
	stopped context.Context
	stop    context.CancelCauseFunc
}

// New returns a forwarder.
func New(c Config) *Forwarder {
	if c.Suspector == nil {
		c.Suspector = suspector.New(suspector.Config{})
	}
	if c.OnNews == nil {
		c.OnNews = func() {}
	}
	if c.OnRefused == nil {
		c.OnRefused = func(filbertstile.Resource) {}
	}
	if c.Situation == nil {
		c.Situation = func() Situation { return Situation{} }
	}
	f := &Forwarder{config: c, retryBudget: newRetryBudget(c.RetryBudget), crashes: newCrashChecks(c)}
	f.stopBegun, f.stopBegins = context.WithCancel(context.Background())
	f.stopped, f.stop = context.WithCancelCause(context.Background())
	f.deliveries = newDeliveries(f.stopped.Done())
	f.buffers = newBuffers(c.BufferBytes, f.deliveries)
	f.usage.buffers = f.buffers
	return f
}

// SetEntryCount sets the number of entries that share the retry budget.
func (f *Forwarder) SetEntryCount(n int) { f.retryBudget.setEntryCount(n) }

// requestState is the state of a request that is being forwarded.
type requestState struct {
	forwarder *Forwarder
	ctx       context.Context
	call      *Call
	// keys is what may be suspected of crashing replicas.
	keys   []uint64
	writer ResponseWriter
	side   *callerSide
	// tried lists the IDs of the replicas of all attempts.
	tried []string
	// sends is the number of sends.
	sends int
	// firstSentAt is the start of the first attempt in which the request may have run.
	firstSentAt time.Time
	// runs is the number of sends after which the request may have run.
	runs int
	// responseStarted is true if the caller may have received a part of the response.
	responseStarted bool
	// lastEventID is the ID of the last stream event that the caller has, and unnumbered is true
	// if it has events without IDs, after which the stream cannot be resumed.
	lastEventID EventID
	unnumbered  bool
	// endClaim is the last replica's word that nothing is left of the stream.
	endClaim endClaim
	// queueTime is the total time in the placer's queue.
	queueTime time.Duration
	// writeDelay is the time between the placement of the last attempt and the write of
	// the request, which includes the time to connect; 0 if nothing was written.
	writeDelay time.Duration
	// crashes is the number of replicas that crashed before the answer had begun there.
	crashes int
	// onTrial is true while the request is a trial of a suspected key.
	onTrial bool
	// answer is the progress of the answer of the current attempt.
	answer answer
	// backup is the backup that this copy of the state belongs to; nil if it is no copy.
	backup *backup
}

// Serve forwards the request. It returns after the caller has received a response or
// an error, or has disconnected.
func (f *Forwarder) Serve(ctx context.Context, c *Call, w ResponseWriter) {
	ctx, side, unwatch := watchCallerSide(ctx, c)
	defer unwatch()
	ctx, cancel := f.requestContext(ctx, c)
	defer cancel()
	f.retryBudget.requestArrived(c.Service, c.Arrived)
	x := &requestState{forwarder: f, ctx: ctx, call: c, keys: keysOf(c), writer: w, side: side, lastEventID: c.LastEventID}
	for x.nextAttempt() {
	}
}

// nextAttempt makes one attempt and reports whether another one must follow.
func (x *requestState) nextAttempt() bool {
	if x.stopped() {
		x.failStopped()
		return false
	}
	if x.sideClosed() {
		x.callerDisconnected("")
		return false
	}
	if !x.endsInTime() {
		x.failStopping(errEndsTooLate.Error())
		return false
	}
	trial, ok := x.admit()
	if !ok {
		return false
	}
	defer x.endTrial(trial, x.sends)
	g, err := x.acquire()
	if errors.Is(err, errEndsTooLate) {
		x.failStopping(err.Error())
		return false
	}
	if err != nil {
		x.placementFailed(err)
		return false
	}
	x.queueTime += g.Waited
	if len(x.tried) == 0 {
		x.forwarder.usage.admitted.Add(1)
	}
	if x.blockedMeanwhile(&g) {
		return false
	}
	if x.sends > 0 && !x.forwarder.retryBudget.spend(x.call.Service, time.Now()) {
		x.forwarder.config.Placer.Release(&g, placer.Abandoned)
		x.fail(CodeRetryBudget, "the retry budget is spent", replicaRetryAfter)
		return false
	}
	if time.Until(x.call.Limit()) < minTimeLeft {
		x.forwarder.config.Placer.Release(&g, placer.Abandoned)
		x.fail(CodeDeadline, "too little time is left before the deadline", 0)
		return false
	}
	return x.runAttempt(&g)
}

// PlacerRequest returns the request for a replica for the first attempt of the call.
func (f *Forwarder) PlacerRequest(c *Call) placer.Request {
	x := &requestState{forwarder: f, call: c, lastEventID: c.LastEventID}
	return x.placerRequest()
}

// placerRequest returns the request for a replica for the next attempt.
func (x *requestState) placerRequest() placer.Request {
	req := placer.Request{
		Service: x.call.Service, Regions: x.call.Regions, Priority: x.call.Priority, RoutePriority: x.call.Route.Priority, Tried: x.tried,
		Arrived: x.call.Arrived, TargetLatency: x.call.Route.TargetLatency, Deadline: x.call.Limit(), PromptTokens: x.call.PromptTokens,
		VersionFloor: x.forwarder.config.VersionFloor(x.call.Service), PreferIdle: x.onTrial || x.crashes > 0,
		Repeatable: x.call.Route.Retryable(), Route: x.call.Route.Name, Waited: x.call.waited(), Resumed: x.lastEventID.Known() || x.responseStarted,
		Output: estimator.OutputRequest{Route: x.call.Route.Name, Account: x.call.Account, Hint: x.call.OutputHint, Max: x.call.OutputTokens},
	}
	req.MemoryTokens = x.call.PromptTokens + x.call.OutputTokens
	if x.sends > 0 {
		// The target latency of a retry starts anew, as the request may have used it up
		// in earlier attempts.
		req.Arrived = time.Now()
	}
	return req
}

// repeatable reports whether the request may be sent again although it may have run, or its
// response has begun.
func (x *requestState) repeatable() bool { return x.call.Route.Retryable() && !x.unnumbered }

// mayRetry reports whether the request may be sent again although it may have run.
func (x *requestState) mayRetry() bool {
	return x.repeatable() && x.crashes < maxCrashes && x.runs < x.call.Route.MaxAttempts && x.sends < maxSends && time.Until(x.call.Limit()) > minTimeLeft
}
