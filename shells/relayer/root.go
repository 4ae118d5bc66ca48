package relayer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/base/sleeper"
	"filbertstile.example/filbertstile/base/viewer"
	"filbertstile.example/filbertstile/outside/journaler"
)

// list follows the host list, if the process is a root or knows no parent.
func (r *Relay) list(ctx context.Context) {
	for sleeper.Sleep(ctx, listEvery) == nil {
		p := r.Place()
		if !p.Root && len(p.Parents) > 0 && r.heardLately() {
			continue
		}
		members, err := r.config.List.Members(ctx)
		if err != nil {
			r.config.Log.Event(reporter.ListOutOfReach, reporter.Fields{"Error": err})
			continue
		}
		if len(members) > 0 {
			r.config.Holder.SetMembers(filbertstile.NewTable(members...))
			r.noteMembers()
		}
	}
}

func (r *Relay) noteMembers() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.membersAt = time.Now()
}

// wantsMembers tells whether members are taken from a parent. Two processes
// that took them from each other would swap differing lists for ever, so only
// the primary parent counts while it speaks, and a root asks the list itself.
func (r *Relay) wantsMembers(primary bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return primary || time.Since(r.membersAt) > silentAfter
}

// storeAnswered notes a read that shows the log as of its start.
func (r *Relay) storeAnswered(started time.Time, revision uint64) {
	r.mu.Lock()
	// A read that shows less than was seen before lags, and vouches for nothing.
	lags := revision < r.seenRev
	r.seenRev = max(r.seenRev, revision)
	wasOut := r.noStore
	if !lags {
		r.storeAt = time.Now()
		r.noStore = false
	}
	r.mu.Unlock()
	if lags {
		return
	}
	if wasOut {
		r.config.Log.Event(reporter.StoreBack, nil)
	}
	r.config.Holder.Confirm(started, false)
}

// poll reads what follows the view, again and again, without waiting for slow
// answers.
func (r *Relay) poll(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		r.mu.Lock()
		busy := r.polls >= maxPolls
		if !busy {
			r.polls++
		}
		r.mu.Unlock()
		if !busy {
			wg.Add(1)
			go func() {
				defer wg.Done()
				r.pollOnce(ctx)
				r.mu.Lock()
				r.polls--
				r.mu.Unlock()
			}()
		}
		if sleeper.Sleep(ctx, pollEvery) != nil {
			return
		}
	}
}

func (r *Relay) pollOnce(ctx context.Context) {
	started := time.Now()
	if r.config.Holder.View().Config.Revision == 0 {
		if err := r.restore(ctx); err != nil {
			return
		}
	}
	entries, revision, err := r.log.Read(ctx, r.config.Holder.View().Config.Revision)
	if err != nil {
		r.config.Log.Event(reporter.StoreOutOfReach, reporter.Fields{"Error": err})
		return
	}
	var gap viewer.ErrRevisionGap
	switch err := r.apply(entries); {
	case err == nil:
		r.storeAnswered(started, revision)
	case errors.As(err, &gap):
		// The log was trimmed past the view: the snapshot covers what is gone.
		err = r.restore(ctx)
		fallthrough
	default:
		r.config.Log.Event(reporter.StepFailed, reporter.Fields{"Step": "poll", "Error": err})
	}
}

// restore takes in the snapshot, if there is one.
func (r *Relay) restore(ctx context.Context) error {
	o, err := r.config.Store.Get(ctx, SnapshotKey)
	var none filbertstile.ErrNotFound
	if errors.As(err, &none) {
		return nil
	}
	if err != nil {
		return err
	}
	var c filbertstile.Config
	if err := json.Unmarshal(o.Value, &c); err != nil {
		return fmt.Errorf("decode snapshot: %w", err)
	}
	r.config.Holder.ApplySnapshot(c)
	return nil
}

func (r *Relay) apply(entries []journaler.Entry) error {
	raw := make([][]byte, 0, len(entries))
	for _, e := range entries {
		raw = append(raw, e.Value)
	}
	return r.take(raw)
}

func (r *Relay) take(raw [][]byte) error {
	before := r.config.Holder.View().Config.Revision
	err := r.config.Holder.ApplyChanges(raw)
	if after := r.config.Holder.View().Config.Revision; after != before {
		r.config.Log.Event(reporter.ChangeApplied, reporter.Fields{"Revision": after})
	}
	return err
}

// watch waits for new entries of the log.
func (r *Relay) watch(ctx context.Context) {
	after := uint64(0)
	for ctx.Err() == nil {
		b, err := r.config.Store.Watch(ctx, LogPrefix, after)
		if err != nil {
			_ = sleeper.Sleep(ctx, resubscribe)
			continue
		}
		entries, err := r.log.Parse(b)
		if err != nil {
			r.config.Log.Event(reporter.StepFailed, reporter.Fields{"Error": err})
			_ = sleeper.Sleep(ctx, resubscribe)
			continue
		}
		after = b.Revision
		// A gap is closed by the next poll.
		_ = r.apply(entries)
	}
}
