package forwarder

import (
	"context"
	"errors"
	"sync"
	"time"

	"filbertstile.example/filbertstile"
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
	timeout := time.Until(x.call.Limit()) / 2
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
	return x.repeatable() && !x.onTrial && x.crashes == 0 && runs < x.call.Route.MaxAttempts && x.sends < maxSends && time.Until(x.call.Limit()) > minTimeLeft
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
	superseded := errors.Is(context.Cause(w.attempt.ctx), errSuperseded)
	if !failed && !superseded {
		w.backup = nil
		w.x.abandon(b)
		return nil
	}
	w.mu.Unlock() // as the attempt does not wait, backupEnded leaves the decision to this method
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
