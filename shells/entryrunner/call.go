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

// Codes of refusals that the shell of an entry gives.
const (
	codeRecord      = "RecordOutOfReach"
	codeInProgress  = "InProgress"
	codeMismatch    = "KeyReused"
	codeUnknown     = "OutcomeUnknown"
	codeOmitted     = "OutcomeTooLarge"
	codeTorn        = "AnswerTorn"
	codeBadJSON     = "BadJSON"
	codeBadRequest  = "BadRequest"
	codeNoToken     = "NoToken"
	codeStopping    = "Stopping"
	codeUnreachable = "Unreachable"
	stepIntent      = "record intent"
	pieceBuffer     = 64
	inProgressRetry = time.Second
	// acceptTimeout is how long a host may take to offer a slot.
	acceptTimeout = time.Second
)

// piece is a part of the answer on its way to the caller.
type piece struct {
	head *wire.Head
	data []byte
	// end is true after the last part.
	end bool
	err *filbertstile.ErrRequest
}

// call is a caller's request in hand. One goroutine drives it.
type call struct {
	entry   *Entry
	request dispatcher.Request
	// work is what the backend server gets.
	work wire.Dispatch
	// recordKey is set for a non-idempotent call.
	recordKey  string
	bodyDigest string
	committed  bool
	ctx        context.Context
	cancel     context.CancelFunc
	commands   chan dispatcher.Command
	pieces     chan piece
	// offset is the number of pieces that the caller has.
	offset int64
	headed bool
	// torn is true once a part could not be passed on: no end may follow.
	torn    bool
	whole   filbertstile.Digest
	started time.Time
	// went is true once a host was told to run a non-idempotent call.
	went bool
	// incarnation is that of the host that a non-idempotent call was lost at.
	incarnation string
}

// start takes the call in and returns its parts as they come.
func (e *Entry) start(c *call) <-chan piece {
	c.entry = e
	c.ctx, c.cancel = context.WithDeadline(e.ctx, c.request.Deadline)
	c.commands = make(chan dispatcher.Command, 4)
	c.pieces = make(chan piece, pieceBuffer)
	c.started = time.Now()
	e.requests.Inc(1)
	e.mu.Lock()
	e.calls[c.request.ID] = c
	e.mu.Unlock()
	e.callsWG.Go(func() {
		defer c.finish()
		c.drive()
	})
	return c.pieces
}

func (c *call) finish() {
	c.cancel()
	e := c.entry
	e.mu.Lock()
	delete(e.calls, c.request.ID)
	e.mu.Unlock()
	e.latency.Update(time.Since(c.started).Microseconds())
	close(c.pieces)
}

// execute hands the core's commands to the calls that they are for.
func (e *Entry) execute(cmd dispatcher.Command) {
	switch cmd := cmd.(type) {
	case dispatcher.Send:
		e.hand(cmd.ID, cmd)
	case dispatcher.Reject:
		e.hand(cmd.ID, cmd)
	case dispatcher.RequestGrants:
		e.askOwners(cmd)
	}
}

func (e *Entry) hand(id string, cmd dispatcher.Command) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c := e.calls[id]; c != nil {
		// The core gives a call one command at a time.
		c.commands <- cmd
	}
}

// drive carries out the core's decisions until the call has its answer.
func (c *call) drive() {
	if !c.entry.loop.Post(dispatcher.Arrived{Request: c.request}) {
		c.fail(filbertstile.ErrRequest{Code: codeStopping, Run: filbertstile.NotRun, Step: "admit", RetryAfter: time.Second, Detail: "this entry is stopping"})
		return
	}
	for {
		cmd, ok := c.next()
		if !ok {
			return
		}
		switch cmd := cmd.(type) {
		case dispatcher.Reject:
			c.rejected(cmd)
			return
		case dispatcher.Send:
			if c.send(cmd) {
				return
			}
		}
	}
}

// next waits for the core's command. The core gives up waiting requests at
// their deadline, so only the end of the entry comes before it.
func (c *call) next() (dispatcher.Command, bool) {
	select {
	case cmd := <-c.commands:
		return cmd, true
	case <-c.entry.ctx.Done():
		c.fail(filbertstile.ErrRequest{Code: codeStopping, Run: c.unanswered(), Step: "wait", Detail: "this entry was stopped"})
		return nil, false
	}
}

func (c *call) unanswered() filbertstile.RunState {
	switch {
	case c.headed:
		return filbertstile.Ran
	case c.request.Once && c.committed:
		return filbertstile.Unknown
	default:
		return filbertstile.NotRun
	}
}

