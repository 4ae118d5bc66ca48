package sharer

import (
	"context"
	"errors"
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
	// arrivalTimeout is the time without bytes after which a message no longer counts as
	// arriving. Many followers may share the sender's link.
	arrivalTimeout = 500 * time.Millisecond
	// receivingTimeout is how long after a message the peer counts as receiving that said so
	// in it. It is longer than keepAliveInterval.
	receivingTimeout = 800 * time.Millisecond
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
	// peerReceiving is true while a large response of the store is arriving at the peer.
	peerReceiving bool
	lastMessage   time.Time
	// hasAnswered is true after the first message has been applied.
	hasAnswered bool
	// stream is nil until it is open.
	stream *messenger.Stream
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

// receiving reports whether newer copies are arriving from the peer, or at the peer. Once a
// message is arriving, its bytes count: the peer may have received all of what it announced.
func (f *following) receiving(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if last := f.lastArrival(); last.After(f.lastMessage) {
		return now.Sub(last) <= arrivalTimeout
	}
	return f.peerReceiving && now.Sub(f.lastMessage) <= receivingTimeout
}

// lastArrival returns the time at which bytes arrived last, or at which the peer was first
// called. The caller holds f.mu.
func (f *following) lastArrival() time.Time {
	if f.stream != nil && f.stream.LastArrival().After(f.lastMessage) {
		return f.stream.LastArrival()
	}
	return f.lastMessage
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
	f.mu.Lock()
	f.stream = s
	f.mu.Unlock()
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
		f.recordMessage(frame.GetCopies().GetReceiving())
		if err := f.apply(frame.GetCopies()); err != nil {
			return fmt.Errorf("follow %s: %w", f.peer.Name, err)
		}
		f.mu.Lock()
		f.hasAnswered = true
		f.mu.Unlock()
	}
}

// request returns the request with the positions of the own copies.
func (f *following) request() *wire.Follow {
	out := &wire.Follow{Stamp: f.stamp(), ReadsCompressed: true}
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
		silent := time.Since(f.lastArrival()) > silenceTimeout
		f.mu.Unlock()
		if silent {
			cancel(ErrSilent{Step: "follow copies", Peer: f.peer.Name})
			return
		}
	}
}

func (f *following) recordMessage(peerReceiving bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastMessage, f.peerReceiving = time.Now(), peerReceiving
}

// answered reports whether the peer has sent a message.
func (f *following) answered() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hasAnswered
}

// errNotContinued reports a copy that does not continue the own one.
var errNotContinued = errors.New("a copy does not continue the own one")

// apply applies the peer's copies. It fails if one does not continue the own one.
// The store confirmed a copy ConfirmedBefore the stamp arrived, which was not before the
// stamp was sent: the result does not depend on the peer's clock, and errs by the time that
// the stamp was on its way.
func (f *following) apply(m *wire.Copies) error {
	echo := time.Duration(m.GetEcho().GetMicroseconds()) * time.Microsecond
	for _, in := range m.GetCopies() {
		c, known := f.copyOf(in.GetPrefix())
		if !known {
			continue
		}
		confirmedAt := echo - time.Duration(in.GetConfirmedBeforeMicroseconds())*time.Microsecond
		u, err := updateOf(in)
		if err != nil {
			return err
		}
		if !c.Follow(u, confirmedAt) {
			return errNotContinued
		}
		f.mu.Lock()
		f.confirmedAt[in.GetPrefix()] = confirmedAt
		f.mu.Unlock()
	}
	return nil
}

func (f *following) copyOf(prefix string) (SharedCopy, bool) {
	for _, c := range f.config.Copies {
		if c.Prefix() == prefix {
			return c, true
		}
	}
	return SharedCopy{}, false
}

func updateOf(in *wire.Copy) (tracker.Update, error) {
	out := tracker.Update{Era: in.GetEra(), From: in.GetFrom(), Revision: in.GetRevision(), Complete: in.GetComplete()}
	objects := in.GetObjects()
	if compressed := in.GetCompressedObjects(); len(compressed) > 0 {
		var err error
		if objects, err = decompress(compressed); err != nil {
			return out, fmt.Errorf("copy of %s: %w", in.GetPrefix(), err)
		}
	}
	for _, o := range objects {
		out.Objects = append(out.Objects, filbertstile.Object{Key: o.GetKey(), Version: o.GetVersion(), Value: o.GetValue(), Removed: o.GetRemoved()})
	}
	return out, nil
}
