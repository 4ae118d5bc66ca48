// Package forwarder takes one caller's request through its life at an entry:
// placed at a replica, sent, perhaps sent once more, and answered. What may be
// said to the caller follows from one record of what has been sent.
package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/decisions/placer"
	"filbertstile.example/filbertstile/outside/exchanger"
)

const (
	// firstEventWait is how long a stream that may go on elsewhere waits for
	// its first event: three objectives.
	firstEventWait = 1500 * time.Millisecond
	// eventGapWait is the longest pause in a stream before it goes on elsewhere:
	// callers leave after 2 s, and a pass takes at most some 200 ms.
	eventGapWait = 1200 * time.Millisecond
	// answerWaits is the number of objectives that an idempotent request waits
	// for its answer before it goes to another replica.
	answerWaits = 3
	// leastLeft is the least time left in which a request is sent at all: the
	// shortest answers take that long.
	leastLeft = 25 * time.Millisecond
	// maxAnswer bounds an answer that is held until it is whole, in bytes.
	maxAnswer = 32 << 20
	// retryAfterRepeat is the hint where replicas did not run a request: the lag
	// of what is known of them.
	retryAfterRepeat = 400 * time.Millisecond
	// maxSends bounds the sends of one request that replicas refused.
	maxSends = 4
)

// Codes of requests that end without an answer. docs/OPERATIONS.md explains them.
const (
	CodeOverloaded  = "Overloaded"
	CodeNoReplica   = "NoReplica"
	CodeDeadline    = "DeadlineExceeded"
	CodeBroken      = "BackendFailed"
	CodeRetryBudget = "RetryBudgetSpent"
)

// Call is a caller's request.
type Call struct {
	ID      string
	Route   filbertstile.Route
	Service string
	Account string
	// Priority is the account's, or else the route's; 0 goes first.
	Priority int
	Regions  []string
	Arrived  time.Time
	// Deadline is when the caller or the route gives up, whichever is first.
	Deadline time.Time
	// LastEvent is the last event that the caller has; 0 for none.
	LastEvent int64
	// Prompt is the length of the prompt in tokens; 0 for plain services.
	Prompt int
	// Config is the version of the routing that decided, ConfigAge how long ago
	// the store had confirmed it.
	Config    int64
	ConfigAge time.Duration
	// Message is the request itself, for the link.
	Message any
}

// Attempt is one send of a call.
type Attempt struct {
	Call    *Call
	Replica filbertstile.Replica
	// Left is the time that the replica is given.
	Left time.Duration
	// LastEvent is the event after which a stream goes on.
	LastEvent int64
	// Version is the version of the weights that must run it, and no other; 0
	// leaves it open.
	Version int64
}

// Verdict tells what a replica's answer means.
type Verdict int

// Verdicts.
const (
	// Ran is an answer of the request itself.
	Ran Verdict = iota
	// NotRun is the replica's word that it did not run the request.
	NotRun
	// NotThere is the word of a replica that another one was meant.
	NotThere
	// Failed is an answer of the request that says that the replica failed.
	Failed
	// Unsound is an answer that no sound replica gives.
	Unsound
)

// Body is the rest of an answer. Read returns io.EOF only where the answer is
// complete.
type Body interface {
	io.Reader
	// SetReadDeadline bounds the time until more comes.
	SetReadDeadline(t time.Time)
	Close()
}

// Answer is what came back.
type Answer struct {
	Verdict  Verdict
	Status   int
	Streamed bool
	// Head is the answer's header, for the reply.
	Head any
	Body Body
}

// Link sends attempts to replicas.
type Link interface {
	Send(ctx context.Context, a Attempt) (Answer, error)
}

// Reply takes the answer to the caller.
type Reply interface {
	// Whole sends a replica's answer.
	Whole(a Answer, body []byte) error
	// Begin sends the head of a stream.
	Begin(a Answer) error
	// Event sends one event; Flush passes on what was sent.
	Event(e []byte) error
	Flush() error
	// Refuse ends the request without an answer of a replica.
	Refuse(e filbertstile.ErrRequest)
	// Abort ends an answer that has begun, so that it does not look complete.
	Abort()
}

// Config puts a forwarder together.
type Config struct {
	Placer *placer.Placer
	Link   Link
	Budget BudgetConfig
	Log    *reporter.Log
	// Floor returns the least version of the weights that a service must run.
	Floor func(service string) placer.Floor
	// Observe is told how each request ended.
	Observe func(c *Call, status string, took time.Duration)
}

// Forwarder takes requests through.
type Forwarder struct {
	config Config
	budget *budget
}

