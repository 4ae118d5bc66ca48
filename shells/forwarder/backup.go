package forwarder

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/decisions/placer"
	"filbertstile.example/filbertstile/decisions/suspector"
)

// backup is an attempt beside one whose replica is silent.
type backup struct {
	// x is a copy of the request's state. Its writer is not used.
	x *requestState
	// before is the state of the request when the backup began.
	before requestState
	cancel context.CancelCauseFunc
	// sent is the number of sends, with those of the backups of the backup, whose parent it is.
	sent   atomic.Int32
	parent *backup
	// done is closed when the backup has answered or failed; ended is true then.
	done  chan struct{}
	ended bool
	// ready is true if the backup has answered, and first is the first piece of the answer.
	ready   bool
	attempt *attemptState
	first   piece
	// returned is true if the attempt has returned its first piece or an error.
	returned bool
}

// newBackup returns a backup of the attempt a, whose request counts as run in it.
func newBackup(x *requestState, a *attemptState) *backup {
	copied := *x
	copied.tried = slices.Clone(x.tried)
	if a.uncounted() {
		copied.runs++
	}
	b := &backup{x: &copied, before: copied, parent: x.backup, done: make(chan struct{})}
	b.x.ctx, b.cancel = context.WithCancelCause(x.ctx)
	b.x.backup = b
	return b
}

// run makes the attempt until its replica has answered.
func (b *backup) run() {
	x, config := b.x, b.x.forwarder.config
	defer func() { b.panicked(recover()) }()
	if config.Suspector.Recheck(time.Now(), x.keys).Verdict != suspector.Send {
		b.refused("the request is suspected of crashing replicas")
		return
	}
	g, err := x.acquire()
	if err != nil {
		b.refused(err.Error())
		return
	}
	if !x.forwarder.retryBudget.spend(x.call.Service, time.Now()) {
		config.Placer.Release(&g, placer.Abandoned)
		b.refused("the retry budget is spent")
		return
	}
	for p := b; p != nil; p = p.parent {
		p.sent.Add(1)
	}
	b.attempt = x.newAttempt(&g)
	w := newSilenceWatch(x, b.attempt)
	b.first, err = b.attempt.next()
	b.returned = true
	if own := w.settle(err != nil || b.attempt.response.Verdict == Failed); own != nil {
		x.replaced(b.attempt, err)
		b.attempt, b.first, err = x.adopt(own, w), own.first, nil
	}
	if err == nil && b.attempt.response.Verdict != Failed {
		b.ready = true
		return
	}
	if err == nil {
		x.release(b.attempt.grant, placer.Failed)
		x.logAttempt(b.attempt, "Failed", errReplicaFailed.Error())
	} else {
		x.connectionEnded(b.attempt, err)
		x.conclude(b.attempt, err)
	}
	b.attempt.close()
}

// panicked ends the attempt after a panic, which must not end the process. The request may have run.
func (b *backup) panicked(recovered any) {
	if recovered == nil {
		return
	}
	x := b.x
	x.forwarder.config.Log.Panic(reporter.PanicRecovered, recovered, reporter.Fields{"Step": "attempt beside a silent one", "Request": x.call.ID})
	if b.attempt == nil {
		return
	}
	if !b.returned {
		if own := b.attempt.watch.settle(false); own != nil {
			own.discard()
		}
		x.release(b.attempt.grant, placer.Abandoned)
	}
	x.sends, x.runs = b.before.sends+int(b.sent.Load()), b.before.runs+int(b.sent.Load())
	b.attempt.close()
}

// refused logs that there is no other replica for the request.
func (b *backup) refused(reason string) {
	if b.x.ctx.Err() != nil {
		return
	}
	b.x.forwarder.config.Log.Event(reporter.BackupRefused, b.x.addFields(reporter.Fields{"Peer": b.x.tried[len(b.x.tried)-1], "Reason": reason, "Begun": b.x.responseStarted}))
}

// discard ends an attempt that has answered and is not used.
func (b *backup) discard() {
	if !b.ready {
		return
	}
	b.ready = false
	b.attempt.cancel(errNotNeeded)
	b.x.conclude(b.attempt, errNotNeeded)
	b.attempt.close()
	b.cancel(nil)
}

// merge adds what the backup has sent to the state of the request.
func (x *requestState) merge(b *backup) {
	x.sends += b.x.sends - b.before.sends
	x.runs += b.x.runs - b.before.runs
	x.crashes += b.x.crashes - b.before.crashes
	x.queueTime += b.x.queueTime - b.before.queueTime
	x.tried = append(x.tried, b.x.tried[len(b.before.tried):]...)
	if b.x.endClaim != b.before.endClaim {
		x.endClaim = b.x.endClaim
	}
}

// abandon ends a backup that is no longer needed. What it has sent counts as run unless it is
// known not to be.
func (x *requestState) abandon(b *backup) {
	if b.ended {
		x.merge(b)
		b.discard()
		return
	}
	b.cancel(errNotNeeded) // first, so that nothing is sent after sent has been read
	n := int(b.sent.Load())
	x.sends += n
	x.runs += n
}

// adopt makes the attempt of the backup the one of the request.
func (x *requestState) adopt(b *backup, w *silenceWatch) *attemptState {
	a := b.attempt
	x.answer, x.writeDelay, x.queueTime = b.x.answer, b.x.writeDelay, b.x.queueTime
	a.x, a.watch = x, w
	w.mu.Lock()
	defer w.mu.Unlock()
	w.attempt = a
	return a
}
