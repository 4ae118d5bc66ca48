package entryrunner

import (
	"context"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/decisions/dispatcher"
	"filbertstile.example/filbertstile/shells/recorder"
	"filbertstile.example/filbertstile/transport/messenger"
)

// Codes of errors, in addition to those of package dispatcher.
const (
	codeRecordUnreachable = "RecordOutOfReach"
	codeInProgress        = "InProgress"
	codeKeyReused         = "KeyReused"
	codeOutcomeUnknown    = "OutcomeUnknown"
	codeOutcomeTooLarge   = "OutcomeTooLarge"
	codeResponseTruncated = "AnswerTorn"
	codeBadJSON           = "BadJSON"
	codeBadRequest        = "BadRequest"
	codeNoToken           = "NoToken"
	codeStopping          = "Stopping"
	codeUnreachable       = "Unreachable"
	stepIntent            = "record intent"
	// pieceBufferSize is the number of pieces of a response that are buffered for the caller.
	pieceBufferSize = 64
	// inProgressRetryAfter is the RetryAfter of errors after which the caller may get the
	// recorded outcome by a retry with the same key.
	inProgressRetryAfter = time.Second
	// offerTimeout is the maximum time to wait for a host to offer a slot.
	offerTimeout = time.Second
)

// piece is a piece of a response: its head, data, its end, or the error that ended the
// call.
type piece struct {
	head *wire.Head
	data []byte
	// end marks the end of a complete response.
	end bool
	err *filbertstile.ErrRequest
}

// call is a caller's request that has not ended. One goroutine runs it.
type call struct {
	entry   *Entry
	request dispatcher.Request
	// dispatch holds the fields of the message to the host that are the same in all
	// attempts.
	dispatch wire.Dispatch
	// recordKey is the key of the record of a non-idempotent call; empty for other calls.
	recordKey string
	// bodyDigest is the digest of the method, the path and the body of a non-idempotent
	// call.
	bodyDigest string
	// intentCommitted is true once the intent of a non-idempotent call is committed.
	intentCommitted bool
	ctx             context.Context
	cancel          context.CancelFunc
	commands        chan dispatcher.Command
	pieces          chan piece
	// offset is the number of pieces of data received from hosts and passed on.
	offset   int64
	headSent bool
	// truncated is true once a piece could not be passed on. The pieces after it are
	// dropped.
	truncated bool
	// weightsDigest is the digest of the weights that generated the response so far.
	weightsDigest filbertstile.Digest
	startedAt     time.Time
	// goSent is true once a host was sent Go. It may have run the request since.
	goSent bool
	// incarnation is the incarnation of the host process that was running a
	// non-idempotent call when the contact was lost.
	incarnation string
}

// startCall registers the call, runs it in a goroutine and returns the channel for the
// pieces of the response.
func (e *Entry) startCall(c *call) <-chan piece {
	c.entry = e
	c.ctx, c.cancel = context.WithDeadline(e.ctx, c.request.Deadline)
	c.commands = make(chan dispatcher.Command, 4)
	c.pieces = make(chan piece, pieceBufferSize)
	c.startedAt = time.Now()
	e.requests.Inc(1)
	e.mu.Lock()
	e.calls[c.request.ID] = c
	e.mu.Unlock()
	e.callsWG.Go(func() {
		defer c.finish()
		c.run()
	})
	return c.pieces
}

// finish unregisters the call and closes the channel of its pieces.
func (c *call) finish() {
	c.cancel()
	e := c.entry
	e.mu.Lock()
	delete(e.calls, c.request.ID)
	e.mu.Unlock()
	e.latency.Update(time.Since(c.startedAt).Microseconds())
	close(c.pieces)
}

// execute executes a command of the dispatcher's core.
func (e *Entry) execute(cmd dispatcher.Command) {
	switch cmd := cmd.(type) {
	case dispatcher.Send:
		e.deliver(cmd.ID, cmd)
	case dispatcher.Reject:
		e.deliver(cmd.ID, cmd)
	case dispatcher.RequestGrants:
		e.requestGrants(cmd)
	}
}

// deliver passes a command to its call, if the call has not ended.
func (e *Entry) deliver(id string, cmd dispatcher.Command) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c := e.calls[id]; c != nil {
		// This does not block, as the core sends one command at a time to each call.
		c.commands <- cmd
	}
}

// run executes the core's commands until the call has ended.
func (c *call) run() {
	if !c.entry.loop.Post(dispatcher.Arrived{Request: c.request}) {
		c.fail(filbertstile.ErrRequest{Code: codeStopping, Run: filbertstile.NotRun, Step: "admit", RetryAfter: time.Second, Detail: "this entry is stopping"})
		return
	}
	for {
		cmd, ok := c.nextCommand()
		if !ok {
			return
		}
		switch cmd := cmd.(type) {
		case dispatcher.Reject:
			c.handleReject(cmd)
			return
		case dispatcher.Send:
			if c.send(cmd) {
				return
			}
		}
	}
}