func (c *call) fail(err filbertstile.ErrRequest) {
	c.entry.failures.Inc(1)
	c.entry.node.Log.Event(reporter.RequestFailed, reporter.Fields{
		"Request": c.request.ID, "Account": c.request.Account, "Code": err.Code, "Run": err.Run, "Step": err.Step, "Peer": err.Peer, "Detail": err.Detail,
	})
	c.emit(piece{err: &err})
}

// emit passes a part on, unless the caller is gone or too slow. After a part
// that was dropped nothing follows, so that a torn answer has no end.
func (c *call) emit(p piece) {
	if c.torn {
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
		c.torn = true
	}
}

// firstOf waits for the first part of the answer.
func firstOf(pieces <-chan piece) piece {
	p, ok := <-pieces
	if !ok {
		return piece{err: &filbertstile.ErrRequest{Code: codeTorn, Run: filbertstile.Unknown, Step: "read answer", Detail: "the deadline passed before the answer began"}}
	}
	return p
}

func (c *call) rejected(cmd dispatcher.Reject) {
	if c.committed {
		c.entry.recordOutcome(recorder.Outcome{Key: c.recordKey, RequestID: c.request.ID, Run: cmd.Err.Run, Host: cmd.Err.Peer})
		if cmd.Err.Run == filbertstile.Unknown {
			c.entry.node.Log.Event(reporter.OutcomeUnknown, reporter.Fields{"Request": c.request.ID, "Account": c.request.Account, "Peer": cmd.Err.Peer})
			c.resolveLater(cmd.Err.Peer)
		}
	}
	c.fail(cmd.Err)
}

// send passes the request to the hosts that the core chose, and reports
// whether the call is over.
func (c *call) send(cmd dispatcher.Send) bool {
	first := cmd.Targets[0]
	if c.request.Once && !c.committed {
		if over := c.intend(first.Host.Name); over {
			return true
		}
	}
	if cmd.Resumed {
		c.entry.node.Log.Event(reporter.StreamResumed, reporter.Fields{"Request": c.request.ID, "Peer": first.Host.Name, "Offset": c.offset})
	}
	if c.request.Once || len(cmd.Targets) > 1 {
		return c.bind(cmd)
	}
	c.entry.attempts.Inc(1)
	s, err := c.open(c.ctx, cmd, first, false)
	if err != nil {
		c.unreached(first.Host.Name)
		return false
	}
	defer s.Close()
	return c.relay(first, "", s)
}

func (c *call) open(ctx context.Context, cmd dispatcher.Send, to dispatcher.Target, offer bool) (*messenger.Stream, error) {
	d := &wire.Dispatch{
		Service: c.work.GetService(), Account: c.work.GetAccount(), Method: c.work.GetMethod(), Path: c.work.GetPath(), Body: c.work.GetBody(),
		Stream: c.work.GetStream(), IdempotencyKey: c.work.GetIdempotencyKey(), Once: c.request.Once, Offer: offer,
		Priority: int32(cmd.Rank), Weight: int32(cmd.Weight), Tier: cmd.Tier, Offset: c.offset, Release: string(to.Whole),
		TimeoutMilliseconds: time.Until(c.request.Deadline).Milliseconds(),
		Revision:            c.entry.node.Holder.View().Config.Revision,
	}
	return c.entry.node.Client.Open(ctx, to.Host.Address, &wire.Request{Id: c.request.ID, Kind: &wire.Request_Dispatch{Dispatch: d}})
}

// unreached tells the core that a host did not get the request, or did not get
// its Go: in either case it does not run there.
func (c *call) unreached(host string) {
	c.entry.loop.Post(dispatcher.Refused{ID: c.request.ID, Host: host, Code: codeUnreachable})
}

// offer is a host's first word on a request that waits for Go.
type offer struct {
	to     dispatcher.Target
	stream *messenger.Stream
	frame  *wire.Frame
	err    error
}

// bind offers the request to several hosts and runs it at the first that has a
// slot. A host that got no Go has not run it.
func (c *call) bind(cmd dispatcher.Send) bool {
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	offers := make(chan offer, len(cmd.Targets))
	for _, to := range cmd.Targets {
		c.entry.callsWG.Go(func() { offers <- c.offerTo(ctx, cmd, to) })
	}
	for pending := len(cmd.Targets); pending > 0; pending-- {
		o := <-offers
		if o.err != nil {
			c.unreached(o.to.Host.Name)
			continue
		}
		if o.frame.GetAccepted() == nil {
			c.declined(o)
			continue
		}
		cancel()
		c.dismiss(cmd, o, offers, pending-1)
		return c.goAhead(o)
	}
	return false
}

