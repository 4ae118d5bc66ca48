package sharer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/sleeper"
	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/outside/tracker"
	"filbertstile.example/filbertstile/transport/messenger"
)

const (
	// stampInterval is the time between two stamps, which bounds the error by clocks that
	// run at different rates.
	stampInterval = 5 * time.Second
	// silenceTimeout is the time without a message after which the connection counts as
	// broken. It is more than twice keepAliveInterval.
	silenceTimeout = 1200 * time.Millisecond
)

// ErrSilent reports a process that was followed and has sent nothing for silenceTimeout.
type ErrSilent struct {
	Step string
	Peer string
}

// Error returns a message with the step and the peer.
func (e ErrSilent) Error() string { return fmt.Sprintf("%s: peer %s: no message", e.Step, e.Peer) }

// following is the stream from one process whose copies this one follows.
type following struct {
	config Config
	peer   filbertstile.Member
	since  time.Time
	cancel context.CancelFunc

	mu sync.Mutex
	// confirmedAt is when the store confirmed what the peer has sent, by prefix.
	confirmedAt map[string]time.Duration
	lastMessage time.Time
}

func newFollowing(c Config, peer filbertstile.Member, cancel context.CancelFunc) *following {
	now := time.Now()
	return &following{config: c, peer: peer, since: now, lastMessage: now, cancel: cancel, confirmedAt: make(map[string]time.Duration)}
}

// age returns the highest scaled age of what the peer has sent.
func (f *following) age(now time.Duration, copies []SharedCopy) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := time.Duration(0)
	for _, c := range copies {
		at, known := f.confirmedAt[c.Prefix()]
		if !known {
			return neverConfirmed
		}
		out = max(out, c.scaledAge(now-at))
	}
	return out
}

// run receives the peer's copies until the stream fails or the context ends.
func (f *following) run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s, err := f.config.Client.Open(ctx, f.peer.Address, &wire.Request{
		Id: f.config.Client.NextID(), Kind: &wire.Request_Follow{Follow: f.request()},
	})
	if err != nil {
		return fmt.Errorf("follow %s: %w", f.peer.Name, err)
	}
	defer s.Close()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel(nil)
	wg.Go(func() { f.watchSilence(ctx, cancel) })
	wg.Go(func() { f.sendStamps(ctx, s) })
	for {
		frame, err := s.Receive()
		if cause := context.Cause(ctx); cause != nil {
			if _, silent := cause.(ErrSilent); silent {
				// A connection that went silent stays so; the next one may work.
				f.config.Client.CloseSession(f.peer.Address)
			}
			return cause
		}
		if err != nil {
			return fmt.Errorf("follow %s: %w", f.peer.Name, err)
		}
		f.recordMessage()
		if !f.apply(frame.GetCopies()) {
			return fmt.Errorf("follow %s: a copy does not continue the own one", f.peer.Name)
		}
	}
}

// request returns the request with the positions of the own copies.
func (f *following) request() *wire.Follow {
	out := &wire.Follow{Stamp: f.stamp()}
	for _, c := range f.config.Copies {
		p, _ := c.Position()
		out.Copies = append(out.Copies, &wire.CopyPosition{Prefix: c.Prefix(), Era: p.Era, Revision: p.Revision})
	}
	return out
}

func (f *following) stamp() *wire.Stamp {
	return &wire.Stamp{Microseconds: f.config.Clock().Microseconds()}
}

// sendStamps sends a stamp from time to time.
func (f *following) sendStamps(ctx context.Context, s *messenger.Stream) {
	for sleeper.Sleep(ctx, stampInterval) == nil {
		if s.Send(&wire.Frame{Kind: &wire.Frame_Stamp{Stamp: f.stamp()}}) != nil {
			return
		}
	}
}

// watchSilence cancels the stream if no message arrives for silenceTimeout.
func (f *following) watchSilence(ctx context.Context, cancel context.CancelCauseFunc) {
	for sleeper.Sleep(ctx, silenceTimeout/4) == nil {
		f.mu.Lock()
		silent := time.Since(f.lastMessage) > silenceTimeout
		f.mu.Unlock()
		if silent {
			cancel(ErrSilent{Step: "follow copies", Peer: f.peer.Name})
			return
		}
	}
}

func (f *following) recordMessage() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastMessage = time.Now()
}

// apply applies the peer's copies, and returns false if one does not continue the own one.
// The store confirmed a copy ConfirmedBefore the stamp arrived, which was not before the
// stamp was sent: the result does not depend on the peer's clock, and errs by the time that
// the stamp was on its way.
func (f *following) apply(m *wire.Copies) bool {
	echo := time.Duration(m.GetEcho().GetMicroseconds()) * time.Microsecond
	for _, in := range m.GetCopies() {
		c, known := f.copyOf(in.GetPrefix())
		if !known {
			continue
		}
		confirmedAt := echo - time.Duration(in.GetConfirmedBeforeMicroseconds())*time.Microsecond
		if !c.Follow(updateOf(in), confirmedAt) {
			return false
		}
		f.mu.Lock()
		f.confirmedAt[in.GetPrefix()] = confirmedAt
		f.mu.Unlock()
	}
	return true
}

func (f *following) copyOf(prefix string) (SharedCopy, bool) {
	for _, c := range f.config.Copies {
		if c.Prefix() == prefix {
			return c, true
		}
	}
	return SharedCopy{}, false
}

func updateOf(in *wire.Copy) tracker.Update {
	out := tracker.Update{Era: in.GetEra(), From: in.GetFrom(), Revision: in.GetRevision(), Complete: in.GetComplete()}
	for _, o := range in.GetObjects() {
		out.Objects = append(out.Objects, filbertstile.Object{Key: o.GetKey(), Version: o.GetVersion(), Value: o.GetValue(), Removed: o.GetRemoved()})
	}
	return out
}
