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
	maxKeptBody = 64 << 10
	maxHeldBack = 16 << 10
	onceTimeout = 2 * time.Minute
)

// job is a request at the host.
type job struct {
	decided chan gatekeeper.Command
	cancel  context.CancelFunc
}

// execute carries out one of the gate's commands.
func (h *Host) execute(cmd gatekeeper.Command) {
	switch cmd := cmd.(type) {
	case gatekeeper.Start:
		h.decide(cmd.ID, cmd)
	case gatekeeper.Refuse:
		h.decide(cmd.ID, cmd)
	case gatekeeper.Cancel:
		h.mu.Lock()
		if j := h.jobs[cmd.ID]; j != nil {
			j.cancel()
		}
		h.mu.Unlock()
	case gatekeeper.Sealed:
		h.answer(cmd.Ticket, cmd)
	case gatekeeper.Permitted:
		h.answer(cmd.Ticket, cmd)
	case gatekeeper.Load:
		h.wg.Go(func() { h.loadEngine(cmd) })
	case gatekeeper.WentCold:
		h.node.Log.Event(reporter.BackendCold, reporter.Fields{"Reason": cmd.Reason})
	}
}

func (h *Host) decide(id string, cmd gatekeeper.Command) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if j := h.jobs[id]; j != nil {
		select {
		case j.decided <- cmd:
		default:
			// The job has its decision; a second one is for nobody.
		}
	}
}

func (h *Host) loadEngine(cmd gatekeeper.Load) {
	ended := gatekeeper.LoadEnded{Release: cmd.Release}
	h.node.Log.Event(reporter.SwitchStarted, reporter.Fields{"Release": cmd.Release, "Epoch": cmd.Fence})
	ended.State, ended.Err = h.loadOnce(cmd)
	if ended.Err != nil {
		h.node.Log.Event(reporter.SwitchFailed, reporter.Fields{"Release": cmd.Release, "Error": ended.Err})
	} else {
		h.node.Log.Event(reporter.SwitchDone, reporter.Fields{"Release": cmd.Release, "Whole": ended.State.Loaded})
	}
	h.loop.Post(ended)
}

func (h *Host) loadOnce(cmd gatekeeper.Load) (filbertstile.EngineState, error) {
	release, ok := h.node.Holder.View().Config.Releases.Get(cmd.Release)
	if !ok {
		return filbertstile.EngineState{}, filbertstile.ErrNotFound{Step: "order load", Key: cmd.Release}
	}
	m, chunks, err := h.weights.Shelf().Whole(filbertstile.Digest(release.Manifest))
	if err != nil {
		return filbertstile.EngineState{}, err
	}
	if !time.Now().Before(cmd.Until) {
		return filbertstile.EngineState{}, filbertstile.ErrRequest{Code: "PermitEnded", Run: filbertstile.NotRun, Step: "order load", Detail: "the permit ended before the order could be given"}
	}
	if _, err := h.backend.Load(h.ctx, filbertstile.LoadOrder{Release: cmd.Release, Whole: m.Whole, Fence: cmd.Fence, Role: cmd.Role, Chunks: chunks}); err != nil {
		return filbertstile.EngineState{}, err
	}
	// What counts is what the engine says it runs now, not what it was ordered.
	return h.backend.State(h.ctx)
}

func (h *Host) handleDispatch(ctx context.Context, req *wire.Request, d *wire.Dispatch, s *messenger.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	j := &job{decided: make(chan gatekeeper.Command, 1), cancel: cancel}
	if !h.addJob(req.GetId(), j) {
		h.refuse(s, gatekeeper.Refuse{Code: gatekeeper.CodeDuplicate})
		return
	}
	defer h.dropJob(req.GetId())
	timeout := time.Duration(d.GetTimeoutMilliseconds()) * time.Millisecond
	arrived := gatekeeper.Request{
		ID: req.GetId(), Whole: filbertstile.Digest(d.GetRelease()), Deadline: time.Now().Add(timeout), Once: d.GetOnce(),
		Class: gatekeeper.Class{Tier: d.GetTier(), Rank: int(d.GetPriority()), Weight: int(d.GetWeight())},
	}
	if !h.loop.Post(gatekeeper.Arrived{Request: arrived}) {
		return
	}
	gone := make(chan struct{})
	went := make(chan struct{})
	h.wg.Go(func() { h.listen(req.GetId(), s, went, gone) })
	// The gate always decides: at the latest when the deadline passes.
	switch cmd := (<-j.decided).(type) {
	case gatekeeper.Refuse:
		h.refuse(s, cmd)
	case gatekeeper.Start:
		if d.GetOffer() && !h.confirmed(s, went, gone) {
			h.loop.Post(gatekeeper.Finished{ID: req.GetId(), Failure: gatekeeper.FailureUnused, Result: gatekeeper.Result{Run: filbertstile.NotRun}})
			return
		}
		h.run(ctx, req, d, s, timeout)
	}
}

// listen hears the entry's Go, and when it goes away.
func (h *Host) listen(id string, s *messenger.Stream, went, gone chan struct{}) {
	defer close(gone)
	heard := false
	for {
		f, err := s.Receive()
		if err != nil {
			h.loop.Post(gatekeeper.Abandoned{ID: id})
			return
		}
		if f.GetGo() != nil && !heard {
			heard = true
			close(went)
		}
	}
}

// confirmed offers the slot to the entry and waits for its Go: an entry that
// gave none knows for sure that the work did not run here.
func (h *Host) confirmed(s *messenger.Stream, went, gone <-chan struct{}) bool {
	if s.Send(&wire.Frame{Kind: &wire.Frame_Accepted{Accepted: &wire.Accepted{Incarnation: h.incarnation}}}) != nil {
		return false
	}
	select {
	case <-went:
		return true
	case <-gone:
		return false
	}
}

