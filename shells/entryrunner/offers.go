package entryrunner

import (
	"context"
	"errors"
	"time"

	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/decisions/dispatcher"
	"filbertstile.example/filbertstile/transport/messenger"
)

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