// nextCommand waits for the core's next command. It reports false if the entry stops
// first. It needs no deadline of its own, as the core rejects queued requests at theirs.
func (c *call) nextCommand() (dispatcher.Command, bool) {
	select {
	case cmd := <-c.commands:
		return cmd, true
	case <-c.entry.ctx.Done():
		c.fail(filbertstile.ErrRequest{Code: codeStopping, Run: c.runState(), Step: "wait", Detail: "this entry has stopped"})
		return nil, false
	}
}

// runState returns the run state of a call that ends because the entry stops.
func (c *call) runState() filbertstile.RunState {
	switch {
	case c.headSent:
		return filbertstile.Ran
	case c.request.Once && c.intentCommitted:
		return filbertstile.Unknown
	default:
		return filbertstile.NotRun
	}
}

// fail logs the error and passes it on as the last piece of the response.
func (c *call) fail(err filbertstile.ErrRequest) {
	c.entry.failures.Inc(1)
	f := reporter.Fields{
		"Request": c.request.ID, "Account": c.request.Account, "Code": err.Code, "Run": err.Run, "Step": err.Step, "Peer": err.Peer, "Detail": err.Detail,
	}
	if err.Run == filbertstile.NotRun {
		f["Short"] = shortOf(err.Code)
	}
	c.entry.node.Log.Event(reporter.RequestFailed, f)
	c.emit(piece{err: &err})
}

// emit passes a piece on to the caller. It drops the piece if the call's context ends
// while the caller is too slow to receive it. All pieces after a dropped one are dropped
// as well, so that a truncated response has no end.
func (c *call) emit(p piece) {
	if c.truncated {
		return
	}
	select {
	case c.pieces <- p:
		return
	default:
	}
	select {
	case c.pieces <- p:
	case <-c.ctx.Done():
		c.truncated = true
	}
}

// firstPiece waits for the first piece of the response.
func firstPiece(pieces <-chan piece) piece {
	p, ok := <-pieces
	if !ok {
		return piece{err: &filbertstile.ErrRequest{Code: codeResponseTruncated, Run: filbertstile.Unknown, Step: "read response", Detail: "the deadline passed before the response began"}}
	}
	return p
}

// handleReject records the outcome of a non-idempotent call, and ends the call.
func (c *call) handleReject(cmd dispatcher.Reject) {
	if c.intentCommitted {
		c.entry.recordOutcome(recorder.Outcome{Key: c.recordKey, RequestID: c.request.ID, Run: cmd.Err.Run, Host: cmd.Err.Peer})
		if cmd.Err.Run == filbertstile.Unknown {
			c.entry.node.Log.Event(reporter.OutcomeUnknown, reporter.Fields{"Request": c.request.ID, "Account": c.request.Account, "Peer": cmd.Err.Peer})
			c.resolveInBackground(cmd.Err.Peer)
		}
	}
	c.fail(cmd.Err)
}

// send sends the request to the hosts that the core chose, and reports whether the call
// has ended.
func (c *call) send(cmd dispatcher.Send) bool {
	first := cmd.Targets[0]
	if c.request.Once && !c.intentCommitted {
		if ended := c.recordIntent(first.Host.Name); ended {
			return true
		}
	}
	if cmd.Resumed {
		c.entry.node.Log.Event(reporter.StreamResumed, reporter.Fields{"Request": c.request.ID, "Peer": first.Host.Name, "Offset": c.offset})
	}
	if c.request.Once || len(cmd.Targets) > 1 {
		return c.sendAfterOffer(cmd)
	}
	c.entry.attempts.Inc(1)
	s, err := c.open(c.ctx, cmd, first, false)
	if err != nil {
		c.reportUnreachable(first.Host.Name)
		return false
	}
	defer s.Close()
	return c.relay(first, "", s)
}

// open sends the request to a host. If offer is true, the host must offer a slot and
// wait for Go before it runs the request.
func (c *call) open(ctx context.Context, cmd dispatcher.Send, to dispatcher.Target, offer bool) (*messenger.Stream, error) {
	d := &wire.Dispatch{
		Service: c.dispatch.GetService(), Account: c.dispatch.GetAccount(), Method: c.dispatch.GetMethod(), Path: c.dispatch.GetPath(), Body: c.dispatch.GetBody(),
		Stream: c.dispatch.GetStream(), IdempotencyKey: c.dispatch.GetIdempotencyKey(), Once: c.request.Once, Offer: offer,
		Priority: int32(cmd.Rank), Weight: int32(cmd.Weight), Tier: cmd.Tier, Offset: c.offset, Release: string(to.Whole),
		TimeoutMilliseconds: time.Until(c.request.Deadline).Milliseconds(),
		Revision:            c.entry.node.Holder.View().Config.Revision,
	}
	return c.entry.node.Client.Open(ctx, to.Host.Address, &wire.Request{Id: c.request.ID, Kind: &wire.Request_Dispatch{Dispatch: d}})
}

