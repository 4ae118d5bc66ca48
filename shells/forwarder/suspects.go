package forwarder

import (
	"io"
	"slices"
	"time"

	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/decisions/placer"
	"filbertstile.example/filbertstile/decisions/suspector"
)

const (
	// witnessAfter is the time from the first event of an answer after which the answer
	// shows that its prompt does not crash replicas. A replica that crashes does so within
	// some 100 ms.
	witnessAfter = 250 * time.Millisecond
	// maxClearWait is the maximum time for which a request with a suspected key waits for an
	// answer in flight to clear it.
	maxClearWait = 300 * time.Millisecond
	// clearWaitShare limits that wait to a share of the target latency.
	clearWaitShare = 0.45
	// maxCrashes is the number of replicas that may crash under one request.
	maxCrashes = 2
)

// answer is the progress of the answer of one attempt.
type answer struct {
	// firstEventAt is the time of the first event; zero if there is none yet.
	firstEventAt time.Time
	// witnessed is true after the answer has cleared the keys of its request.
	witnessed bool
	// outlived is true if the replica ran after the answer had ended with its connection.
	outlived bool
}

func (a answer) begun() bool { return !a.firstEventAt.IsZero() }

// eventArrived records an event of the answer.
func (x *requestState) eventArrived() {
	if x.answer.witnessed {
		return
	}
	now := time.Now()
	if !x.answer.begun() {
		x.answer.firstEventAt = now
	} else if now.Sub(x.answer.firstEventAt) >= witnessAfter {
		x.clearKeys(now)
	}
}

// answerCompleted records a complete answer. One that ended with its connection may have
// been broken off.
func (x *requestState) answerCompleted(resp Response) {
	if resp.Verdict == Ran && (!resp.EndsWithConnection || x.answer.outlived) && !x.answer.witnessed {
		x.clearKeys(time.Now())
	}
}

func (x *requestState) clearKeys(now time.Time) {
	x.answer.witnessed = true
	if x.forwarder.config.Suspector.RecordWitness(now, x.keys) {
		x.forwarder.config.OnNews()
	}
}

// connectionEnded checks, after an attempt that failed with err, whether the replica has
// crashed.
func (x *requestState) connectionEnded(a *attemptState, err error) {
	if x.forwarder.config.Placer.MemoryNearlyFull(time.Now(), a.grant.Replica.ID) {
		return // any of the requests there may have been one too many
	}
	if a.endedByForwarder() || a.unread.explainsEnd() || x.answer.witnessed || len(x.keys) == 0 || !peerClosed(err) || x.ctx.Err() != nil || x.forwarder.config.Placer.EndExpected(time.Now(), a.grant.Replica.ID) {
		return
	}
	if x.forwarder.crashes.connectionEnded(x.ctx, a.grant.Replica, suspector.LostRequest{Keys: x.keys, SentAt: a.startedAt}, crashWait) == Ended {
		x.crashes++
	}
}

// unframedEnd returns an error if an answer that ended with its connection may be incomplete: it is
// empty, or its replica has crashed. A replica that is expected to end must be seen to run on, as
// nothing else tells the end of its answer from that of its process.
func (x *requestState) unframedEnd(a *attemptState, begun bool) error {
	if !begun {
		return io.ErrUnexpectedEOF
	}
	planned := x.forwarder.config.Placer.EndExpected(time.Now(), a.grant.Replica.ID)
	lost := suspector.LostRequest{SentAt: a.startedAt}
	if !planned && !x.answer.witnessed && !x.forwarder.config.Placer.MemoryNearlyFull(time.Now(), a.grant.Replica.ID) {
		lost.Keys = x.keys
	}
	// The answer can't be passed on before this is known.
	result := x.forwarder.crashes.answerEnded(x.ctx, a.grant.Replica, lost, planned)
	x.answer.outlived = result == Alive
	switch {
	case planned && result != Alive:
		return errPlannedEnd
	case result == Ended:
		return io.ErrUnexpectedEOF
	}
	return nil
}

// keysOf returns what may be suspected of crashing replicas: the parts of the call's prompt
// and the call itself.
func keysOf(c *Call) []uint64 {
	if c.Key == 0 {
		return c.PromptParts
	}
	return append(slices.Clone(c.PromptParts), c.Key)
}

// admit reports whether the keys of the request allow another attempt, and returns those
// that are on trial in it. It waits for a short time if an answer in flight may clear them,
// and ends the request if the attempt is not allowed.
func (x *requestState) admit() (trial []uint64, ok bool) {
	timer := time.NewTimer(min(maxClearWait, time.Duration(float64(x.call.Route.TargetLatency)*clearWaitShare)))
	defer timer.Stop()
	for waiting := true; ; {
		d := x.forwarder.config.Suspector.Admit(time.Now(), x.keys)
		if d.Verdict == suspector.Trial && (x.crashes > 0 || x.sends > 0 && slices.ContainsFunc(d.InTrial, suspector.IsRequest)) {
			// A trial is for a request that has not ended a replica yet, and a suspected request
			// may reach only a few.
			x.endTrial(d.InTrial, x.sends)
			d.Verdict = suspector.Wait
		}
		x.onTrial = d.Verdict == suspector.Trial
		if d.Verdict == suspector.Send || d.Verdict == suspector.Trial {
			return d.InTrial, true
		}
		if d.Verdict == suspector.Refuse || !waiting {
			x.suspectRefused(d.Key, d.RetryAfter)
			return nil, false
		}
		select {
		case <-d.Changed:
		case <-timer.C:
			waiting = false
		case <-x.ctx.Done():
			x.placementFailed(x.ctx.Err())
			return nil, false
		}
	}
}

// endTrial ends a trial of the keys. The request had been sent the given number of times
// before it.
func (x *requestState) endTrial(keys []uint64, sendsBefore int) {
	if x.forwarder.config.Suspector.EndTrial(time.Now(), keys, x.sends > sendsBefore) {
		x.forwarder.config.OnNews()
	}
}

// blockedMeanwhile reports whether a key of the request is held back since it went into the
// placer's queue. It then ends the request.
func (x *requestState) blockedMeanwhile(g *placer.Grant) bool {
	d := x.forwarder.config.Suspector.Recheck(time.Now(), x.keys)
	if d.Verdict == suspector.Send {
		return false
	}
	x.release(g, placer.Abandoned)
	x.suspectRefused(d.Key, d.RetryAfter)
	return true
}

// suspectRefused ends a request because of one of its keys.
func (x *requestState) suspectRefused(key uint64, retryAfter time.Duration) {
	if x.runs > 0 {
		retryAfter = 0
	}
	if suspector.IsRequest(key) {
		x.fail(CodeRequest, "request "+FormatKey(key)+" is suspected of crashing replicas", retryAfter)
	} else {
		x.fail(CodePromptPart, "prompt part "+FormatKey(key)+" is suspected of crashing replicas", retryAfter)
	}
}

// LogSuspectChanges logs changes of the states of keys.
func LogSuspectChanges(log *reporter.Log, changes []suspector.Change) {
	for _, c := range changes {
		f := reporter.Fields{"State": c.State.String(), "Crashes": c.Crashes}
		if suspector.IsRequest(c.Key) {
			f["Key"] = FormatKey(c.Key)
			log.Event(reporter.RequestSuspected, f)
		} else {
			f["Part"] = FormatKey(c.Key)
			log.Event(reporter.PromptPartChanged, f)
		}
	}
}
