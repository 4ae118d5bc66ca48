package relayer

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"filbertstile.example/filbertstile/base/sleeper"
	"filbertstile.example/filbertstile/base/viewer"
	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/decisions/voucher"
	"filbertstile.example/filbertstile/transport/messenger"
)

// child is a subscriber.
type child struct {
	name     string
	primary  bool
	revision uint64
	members  uint64
	min      uint64
	nodes    int
	slowest  string
	stamp    int64
	stampAt  time.Time
	heardAt  time.Time
}

// HandleSubscribe serves one subscriber until it goes away.
func (r *Relay) HandleSubscribe(ctx context.Context, req *wire.Request, s *messenger.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sub := req.GetSubscribe()
	c := child{
		name: sub.GetNode(), primary: sub.GetPrimary(), revision: sub.GetRevision(), members: sub.GetMembersVersion(),
		min: sub.GetRevision(), slowest: sub.GetNode(), stamp: sub.GetStampMicroseconds(), stampAt: time.Now(), heardAt: time.Now(),
	}
	// Ids of requests are unique to their sender only.
	key := sub.GetNode() + " " + s.ID()
	r.setChild(key, c)
	defer r.dropChild(key)
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		defer cancel()
		r.hear(s, key, c)
	}()
	for {
		changed := r.config.Holder.Changed()
		vouched := r.config.Holder.Confirmed()
		if err := r.update(s, key); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
			// A second parent waits for the first: what the subscriber has by then
			// is not sent again.
			if !sub.GetPrimary() && sleeper.Sleep(ctx, secondDelay) != nil {
				return
			}
		case <-vouched:
		case <-time.After(heartbeat):
		}
	}
}

func (r *Relay) setChild(id string, c child) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.children[id] = c
}

func (r *Relay) dropChild(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.children, id)
}

func (r *Relay) hear(s *messenger.Stream, key string, c child) {
	for {
		f, err := s.Receive()
		if err != nil {
			return
		}
		a := f.GetAck()
		if a == nil {
			continue
		}
		r.mu.Lock()
		// What was sent since may not be acknowledged yet.
		sent := r.children[key]
		c.revision = max(sent.revision, a.GetRevision())
		c.members = a.GetMembersVersion()
		c.min, c.nodes, c.slowest = a.GetMinRevision(), int(a.GetNodes()), a.GetSlowest()
		c.stamp, c.stampAt, c.heardAt = a.GetStampMicroseconds(), time.Now(), time.Now()
		r.children[key] = c
		r.mu.Unlock()
	}
}

// update sends what the subscriber lacks, and how fresh the view is.
func (r *Relay) update(s *messenger.Stream, key string) error {
	v := r.config.Holder.View()
	r.mu.Lock()
	c := r.children[key]
	u := &wire.Update{
		Revision: v.Config.Revision, MembersVersion: v.MembersVersion,
		StoreOutOfReach: r.noStore, Outage: r.trust == voucher.Outage,
		EchoMicroseconds: c.stamp, VouchedMillisecondsAgo: neverVouched,
	}
	r.mu.Unlock()
	if !v.ConfirmedAt.IsZero() {
		u.VouchedMillisecondsAgo = c.stampAt.Sub(v.ConfirmedAt).Milliseconds()
	}
	if err := r.fill(u, c, v); err != nil {
		return err
	}
	if err := s.Send(&wire.Frame{Kind: &wire.Frame_Update{Update: u}}); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	c = r.children[key]
	c.revision = max(c.revision, v.Config.Revision)
	if c.members != unwanted {
		c.members = v.MembersVersion
	}
	r.children[key] = c
	return nil
}

func (r *Relay) fill(u *wire.Update, c child, v viewer.View) error {
	changes, ok := r.config.Holder.ChangesSince(c.revision)
	if ok {
		u.Changes = changes
	} else {
		snapshot, err := json.Marshal(v.Config)
		if err != nil {
			return fmt.Errorf("encode snapshot: %w", err)
		}
		u.Snapshot = snapshot
	}
	if c.members == unwanted {
		return nil
	}
	members, err := r.config.Holder.MembersSince(c.members)
	u.Members = members
	return err
}
