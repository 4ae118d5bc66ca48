package hostrunner

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/decisions/gatekeeper"
	"filbertstile.example/filbertstile/outside/requester"
	"filbertstile.example/filbertstile/transport/messenger"
)

const (
	// maxResultBodyBytes limits the body in the result of a non-idempotent call. The
	// piece that exceeds it is kept, the following ones are not.
	maxResultBodyBytes = 64 << 10
	// maxQueuedResponseBytes is the length below which a response of a plain service
	// is queued, to be sent together with its end.
	maxQueuedResponseBytes = 16 << 10
	// nonIdempotentTimeout replaces the caller's timeout for non-idempotent calls,
	// which continue after the caller stops waiting.
	nonIdempotentTimeout = 2 * time.Minute
)

// request is a request that the host has received and not yet finished.
type request struct {
	// decision receives the gate's Start or Refuse command.
	decision chan gatekeeper.Command
	cancel   context.CancelFunc
}

// execute executes a command of the gate.
func (h *Host) execute(cmd gatekeeper.Command) {
	switch cmd := cmd.(type) {
	case gatekeeper.Start:
		h.deliverDecision(cmd.ID, cmd)
	case gatekeeper.Refuse:
		h.deliverDecision(cmd.ID, cmd)
	case gatekeeper.Cancel:
		h.mu.Lock()
		if r := h.requests[cmd.ID]; r != nil {
			r.cancel()
		}
		h.mu.Unlock()
	case gatekeeper.Sealed:
		h.deliverByTicket(cmd.Ticket, cmd)
	case gatekeeper.Permitted:
		h.deliverByTicket(cmd.Ticket, cmd)
	case gatekeeper.Load:
		h.wg.Go(func() { h.loadEngine(cmd) })
	case gatekeeper.WentCold:
		h.node.Log.Event(reporter.BackendCold, reporter.Fields{"Reason": cmd.Reason})
	}
}

func (h *Host) deliverDecision(id string, cmd gatekeeper.Command) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r := h.requests[id]; r != nil {
		select {
		case r.decision <- cmd:
		default:
			// The request already has a decision, and only the first one counts.
		}
	}
}

func (h *Host) loadEngine(cmd gatekeeper.Load) {
	ended := gatekeeper.LoadEnded{Release: cmd.Release}
	h.node.Log.Event(reporter.SwitchStarted, reporter.Fields{"Release": cmd.Release, "Epoch": cmd.Fence})
	ended.State, ended.Err = h.sendLoadOrder(cmd)
	if ended.Err != nil {
		h.node.Log.Event(reporter.SwitchFailed, reporter.Fields{"Release": cmd.Release, "Error": ended.Err})
	} else {
		h.node.Log.Event(reporter.SwitchDone, reporter.Fields{"Release": cmd.Release, "Whole": ended.State.Loaded})
	}
	h.loop.Post(ended)
}

func (h *Host) sendLoadOrder(cmd gatekeeper.Load) (filbertstile.EngineState, error) {
	release, ok := h.node.Holder.View().Config.Releases.Get(cmd.Release)
	if !ok {
		return filbertstile.EngineState{}, filbertstile.ErrNotFound{Step: "order load", Key: cmd.Release}
	}
	m, chunks, err := h.fetcher.ChunkStore().VerifyAllChunks(filbertstile.Digest(release.Manifest))
	if err != nil {
		return filbertstile.EngineState{}, err
	}
	if !time.Now().Before(cmd.Until) {
		return filbertstile.EngineState{}, filbertstile.ErrRequest{Code: "PermitEnded", Run: filbertstile.NotRun, Step: "order load", Detail: "the permit ended before the load order could be sent"}
	}
	if _, err := h.backend.Load(h.ctx, filbertstile.LoadOrder{Release: cmd.Release, Whole: m.Whole, Fence: cmd.Fence, Role: cmd.Role, Chunks: chunks}); err != nil {
		return filbertstile.EngineState{}, err
	}
	// The gate needs the state that the engine reports, not the one that was ordered.
	return h.backend.State(h.ctx)
}

