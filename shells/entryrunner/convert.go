package entryrunner

import (
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/decisions/router"
	"filbertstile.example/filbertstile/shells/recorder"
)

func toLoad(l *wire.Load) router.Load {
	return router.Load{
		Running: int(l.GetRunning()), Waiting: int(l.GetWaiting()), Limit: int(l.GetLimit()), Serving: l.GetServing(), Leaving: l.GetLeaving(), Cold: l.GetCold(),
		Release: l.GetRelease(), Whole: filbertstile.Digest(l.GetWhole()), Ready: l.GetReady(), Epoch: l.GetEpoch(),
		Revision: l.GetRevision(), Role: l.GetRole(),
	}
}

func toRecorded(r recorder.CommitResult) *wire.Recorded {
	o := r.Record.Outcome
	return &wire.Recorded{
		New:        r.Decision == recorder.DecisionNew || r.Decision == recorder.DecisionCommitted,
		InProgress: r.Decision == recorder.DecisionInProgress,
		Mismatch:   r.Decision == recorder.DecisionMismatch,
		Run:        string(o.Run), Status: int32(o.Status), ContentType: o.ContentType, Body: o.Body, RequestId: r.Record.Intent.RequestID,
		BodyOmitted: o.BodyOmitted,
	}
}

func fromRecorded(r *wire.Recorded) recorder.CommitResult {
	result := recorder.CommitResult{Record: recorder.Record{
		Intent: recorder.Intent{RequestID: r.GetRequestId()},
		Outcome: recorder.Outcome{
			Run: filbertstile.RunState(r.GetRun()), Status: int(r.GetStatus()), ContentType: r.GetContentType(), Body: r.GetBody(),
			BodyOmitted: r.GetBodyOmitted(),
		},
	}}
	switch {
	case r.GetNew():
		result.Decision = recorder.DecisionNew
	case r.GetMismatch():
		result.Decision = recorder.DecisionMismatch
	case r.GetInProgress():
		result.Decision = recorder.DecisionInProgress
	case r.GetRun() == string(filbertstile.Ran):
		result.Decision = recorder.DecisionReplay
	default:
		result.Decision = recorder.DecisionUnknown
	}
	return result
}

// sealedOutcome returns the outcome that a host reports for a sealed call.
func sealedOutcome(s *wire.Sealed) recorder.Outcome {
	return recorder.Outcome{
		Run: filbertstile.RunState(s.GetRun()), Status: int(s.GetStatus()), ContentType: s.GetContentType(),
		Body: s.GetBody(), BodyOmitted: s.GetBodyTruncated(),
	}
}

func toOutcome(o recorder.Outcome) *wire.Outcome {
	return &wire.Outcome{
		Key: o.Key, RequestId: o.RequestID, Run: string(o.Run), Status: int32(o.Status), ContentType: o.ContentType, Body: o.Body, Host: o.Host,
	}
}

func fromOutcome(o *wire.Outcome) recorder.Outcome {
	return recorder.Outcome{
		Key: o.GetKey(), RequestID: o.GetRequestId(), Run: filbertstile.RunState(o.GetRun()), Status: int(o.GetStatus()),
		ContentType: o.GetContentType(), Body: o.GetBody(), Host: o.GetHost(), At: time.Now().UTC(),
	}
}
