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
	"filbertstile.example/filbertstile/decisions/applier"
	"filbertstile.example/filbertstile/transport/messenger"
)

// ErrRace is a change that another operator's change got ahead of.
type ErrRace struct {
	Step string
	// Base is the revision that the operator had seen, and Now the present one.
	Base uint64
	Now  uint64
	// Author made the change that came first, and Entities are in both.
	Author   string
	Entities []string
}

// Error names the entities that both changes touch.
func (e ErrRace) Error() string {
	return fmt.Sprintf("%s: %s changed %v in a revision after %d (now %d): look at it and apply again", e.Step, e.Author, e.Entities, e.Base, e.Now)
}

// ErrTooFew is a change that cannot be put in force, because too few relays
// answer.
type ErrTooFew struct {
	Step     string
	Reached  int
	Expected int
}

// Error names the numbers.
func (e ErrTooFew) Error() string {
	return fmt.Sprintf("%s: only %d of %d relays answer, more than half are needed", e.Step, e.Reached, e.Expected)
}

// Proposal is a change as an operator asks for it.
type Proposal struct {
	Author string
	// Base is the revision that the operator has seen; 0 means the present one.
	Base   uint64
	Notes  filbertstile.ReleaseNotes `json:",omitzero"`
	Marks  []filbertstile.Mark       `json:",omitempty"`
	DryRun bool
}

// Acceptance is the outcome of a proposal.
type Acceptance struct {
	Revision uint64
	Diff     []applier.Difference
	// PushedTo is the number of relays that have the change already.
	PushedTo int
	Relays   int
}

// Propose checks the change against the newest configuration and writes it to
// the log. A change by another operator in between is checked for overlap, and
// a change that overlaps is refused with ErrRace.
func (r *Relay) Propose(ctx context.Context, p Proposal) (Acceptance, error) {
	const step = "apply change"
	if err := r.catchUp(ctx); err != nil {
		return Acceptance{}, err
	}
	if p.Base == 0 {
		p.Base = r.config.Holder.View().Config.Revision
	}
	reached, expected := r.ping(ctx)
	if 2*reached <= expected {
		return Acceptance{}, ErrTooFew{Step: step, Reached: reached, Expected: expected}
	}
	nonce := uuid.NewString()
	for {
		before := r.config.Holder.View().Config
		ch := filbertstile.Change{
			Revision: before.Revision + 1, Nonce: nonce, Author: p.Author, At: time.Now().UTC(), Notes: p.Notes, Marks: p.Marks,
		}
		if err := r.raced(ctx, p.Base, ch); err != nil {
			return Acceptance{}, err
		}
		after, err := applier.Check(before, ch)
		if err != nil {
			return Acceptance{}, err
		}
		out := Acceptance{Revision: ch.Revision, Diff: applier.Diff(before, after), Relays: expected}
		if p.DryRun {
			return out, nil
		}
		raw, err := json.Marshal(ch)
		if err != nil {
			return Acceptance{}, fmt.Errorf("%s: %w", step, err)
		}
		_, err = r.log.Append(ctx, ch.Revision, raw)
		var taken filbertstile.ErrConflict
		if errors.As(err, &taken) {
			if err := r.catchUp(ctx); err != nil {
				return Acceptance{}, err
			}
			continue
		}
		if err != nil {
			return Acceptance{}, err
		}
		return r.accepted(ctx, out, raw)
	}
}

func (r *Relay) accepted(ctx context.Context, out Acceptance, raw []byte) (Acceptance, error) {
	if err := r.take([][]byte{raw}); err != nil {
		return out, err
	}
	out.PushedTo = r.push(ctx, raw)
	r.config.Log.Event(reporter.ChangeAccepted, reporter.Fields{"Revision": out.Revision})
	if 2*out.PushedTo <= out.Relays {
		r.config.Log.Event(reporter.PushIncomplete, reporter.Fields{"Revision": out.Revision, "Relays": out.PushedTo})
	}
	if out.Revision%snapshotEvery == 0 {
		r.snapshot(ctx)
	}
	return out, nil
}

// catchUp reads the log up to its end.
func (r *Relay) catchUp(ctx context.Context) error {
	entries, _, err := r.log.Read(ctx, r.config.Holder.View().Config.Revision)
	if err != nil {
		return err
	}
	return r.apply(entries)
}

// History returns the changes after the revision, as far as the log keeps them.
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

// raced looks for entities that others changed after the base.
func (r *Relay) raced(ctx context.Context, base uint64, mine filbertstile.Change) error {
	if base+1 >= mine.Revision {
		return nil
	}
	since, err := r.History(ctx, base)
	if err != nil {
		return err
	}
	for _, ch := range since {
		if both := applier.Overlap(ch, mine); len(both) > 0 && ch.Revision < mine.Revision {
			return ErrRace{Step: "apply change", Base: base, Now: mine.Revision - 1, Author: ch.Author, Entities: both}
		}
	}
	return nil
}

