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
)

// obtainInterval is the time between two checks of Obtain, and between two attempts.
const obtainInterval = 100 * time.Millisecond

// Obtain gets a copy that this process needs once, and that is not one of Config.Copies, from
// the process that the others come from. It returns the name of that process once enough
// returns true, or an error if the context ends first.
func (s *Sharer) Obtain(ctx context.Context, c Copy, enough func() bool) (string, error) {
	for {
		if peer, ok := s.followed(); ok {
			s.obtainFrom(ctx, peer, c, enough)
			if enough() {
				return peer.Name, nil
			}
		}
		if err := sleeper.Sleep(ctx, obtainInterval); err != nil {
			return "", err
		}
	}
}

// Fetch returns the complete copy of the objects under the prefix that the peer holds.
func (s *Sharer) Fetch(ctx context.Context, peer filbertstile.Member, prefix string) (tracker.Update, error) {
	fail := func(err error) (tracker.Update, error) {
		return tracker.Update{}, fmt.Errorf("fetch copy of %s from %s: %w", prefix, peer.Name, err)
	}
	stream, err := s.config.Client.Open(ctx, peer.Address, &wire.Request{
		Id: s.config.Client.NextID(), Kind: &wire.Request_Follow{Follow: &wire.Follow{Copies: []*wire.CopyPosition{{Prefix: prefix}}, ReadsCompressed: true}},
	})
	if err != nil {
		return fail(err)
	}
	defer stream.Close()
	for {
		frame, err := stream.Receive()
		if err != nil {
			return fail(err)
		}
		for _, c := range frame.GetCopies().GetCopies() {
			u, err := updateOf(c)
			if err != nil {
				return fail(err)
			}
			if c.GetPrefix() == prefix && u.Complete {
				return u, nil
			}
		}
	}
}

// Obtaining reports whether the copy that Obtain gets is arriving, at this process or at the
// one that it comes from.
func (s *Sharer) Obtaining() bool {
	s.mu.Lock()
	f := s.obtaining
	s.mu.Unlock()
	return f != nil && f.receiving(time.Now())
}

// followed returns the process that is followed, and whether there is one.
func (s *Sharer) followed() (filbertstile.Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.following == nil {
		return filbertstile.Member{}, false
	}
	return s.following.peer, true
}

// obtainFrom follows the peer's copy until enough returns true, the stream fails, or another
// process is followed and nothing more arrives from this one.
func (s *Sharer) obtainFrom(ctx context.Context, peer filbertstile.Member, c Copy, enough func() bool) {
	ctx, cancel := context.WithCancel(ctx)
	config := s.config
	config.Copies = []SharedCopy{{Copy: c, MaxAge: neverConfirmed}}
	f := newFollowing(config, peer, cancel)
	s.setObtaining(f)
	defer s.setObtaining(nil)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() {
		for ctx.Err() == nil {
			_, changed := c.Position()
			current, ok := s.followed()
			moved := !ok || current != peer
			if enough() || moved && !f.receiving(time.Now()) {
				cancel()
			}
			awaitChange(ctx, changed, obtainInterval)
		}
	})
	_ = f.run(ctx) // the caller asks whether the copy is enough
}

func (s *Sharer) setObtaining(f *following) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.obtaining = f
}

// awaitChange waits for the channel, the context or the time.
func awaitChange(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}
