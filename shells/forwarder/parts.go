package forwarder

import (
	"context"
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
	// maxPartWait is the maximum time for which a request with a suspected part waits for
	// an answer in flight to clear it.
	maxPartWait = 300 * time.Millisecond
	// partWaitShare limits that wait to a share of the target latency.
	partWaitShare = 0.45
	// maxCrashes is the number of replicas that may crash under one request.
	maxCrashes = 2
)

// answer is the progress of the answer of one attempt.
type answer struct {
	// firstEventAt is the time of the first event; zero if there is none yet.
	firstEventAt time.Time
	// witnessed is true after the answer has cleared the parts of its prompt.
	witnessed bool
}

func (a answer) begun() bool { return !a.firstEventAt.IsZero() }

// eventArrived records an event of the answer.
func (x *requestState) eventArrived() {
	if x.answer.witnessed || len(x.call.PromptParts) == 0 {
		return
	}
	now := time.Now()
	if !x.answer.begun() {
		x.answer.firstEventAt = now
	} else if now.Sub(x.answer.firstEventAt) >= witnessAfter {
		x.clearParts(now)
	}
}

// answerCompleted records a complete answer. One that ended with its connection may have
// been broken off.
func (x *requestState) answerCompleted(resp Response) {
	if resp.Verdict == Ran && !resp.EndsWithConnection && !x.answer.witnessed {
		x.clearParts(time.Now())
	}
}

func (x *requestState) clearParts(now time.Time) {
	x.answer.witnessed = true
	if x.forwarder.config.Suspector.RecordWitness(now, x.call.PromptParts) {
		x.forwarder.config.OnEvidence()
	}
}

// connectionEnded checks, after an attempt that failed with err, whether the replica has
// crashed.
func (x *requestState) connectionEnded(ctx context.Context, g *placer.Grant, err error, started time.Time) {
	if endedByForwarder(ctx) || x.answer.witnessed || len(x.call.PromptParts) == 0 || !peerClosed(err) || x.ctx.Err() != nil || x.forwarder.config.Placer.EndExpected(time.Now(), g.Replica.ID) {
		return
	}
	if x.forwarder.crashes.connectionEnded(x.ctx, g.Replica, started, x.call.PromptParts, crashWait) {
		x.crashes++
	}
}

// brokeOff reports whether an answer that ended with its connection is incomplete, as it is
// empty or its replica has crashed.
func (x *requestState) brokeOff(g *placer.Grant, begun bool, started time.Time) bool {
	if x.answer.witnessed || len(x.call.PromptParts) == 0 {
		return false
	}
	if !begun || x.forwarder.config.Placer.EndExpected(time.Now(), g.Replica.ID) {
		return !begun
	}
	// The answer can't be passed on before this is known.
	return x.forwarder.crashes.connectionEnded(x.ctx, g.Replica, started, x.call.PromptParts, probeTimeout)
}

// admitParts reports whether the parts of the prompt allow another attempt, and returns
// those that are on trial in it. It waits for a short time if an answer in flight may clear
// them, and ends the request if the attempt is not allowed.
func (x *requestState) admitParts() (trial []uint64, ok bool) {
	if len(x.call.PromptParts) == 0 {
		return nil, true
	}
	timer := time.NewTimer(min(maxPartWait, time.Duration(float64(x.call.Route.TargetLatency)*partWaitShare)))
	defer timer.Stop()
	for waiting := true; ; {
		d := x.forwarder.config.Suspector.Admit(time.Now(), x.call.PromptParts)
		if d.Verdict == suspector.Trial && x.crashes > 0 {
			// A trial is for a request that has not ended a replica yet.
			x.forwarder.config.Suspector.EndTrial(d.InTrial)
			d.Verdict = suspector.Wait
		}
		x.onTrial = d.Verdict == suspector.Trial
		if d.Verdict == suspector.Send || d.Verdict == suspector.Trial {
			return d.InTrial, true
		}
		if d.Verdict == suspector.Refuse || !waiting {
			x.partRefused(d.Key, d.RetryAfter)
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

// blockedMeanwhile reports whether a part of the prompt has been blocked while the request
// was in the placer's queue. It then ends the request.
func (x *requestState) blockedMeanwhile(g *placer.Grant) bool {
	d := x.forwarder.config.Suspector.Recheck(time.Now(), x.call.PromptParts)
	if d.Verdict == suspector.Send {
		return false
	}
	x.release(g, placer.Abandoned)
	x.partRefused(d.Key, d.RetryAfter)
	return true
}

// partRefused ends a request because of a part of its prompt.
func (x *requestState) partRefused(part uint64, retryAfter time.Duration) {
	if x.runs > 0 {
		retryAfter = 0
	}
	x.fail(CodePromptPart, "prompt part "+FormatPart(part)+" is suspected of crashing replicas", retryAfter)
}

// LogPartChanges logs changes of the states of parts of prompts.
func LogPartChanges(log *reporter.Log, changes []suspector.Change) {
	for _, c := range changes {
		log.Event(reporter.PromptPartChanged, reporter.Fields{"Part": FormatPart(c.Key), "State": c.State.String(), "Crashes": c.Crashes})
	}
}
