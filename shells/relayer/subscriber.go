package relayer

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/base/sleeper"
	"filbertstile.example/filbertstile/base/viewer"
	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/transport/messenger"
)

func micros(t time.Time) int64 { return t.UnixMicro() }

// subscribe follows one parent.
func (r *Relay) subscribe(ctx context.Context, parent filbertstile.Member, primary bool) {
	for ctx.Err() == nil {
		err := r.follow(ctx, parent, primary)
		if ctx.Err() != nil {
			return
		}
		r.config.Log.Event(reporter.ParentLost, reporter.Fields{"Peer": parent.Name, "Error": err})
		r.config.Client.CloseSession(parent.Address)
		_ = sleeper.Sleep(ctx, resubscribe)
	}
}

func (r *Relay) follow(ctx context.Context, parent filbertstile.Member, primary bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	v := r.config.Holder.View()
	s, err := r.config.Client.Open(ctx, parent.Address, &wire.Request{
		Id: r.config.Client.NextID(),
		Kind: &wire.Request_Subscribe{Subscribe: &wire.Subscribe{
			Node: r.config.Self.Name, Revision: v.Config.Revision, MembersVersion: r.ack(primary).GetMembersVersion(),
			StampMicroseconds: micros(time.Now()), Primary: primary,
		}},
	})
	if err != nil {
		return err
	}
	defer s.Close()
	// A parent that falls silent is as good as lost.
	silent := time.AfterFunc(silentAfter, cancel)
	defer silent.Stop()
	r.wg.Add(1)
	go func() { defer r.wg.Done(); r.acknowledge(ctx, s, primary) }()
	for {
		f, err := s.Receive()
		if err != nil {
			return err
		}
		u := f.GetUpdate()
		if u == nil {
			continue
		}
		silent.Reset(silentAfter)
		if err := r.takeUpdate(parent, u, primary); err != nil {
			return err
		}
	}
}

func (r *Relay) takeUpdate(parent filbertstile.Member, u *wire.Update, primary bool) error {
	if len(u.GetSnapshot()) > 0 {
		var c filbertstile.Config
		if err := json.Unmarshal(u.GetSnapshot(), &c); err != nil {
			return fmt.Errorf("decode snapshot of %s: %w", parent.Name, err)
		}
		r.config.Holder.ApplySnapshot(c)
	}
	if err := r.take(u.GetChanges()); err != nil {
		return err
	}
	if primary {
		r.noteMembers()
	}
	if len(u.GetMembers()) > 0 && r.wantsMembers(primary) {
		if err := r.config.Holder.ApplyMembers(u.GetMembers()); err != nil {
			return err
		}
	}
	stamp := time.UnixMicro(u.GetEchoMicroseconds())
	r.mu.Lock()
	r.words[parent.Name] = parentWord{heardAt: r.local(stamp), outage: u.GetOutage(), noStore: u.GetStoreOutOfReach()}
	r.mu.Unlock()
	if u.GetRevision() > r.config.Holder.View().Config.Revision {
		return viewer.ErrRevisionGap{Have: r.config.Holder.View().Config.Revision, Got: u.GetRevision()}
	}
	if u.GetEchoMicroseconds() == 0 || u.GetVouchedMillisecondsAgo() >= neverVouched {
		return nil
	}
	at := r.local(stamp).Add(-time.Duration(u.GetVouchedMillisecondsAgo()) * time.Millisecond)
	// Only what the parent's view covers is vouched for.
	if u.GetRevision() == r.config.Holder.View().Config.Revision {
		r.config.Holder.Confirm(at, u.GetStoreOutOfReach())
	}
	return nil
}

// neverVouched stands for a view that the store has not confirmed.
const neverVouched = int64(1) << 40

// local turns a stamp of this process's own clock back into a time.
func (r *Relay) local(stamp time.Time) time.Time {
	return r.started.Add(stamp.Sub(time.UnixMicro(r.started.UnixMicro())))
}

// acknowledge tells the parent how far the subtree is.
func (r *Relay) acknowledge(ctx context.Context, s *messenger.Stream, primary bool) {
	for {
		changed := r.config.Holder.Changed()
		if s.Send(&wire.Frame{Kind: &wire.Frame_Ack{Ack: r.ack(primary)}}) != nil {
			return
		}
		if sleeper.Sleep(ctx, ackGap) != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-r.config.Holder.Confirmed():
		case <-time.After(heartbeat):
		}
	}
}

// ack sums up the process and those below it.
func (r *Relay) ack(primary bool) *wire.Ack {
	v := r.config.Holder.View()
	a := &wire.Ack{
		MinRevision: v.Config.Revision, Revision: v.Config.Revision, MembersVersion: v.MembersVersion,
		Slowest: r.config.Self.Name, StampMicroseconds: micros(time.Now()),
	}
	if !r.wantsMembers(primary) {
		a.MembersVersion = unwanted
	}
	if !primary {
		return a
	}
	a.Nodes = 1
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(r.children)) {
		c := r.children[name]
		if !c.primary || time.Since(c.heardAt) > silentAfter {
			continue
		}
		a.Nodes += int32(c.nodes)
		if c.min < a.MinRevision {
			a.MinRevision = c.min
			a.Slowest = c.slowest
		}
	}
	return a
}

// Subtree reports on the process and those below it.
func (r *Relay) Subtree() *wire.Ack { return r.ack(true) }

// unwanted is the members' version of a subscriber that has them from another
// parent.
const unwanted = ^uint64(0)
