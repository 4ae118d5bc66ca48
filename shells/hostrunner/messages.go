package hostrunner

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/base/sleeper"
	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/decisions/gatekeeper"
	"filbertstile.example/filbertstile/transport/messenger"
)

// handle handles the requests of other processes.
func (h *Host) handle(ctx context.Context, req *wire.Request, s *messenger.Stream) {
	switch k := req.GetKind().(type) {
	case *wire.Request_Dispatch:
		h.handleDispatch(ctx, req, k.Dispatch, s)
	case *wire.Request_Seal:
		h.handleSeal(ctx, k.Seal, s)
	case *wire.Request_Report:
		h.handleReport(ctx, s)
	case *wire.Request_Permit:
		h.handlePermit(ctx, k.Permit, s)
	case *wire.Request_Chunk:
		if h.fetcher != nil {
			h.fetcher.HandleChunk(ctx, req, s)
		}
	case *wire.Request_Holdings:
		if h.fetcher != nil {
			h.fetcher.HandleHoldings(ctx, req, s)
		}
	}
}

// loadReport returns the state of the gate as a load report.
func (h *Host) loadReport() *wire.Load {
	g := h.GateState()
	return &wire.Load{
		Host: h.config.Settings.Identity.Name, Incarnation: h.incarnation, Running: int32(g.Running), Waiting: int32(g.Waiting), Limit: int32(g.Limit),
		Release: g.Release, Whole: string(g.Whole), Serving: g.Serving, Leaving: h.node.Leaving(), Cold: g.Cold,
		Revision: g.Revision, Epoch: g.Epoch, Ready: g.Ready, Role: g.Role,
	}
}

// handleReport sends load reports to an entry, after each change and about every
// idleReportInterval.
func (h *Host) handleReport(ctx context.Context, s *messenger.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h.wg.Go(func() {
		// The entry sends no frames, so Receive returns when it disconnects.
		_, _ = s.Receive()
		cancel()
	})
	var last *wire.Load
	for {
		h.mu.Lock()
		changed := h.gateChanged
		h.mu.Unlock()
		l := h.loadReport()
		if proto.Equal(l, last) {
			l = &wire.Load{Same: true}
		} else {
			last = l
		}
		if s.Send(&wire.Frame{Kind: &wire.Frame_Load{Load: l}}) != nil {
			return
		}
		if sleeper.Sleep(ctx, minReportInterval) != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-time.After(idleReportInterval):
		}
	}
}

// postAndWait posts an event with the ticket and returns the gate's command that has
// the same ticket.
func (h *Host) postAndWait(ctx context.Context, ticket string, e gatekeeper.Event) (gatekeeper.Command, error) {
	result := make(chan gatekeeper.Command, 1)
	h.mu.Lock()
	h.pendingTickets[ticket] = result
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		delete(h.pendingTickets, ticket)
		h.mu.Unlock()
	}()
	if !h.loop.Post(e) {
		return nil, errors.New("the process is stopping")
	}
	select {
	case cmd := <-result:
		return cmd, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// deliverByTicket passes a command to the call of postAndWait with the ticket.
func (h *Host) deliverByTicket(ticket string, cmd gatekeeper.Command) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c, ok := h.pendingTickets[ticket]; ok {
		c <- cmd
	}
}

// handleSeal seals a request, which means that it cannot start any more, and replies
// whether it ran, with its result. While a non-idempotent request is running, the reply
// waits for its end.
func (h *Host) handleSeal(ctx context.Context, seal *wire.Seal, s *messenger.Stream) {
	if seal.GetIncarnation() != h.incarnation {
		// This process does not know what an earlier process of the host ran.
		_ = s.Send(&wire.Frame{Kind: &wire.Frame_Sealed{Sealed: &wire.Sealed{Run: string(filbertstile.Unknown)}}})
		return
	}
	ticket := uuid.NewString()
	cmd, err := h.postAndWait(ctx, ticket, gatekeeper.SealRequested{RequestID: seal.GetRequestId(), Ticket: ticket})
	if err != nil {
		return
	}
	sealed, _ := cmd.(gatekeeper.Sealed)
	h.node.Log.Event(reporter.RequestSealed, reporter.Fields{"Request": seal.GetRequestId(), "Run": sealed.Result.Run})
	_ = s.Send(&wire.Frame{Kind: &wire.Frame_Sealed{Sealed: &wire.Sealed{
		Run: string(sealed.Result.Run), Status: int32(sealed.Result.Status), ContentType: sealed.Result.ContentType,
		Body: sealed.Result.Body, BodyTruncated: sealed.Result.BodyTruncated,
	}}})
}

// handlePermit passes a permit to load a release to the gate, and replies whether the
// gate accepted it.
func (h *Host) handlePermit(ctx context.Context, p *wire.Permit, s *messenger.Stream) {
	ticket := uuid.NewString()
	cmd, err := h.postAndWait(ctx, ticket, gatekeeper.PermitReceived{
		Release: p.GetRelease(), Epoch: p.GetEpoch(), Ticket: ticket,
		Until: time.Now().Add(time.Duration(p.GetLeaseMilliseconds()) * time.Millisecond),
	})
	if err != nil {
		return
	}
	permitted, _ := cmd.(gatekeeper.Permitted)
	_ = s.Send(&wire.Frame{Kind: &wire.Frame_Permitted{Permitted: &wire.Permitted{Accepted: permitted.Accepted, Reason: permitted.Reason}}})
}