// New returns a forwarder.
func New(c Config) *Forwarder { return &Forwarder{config: c, budget: newBudget(c.Budget)} }

// SetEntries tells among how many entries the budget for repeats is shared.
func (f *Forwarder) SetEntries(n int) { f.budget.setEntries(n) }

// flight is the record of one request.
type flight struct {
	f     *Forwarder
	ctx   context.Context
	call  *Call
	reply Reply
	tried []string
	// sends counts all sends, runs those after which the request may have run.
	sends int
	runs  int
	// begun tells that the caller has a part of the answer; last is the last
	// event that it has.
	begun bool
	last  int64
	// waited sums up the time in the line.
	waited time.Duration
}

// Serve takes the request through. It returns when the caller has its answer,
// or has left.
func (f *Forwarder) Serve(ctx context.Context, c *Call, reply Reply) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	f.budget.arrived(c.Service, c.Arrived)
	x := &flight{f: f, ctx: ctx, call: c, reply: reply, last: c.LastEvent}
	for x.step() {
	}
}

// step makes one attempt, and reports whether another one is to follow.
func (x *flight) step() bool {
	g, err := x.f.config.Placer.Acquire(x.ctx, x.query())
	if err != nil {
		x.unplaced(err)
		return false
	}
	x.waited += g.Waited
	if x.sends > 0 && !x.f.budget.take(x.call.Service, time.Now()) {
		x.f.config.Placer.Release(&g, placer.Abandoned)
		x.end(CodeRetryBudget, "the budget for repeats is spent", retryAfterRepeat)
		return false
	}
	left := time.Until(x.call.Deadline)
	if left < leastLeft {
		x.f.config.Placer.Release(&g, placer.Abandoned)
		x.end(CodeDeadline, "no time is left to run it", 0)
		return false
	}
	x.tried = append(x.tried, g.Replica.ID)
	a := Attempt{Call: x.call, Replica: g.Replica, Left: left, LastEvent: x.last, Version: g.ExpectedVersion}
	return x.attempt(&g, a)
}

func (x *flight) query() placer.Request {
	q := placer.Request{
		Service: x.call.Service, Regions: x.call.Regions, Priority: x.call.Priority, Tried: x.tried,
		Arrived: x.call.Arrived, TargetLatency: x.call.Route.TargetLatency, Deadline: x.call.Deadline, PromptTokens: x.call.Prompt,
		Floor: x.f.config.Floor(x.call.Service),
	}
	if x.sends > 0 {
		// A repeat has waited already; it gets an objective of its own.
		q.Arrived = time.Now()
	}
	return q
}

// mayRepeat tells whether the request may be sent once more after it may have
// run.
func (x *flight) mayRepeat() bool {
	return x.call.Route.Retryable() && x.runs < x.call.Route.MaxAttempts && x.sends < maxSends && time.Until(x.call.Deadline) > leastLeft
}

// attempt sends the request to the replica of the grant.
func (x *flight) attempt(g *placer.Grant, a Attempt) bool {
	ctx, cancel := context.WithCancelCause(x.ctx)
	defer cancel(nil)
	x.sends++
	timer := time.AfterFunc(x.patience(), func() { cancel(errSilent) })
	defer timer.Stop()
	started := time.Now()
	ans, err := x.f.config.Link.Send(ctx, a)
	if err != nil {
		return x.unanswered(ctx, g, err, started)
	}
	defer ans.Body.Close()
	switch ans.Verdict {
	case NotRun, NotThere:
		_, _ = readAll(ans.Body)
		return x.notRun(g, ans, started)
	case Unsound:
		x.runs++
		return x.broke(g, placer.Broken, "the answer is not a replica's", started)
	case Ran, Failed:
	}
	x.runs++
	if ans.Streamed {
		return x.stream(ctx, g, ans, timer, started)
	}
	return x.whole(ctx, g, ans, started)
}

var errSilent = errors.New("no answer within the time that another replica would need")

// patience is how long an attempt may take until its answer begins; where no
// other attempt could follow, the call's own deadline ends it first.
func (x *flight) patience() time.Duration {
	left := time.Until(x.call.Deadline)
	if !x.call.Route.Retryable() || x.runs+1 >= x.call.Route.MaxAttempts {
		return left + time.Second
	}
	if x.call.Route.Kind == filbertstile.CallStream {
		return min(left, firstEventWait)
	}
	return min(left/2, answerWaits*x.call.Route.TargetLatency)
}

