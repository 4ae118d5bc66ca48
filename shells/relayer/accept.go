package relayer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/decisions/validator"
	"filbertstile.example/filbertstile/transport/messenger"
)

// ErrConflictingChange reports a change that modifies the same entities as another
// operator's change, which was accepted first.
type ErrConflictingChange struct {
	Step string
	// Base is the revision on which the operator based the change, and Current the
	// present revision.
	Base    uint64
	Current uint64
	// Author is the author of the other change, and Entities are the entities that
	// both changes modify.
	Author   string
	Entities []string
}

// Error returns a message with the other author, the entities and both revisions.
func (e ErrConflictingChange) Error() string {
	return fmt.Sprintf("%s: %s changed %v after revision %d (now %d); review that change and apply again", e.Step, e.Author, e.Entities, e.Base, e.Current)
}

// ErrTooFewRelays reports a change that was rejected because too few relays, which here
// means roots, are reachable.
type ErrTooFewRelays struct {
	Step string
	// Reached is the number of relays that replied, out of Expected.
	Reached  int
	Expected int
}

// Error returns a message with both numbers.
func (e ErrTooFewRelays) Error() string {
	return fmt.Sprintf("%s: only %d of %d relays are reachable, more than half are required", e.Step, e.Reached, e.Expected)
}

// Proposal is a change that an operator requests.
type Proposal struct {
	Author string
	// Base is the revision on which the operator bases the change; 0 means the present
	// one.
	Base  uint64
	Notes filbertstile.ReleaseNotes `json:",omitzero"`
	Marks []filbertstile.Mark       `json:",omitempty"`
	// DryRun is true if the change is checked but not written.
	DryRun bool
}

// Acceptance is the outcome of a proposal that was not rejected.
type Acceptance struct {
	// Revision is the revision of the change.
	Revision uint64
	Diff     []validator.Difference
	// PushedTo is the number of roots that already have the change, out of Relays.
	PushedTo int
	Relays   int
}

// Propose checks the change against the newest configuration and writes it to the log.
// It returns ErrConflictingChange if another operator has modified the same entities
// after the proposal's base, and ErrTooFewRelays unless more than half of the roots are
// reachable.
func (r *Relay) Propose(ctx context.Context, p Proposal) (Acceptance, error) {
	const step = "apply change"
	if err := r.catchUp(ctx); err != nil {
		return Acceptance{}, err
	}
	if p.Base == 0 {
		p.Base = r.config.Holder.View().Config.Revision
	}
	reached, expected := r.pingRoots(ctx)
	if 2*reached <= expected {
		return Acceptance{}, ErrTooFewRelays{Step: step, Reached: reached, Expected: expected}
	}
	nonce := uuid.NewString()
	for {
		before := r.config.Holder.View().Config
		ch := filbertstile.Change{
			Revision: before.Revision + 1, Nonce: nonce, Author: p.Author, At: time.Now().UTC(), Notes: p.Notes, Marks: p.Marks,
		}
		if err := r.checkConflicts(ctx, p.Base, ch); err != nil {
			return Acceptance{}, err
		}
		after, err := validator.Check(before, ch)
		if err != nil {
			return Acceptance{}, err
		}
		out := Acceptance{Revision: ch.Revision, Diff: validator.Diff(before, after), Relays: expected}
		if p.DryRun {
			return out, nil
		}
		raw, err := json.Marshal(ch)
		if err != nil {
			return Acceptance{}, fmt.Errorf("%s: %w", step, err)
		}
		_, err = r.log.Append(ctx, ch.Revision, raw)
		var conflict filbertstile.ErrConflict
		if errors.As(err, &conflict) {
			if err := r.catchUp(ctx); err != nil {
				return Acceptance{}, err
			}
			continue
		}
		if err != nil {
			return Acceptance{}, err
		}
		return r.finishAccepted(ctx, out, raw)
	}
}

