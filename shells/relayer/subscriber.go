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

// subscribe subscribes to a parent, again after each failure, until the context ends.
func (r *Relay) subscribe(ctx context.Context, parent filbertstile.Member, primary bool) {
	for ctx.Err() == nil {
		err := r.subscribeOnce(ctx, parent, primary)
		if ctx.Err() != nil {
			return
		}
		r.config.Log.Event(reporter.ParentLost, reporter.Fields{"Peer": parent.Name, "Error": err})
		r.config.Client.CloseSession(parent.Address)
		_ = sleeper.Sleep(ctx, retryDelay)
	}
}

// subscribeOnce subscribes to a parent and applies its updates until the subscription
// fails or the parent sends nothing for contactTimeout.
func (r *Relay) subscribeOnce(ctx context.Context, parent filbertstile.Member, primary bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	v := r.config.Holder.View()
	s, err := r.config.Client.Open(ctx, parent.Address, &wire.Request{
		Id: r.config.Client.NextID(),
		Kind: &wire.Request_Subscribe{Subscribe: &wire.Subscribe{
			Node: r.config.Self.Name, Revision: v.Config.Revision, MembersVersion: r.newAck(primary).GetMembersVersion(),
			StampMicroseconds: r.stamp(), Primary: primary,
		}},
	})
	if err != nil {
		return err
	}
	defer s.Close()
	timeout := time.AfterFunc(contactTimeout, cancel)
	defer timeout.Stop()
	r.wg.Add(1)
	go func() { defer r.wg.Done(); r.sendAcks(ctx, s, primary) }()
	for {
		frame, err := s.Receive()
		if err != nil {
			return err
		}
		u := frame.GetUpdate()
		if u == nil {
			continue
		}
		timeout.Reset(contactTimeout)
		if err := r.applyUpdate(parent, u, primary); err != nil {
			return err
		}
	}
}

// applyUpdate applies an update of a parent. It returns viewer.ErrRevisionGap if the
// view lacks changes that the parent has.
func (r *Relay) applyUpdate(parent filbertstile.Member, u *wire.Update, primary bool) error {
	if len(u.GetSnapshot()) > 0 {
		var c filbertstile.Config
		if err := json.Unmarshal(u.GetSnapshot(), &c); err != nil {
			return fmt.Errorf("decode snapshot from %s: %w", parent.Name, err)
		}
		r.config.Holder.ApplySnapshot(c)
	}
	if err := r.applyChanges(u.GetChanges()); err != nil {
		return err
	}
	if primary {
		r.recordMembersUpdate()
	}
	if len(u.GetMembers()) > 0 && r.wantsMembers(primary) {
		if err := r.config.Holder.ApplyMembers(u.GetMembers()); err != nil {
			return err
		}
	}
	echoed := r.localTime(u.GetEchoMicroseconds())
	r.mu.Lock()
	r.parentReports[parent.Name] = parentReport{lastContact: echoed, outage: u.GetOutage(), storeUnreachable: u.GetStoreOutOfReach()}
	r.mu.Unlock()
	if u.GetRevision() > r.config.Holder.View().Config.Revision {
		return viewer.ErrRevisionGap{Have: r.config.Holder.View().Config.Revision, Got: u.GetRevision()}
	}
	if echoed.IsZero() || u.GetVouchedMillisecondsAgo() >= neverConfirmed {
		return nil
	}
	at := echoed.Add(-time.Duration(u.GetVouchedMillisecondsAgo()) * time.Millisecond)
	// The confirmation holds only for the revision of the parent's view.
	if u.GetRevision() == r.config.Holder.View().Config.Revision {
		r.config.Holder.Confirm(at, u.GetStoreOutOfReach())
	}
	return nil
}

// neverConfirmed is sent in Update.VouchedMillisecondsAgo if the store has never
// confirmed the view.
const neverConfirmed = int64(1) << 40

// stamp returns the time since the start of this process, in microseconds. The wall clock may be
// set in the meantime, and the echo of a stamp must not be later than its sending. It is
// never 0, which stands for no stamp.
func (r *Relay) stamp() int64 { return max(1, time.Since(r.started).Microseconds()) }

// localTime returns the time of an echoed stamp; zero if it is none.
func (r *Relay) localTime(stamp int64) time.Time {
	if stamp <= 0 {
		return time.Time{}
	}
	return r.started.Add(time.Duration(stamp) * time.Microsecond)
}

// sendAcks sends acks to the parent after changes and confirmations of the view, and
// as heartbeats.
func (r *Relay) sendAcks(ctx context.Context, s *messenger.Stream, primary bool) {
	for {
		changed := r.config.Holder.Changed()
		if s.Send(&wire.Frame{Kind: &wire.Frame_Ack{Ack: r.newAck(primary)}}) != nil {
			return
		}
		if sleeper.Sleep(ctx, minAckInterval) != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-r.config.Holder.Confirmed():
		case <-time.After(heartbeatInterval):
		}
	}
}

// newAck returns an ack with the state of the process. For the primary parent it
// includes the state of the subtree.
func (r *Relay) newAck(primary bool) *wire.Ack {
	v := r.config.Holder.View()
	a := &wire.Ack{
		MinRevision: v.Config.Revision, Revision: v.Config.Revision, MembersVersion: v.MembersVersion,
		Slowest: r.config.Self.Name, StampMicroseconds: r.stamp(),
	}
	if !r.wantsMembers(primary) {
		a.MembersVersion = membersUnwanted
	}
	if !primary {
		return a
	}
	a.Nodes = 1
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(r.children)) {
		c := r.children[name]
		if !c.primary || time.Since(c.lastContact) > contactTimeout {
			continue
		}
		a.Nodes += int32(c.nodes)
		if c.minRevision < a.MinRevision {
			a.MinRevision = c.minRevision
			a.Slowest = c.slowest
		}
	}
	return a
}

// Subtree returns the state of the process and its subtree.
func (r *Relay) Subtree() *wire.Ack { return r.newAck(true) }

// membersUnwanted is sent as the members' version by a subscriber that does not accept
// members from this parent.
const membersUnwanted = ^uint64(0)
