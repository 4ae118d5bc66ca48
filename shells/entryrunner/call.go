package entryrunner

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/decisions/dispatcher"
	"filbertstile.example/filbertstile/decisions/router"
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
	c.entry.node.Log.Event(reporter.RequestFailed, reporter.Fields{
		"Request": c.request.ID, "Account": c.request.Account, "Code": err.Code, "Run": err.Run, "Step": err.Step, "Peer": err.Peer, "Detail": err.Detail,
	})
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

// offerResult is the result of requesting a slot from a host.
type offerResult struct {
	to     dispatcher.Target
	stream *messenger.Stream
	frame  *wire.Frame
	err    error
}

// sendAfterOffer requests a slot from each target and runs the request at the first host
// that offers one. The other hosts get no Go and so do not run the request. It reports
// whether the call has ended.
func (c *call) sendAfterOffer(cmd dispatcher.Send) bool {
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	results := make(chan offerResult, len(cmd.Targets))
	for _, to := range cmd.Targets {
		c.entry.callsWG.Go(func() { results <- c.requestSlot(ctx, cmd, to) })
	}
	for pending := len(cmd.Targets); pending > 0; pending-- {
		o := <-results
		if o.err != nil {
			c.reportUnreachable(o.to.Host.Name)
			continue
		}
		if o.frame.GetAccepted() == nil {
			c.handleSlotRefusal(o)
			continue
		}
		cancel()
		c.releaseOthers(cmd, o, results, pending-1)
		return c.sendGo(o)
	}
	return false
}

// requestSlot requests a slot from a host and waits for the reply. It closes the
// stream if it returns an error in the result.
func (c *call) requestSlot(ctx context.Context, cmd dispatcher.Send, to dispatcher.Target) offerResult {
	o := offerResult{to: to}
	// The stream of the chosen host must outlive ctx, which is cancelled to end the other
	// requests for a slot.
	if o.stream, o.err = c.open(c.ctx, cmd, to, true); o.err != nil {
		return o
	}
	stop := context.AfterFunc(ctx, o.stream.Abort)
	timeout := time.AfterFunc(offerTimeout, o.stream.Abort)
	o.frame, o.err = o.stream.Receive()
	if !stop() && o.err == nil && o.frame.GetAccepted() != nil {
		o.err = context.Canceled
	}
	if !timeout.Stop() && o.err == nil {
		o.err = errOfferTimeout
	}
	if o.err != nil {
		o.stream.Close()
	}
	return o
}

// errOfferTimeout reports a slot that was offered after offerTimeout.
var errOfferTimeout = errors.New("the host offered the slot too late")

// handleSlotRefusal handles a reply that does not offer a slot.
func (c *call) handleSlotRefusal(o offerResult) {
	defer o.stream.Close()
	if r := o.frame.GetRefusal(); r != nil {
		c.handleRefusal(o.to.Host.Name, r)
		return
	}
	c.reportUnreachable(o.to.Host.Name)
}

// releaseOthers reports to the core that only the chosen host has the request, and closes
// the streams to the other hosts.
func (c *call) releaseOthers(cmd dispatcher.Send, chosen offerResult, results <-chan offerResult, pending int) {
	for _, to := range cmd.Targets {
		if to.Host.Name != chosen.to.Host.Name {
			c.entry.loop.Post(dispatcher.OfferDeclined{ID: c.request.ID, Host: to.Host.Name})
		}
	}
	c.entry.callsWG.Go(func() {
		for range pending {
			if o := <-results; o.err == nil {
				o.stream.Close()
			}
		}
	})
}

// sendGo tells the host to run the request, and relays the response.
func (c *call) sendGo(o offerResult) bool {
	defer o.stream.Close()
	c.entry.attempts.Inc(1)
	// From here on, only the host knows whether the request has run.
	c.goSent = true
	_ = o.stream.Send(&wire.Frame{Kind: &wire.Frame_Go{Go: &wire.Go{}}})
	return c.relay(o.to, o.frame.GetAccepted().GetIncarnation(), o.stream)
}