func (c *call) offerTo(ctx context.Context, cmd dispatcher.Send, to dispatcher.Target) offer {
	o := offer{to: to}
	// The winner's stream lives on when the others are dismissed.
	if o.stream, o.err = c.open(c.ctx, cmd, to, true); o.err != nil {
		return o
	}
	stop := context.AfterFunc(ctx, o.stream.Abort)
	silent := time.AfterFunc(acceptTimeout, o.stream.Abort)
	o.frame, o.err = o.stream.Receive()
	if !stop() && o.err == nil && o.frame.GetAccepted() != nil {
		o.err = context.Canceled
	}
	if !silent.Stop() && o.err == nil {
		o.err = errTooLate
	}
	if o.err != nil {
		o.stream.Close()
	}
	return o
}

// errTooLate is a slot that was offered after the entry had given up waiting.
var errTooLate = errors.New("the slot came too late")

// declined takes in a host's refusal to offer a slot.
func (c *call) declined(o offer) {
	defer o.stream.Close()
	if r := o.frame.GetRefusal(); r != nil {
		c.refused(o.to.Host.Name, r)
		return
	}
	c.unreached(o.to.Host.Name)
}

// dismiss lets go of the hosts that were not first.
func (c *call) dismiss(cmd dispatcher.Send, winner offer, offers <-chan offer, pending int) {
	for _, to := range cmd.Targets {
		if to.Host.Name != winner.to.Host.Name {
			c.entry.loop.Post(dispatcher.OfferDeclined{ID: c.request.ID, Host: to.Host.Name})
		}
	}
	c.entry.callsWG.Go(func() {
		for range pending {
			if o := <-offers; o.err == nil {
				o.stream.Close()
			}
		}
	})
}

// goAhead tells the host to run the request, and passes on its answer.
func (c *call) goAhead(o offer) bool {
	defer o.stream.Close()
	c.entry.attempts.Inc(1)
	// From here on only the host knows.
	c.went = true
	_ = o.stream.Send(&wire.Frame{Kind: &wire.Frame_Go{Go: &wire.Go{}}})
	return c.relay(o.to, o.frame.GetAccepted().GetIncarnation(), o.stream)
}

// relay reads the answer's frames; each must be the next one.
func (c *call) relay(to dispatcher.Target, incarnation string, s *messenger.Stream) bool {
	digest := xxhash.New()
	length := int64(0)
	for {
		f, err := s.Receive()
		if err != nil {
			return c.lost(to, incarnation, "read answer", err)
		}
		switch k := f.GetKind().(type) {
		case *wire.Frame_Head:
			c.head(to, k.Head)
		case *wire.Frame_Data:
			if k.Data.GetOffset() != c.offset {
				err := fmt.Errorf("piece %d where %d was due", k.Data.GetOffset(), c.offset)
				return c.lost(to, incarnation, "read answer", err)
			}
			c.offset++
			length += int64(len(k.Data.GetPiece()))
			_, _ = digest.Write(k.Data.GetPiece())
			c.emit(piece{data: k.Data.GetPiece()})
		case *wire.Frame_End:
			if k.End.GetLength() != length || k.End.GetDigest() != digest.Sum64() {
				return c.lost(to, incarnation, "check answer", fmt.Errorf("%d bytes with another digest than the end says", length))
			}
			c.whole = to.Whole
			return c.done(to.Host.Name, k.End)
		case *wire.Frame_Refusal:
			return c.refused(to.Host.Name, k.Refusal)
		}
	}
}

func (c *call) head(to dispatcher.Target, h *wire.Head) {
	if c.headed {
		return
	}
	c.headed = true
	if h.GetRelease() == "" {
		h.Release = to.Release
	}
	c.whole = to.Whole
	c.emit(piece{head: h})
}

func (c *call) done(host string, end *wire.End) bool {
	// The report does not count this request any more, so the core must not
	// either when it takes the report in.
	c.entry.loop.Post(dispatcher.Ended{ID: c.request.ID, Host: host, OK: true})
	c.entry.noteLoad(host, end.GetLoad())
	c.emit(piece{end: true})
	return true
}

// refused takes in a host's word that it did not run the request, or that the
// backend server failed it.
func (c *call) refused(host string, r *wire.Refusal) bool {
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
		ID: c.request.ID, Host: host, Step: "run", Detail: r.GetDetail(), Delivered: c.headed, Whole: c.whole,
	})
	return false
}

