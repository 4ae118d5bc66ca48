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

// LeaseKey is the key of the rollout lease in the object API.
const LeaseKey = "lease/rollout"

const (
	leaseDuration = 4 * time.Second
	leaseMargin   = time.Second
	// leaseInterval is the time between two attempts to acquire or renew the lease.
	leaseInterval = time.Second
	// planInterval is the time between two checks of which permits to send.
	planInterval  = 200 * time.Millisecond
	permitTimeout = time.Second
)

// rollout controls rollouts while this entry holds the rollout lease.
type rollout struct {
	entry *Entry
	lease *leaser.Lease

	mu sync.Mutex
	// epoch and leaseUntil are the last known epoch of the lease and the time until which
	// this entry holds it.
	epoch      uint64
	leaseUntil time.Time
	// permits is the number of permits that hosts have accepted from this entry.
	permits int
}

func newRollout(e *Entry) *rollout {
	return &rollout{entry: e, lease: leaser.New(leaser.Config{
		Store: e.node.Store, Key: LeaseKey, Holder: e.config.Settings.Identity.Name, Duration: leaseDuration, Margin: leaseMargin,
	})}
}

// RolloutState is the state of rollout control in a dump.
type RolloutState struct {
	// Holder is true if the entry holds the rollout lease.
	Holder bool
	// Epoch is the epoch of the lease.
	Epoch uint64
	// Permits is the number of permits that hosts have accepted from this entry.
	Permits int
}

func (r *rollout) state() RolloutState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return RolloutState{Holder: time.Now().Before(r.leaseUntil), Epoch: r.epoch, Permits: r.permits}
}

// candidate reports whether this entry tries to acquire the lease. Only roots of the
// configuration tree do, so that the number of calls to the object API does not grow
// with the number of entries.
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
	for sleeper.Sleep(ctx, planInterval) == nil {
		r.sendPermits(ctx)
	}
}

// keepLease tries to acquire and renew the lease while the entry is a candidate.
func (r *rollout) keepLease(ctx context.Context) {
	wasHeld := false
	for sleeper.Sleep(ctx, leaseInterval) == nil {
		if !r.candidate() {
			continue
		}
		err := r.lease.AcquireOrRenew(ctx)
		var conflict filbertstile.ErrConflict
		if err != nil && !errors.As(err, &conflict) && ctx.Err() == nil {
			r.entry.node.Log.Event(reporter.StepFailed, reporter.Fields{"Step": "renew lease", "Error": err})
		}
		epoch, held := r.lease.Held(time.Now())
		r.mu.Lock()
		r.epoch, r.leaseUntil = epoch, r.lease.HeldUntil()
		r.mu.Unlock()
		if held != wasHeld {
			event := reporter.LeaseLost
			if held {
				event = reporter.LeaseTaken
			}
			r.entry.node.Log.Event(event, reporter.Fields{"Epoch": epoch})
			wasHeld = held
		}
	}
}

// sendPermits sends the permits that roller.Plan returns, if this entry holds the lease.
func (r *rollout) sendPermits(ctx context.Context) {
	r.mu.Lock()
	lease := roller.Lease{Epoch: r.epoch, Until: r.leaseUntil}
	r.mu.Unlock()
	if !time.Now().Before(lease.Until) {
		return
	}
	permits := roller.Plan(r.entry.node.Holder.View().Config, r.entry.Replicas(), lease)
	var wg sync.WaitGroup
	for _, p := range permits {
		wg.Go(func() { r.sendPermit(ctx, p) })
	}
	wg.Wait()
}

func (r *rollout) sendPermit(ctx context.Context, p roller.Permit) {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	f, err := r.entry.node.Client.Call(ctx, p.Host.Address, &wire.Request{Id: r.entry.node.Client.NextID(), Kind: &wire.Request_Permit{Permit: &wire.Permit{
		Release: p.Release, Epoch: p.Epoch, LeaseMilliseconds: time.Until(p.Until).Milliseconds(),
	}}})
	if err != nil {
		return
	}
	if permitted := f.GetPermitted(); !permitted.GetAccepted() {
		r.entry.node.Log.Event(reporter.PermitRefused, reporter.Fields{"Peer": p.Host.Name, "Reason": permitted.GetReason()})
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.permits++
}
