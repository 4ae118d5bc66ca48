package forwarder

import (
	"errors"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/decisions/placer"
)

// release ends the grant and logs the replica's cooldown if the attempt failed.
func (x *requestState) release(g *placer.Grant, o placer.Outcome) {
	cooldownUntil := x.forwarder.config.Placer.Release(g, o)
	if remaining := time.Until(cooldownUntil); remaining > 0 && (o == placer.NoResponse || o == placer.Unreachable || o == placer.WrongReplica) {
		x.forwarder.config.Log.Event(reporter.ReplicaHeld, reporter.Fields{
			"Request": x.call.ID, "Peer": g.Replica.ID, "Address": g.Replica.Address, "For": remaining.String(),
		})
	}
}

// placementFailed ends a request for which the placer returned an error.
func (x *requestState) placementFailed(err error) {
	var rejected placer.ErrRejected
	switch {
	case errors.As(err, &rejected):
		code := CodeOverloaded
		if !rejected.AnyEligible {
			code = CodeNoReplica
		}
		x.end(failure{code: code, detail: rejected.Reason, retryAfter: rejected.RetryAfter, queueLength: rejected.QueueLength, short: rejected.Short})
	case x.limitReached():
		x.fail(CodeDeadline, "no free replica before the deadline", 0)
	case x.stopped():
		x.failStopped()
	default:
		x.callerDisconnected("")
	}
}

// fail ends a request without a complete response.
func (x *requestState) fail(code, detail string, retryAfter time.Duration) {
	x.end(failure{code: code, detail: detail, retryAfter: retryAfter, short: shortOf(code)})
}

// failure is the end of a request without a complete response.
type failure struct {
	code, detail string
	retryAfter   time.Duration
	// queueLength is the length of the placer's queue.
	queueLength int
	// short is what the request did not get, if it has not run.
	short filbertstile.Resource
}

// shortOf returns what a request did not get that has not run and ends with the code.
func shortOf(code string) filbertstile.Resource {
	switch code {
	case CodeRetryBudget:
		return filbertstile.ResourceRetryBudget
	case CodeDeadline:
		return filbertstile.ResourceTime
	case CodeStopping:
		return filbertstile.ResourceEntry
	case CodeOverloaded, CodeNoReplica, CodeBackendFailed:
		return filbertstile.ResourceReplicas
	}
	return filbertstile.ResourceNone
}

// end ends the request without a complete response.
func (x *requestState) end(f failure) {
	e := filbertstile.ErrRequest{Code: f.code, Run: x.runState(), Step: "forward request", RetryAfter: f.retryAfter, Detail: f.detail}
	event := reporter.RequestFailed
	fields := reporter.Fields{
		"Code": f.code, "Run": e.Run, "Detail": f.detail, "RetryAfter": f.retryAfter.String(), "Queue": f.queueLength, "Begun": x.responseStarted,
	}
	if e.Run == filbertstile.NotRun {
		event, fields["Short"] = reporter.RequestRefused, f.short
		x.forwarder.config.OnRefused(f.short)
	}
	x.forwarder.config.Log.Event(event, x.addFields(fields))
	x.forwarder.config.OnRequestEnd(x.call, f.code, time.Since(x.call.Arrived))
	if f.code == CodeDeadline {
		x.recordDuration(false)
	}
	if x.responseStarted {
		x.writer.Abort()
		return
	}
	x.writer.WriteError(e)
}

// runState returns what is known about the run of a failed request: it has not run
// only if nothing was sent or if replicas reported every send as not run.
func (x *requestState) runState() filbertstile.RunState {
	if x.runs == 0 {
		return filbertstile.NotRun
	}
	return filbertstile.Unknown
}

// callerDisconnected ends a request whose caller has disconnected, or has closed its side. The replica is empty
// if no attempt was in flight.
func (x *requestState) callerDisconnected(replica string) {
	x.forwarder.config.Log.Event(reporter.CallerLeft, x.addFields(reporter.Fields{"Peer": replica, "Begun": x.responseStarted, "SideClosed": x.sideClosed()}))
	x.forwarder.config.OnRequestEnd(x.call, "CallerLeft", time.Since(x.call.Arrived))
	x.recordDuration(false)
	if x.sideClosed() && !x.responseStarted {
		x.failSideClosed()
		return
	}
	x.writer.Abort()
}

// done records the end of a request with a complete response.
func (x *requestState) done(a *attemptState) {
	x.forwarder.config.Log.Event(reporter.RequestDone, x.addAttemptFields(a.grant, reporter.Fields{"Status": a.response.Status}))
	x.forwarder.config.OnRequestEnd(x.call, "Done", time.Since(x.call.Arrived))
	if a.response.Verdict == Ran {
		x.recordDuration(true)
	}
}

// recordDuration records how long a request has taken that may have run.
func (x *requestState) recordDuration(complete bool) {
	if x.runs == 0 {
		return
	}
	now := time.Now()
	x.forwarder.durations.record(now, durationClass{route: x.call.Route.Name, service: x.call.Service}, now.Sub(x.firstSentAt), complete)
}

// logAttempt logs an attempt that ended without a complete response.
func (x *requestState) logAttempt(a *attemptState, outcome, detail string) {
	x.forwarder.config.Log.Event(reporter.AttemptEnded, x.addAttemptFields(a.grant, reporter.Fields{
		"Address": a.grant.Replica.Address, "Outcome": outcome, "Detail": detail, "AttemptTook": time.Since(a.startedAt).String(), "Silent": time.Since(a.heardAt).String(), "Key": FormatKey(x.call.Key),
	}))
}

// addAttemptFields adds the fields that all events of an attempt have.
func (x *requestState) addAttemptFields(g *placer.Grant, f reporter.Fields) reporter.Fields {
	f["Peer"], f["Load"], f["Tokens"], f["WriteDelay"] = g.Replica.ID, g.InFlight, g.PendingTokens, x.writeDelay.String()
	if !g.StartBy.IsZero() {
		f["Version"], f["StartBy"] = g.Version, time.Until(g.StartBy).String()
	}
	return x.addFields(f)
}

// addFields adds the fields that all events of the request have.
func (x *requestState) addFields(f reporter.Fields) reporter.Fields {
	c := x.call
	f["Request"], f["Route"], f["Service"], f["Account"] = c.ID, c.Route.Name, c.Service, c.Account
	f["Took"], f["Waited"], f["Sends"], f["Runs"] = time.Since(c.Arrived).String(), x.queueTime.String(), x.sends, x.runs
	f["Config"], f["ConfigAge"] = c.ConfigVersion, c.ConfigAge.String()
	x.addLimitFields(f)
	return f
}