// relay passes the response from a host on to the caller, and reports whether the call has
// ended. The offsets of the data must be consecutive.
func (c *call) relay(to dispatcher.Target, incarnation string, s *messenger.Stream) bool {
	digest := xxhash.New()
	length := int64(0)
	for {
		f, err := s.Receive()
		if err != nil {
			return c.handleContactLost(to, incarnation, "read response", err)
		}
		switch k := f.GetKind().(type) {
		case *wire.Frame_Head:
			c.handleHead(to, k.Head)
		case *wire.Frame_Data:
			if k.Data.GetOffset() != c.offset {
				err := fmt.Errorf("data has offset %d, want %d", k.Data.GetOffset(), c.offset)
				return c.handleContactLost(to, incarnation, "read response", err)
			}
			c.offset++
			length += int64(len(k.Data.GetPiece()))
			_, _ = digest.Write(k.Data.GetPiece())
			c.emit(piece{data: k.Data.GetPiece()})
		case *wire.Frame_End:
			if k.End.GetLength() != length || k.End.GetDigest() != digest.Sum64() {
				return c.handleContactLost(to, incarnation, "verify response", fmt.Errorf("the %d bytes received do not match the length and digest of the response", length))
			}
			c.weightsDigest = to.Whole
			return c.handleEnd(to.Host.Name, k.End)
		case *wire.Frame_Refusal:
			return c.handleRefusal(to.Host.Name, k.Refusal)
		}
	}
}

// handleHead passes the head on, unless an earlier attempt has already done so.
func (c *call) handleHead(to dispatcher.Target, h *wire.Head) {
	if c.headSent {
		return
	}
	c.headSent = true
	if h.GetRelease() == "" {
		h.Release = to.Release
	}
	c.weightsDigest = to.Whole
	c.emit(piece{head: h})
}

// handleEnd ends the call after a complete response.
func (c *call) handleEnd(host string, end *wire.End) bool {
	// The load does not include this request any more, so the core must process the end
	// of the request first.
	c.entry.loop.Post(dispatcher.Ended{ID: c.request.ID, Host: host, OK: true})
	c.entry.handleLoad(host, end.GetLoad())
	c.emit(piece{end: true})
	return true
}

// handleRefusal handles the refusal of a host, which did not run the request or whose
// backend server failed. It returns false, as the call has not ended.
func (c *call) handleRefusal(host string, r *wire.Refusal) bool {
	var load router.Load
	if r.GetLoad() != nil {
		load = toLoad(r.GetLoad())
	}
	if filbertstile.RunState(r.GetRun()) == filbertstile.NotRun {
		c.entry.loop.Post(dispatcher.Refused{
			ID: c.request.ID, Host: host, Code: r.GetCode(), Load: load, Reached: true,
			RetryAfter: time.Duration(r.GetRetryAfterMilliseconds()) * time.Millisecond,
		})
		return false
	}
	c.entry.loop.Post(dispatcher.AttemptFailed{
		ID: c.request.ID, Host: host, Step: "run", Detail: r.GetDetail(), Delivered: c.headSent, Whole: c.weightsDigest,
	})
	return false
}

// handleContactLost handles a response that is incomplete or invalid, and reports whether
// the call has ended. A non-idempotent request is sealed at the host: after that it is
// known not to have run, or its outcome is known, or the outcome remains unknown.
func (c *call) handleContactLost(to dispatcher.Target, incarnation, step string, cause error) bool {
	c.entry.node.Client.CloseSession(to.Host.Address)
	failure := dispatcher.AttemptFailed{ID: c.request.ID, Host: to.Host.Name, Step: step, Detail: cause.Error(), Delivered: c.headSent, Whole: c.weightsDigest}
	if !c.request.Once {
		c.entry.loop.Post(failure)
		return false
	}
	if !c.goSent {
		failure.NotRun = true
		c.entry.loop.Post(failure)
		return false
	}
	c.incarnation = incarnation
	sealed, err := c.entry.seal(c.ctx, to.Host, incarnation, c.request.ID)
	if err != nil {
		c.entry.loop.Post(failure)
		return false
	}
	switch filbertstile.RunState(sealed.GetRun()) {
	case filbertstile.NotRun:
		failure.NotRun = true
		c.entry.loop.Post(failure)
		return false
	case filbertstile.Ran:
		c.entry.loop.Post(dispatcher.Ended{ID: c.request.ID, Host: to.Host.Name, OK: true})
		c.replay(sealedOutcome(sealed))
		return true
	default:
		c.entry.loop.Post(failure)
		return false
	}
}

// replay responds with a recorded outcome. It ends the call with an error if the body was
// not stored, or if the caller has already received a part of the response.
func (c *call) replay(o recorder.Outcome) {
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