// finishAccepted applies a change that has been written to the log, pushes it to the
// other roots and writes a snapshot if one is due.
func (r *Relay) finishAccepted(ctx context.Context, out Acceptance, raw []byte) (Acceptance, error) {
	if err := r.applyChanges([][]byte{raw}); err != nil {
		return out, err
	}
	out.PushedTo = r.pushToRoots(ctx, raw)
	r.config.Log.Event(reporter.ChangeAccepted, reporter.Fields{"Revision": out.Revision})
	if 2*out.PushedTo <= out.Relays {
		r.config.Log.Event(reporter.PushIncomplete, reporter.Fields{"Revision": out.Revision, "Relays": out.PushedTo})
	}
	if out.Revision%changesPerSnapshot == 0 {
		r.saveSnapshot(ctx)
	}
	return out, nil
}

// catchUp reads the log up to its end and applies it.
func (r *Relay) catchUp(ctx context.Context) error {
	entries, _, err := r.log.Read(ctx, r.config.Holder.View().Config.Revision)
	if err != nil {
		return err
	}
	return r.applyEntries(entries)
}

// History returns the changes after the revision that the log still has.
func (r *Relay) History(ctx context.Context, after uint64) ([]filbertstile.Change, error) {
	entries, _, err := r.log.Read(ctx, after)
	if err != nil {
		return nil, err
	}
	out := make([]filbertstile.Change, 0, len(entries))
	for _, e := range entries {
		var ch filbertstile.Change
		if err := json.Unmarshal(e.Value, &ch); err != nil {
			return nil, fmt.Errorf("decode change %d: %w", e.Number, err)
		}
		out = append(out, ch)
	}
	return out, nil
}

// checkConflicts returns ErrConflictingChange if a change after the base modifies the
// same entities as the proposed one.
func (r *Relay) checkConflicts(ctx context.Context, base uint64, proposed filbertstile.Change) error {
	if base+1 >= proposed.Revision {
		return nil
	}
	since, err := r.History(ctx, base)
	if err != nil {
		return err
	}
	for _, ch := range since {
		if overlap := validator.Overlap(ch, proposed); len(overlap) > 0 && ch.Revision < proposed.Revision {
			return ErrConflictingChange{Step: "apply change", Base: base, Current: proposed.Revision - 1, Author: ch.Author, Entities: overlap}
		}
	}
	return nil
}

func (r *Relay) roots() []filbertstile.Member {
	return Roots(r.config.Holder.View().Members, r.config.Limits)
}

// callRoots sends a request to all other roots concurrently and returns the number of
// roots that replied, including this process if it is one. It returns when all calls
// have ended, or after the grace period once more than half of the roots have replied.
func (r *Relay) callRoots(ctx context.Context, grace time.Duration, newRequest func() *wire.Request) int {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	roots := r.roots()
	replies := make(chan bool, len(roots))
	for _, m := range roots {
		if m.Name == r.config.Self.Name {
			replies <- true
			continue
		}
		r.wg.Go(func() {
			_, err := r.config.Client.Call(ctx, m.Address, newRequest())
			replies <- err == nil
		})
	}
	replied := 0
	var graceOver <-chan time.Time
	for range roots {
		select {
		case ok := <-replies:
			if ok {
				replied++
			}
			if graceOver == nil && 2*replied > len(roots) {
				graceOver = time.After(grace)
			}
		case <-graceOver:
			return replied
		case <-ctx.Done():
			return replied
		}
	}
	return replied
}

// pingRoots returns the number of reachable roots and the number of all roots.
func (r *Relay) pingRoots(ctx context.Context) (int, int) {
	n := r.callRoots(ctx, 0, func() *wire.Request {
		return &wire.Request{Id: r.config.Client.NextID(), Kind: &wire.Request_Watch{Watch: &wire.Watch{}}}
	})
	return n, len(r.roots())
}

// pushToRoots sends the encoded change to all roots and returns the number of roots
// that acknowledged it in time.
func (r *Relay) pushToRoots(ctx context.Context, raw []byte) int {
	return r.callRoots(context.WithoutCancel(ctx), pushGrace, func() *wire.Request {
		return &wire.Request{Id: r.config.Client.NextID(), Kind: &wire.Request_Push{Push: &wire.Push{Change: raw}}}
	})
}

