package forwarder

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/decisions/placer"
	"filbertstile.example/filbertstile/decisions/suspector"
)

const (
	// firstEventTimeout is the time without the first event of a stream after which another
	// attempt begins: three target latencies.
	firstEventTimeout = 1500 * time.Millisecond
	// eventGapTimeout is the same between two events. Callers disconnect after 2 s without an
	// event, and one pass of a model engine takes at most about 200 ms.
	eventGapTimeout = 1200 * time.Millisecond
	// responseTimeoutFactor is the number of target latencies without a complete response to an
	// idempotent request after which another attempt begins.
	responseTimeoutFactor = 3
)

// silenceWatch watches the attempt of a request, and begins another one beside it while its
// replica is silent. A silent replica may go on: its attempt ends only once the other one has
// answered. The other one is watched as well.
type silenceWatch struct {
	x *requestState

	mu      sync.Mutex
	attempt *attemptState
	// waiting is true while the attempt waits for its replica. Only then may another goroutine
	// use x, and only while it holds mu.
	waiting bool
	// due is true if the time ran out while the attempt did not wait.
	due bool
	// timer runs out when the replica has been silent for timeout.
	timer   *time.Timer
	timeout time.Duration
	// backup is the attempt beside the one that is watched; nil if there is none.
	backup *backup
}

func newSilenceWatch(x *requestState, a *attemptState) *silenceWatch {
	w := &silenceWatch{x: x, attempt: a, timeout: x.responseTimeout()}
	a.watch = w
	if x.mayBackUp(a) {
		w.timer = time.AfterFunc(w.timeout, w.expired)
	}
	return w
}

// responseTimeout returns the time without the first event of a stream, or without a complete
// other response, after which another attempt begins.
func (x *requestState) responseTimeout() time.Duration {
	if x.call.Route.Kind == filbertstile.CallStream {
		return firstEventTimeout
	}
	timeout := time.Until(x.call.Deadline) / 2
	if target := x.call.Route.TargetLatency; target > 0 {
		timeout = min(timeout, responseTimeoutFactor*target)
	}
	return timeout
}

// mayBackUp reports whether another attempt may begin beside this one, whose request may run.
func (x *requestState) mayBackUp(a *attemptState) bool {
	runs := x.runs
	if a.uncounted() {
		runs++
	}
	return x.repeatable() && !x.onTrial && x.crashes == 0 && runs < x.call.Route.MaxAttempts && x.sends < maxSends && time.Until(x.call.Deadline) > minTimeLeft
}

// uncounted reports whether the request does not count as run in the attempt yet. After a
// rejection another attempt follows, for which the place of this one is kept.
func (a *attemptState) uncounted() bool {
	return !a.responded || a.response.Verdict == NotRun || a.response.Verdict == WrongReplica
}

// watchGap starts to watch for the next event of a stream.
func (w *silenceWatch) watchGap() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.due, w.timeout = false, eventGapTimeout
	switch {
	case !w.x.mayBackUp(w.attempt):
	case w.timer == nil:
		w.timer = time.AfterFunc(w.timeout, w.expired)
	default:
		w.timer.Reset(w.timeout)
	}
}

func (w *silenceWatch) stopTimer() {
	w.due = false
	if w.timer != nil {
		w.timer.Stop()
	}
}

// beginWait records that the attempt waits for its replica. It returns errSuperseded if another
// attempt has answered meanwhile.
func (w *silenceWatch) beginWait() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if b := w.backup; b != nil && b.ended {
		if b.ready {
			w.attempt.cancel(errSuperseded)
			return errSuperseded
		}
		w.forgetFailed(b)
	}
	w.waiting = true
	if w.due {
		w.due = false
		w.startBackup()
	}
	return nil
}

func (w *silenceWatch) endWait() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting = false
}

// expired is called when the replica has been silent for too long.
func (w *silenceWatch) expired() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.due = !w.waiting
	if w.waiting {
		w.startBackup()
	}
}

// startBackup begins another attempt. The caller holds w.mu.
func (w *silenceWatch) startBackup() {
	if w.backup != nil || !w.x.mayBackUp(w.attempt) {
		return
	}
	w.backup = newBackup(w.x, w.attempt)
	go func(b *backup) {
		defer w.backupEnded(b)
		b.run()
	}(w.backup)
}

// backupEnded decides what follows when a backup has answered or failed.
func (w *silenceWatch) backupEnded(b *backup) {
	w.mu.Lock()
	defer w.mu.Unlock()
	b.ended = true
	close(b.done)
	switch {
	case w.backup != b:
		b.discard()
	case !w.waiting: // beginWait or settle decides
	case b.ready:
		w.attempt.cancel(errSuperseded)
	default:
		w.forgetFailed(b)
	}
}

// forgetFailed counts what a failed backup has sent, and watches on. The caller holds w.mu.
func (w *silenceWatch) forgetFailed(b *backup) {
	w.x.merge(b)
	w.backup = nil
	w.timer.Reset(max(w.timeout, replicaRetryAfter))
}

// settle is called after the attempt has returned a piece, or failed. It returns the backup if
// that goes on in its place: the attempt has been superseded, or it failed and the backup has
// answered or does so now.
func (w *silenceWatch) settle(failed bool) *backup {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopTimer()
	b := w.backup
	if b == nil {
		return nil
	}
	w.backup = nil
	superseded := errors.Is(context.Cause(w.attempt.ctx), errSuperseded)
	if !failed && !superseded {
		w.x.abandon(b)
		return nil
	}
	w.backup = b
	w.mu.Unlock()
	<-b.done
	w.mu.Lock()
	w.backup = nil
	w.x.merge(b)
	if b.ready && w.x.ctx.Err() != nil {
		b.discard()
	}
	if !b.ready {
		return nil
	}
	return b
}

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
	g, err := config.Placer.Acquire(x.ctx, x.placerRequest())
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