func (h *Host) handleDispatch(ctx context.Context, req *wire.Request, d *wire.Dispatch, s *messenger.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &request{decision: make(chan gatekeeper.Command, 1), cancel: cancel}
	if !h.addRequest(req.GetId(), r) {
		h.refuse(s, gatekeeper.Refuse{Code: gatekeeper.CodeDuplicate})
		return
	}
	defer h.removeRequest(req.GetId())
	timeout := time.Duration(d.GetTimeoutMilliseconds()) * time.Millisecond
	gateRequest := gatekeeper.Request{
		ID: req.GetId(), Whole: filbertstile.Digest(d.GetRelease()), Deadline: time.Now().Add(timeout), Once: d.GetOnce(),
		Class: gatekeeper.Class{Tier: d.GetTier(), Rank: int(d.GetPriority()), Weight: int(d.GetWeight())},
	}
	if !h.loop.Post(gatekeeper.Arrived{Request: gateRequest}) {
		return
	}
	disconnected := make(chan struct{})
	goReceived := make(chan struct{})
	h.wg.Go(func() { h.receiveGo(req.GetId(), s, goReceived, disconnected) })
	// The gate decides at the latest when the deadline passes.
	switch cmd := (<-r.decision).(type) {
	case gatekeeper.Refuse:
		h.refuse(s, cmd)
	case gatekeeper.Start:
		if d.GetOffer() && !h.offerSlot(s, goReceived, disconnected) {
			h.loop.Post(gatekeeper.Finished{ID: req.GetId(), Failure: gatekeeper.FailureUnused, Result: gatekeeper.Result{Run: filbertstile.NotRun}})
			return
		}
		h.run(ctx, req, d, s, timeout)
	}
}

// receiveGo closes goReceived when the entry sends a Go frame, with which it accepts the
// offered slot. When the stream ends, receiveGo reports the request as abandoned and
// closes disconnected.
func (h *Host) receiveGo(id string, s *messenger.Stream, goReceived, disconnected chan struct{}) {
	defer close(disconnected)
	received := false
	for {
		f, err := s.Receive()
		if err != nil {
			h.loop.Post(gatekeeper.Abandoned{ID: id})
			return
		}
		if f.GetGo() != nil && !received {
			received = true
			close(goReceived)
		}
	}
}

// offerSlot offers a slot to the entry, and reports whether the entry replied with Go.
// An entry that sent no Go can be certain that the request does not run here.
func (h *Host) offerSlot(s *messenger.Stream, goReceived, disconnected <-chan struct{}) bool {
	if s.Send(&wire.Frame{Kind: &wire.Frame_Accepted{Accepted: &wire.Accepted{Incarnation: h.incarnation}}}) != nil {
		return false
	}
	select {
	case <-goReceived:
		return true
	case <-disconnected:
		return false
	}
}

func (h *Host) addRequest(id string, r *request) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, taken := h.requests[id]; taken {
		return false
	}
	h.requests[id] = r
	return true
}

func (h *Host) removeRequest(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.requests, id)
}

func (h *Host) refuse(s *messenger.Stream, cmd gatekeeper.Refuse) {
	_ = s.Send(&wire.Frame{Kind: &wire.Frame_Refusal{Refusal: &wire.Refusal{
		Code: cmd.Code, Run: string(filbertstile.NotRun), RetryAfterMilliseconds: cmd.RetryAfter.Milliseconds(), Load: h.loadReport(),
	}}})
}