// unanswered takes in a send without an answer.
func (x *flight) unanswered(ctx context.Context, g *placer.Grant, err error, started time.Time) bool {
	var unsent exchanger.ErrNotSent
	if errors.As(err, &unsent) {
		x.sends--
		return x.unsent(g, err, started)
	}
	x.runs++
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, errSilent) {
		return x.over(g, started)
	}
	if errors.Is(context.Cause(ctx), errSilent) {
		err = errSilent
	}
	return x.broke(g, placer.Broken, err.Error(), started)
}

// unsent goes on to another replica, as nothing was sent.
func (x *flight) unsent(g *placer.Grant, err error, started time.Time) bool {
	if x.ctx.Err() != nil {
		return x.over(g, started)
	}
	x.release(g, placer.Unreachable)
	x.note(g, "NotSent", err.Error(), started)
	if len(x.tried) < 2*maxSends {
		return true
	}
	x.end(CodeNoReplica, "no replica could be reached", retryAfterRepeat)
	return false
}

// over ends an attempt whose caller has left or whose time is over.
func (x *flight) over(g *placer.Grant, started time.Time) bool {
	if errors.Is(x.ctx.Err(), context.DeadlineExceeded) {
		x.release(g, placer.Broken)
		x.note(g, CodeDeadline, "no whole answer in time", started)
		x.end(CodeDeadline, "no whole answer in time", 0)
		return false
	}
	x.release(g, placer.Abandoned)
	x.left(g.Replica.ID)
	return false
}

// notRun takes in a replica's word that it did not run the request.
func (x *flight) notRun(g *placer.Grant, ans Answer, started time.Time) bool {
	outcome := placer.NotRun
	if ans.Verdict == NotThere {
		outcome = placer.WrongReplica
	}
	x.release(g, outcome)
	x.note(g, "NotRun", "the replica did not run it", started)
	if x.sends >= maxSends {
		x.end(CodeOverloaded, "replicas did not run it", retryAfterRepeat)
		return false
	}
	return true
}

// broke takes in an attempt that broke after the request may have run.
func (x *flight) broke(g *placer.Grant, o placer.Outcome, detail string, started time.Time) bool {
	x.release(g, o)
	x.note(g, "Broken", detail, started)
	if x.mayRepeat() {
		return true
	}
	x.end(CodeBroken, detail, 0)
	return false
}

// whole passes an answer on after all of it has come.
func (x *flight) whole(ctx context.Context, g *placer.Grant, ans Answer, started time.Time) bool {
	body, err := readAll(ans.Body)
	if err != nil {
		if x.ctx.Err() != nil {
			return x.over(g, started)
		}
		if errors.Is(context.Cause(ctx), errSilent) {
			err = errSilent
		}
		return x.broke(g, placer.Broken, "read answer: "+err.Error(), started)
	}
	if ans.Verdict == Failed && x.mayRepeat() {
		x.release(g, placer.Failed)
		x.note(g, "Failed", "the replica failed the request", started)
		return true
	}
	outcome := placer.Answered
	if ans.Verdict == Failed {
		outcome = placer.Failed
	}
	x.release(g, outcome)
	if err := x.reply.Whole(ans, body); err != nil {
		x.left(g.Replica.ID)
		return false
	}
	x.done(g, ans.Status)
	return false
}

// readAll reads a whole answer of bounded length.
func readAll(b Body) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(b, maxAnswer+1))
	if err == nil && len(data) > maxAnswer {
		err = fmt.Errorf("longer than %d bytes", maxAnswer)
	}
	return data, err
}

// stream passes events on as they come.
func (x *flight) stream(ctx context.Context, g *placer.Grant, ans Answer, first *time.Timer, started time.Time) bool {
	events := newEventReader(ans.Body)
	for {
		e, err := events.next()
		if first.Stop() {
			x.f.config.Placer.AnswerStarted(g)
		}
		if errors.Is(err, io.EOF) {
			return x.streamEnded(g, ans)
		}
		if err != nil {
			return x.streamBroke(ctx, g, err, started)
		}
		if id, ok := eventID(e); ok {
			if id <= x.last {
				continue
			}
			if id != x.last+1 {
				return x.streamBroke(ctx, g, errGap, started)
			}
			x.last = id
		}
		if err := x.pass(ans, e, events.buffered()); err != nil {
			x.release(g, placer.Abandoned)
			x.left(g.Replica.ID)
			return false
		}
		var gap time.Time // the request's own time ends the answer
		if x.mayRepeat() {
			gap = time.Now().Add(eventGapWait)
		}
		ans.Body.SetReadDeadline(gap)
	}
}

var errGap = errors.New("an event of the stream is missing")

