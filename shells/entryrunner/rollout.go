package entryrunner

import (
	"context"
	"errors"
	"sync"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/base/sleeper"
	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/decisions/roller"
	"filbertstile.example/filbertstile/outside/leaser"
	"filbertstile.example/filbertstile/shells/relayer"
)

// LeaseKey is the rollout lease's object.
const LeaseKey = "lease/rollout"

const (
	leaseTerm     = 4 * time.Second
	leaseMargin   = time.Second
	leaseEvery    = time.Second
	planEvery     = 200 * time.Millisecond
	permitTimeout = time.Second
)

// rollout is this entry's part in the control of rollouts.
type rollout struct {
	entry *Entry
	lease *leaser.Lease

	mu      sync.Mutex
	epoch   uint64
	until   time.Time
	permits int
}

func newRollout(e *Entry) *rollout {
	return &rollout{entry: e, lease: leaser.New(leaser.Config{
		Store: e.node.Store, Key: LeaseKey, Holder: e.config.Settings.Identity.Name, Duration: leaseTerm, Margin: leaseMargin,
	})}
}

// RolloutState is the rollout's part of a dump.
type RolloutState struct {
	Holder  bool
	Epoch   uint64
	Permits int
}

func (r *rollout) state() RolloutState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return RolloutState{Holder: time.Now().Before(r.until), Epoch: r.epoch, Permits: r.permits}
}

// candidate tells whether this entry tries for the lease: the roots do, so that
// the calls do not grow with the number of entries.
func (r *rollout) candidate() bool {
	self := r.entry.node.Self()
	for _, m := range relayer.Roots(r.entry.node.Holder.View().Members, r.entry.config.Tree) {
		if m.Name == self.Name {
			return !self.Leaving
		}
	}
	return false
}

func (r *rollout) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { r.keepLease(ctx) })
	for sleeper.Sleep(ctx, planEvery) == nil {
		r.plan(ctx)
	}
}

func (r *rollout) keepLease(ctx context.Context) {
	held := false
	for sleeper.Sleep(ctx, leaseEvery) == nil {
		if !r.candidate() {
			continue
		}
		err := r.lease.AcquireOrRenew(ctx)
		var lost filbertstile.ErrConflict
		if err != nil && !errors.As(err, &lost) && ctx.Err() == nil {
			r.entry.node.Log.Event(reporter.StepFailed, reporter.Fields{"Step": "renew lease", "Error": err})
		}
		epoch, now := r.lease.Held(time.Now())
		r.mu.Lock()
		r.epoch, r.until = epoch, r.lease.HeldUntil()
		r.mu.Unlock()
		if now != held {
			event := reporter.LeaseLost
			if now {
				event = reporter.LeaseTaken
			}
			r.entry.node.Log.Event(event, reporter.Fields{"Epoch": epoch})
			held = now
		}
	}
}

// plan gives the permits that are due, if this entry holds the lease.
func (r *rollout) plan(ctx context.Context) {
	r.mu.Lock()
	g := roller.Lease{Epoch: r.epoch, Until: r.until}
	r.mu.Unlock()
	if !time.Now().Before(g.Until) {
		return
	}
	permits := roller.Plan(r.entry.node.Holder.View().Config, r.entry.Replicas(), g)
	var wg sync.WaitGroup
	for _, p := range permits {
		wg.Go(func() { r.give(ctx, p) })
	}
	wg.Wait()
}

func (r *rollout) give(ctx context.Context, p roller.Permit) {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	f, err := r.entry.node.Client.Call(ctx, p.Host.Address, &wire.Request{Id: r.entry.node.Client.NextID(), Kind: &wire.Request_Permit{Permit: &wire.Permit{
		Release: p.Release, Epoch: p.Epoch, LeaseMilliseconds: time.Until(p.Until).Milliseconds(),
	}}})
	if err != nil {
		return
	}
	if answer := f.GetPermitted(); !answer.GetAccepted() {
		r.entry.node.Log.Event(reporter.PermitRefused, reporter.Fields{"Peer": p.Host.Name, "Reason": answer.GetReason()})
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.permits++
}