// HandlePush applies a change that another entry has accepted.
func (r *Relay) HandlePush(req *wire.Request, s *messenger.Stream) {
	// After a gap, the next poll reads the missing entries. The reply only shows that
	// the change was received.
	_ = r.applyChanges([][]byte{req.GetPush().GetChange()})
	_ = s.Send(&wire.Frame{Kind: &wire.Frame_Ack{Ack: r.Subtree()}})
}

// HandleWatch replies with the state of the subtree.
func (r *Relay) HandleWatch(s *messenger.Stream) {
	_ = s.Send(&wire.Frame{Kind: &wire.Frame_Ack{Ack: r.Subtree()}})
}

// Propagation says how many processes have applied which revision of the configuration.
type Propagation struct {
	// MinRevision is the lowest revision of the processes that report.
	MinRevision uint64
	// Nodes is the number of processes that report.
	Nodes int
	// Expected is the number of listed processes that are not leaving.
	Expected int
	// Slowest is the name of the process with the lowest revision.
	Slowest string
	// Silent lists the names of roots that did not reply.
	Silent []string `json:",omitempty"`
}

// Complete reports whether all processes have applied the revision.
func (p Propagation) Complete(revision uint64) bool {
	return p.MinRevision >= revision && p.Nodes >= p.Expected && len(p.Silent) == 0
}

// Propagation asks all roots for the state of their subtrees.
func (r *Relay) Propagation(ctx context.Context) Propagation {
	ctx, cancel := context.WithTimeout(ctx, propagationTimeout)
	defer cancel()
	v := r.config.Holder.View()
	out := Propagation{MinRevision: v.Config.Revision, Slowest: r.config.Self.Name}
	for _, m := range v.Members.All() {
		if !m.Leaving {
			out.Expected++
		}
	}
	for _, m := range r.roots() {
		a, err := r.requestSubtree(ctx, m)
		if err != nil {
			out.Silent = append(out.Silent, m.Name)
			continue
		}
		out.Nodes += int(a.GetNodes())
		if a.GetMinRevision() < out.MinRevision {
			out.MinRevision = a.GetMinRevision()
			out.Slowest = a.GetSlowest()
		}
	}
	return out
}

// requestSubtree returns the state of a root's subtree.
func (r *Relay) requestSubtree(ctx context.Context, m filbertstile.Member) (*wire.Ack, error) {
	if m.Name == r.config.Self.Name {
		return r.Subtree(), nil
	}
	frame, err := r.config.Client.Call(ctx, m.Address, &wire.Request{Id: r.config.Client.NextID(), Kind: &wire.Request_Watch{Watch: &wire.Watch{}}})
	if err != nil {
		return nil, err
	}
	return frame.GetAck(), nil
}

// saveSnapshot writes the configuration as a single object and trims the log. A failure
// is only logged.
func (r *Relay) saveSnapshot(ctx context.Context) {
	err := r.writeSnapshot(ctx)
	if err != nil {
		r.config.Log.Event(reporter.SnapshotFailed, reporter.Fields{"Error": err})
	}
}

func (r *Relay) writeSnapshot(ctx context.Context) error {
	c := r.config.Holder.View().Config
	value, err := json.Marshal(c)
	if err != nil {
		return fmt.Errorf("encode snapshot: %w", err)
	}
	version := uint64(0)
	o, err := r.config.Store.Get(ctx, SnapshotKey)
	var notFound filbertstile.ErrNotFound
	if err != nil && !errors.As(err, &notFound) {
		return err
	}
	version = o.Version
	if _, err := r.config.Store.Put(ctx, SnapshotKey, version, value); err != nil {
		return err
	}
	return r.trimLog(ctx, c.Revision)
}

// trimLog deletes the entries that are included both in the snapshot at the revision
// and in the previous one.
func (r *Relay) trimLog(ctx context.Context, revision uint64) error {
	entries, _, err := r.log.Read(ctx, 0)
	if err != nil {
		return err
	}
	for _, e := range entries {
		if e.Number+changesPerSnapshot > revision {
			break
		}
		if err := r.log.Delete(ctx, e); err != nil {
			return err
		}
	}
	return nil
}