// reportUnreachable reports to the core that a host has received no request, or no Go.
// In both cases the host does not run the request.
func (c *call) reportUnreachable(host string) {
	c.entry.loop.Post(dispatcher.Refused{ID: c.request.ID, Host: host, Code: codeUnreachable})
}

// replay responds with a recorded outcome. It ends the call with an error if the response or
// its body was not stored, or if the caller has already received a part of the response.
func (c *call) replay(o recorder.Outcome) {
	if o.Status == 0 {
		c.fail(filbertstile.ErrRequest{Code: codeOutcomeUnknown, Run: filbertstile.Unknown, Step: "replay outcome", Detail: "the response to the call was cut short and is not stored; look the call up before you repeat it with a new key"})
		return
	}
	if o.BodyOmitted {
		c.fail(filbertstile.ErrRequest{Code: codeOutcomeTooLarge, Run: filbertstile.Ran, Step: "replay outcome", Detail: "the call ran, but its response was too large to be stored"})
		return
	}
	if c.headSent {
		c.fail(filbertstile.ErrRequest{Code: codeResponseTruncated, Run: filbertstile.Ran, Step: "read response", RetryAfter: inProgressRetryAfter, Detail: "the call ran, but its response was truncated; repeat it with the same key to get the complete response"})
		return
	}
	c.headSent = true
	c.emit(piece{head: &wire.Head{Status: int32(o.Status), ContentType: o.ContentType}})
	c.emit(piece{data: o.Body})
	c.emit(piece{end: true})
}

// recordIntent commits the intent of a non-idempotent call before the call is sent. It
// reports whether the call has ended, in which case it must not be sent.
func (c *call) recordIntent(host string) bool {
	r, err := c.entry.commitIntent(c.ctx, recorder.Intent{
		Key: c.recordKey, BodyDigest: c.bodyDigest, RequestID: c.request.ID, At: time.Now().UTC(),
	})
	if err != nil {
		// The intent may still be committed, but the call was not sent and will not be.
		c.entry.recordOutcome(recorder.Outcome{Key: c.recordKey, RequestID: c.request.ID, Run: filbertstile.NotRun})
		c.endWithError(host, filbertstile.ErrRequest{Code: codeRecordUnreachable, Run: filbertstile.NotRun, Step: stepIntent, Peer: "object API", RetryAfter: time.Second, Detail: err.Error()})
		return true
	}
	switch r.Decision {
	case recorder.DecisionNew, recorder.DecisionCommitted:
		c.intentCommitted = true
		return false
	case recorder.DecisionReplay:
		c.entry.loop.Post(dispatcher.Ended{ID: c.request.ID, Host: host})
		c.replay(r.Record.Outcome)
	case recorder.DecisionMismatch:
		c.endWithError(host, filbertstile.ErrRequest{Code: codeKeyReused, Run: filbertstile.NotRun, Step: stepIntent, Detail: "Idempotency-Key was used with another method, path or body"})
	case recorder.DecisionInProgress:
		c.endWithError(host, filbertstile.ErrRequest{Code: codeInProgress, Run: filbertstile.Unknown, Step: stepIntent, RetryAfter: inProgressRetryAfter, Detail: "an earlier attempt with this key is in progress"})
	default:
		c.endWithError(host, filbertstile.ErrRequest{Code: codeOutcomeUnknown, Run: filbertstile.Unknown, Step: stepIntent, Detail: "an earlier attempt with this key may have run; look it up before you repeat it with a new key"})
	}
	return true
}

// endWithError ends a call that must not be sent.
func (c *call) endWithError(host string, err filbertstile.ErrRequest) {
	c.entry.loop.Post(dispatcher.Ended{ID: c.request.ID, Host: host})
	c.fail(err)
}

// recordResponse records the complete response to a non-idempotent call.
func (c *call) recordResponse(status int, contentType string, body []byte) {
	if !c.intentCommitted {
		return
	}
	c.entry.recordOutcome(recorder.Outcome{
		Key: c.recordKey, RequestID: c.request.ID, Run: filbertstile.Ran, Status: status, ContentType: contentType, Body: body,
	})
}