// lost decides about a request whose host went silent. A non-idempotent one is
// sealed: either it surely did not run, or its outcome is known, or it is
// unknown and stays so.
func (c *call) lost(to dispatcher.Target, incarnation, step string, cause error) bool {
	c.entry.node.Client.CloseSession(to.Host.Address)
	broke := dispatcher.AttemptFailed{ID: c.request.ID, Host: to.Host.Name, Step: step, Detail: cause.Error(), Delivered: c.headed, Whole: c.whole}
	if !c.request.Once {
		c.entry.loop.Post(broke)
		return false
	}
	if !c.went {
		broke.NotRun = true
		c.entry.loop.Post(broke)
		return false
	}
	c.incarnation = incarnation
	sealed, err := c.entry.seal(c.ctx, to.Host, incarnation, c.request.ID)
	if err != nil {
		c.entry.loop.Post(broke)
		return false
	}
	switch filbertstile.RunState(sealed.GetRun()) {
	case filbertstile.NotRun:
		broke.NotRun = true
		c.entry.loop.Post(broke)
		return false
	case filbertstile.Ran:
		c.entry.loop.Post(dispatcher.Ended{ID: c.request.ID, Host: to.Host.Name, OK: true})
		c.replay(recorder.Outcome{Run: filbertstile.Ran, Status: int(sealed.GetStatus()), ContentType: sealed.GetContentType(), Body: sealed.GetBody()})
		return true
	default:
		c.entry.loop.Post(broke)
		return false
	}
}

// replay answers with a recorded outcome. A part of it may be with the caller
// already.
func (c *call) replay(o recorder.Outcome) {
	if o.BodyOmitted {
		c.fail(filbertstile.ErrRequest{Code: codeOmitted, Run: filbertstile.Ran, Step: "replay outcome", Detail: "the call ran; its answer was too large to keep"})
		return
	}
	if c.headed {
		c.fail(filbertstile.ErrRequest{Code: codeTorn, Run: filbertstile.Ran, Step: "read answer", RetryAfter: inProgressRetry, Detail: "the call ran, but its answer was cut off: repeat it with the same key for the whole answer"})
		return
	}
	c.headed = true
	c.emit(piece{head: &wire.Head{Status: int32(o.Status), ContentType: o.ContentType}})
	c.emit(piece{data: o.Body})
	c.emit(piece{end: true})
}

// intend commits the intent before anything is sent, and reports whether the
// call is over without being sent.
func (c *call) intend(host string) bool {
	a, err := c.entry.commitIntent(c.ctx, recorder.Intent{
		Key: c.recordKey, BodyDigest: c.bodyDigest, RequestID: c.request.ID, At: time.Now().UTC(),
	})
	if err != nil {
		// The intent may yet take effect; nothing was sent and nothing will be.
		c.entry.recordOutcome(recorder.Outcome{Key: c.recordKey, RequestID: c.request.ID, Run: filbertstile.NotRun})
		c.over(host, filbertstile.ErrRequest{Code: codeRecord, Run: filbertstile.NotRun, Step: stepIntent, Peer: "object API", RetryAfter: time.Second, Detail: err.Error()})
		return true
	}
	switch a.Verdict {
	case recorder.VerdictNew, recorder.VerdictCommitted:
		c.committed = true
		return false
	case recorder.VerdictReplay:
		c.entry.loop.Post(dispatcher.Ended{ID: c.request.ID, Host: host})
		c.replay(a.Record.Outcome)
	case recorder.VerdictMismatch:
		c.over(host, filbertstile.ErrRequest{Code: codeMismatch, Run: filbertstile.NotRun, Step: stepIntent, Detail: "Idempotency-Key was used with another body"})
	case recorder.VerdictInProgress:
		c.over(host, filbertstile.ErrRequest{Code: codeInProgress, Run: filbertstile.Unknown, Step: stepIntent, RetryAfter: inProgressRetry, Detail: "an earlier attempt with this key is under way"})
	default:
		c.over(host, filbertstile.ErrRequest{Code: codeUnknown, Run: filbertstile.Unknown, Step: stepIntent, Detail: "an earlier attempt with this key may have run; look it up before you repeat it with a new key"})
	}
	return true
}

func (c *call) over(host string, err filbertstile.ErrRequest) {
	c.entry.loop.Post(dispatcher.Ended{ID: c.request.ID, Host: host})
	c.fail(err)
}

// settle keeps the outcome of a non-idempotent call that was answered whole.
func (c *call) settle(status int, contentType string, body []byte) {
	if !c.committed {
		return
	}
	c.entry.recordOutcome(recorder.Outcome{
		Key: c.recordKey, RequestID: c.request.ID, Run: filbertstile.Ran, Status: status, ContentType: contentType, Body: body,
	})
}