func (r *Relay) roots() []filbertstile.Member {
	return Roots(r.config.Holder.View().Members, r.config.Limits)
}

// each calls every root at once and counts those that answered. It returns
// when all have, or, once more than half have, after the grace.
func (r *Relay) each(ctx context.Context, grace time.Duration, request func() *wire.Request) int {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	roots := r.roots()
	answers := make(chan bool, len(roots))
	for _, m := range roots {
		if m.Name == r.config.Self.Name {
			answers <- true
			continue
		}
		r.wg.Go(func() {
			_, err := r.config.Client.Call(ctx, m.Address, request())
			answers <- err == nil
		})
	}
	answered := 0
	var enough <-chan time.Time
	for range roots {
		select {
		case ok := <-answers:
			if ok {
				answered++
			}
			if enough == nil && 2*answered > len(roots) {
				enough = time.After(grace)
			}
		case <-enough:
			return answered
		case <-ctx.Done():
			return answered
		}
	}
	return answered
}

func (r *Relay) ping(ctx context.Context) (int, int) {
	n := r.each(ctx, 0, func() *wire.Request {
		return &wire.Request{Id: r.config.Client.NextID(), Kind: &wire.Request_Watch{Watch: &wire.Watch{}}}
	})
	return n, len(r.roots())
}

func (r *Relay) push(ctx context.Context, raw []byte) int {
	return r.each(context.WithoutCancel(ctx), pushGrace, func() *wire.Request {
		return &wire.Request{Id: r.config.Client.NextID(), Kind: &wire.Request_Push{Push: &wire.Push{Change: raw}}}
	})
}

// HandlePush takes in a change that another entry accepted.
func (r *Relay) HandlePush(req *wire.Request, s *messenger.Stream) {
	// A gap is closed by the next poll; the answer says only that it was heard.
	_ = r.take([][]byte{req.GetPush().GetChange()})
	_ = s.Send(&wire.Frame{Kind: &wire.Frame_Ack{Ack: r.Subtree()}})
}

// HandleWatch answers how far the subtree is.
func (r *Relay) HandleWatch(s *messenger.Stream) {
	_ = s.Send(&wire.Frame{Kind: &wire.Frame_Ack{Ack: r.Subtree()}})
}

// Spread is how far a configuration is in force.
type Spread struct {
	// MinRevision is in force in every process that answers.
	MinRevision uint64
	Nodes       int
	// Expected is the number of processes on the list that are not leaving.
	Expected int
	// Slowest names the process with the lowest revision.
	Slowest string
	// Silent lists relays that did not answer.
	Silent []string `json:",omitempty"`
}

// Everywhere tells whether the revision is in force in all processes.
func (s Spread) Everywhere(revision uint64) bool {
	return s.MinRevision >= revision && s.Nodes >= s.Expected && len(s.Silent) == 0
}

// Spread asks all roots how far their subtrees are.
func (r *Relay) Spread(ctx context.Context) Spread {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	v := r.config.Holder.View()
	out := Spread{MinRevision: v.Config.Revision, Slowest: r.config.Self.Name}
	for _, m := range v.Members.All() {
		if !m.Leaving {
			out.Expected++
		}
	}
	for _, m := range r.roots() {
		a, err := r.report(ctx, m)
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

func (r *Relay) report(ctx context.Context, m filbertstile.Member) (*wire.Ack, error) {
	if m.Name == r.config.Self.Name {
		return r.Subtree(), nil
	}
	f, err := r.config.Client.Call(ctx, m.Address, &wire.Request{Id: r.config.Client.NextID(), Kind: &wire.Request_Watch{Watch: &wire.Watch{}}})
	if err != nil {
		return nil, err
	}
	return f.GetAck(), nil
}

// snapshot writes the configuration as one object, and trims the log before it.
func (r *Relay) snapshot(ctx context.Context) {
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
	var none filbertstile.ErrNotFound
	if err != nil && !errors.As(err, &none) {
		return err
	}
	version = o.Version
	if _, err := r.config.Store.Put(ctx, SnapshotKey, version, value); err != nil {
		return err
	}
	return r.trim(ctx, c.Revision)
}

// trim deletes entries that two snapshots cover.
func (r *Relay) trim(ctx context.Context, revision uint64) error {
	entries, _, err := r.log.Read(ctx, 0)
	if err != nil {
		return err
	}
	for _, e := range entries {
		if e.Number+snapshotEvery > revision {
			break
		}
		if err := r.log.Delete(ctx, e); err != nil {
			return err
		}
	}
	return nil
}
