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

// pollHostList reads the host list regularly, if the process is a root, has no parent
// or has had no contact with a parent for contactTimeout.
func (r *Relay) pollHostList(ctx context.Context) {
	for sleeper.Sleep(ctx, listInterval) == nil {
		p := r.Place()
		if !p.Root && len(p.Parents) > 0 && r.hasRecentContact() {
			continue
		}
		members, err := r.config.List.Members(ctx)
		if err != nil {
			r.config.Log.Event(reporter.ListOutOfReach, reporter.Fields{"Error": err})
			continue
		}
		if len(members) > 0 {
			r.config.Holder.SetMembers(filbertstile.NewTable(members...))
			r.recordMembersUpdate()
		}
	}
}

// recordMembersUpdate records that the host list or the primary parent provided the
// members.
func (r *Relay) recordMembersUpdate() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.membersUpdatedAt = time.Now()
}

// wantsMembers reports whether the process accepts members from a parent. Two
// processes that accept members from each other would exchange differing lists
// forever. Therefore members are accepted from the primary parent only, while it sends
// updates, and a root reads the host list itself.
func (r *Relay) wantsMembers(primary bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return primary || time.Since(r.membersUpdatedAt) > contactTimeout
}

// recordStoreRead records a read that returned the log as of the time it started, with
// the revision of the store.
func (r *Relay) recordStoreRead(started time.Time, revision uint64) {
	r.mu.Lock()
	// A read with a lower revision than an earlier one lags behind and confirms
	// nothing.
	lags := revision < r.storeRevision
	r.storeRevision = max(r.storeRevision, revision)
	wasUnreachable := r.storeUnreachable
	if !lags {
		r.lastStoreRead = time.Now()
		r.storeUnreachable = false
	}
	r.mu.Unlock()
	if lags {
		return
	}
	if wasUnreachable {
		r.config.Log.Event(reporter.StoreBack, nil)
	}
	r.config.Holder.Confirm(started, false)
}

// pollStore reads the log at every pollInterval. A slow read does not delay the next
// one, but there are at most maxConcurrentPolls.
func (r *Relay) pollStore(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		r.mu.Lock()
		busy := r.activePolls >= maxConcurrentPolls
		if !busy {
			r.activePolls++
		}
		r.mu.Unlock()
		if !busy {
			wg.Add(1)
			go func() {
				defer wg.Done()
				r.pollStoreOnce(ctx)
				r.mu.Lock()
				r.activePolls--
				r.mu.Unlock()
			}()
		}
		if sleeper.Sleep(ctx, pollInterval) != nil {
			return
		}
	}
}

// pollStoreOnce reads and applies the log entries after the view's revision.
func (r *Relay) pollStoreOnce(ctx context.Context) {
	started := time.Now()
	if r.config.Holder.View().Config.Revision == 0 {
		if err := r.loadSnapshot(ctx); err != nil {
			return
		}
	}
	entries, revision, err := r.log.Read(ctx, r.config.Holder.View().Config.Revision)
	if err != nil {
		r.config.Log.Event(reporter.StoreOutOfReach, reporter.Fields{"Error": err})
		return
	}
	var gap viewer.ErrRevisionGap
	switch err := r.applyEntries(entries); {
	case err == nil:
		r.recordStoreRead(started, revision)
	case errors.As(err, &gap):
		// The log has been trimmed beyond the view's revision. The snapshot includes
		// the deleted entries.
		err = r.loadSnapshot(ctx)
		fallthrough
	default:
		r.config.Log.Event(reporter.StepFailed, reporter.Fields{"Step": "poll", "Error": err})
	}
}

// loadSnapshot applies the snapshot in the store, if there is one.
func (r *Relay) loadSnapshot(ctx context.Context) error {
	o, err := r.config.Store.Get(ctx, SnapshotKey)
	var notFound filbertstile.ErrNotFound
	if errors.As(err, &notFound) {
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

// applyEntries applies the changes that the log entries hold.
func (r *Relay) applyEntries(entries []journaler.Entry) error {
	raw := make([][]byte, 0, len(entries))
	for _, e := range entries {
		raw = append(raw, e.Value)
	}
	return r.applyChanges(raw)
}

// applyChanges applies encoded changes to the view.
func (r *Relay) applyChanges(raw [][]byte) error {
	before := r.config.Holder.View().Config.Revision
	err := r.config.Holder.ApplyChanges(raw)
	if after := r.config.Holder.View().Config.Revision; after != before {
		r.config.Log.Event(reporter.ChangeApplied, reporter.Fields{"Revision": after})
	}
	return err
}

// watchStore applies new entries of the log as they are written.
func (r *Relay) watchStore(ctx context.Context) {
	after := uint64(0)
	for ctx.Err() == nil {
		b, err := r.config.Store.Watch(ctx, LogPrefix, after)
		if err != nil {
			_ = sleeper.Sleep(ctx, retryDelay)
			continue
		}
		entries, err := r.log.Parse(b)
		if err != nil {
			r.config.Log.Event(reporter.StepFailed, reporter.Fields{"Error": err})
			_ = sleeper.Sleep(ctx, retryDelay)
			continue
		}
		after = b.Revision
		// After a gap, the next poll reads the missing entries.
		_ = r.applyEntries(entries)
	}
}