// run sends the request to the backend server and its response to the entry. A
// non-idempotent call continues after the entry has disconnected, so that its outcome
// becomes known.
func (h *Host) run(ctx context.Context, req *wire.Request, d *wire.Dispatch, s *messenger.Stream, timeout time.Duration) {
	if d.GetOnce() {
		ctx = context.WithoutCancel(ctx)
		timeout = nonIdempotentTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response := &responseWriter{host: h, stream: s, kind: h.kind, release: h.GateState().Release, offset: d.GetOffset(), once: d.GetOnce(), digest: xxhash.New()}
	started := time.Now()
	err := h.backend.Run(ctx, filbertstile.BackendRequest{
		RequestID: req.GetId(), Service: d.GetService(), Account: d.GetAccount(), Priority: int(d.GetPriority()),
		Method: d.GetMethod(), Path: d.GetPath(), Body: d.GetBody(), Offset: int(d.GetOffset()), IdempotencyKey: d.GetIdempotencyKey(),
	}, response)
	latency := time.Since(started)
	if h.kind == filbertstile.ServiceModel {
		latency /= time.Duration(max(1, response.pieces))
	}
	h.loop.Post(gatekeeper.Finished{ID: req.GetId(), Latency: latency, Failure: classifyFailure(ctx, err), Result: response.result(err)})
	h.finishResponse(s, response, err)
}

// errOverloaded reports that the backend server was reachable but refused the request
// because it has no free capacity.
var errOverloaded = errors.New("the backend server refused the request because it is overloaded")

// classifyFailure returns the gate's class of failure for the error of a backend call.
func classifyFailure(ctx context.Context, err error) gatekeeper.Failure {
	switch {
	case err == nil:
		return gatekeeper.FailureNone
	case errors.Is(err, errOverloaded):
		return gatekeeper.FailureOverloaded
	case ctx.Err() != nil:
		return gatekeeper.FailureCancelled
	default:
		return gatekeeper.FailureBroken
	}
}

// finishResponse sends the end of the response, or a refusal if the response is not
// complete.
func (h *Host) finishResponse(s *messenger.Stream, response *responseWriter, err error) {
	if err == nil {
		_ = s.Send(&wire.Frame{Kind: &wire.Frame_End{End: &wire.End{Length: response.length, Digest: response.digest.Sum64(), Load: h.loadReport()}}})
		return
	}
	refusal := &wire.Refusal{Code: gatekeeper.CodeBackendFailed, Run: string(response.runState(err)), Detail: err.Error(), Load: h.loadReport()}
	var dialErr requester.ErrDial
	switch {
	case errors.As(err, &dialErr):
		refusal.Code = gatekeeper.CodeBackendUnreachable
	case errors.Is(err, errOverloaded):
		refusal.Code = gatekeeper.CodeBackendOverloaded
	}
	_ = s.Send(&wire.Frame{Kind: &wire.Frame_Refusal{Refusal: refusal}})
}

// responseWriter sends a response to the entry, and computes its length and digest.
type responseWriter struct {
	host    *Host
	stream  *messenger.Stream
	kind    filbertstile.ServiceKind
	release string
	// offset is the offset of the next Data frame, which counts pieces.
	offset      int64
	once        bool
	digest      *xxhash.Digest
	length      int64
	pieces      int
	status      int
	contentType string
	// body is the start of the response's body, kept only if once is true.
	body bytes.Buffer
	// entryUnreachable is true after a frame of a non-idempotent call's response
	// could not be sent.
	entryUnreachable bool
}

// WriteHead sends the status. A model engine that responds with 503 has not run the
// request.
func (w *responseWriter) WriteHead(status int, contentType string) error {
	if w.kind == filbertstile.ServiceModel && status == fasthttp.StatusServiceUnavailable {
		return errOverloaded
	}
	w.status = status
	w.contentType = contentType
	return w.send(&wire.Frame{Kind: &wire.Frame_Head{Head: &wire.Head{Status: int32(status), ContentType: contentType, Release: w.release}}}, true)
}

// WriteData sends a piece: a token of a model's output, or bytes of a plain service's
// body.
func (w *responseWriter) WriteData(piece []byte) error {
	_, _ = w.digest.Write(piece)
	f := &wire.Frame{Kind: &wire.Frame_Data{Data: &wire.Data{Offset: w.offset, Piece: piece}}}
	w.length += int64(len(piece))
	w.pieces++
	w.offset++
	if w.once && w.body.Len() < maxResultBodyBytes {
		w.body.Write(piece)
	}
	// A short plain response is sent together with its end; tokens are sent immediately.
	return w.send(f, w.kind == filbertstile.ServicePlain && w.length < maxQueuedResponseBytes)
}

// send sends a frame, or queues it until the next one if more frames follow soon.
// After the entry has disconnected, the response to a non-idempotent call is still
// collected.
func (w *responseWriter) send(f *wire.Frame, more bool) error {
	if w.entryUnreachable {
		return nil
	}
	send := w.stream.Send
	if more {
		send = w.stream.Queue
	}
	err := send(f)
	if err != nil && w.once {
		w.entryUnreachable = true
		return nil
	}
	return err
}

// runState returns whether the request ran, as far as is known after the backend call
// returned err.
func (w *responseWriter) runState(err error) filbertstile.RunState {
	var dialErr requester.ErrDial
	switch {
	case err == nil:
		return filbertstile.Ran
	case errors.As(err, &dialErr), errors.Is(err, errOverloaded):
		return filbertstile.NotRun
	case w.kind == filbertstile.ServiceModel:
		return filbertstile.Ran
	default:
		return filbertstile.Unknown
	}
}

func (w *responseWriter) result(err error) gatekeeper.Result {
	return gatekeeper.Result{
		Run: w.runState(err), Status: w.status, ContentType: w.contentType, Body: w.body.Bytes(),
		BodyTruncated: w.once && int64(w.body.Len()) < w.length,
	}
}
