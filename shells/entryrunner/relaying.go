package entryrunner

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/decisions/dispatcher"
	"filbertstile.example/filbertstile/decisions/router"
	"filbertstile.example/filbertstile/transport/messenger"
)

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