func (h *Host) addJob(id string, j *job) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, taken := h.jobs[id]; taken {
		return false
	}
	h.jobs[id] = j
	return true
}

func (h *Host) dropJob(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.jobs, id)
}

func (h *Host) refuse(s *messenger.Stream, cmd gatekeeper.Refuse) {
	_ = s.Send(&wire.Frame{Kind: &wire.Frame_Refusal{Refusal: &wire.Refusal{
		Code: cmd.Code, Run: string(filbertstile.NotRun), RetryAfterMilliseconds: cmd.RetryAfter.Milliseconds(), Load: h.load(),
	}}})
}

// run passes the work to the backend server and the answer to the entry. A
// non-idempotent call goes on when the entry is gone, so that its outcome is
// known.
func (h *Host) run(ctx context.Context, req *wire.Request, d *wire.Dispatch, s *messenger.Stream, timeout time.Duration) {
	if d.GetOnce() {
		ctx = context.WithoutCancel(ctx)
		timeout = onceTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r := &reply{host: h, stream: s, kind: h.kind, release: h.Gate().Release, offset: d.GetOffset(), once: d.GetOnce(), digest: xxhash.New()}
	started := time.Now()
	err := h.backend.Run(ctx, filbertstile.BackendRequest{
		RequestID: req.GetId(), Service: d.GetService(), Account: d.GetAccount(), Priority: int(d.GetPriority()),
		Method: d.GetMethod(), Path: d.GetPath(), Body: d.GetBody(), Offset: int(d.GetOffset()), IdempotencyKey: d.GetIdempotencyKey(),
	}, r)
	served := time.Since(started)
	if h.kind == filbertstile.ServiceModel {
		served /= time.Duration(max(1, r.pieces))
	}
	h.loop.Post(gatekeeper.Finished{ID: req.GetId(), Latency: served, Failure: classify(ctx, err), Result: r.result(err)})
	h.conclude(s, r, err)
}

// errOverloaded is a backend server that took the request in, but has no room.
var errOverloaded = errors.New("the backend server refused for its load")

func classify(ctx context.Context, err error) gatekeeper.Failure {
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

// conclude sends the end of the answer, or why there is none.
func (h *Host) conclude(s *messenger.Stream, r *reply, err error) {
	if err == nil {
		_ = s.Send(&wire.Frame{Kind: &wire.Frame_End{End: &wire.End{Length: r.length, Digest: r.digest.Sum64(), Load: h.load()}}})
		return
	}
	out := &wire.Refusal{Code: gatekeeper.CodeBackendFailed, Run: string(r.runState(err)), Detail: err.Error(), Load: h.load()}
	var unsent requester.ErrDial
	switch {
	case errors.As(err, &unsent):
		out.Code = gatekeeper.CodeBackendUnreachable
	case errors.Is(err, errOverloaded):
		out.Code = gatekeeper.CodeBackendOverloaded
	}
	_ = s.Send(&wire.Frame{Kind: &wire.Frame_Refusal{Refusal: out}})
}

// reply passes an answer on, counted and digested.
type reply struct {
	host        *Host
	stream      *messenger.Stream
	kind        filbertstile.ServiceKind
	release     string
	offset      int64
	once        bool
	digest      *xxhash.Digest
	length      int64
	pieces      int
	status      int
	contentType string
	body        bytes.Buffer
	lost        bool
}

// WriteHead passes on the status. A model engine that refuses for its load has not
// run the request.
func (r *reply) WriteHead(status int, contentType string) error {
	if r.kind == filbertstile.ServiceModel && status == fasthttp.StatusServiceUnavailable {
		return errOverloaded
	}
	r.status = status
	r.contentType = contentType
	return r.send(&wire.Frame{Kind: &wire.Frame_Head{Head: &wire.Head{Status: int32(status), ContentType: contentType, Release: r.release}}}, true)
}

// WriteData passes on a piece: a token of a model, or bytes of a plain answer.
func (r *reply) WriteData(piece []byte) error {
	_, _ = r.digest.Write(piece)
	f := &wire.Frame{Kind: &wire.Frame_Data{Data: &wire.Data{Offset: r.offset, Piece: piece}}}
	r.length += int64(len(piece))
	r.pieces++
	r.offset++
	if r.once && r.body.Len() < maxKeptBody {
		r.body.Write(piece)
	}
	// A short plain answer goes out together with its end; tokens go out as they
	// come.
	return r.send(f, r.kind == filbertstile.ServicePlain && r.length < maxHeldBack)
}

// send passes on a frame, or keeps it until the next if more is about to come.
// The answer to a non-idempotent call is gathered also
// when nobody listens any more.
func (r *reply) send(f *wire.Frame, more bool) error {
	if r.lost {
		return nil
	}
	pass := r.stream.Send
	if more {
		pass = r.stream.Queue
	}
	err := pass(f)
	if err != nil && r.once {
		r.lost = true
		return nil
	}
	return err
}

func (r *reply) runState(err error) filbertstile.RunState {
	var unsent requester.ErrDial
	switch {
	case err == nil:
		return filbertstile.Ran
	case errors.As(err, &unsent), errors.Is(err, errOverloaded):
		return filbertstile.NotRun
	case r.kind == filbertstile.ServiceModel:
		return filbertstile.Ran
	default:
		return filbertstile.Unknown
	}
}

func (r *reply) result(err error) gatekeeper.Result {
	return gatekeeper.Result{Run: r.runState(err), Status: r.status, ContentType: r.contentType, Body: r.body.Bytes()}
}