func (x *flight) pass(ans Answer, e []byte, more bool) error {
	if !x.begun {
		x.begun = true
		if err := x.reply.Begin(ans); err != nil {
			return err
		}
	}
	if err := x.reply.Event(e); err != nil || more {
		return err
	}
	return x.reply.Flush()
}

func (x *flight) streamEnded(g *placer.Grant, ans Answer) bool {
	x.release(g, placer.Answered)
	if !x.begun {
		x.begun = true
		if err := x.reply.Begin(ans); err != nil {
			x.left(g.Replica.ID)
			return false
		}
	}
	x.done(g, ans.Status)
	return false
}

func (x *flight) streamBroke(ctx context.Context, g *placer.Grant, err error, started time.Time) bool {
	if x.ctx.Err() != nil {
		return x.over(g, started)
	}
	if errors.Is(context.Cause(ctx), errSilent) {
		err = errSilent
	}
	return x.broke(g, placer.Broken, "read event: "+err.Error(), started)
}

func (x *flight) release(g *placer.Grant, o placer.Outcome) {
	held := x.f.config.Placer.Release(g, o)
	if left := time.Until(held); left > 0 && (o == placer.Broken || o == placer.Unreachable || o == placer.WrongReplica) {
		x.f.config.Log.Event(reporter.ReplicaHeld, reporter.Fields{
			"Request": x.call.ID, "Peer": g.Replica.ID, "Address": g.Replica.Address, "For": left.String(),
		})
	}
}

// unplaced ends a request that got no replica.
func (x *flight) unplaced(err error) {
	var room placer.ErrRejected
	switch {
	case errors.As(err, &room):
		code := CodeOverloaded
		if !room.AnyEligible {
			code = CodeNoReplica
		}
		x.refuse(code, room.Reason, room.RetryAfter, room.QueueLength)
	case errors.Is(x.ctx.Err(), context.DeadlineExceeded):
		x.end(CodeDeadline, "no replica had room in time", 0)
	default:
		x.left("")
	}
}

// end ends a request without a whole answer.
func (x *flight) end(code, detail string, retryAfter time.Duration) {
	x.refuse(code, detail, retryAfter, 0)
}

func (x *flight) refuse(code, detail string, retryAfter time.Duration, queue int) {
	e := filbertstile.ErrRequest{Code: code, Run: x.ran(), Step: "forward request", RetryAfter: retryAfter, Detail: detail}
	event := reporter.RequestRefused
	if e.Run != filbertstile.NotRun {
		event = reporter.RequestFailed
	}
	x.f.config.Log.Event(event, x.fields(reporter.Fields{
		"Code": code, "Run": e.Run, "Detail": detail, "RetryAfter": retryAfter.String(), "Queue": queue, "Begun": x.begun,
	}))
	x.f.config.Observe(x.call, code, time.Since(x.call.Arrived))
	if x.begun {
		x.reply.Abort()
		return
	}
	x.reply.Refuse(e)
}

// ran is what may be said of the request: it has not run only if every send
// was answered with that word, or nothing was sent.
func (x *flight) ran() filbertstile.RunState {
	if x.runs == 0 {
		return filbertstile.NotRun
	}
	return filbertstile.Unknown
}

func (x *flight) left(replica string) {
	x.f.config.Log.Event(reporter.CallerLeft, x.fields(reporter.Fields{"Peer": replica, "Begun": x.begun}))
	x.f.config.Observe(x.call, "CallerLeft", time.Since(x.call.Arrived))
	x.reply.Abort()
}

func (x *flight) done(g *placer.Grant, status int) {
	x.f.config.Log.Event(reporter.RequestDone, x.fields(reporter.Fields{"Peer": g.Replica.ID, "Status": status, "Load": g.InFlight, "Tokens": g.PendingTokens}))
	x.f.config.Observe(x.call, "Done", time.Since(x.call.Arrived))
}

func (x *flight) note(g *placer.Grant, what, detail string, started time.Time) {
	x.f.config.Log.Event(reporter.AttemptEnded, x.fields(reporter.Fields{
		"Peer": g.Replica.ID, "Address": g.Replica.Address, "Outcome": what, "Detail": detail,
		"Load": g.InFlight, "Tokens": g.PendingTokens, "AttemptTook": time.Since(started).String(),
	}))
}

func (x *flight) fields(f reporter.Fields) reporter.Fields {
	c := x.call
	f["Request"], f["Route"], f["Service"], f["Account"] = c.ID, c.Route.Name, c.Service, c.Account
	f["Took"], f["Waited"], f["Sends"], f["Runs"] = time.Since(c.Arrived).String(), x.waited.String(), x.sends, x.runs
	f["Config"], f["ConfigAge"] = c.Config, c.ConfigAge.String()
	return f
}
