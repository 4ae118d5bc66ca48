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

func toRecorded(a recorder.Answer) *wire.Recorded {
	o := a.Record.Outcome
	return &wire.Recorded{
		New:        a.Verdict == recorder.VerdictNew || a.Verdict == recorder.VerdictCommitted,
		InProgress: a.Verdict == recorder.VerdictInProgress,
		Mismatch:   a.Verdict == recorder.VerdictMismatch,
		Run:        string(o.Run), Status: int32(o.Status), ContentType: o.ContentType, Body: o.Body, RequestId: a.Record.Intent.RequestID,
		BodyOmitted: o.BodyOmitted,
	}
}

func fromRecorded(r *wire.Recorded) recorder.Answer {
	a := recorder.Answer{Record: recorder.Record{
		Intent: recorder.Intent{RequestID: r.GetRequestId()},
		Outcome: recorder.Outcome{
			Run: filbertstile.RunState(r.GetRun()), Status: int(r.GetStatus()), ContentType: r.GetContentType(), Body: r.GetBody(),
			BodyOmitted: r.GetBodyOmitted(),
		},
	}}
	switch {
	case r.GetNew():
		a.Verdict = recorder.VerdictNew
	case r.GetMismatch():
		a.Verdict = recorder.VerdictMismatch
	case r.GetInProgress():
		a.Verdict = recorder.VerdictInProgress
	case r.GetRun() == string(filbertstile.Ran):
		a.Verdict = recorder.VerdictReplay
	default:
		a.Verdict = recorder.VerdictUnknown
	}
	return a
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
