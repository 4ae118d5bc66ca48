package relayer

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"filbertstile.example/filbertstile/base/sleeper"
	"filbertstile.example/filbertstile/base/viewer"
	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/decisions/evaluator"
	"filbertstile.example/filbertstile/transport/messenger"
)

// child is the state of a subscriber.
type child struct {
	name string
	// primary is true if the subscriber reports its subtree to this process.
	primary bool
	// revision and membersVersion are those that the subscriber has acknowledged or
	// that have been sent to it.
	revision       uint64
	membersVersion uint64
	// minRevision is the lowest revision in the subscriber's subtree, slowest the
	// process that has it, and nodes the number of processes in the subtree.
	minRevision uint64
	nodes       int
	slowest     string
	// stampMicros is the stamp in the subscriber's last message, which only it can read, and
	// stampReceivedAt when that message arrived.
	stampMicros     int64
	stampReceivedAt time.Time
	lastContact     time.Time
}

// HandleSubscribe sends updates to one subscriber until its stream ends.
func (r *Relay) HandleSubscribe(ctx context.Context, req *wire.Request, s *messenger.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sub := req.GetSubscribe()
	c := child{
		name: sub.GetNode(), primary: sub.GetPrimary(), revision: sub.GetRevision(), membersVersion: sub.GetMembersVersion(),
		minRevision: sub.GetRevision(), slowest: sub.GetNode(), stampMicros: sub.GetStampMicroseconds(), stampReceivedAt: time.Now(), lastContact: time.Now(),
	}
	// Request IDs are unique per sender only.
	key := sub.GetNode() + " " + s.ID()
	r.setChild(key, c)
	defer r.deleteChild(key)
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		defer cancel()
		r.receiveAcks(s, key, c)
	}()
	for {
		changed := r.config.Holder.Changed()
		confirmed := r.config.Holder.Confirmed()
		if err := r.sendUpdate(s, key); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
			// A secondary parent waits for the primary one, and does not send what
			// the subscriber has acknowledged by then.
			if !sub.GetPrimary() && sleeper.Sleep(ctx, secondaryDelay) != nil {
				return
			}
		case <-confirmed:
		case <-time.After(heartbeatInterval):
		}
	}
}

func (r *Relay) setChild(key string, c child) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.children[key] = c
}

func (r *Relay) deleteChild(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.children, key)
}

// receiveAcks updates the state of a subscriber from its acks until the stream ends.
func (r *Relay) receiveAcks(s *messenger.Stream, key string, c child) {
	for {
		frame, err := s.Receive()
		if err != nil {
			return
		}
		a := frame.GetAck()
		if a == nil {
			continue
		}
		r.mu.Lock()
		// Changes that have been sent since may not be acknowledged yet.
		sent := r.children[key]
		c.revision = max(sent.revision, a.GetRevision())
		c.membersVersion = a.GetMembersVersion()
		c.minRevision, c.nodes, c.slowest = a.GetMinRevision(), int(a.GetNodes()), a.GetSlowest()
		c.stampMicros, c.stampReceivedAt, c.lastContact = a.GetStampMicroseconds(), time.Now(), time.Now()
		r.children[key] = c
		r.mu.Unlock()
	}
}

// sendUpdate sends the changes that the subscriber lacks, and when the store last
// confirmed the view.
func (r *Relay) sendUpdate(s *messenger.Stream, key string) error {
	v := r.config.Holder.View()
	r.mu.Lock()
	c := r.children[key]
	u := &wire.Update{
		Revision: v.Config.Revision, MembersVersion: v.MembersVersion,
		StoreOutOfReach: r.storeUnreachable, Outage: r.trust == evaluator.Outage,
		EchoMicroseconds: c.stampMicros, VouchedMillisecondsAgo: neverConfirmed,
	}
	r.mu.Unlock()
	if !v.ConfirmedAt.IsZero() {
		u.VouchedMillisecondsAgo = c.stampReceivedAt.Sub(v.ConfirmedAt).Milliseconds()
	}
	if err := r.fillUpdate(u, c, v); err != nil {
		return err
	}
	if err := s.Send(&wire.Frame{Kind: &wire.Frame_Update{Update: u}}); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	c = r.children[key]
	c.revision = max(c.revision, v.Config.Revision)
	if c.membersVersion != membersUnwanted {
		c.membersVersion = v.MembersVersion
	}
	r.children[key] = c
	return nil
}

// fillUpdate adds the configuration changes and members that the subscriber lacks to
// the update, or a snapshot if some of the changes are no longer kept.
func (r *Relay) fillUpdate(u *wire.Update, c child, v viewer.View) error {
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
	if c.membersVersion == membersUnwanted {
		return nil
	}
	members, err := r.config.Holder.MembersSince(c.membersVersion)
	u.Members = members
	return err
}
