package sharer

import (
	"context"
	"reflect"
	"sync"
	"time"

	"filbertstile.example/filbertstile/base/sleeper"
	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/outside/tracker"
	"filbertstile.example/filbertstile/transport/messenger"
)

const (
	// keepAliveInterval is the maximum time between two messages to a follower.
	keepAliveInterval = 500 * time.Millisecond
	// batchDelay is the minimum time between two messages to a follower, so that changes
	// that come together are sent together.
	batchDelay = 30 * time.Millisecond
)

// follower is a process that follows this one.
type follower struct {
	sharer *Sharer
	copies []SharedCopy
	clock  func() time.Duration
	stream *messenger.Stream
	// readsCompressed is true if the follower reads compressed objects.
	readsCompressed bool

	mu sync.Mutex
	// stamp is the follower's latest stamp, which arrived at stampedAt.
	stamp     *wire.Stamp
	stampedAt time.Duration
	// sent holds the positions that were sent last, by prefix.
	sent map[string]tracker.Position
}

// Serve sends the copies to a process that follows this one, until the stream ends.
func (s *Sharer) Serve(ctx context.Context, req *wire.Request, stream *messenger.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := &follower{
		sharer: s, clock: s.config.Clock, stream: stream, stamp: req.GetFollow().GetStamp(), stampedAt: s.config.Clock(),
		readsCompressed: req.GetFollow().GetReadsCompressed(), sent: make(map[string]tracker.Position),
	}
	for _, p := range req.GetFollow().GetCopies() {
		for _, c := range s.config.Copies {
			if c.Prefix() == p.GetPrefix() {
				f.copies = append(f.copies, c)
				f.sent[c.Prefix()] = tracker.Position{Era: p.GetEra(), Revision: p.GetRevision()}
			}
		}
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stream.Abort()
	wg.Go(func() { f.receiveStamps(cancel) })
	f.run(ctx)
}

// receiveStamps receives stamps until the stream ends.
func (f *follower) receiveStamps(cancel context.CancelFunc) {
	defer cancel()
	for {
		frame, err := f.stream.Receive()
		if err != nil {
			return
		}
		if stamp := frame.GetStamp(); stamp != nil {
			f.mu.Lock()
			f.stamp, f.stampedAt = stamp, f.clock()
			f.mu.Unlock()
		}
	}
}

// run sends what has changed since the last message, and at least every
// keepAliveInterval.
func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := f.changes()
		if f.stream.SendInPieces(&wire.Frame{Kind: &wire.Frame_Copies{Copies: f.message()}}) != nil {
			return
		}
		if sleeper.Sleep(ctx, batchDelay) != nil {
			return
		}
		timer := time.NewTimer(keepAliveInterval - batchDelay)
		waitAny(ctx, timer.C, changed)
		timer.Stop()
	}
}

// changes returns the channels that are closed at the next change of a copy, or when a large
// response of the store begins or ceases to arrive.
func (f *follower) changes() []<-chan struct{} {
	_, receivingChanged := f.sharer.Receiving()
	out := []<-chan struct{}{receivingChanged}
	for _, c := range f.copies {
		_, changed := c.Position()
		out = append(out, changed)
	}
	return out
}

// waitAny waits for the context, the timer or any of the channels.
func waitAny(ctx context.Context, timer <-chan time.Time, changes []<-chan struct{}) {
	cases := []reflect.SelectCase{
		{Dir: reflect.SelectRecv, Chan: reflect.ValueOf(ctx.Done())},
		{Dir: reflect.SelectRecv, Chan: reflect.ValueOf(timer)},
	}
	for _, c := range changes {
		cases = append(cases, reflect.SelectCase{Dir: reflect.SelectRecv, Chan: reflect.ValueOf(c)})
	}
	reflect.Select(cases)
}

// message returns the message with what has changed since the last one.
func (f *follower) message() *wire.Copies {
	f.mu.Lock()
	defer f.mu.Unlock()
	receiving, _ := f.sharer.Receiving()
	out := &wire.Copies{Echo: f.stamp, Receiving: receiving}
	for _, c := range f.copies {
		p, _ := c.Position()
		sent := f.sent[c.Prefix()]
		if !p.Listed || p == sent {
			continue
		}
		u := c.Since(sent.Era, sent.Revision)
		// The position may have advanced since it was read, but not gone back: the
		// confirmation holds for the later revision of the same era as well.
		if u.Era != p.Era {
			continue
		}
		f.sent[c.Prefix()] = tracker.Position{Era: u.Era, Revision: u.Revision, ConfirmedAt: p.ConfirmedAt, ReadAt: p.ReadAt, Listed: true}
		out.Copies = append(out.Copies, f.wireCopy(c.Prefix(), u, p.ConfirmedAt))
	}
	return out
}

// wireCopy returns the update with the time of its confirmation in relation to the
// follower's stamp. The caller holds f.mu.
func (f *follower) wireCopy(prefix string, u tracker.Update, confirmedAt time.Duration) *wire.Copy {
	out := &wire.Copy{
		Prefix: prefix, Era: u.Era, From: u.From, Revision: u.Revision, Complete: u.Complete,
		ConfirmedBeforeMicroseconds: (f.stampedAt - confirmedAt).Microseconds(),
	}
	if f.readsCompressed && isLarge(u) {
		out.CompressedObjects = f.sharer.compressor.compress(prefix, u)
		return out
	}
	out.Objects = storedObjects(u)
	return out
}
