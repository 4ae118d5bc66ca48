package edgerunner

import (
	"context"
	"time"

	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/base/sleeper"
	"filbertstile.example/filbertstile/shells/forwarder"
)

const (
	// drainPollInterval is the time between two checks whether calls are in flight.
	drainPollInterval = 20 * time.Millisecond
	// addressTTLMargin is added to the address TTL for callers that are slow to learn of
	// other addresses.
	addressTTLMargin = 700 * time.Millisecond
	// minStopMargin, maxStopMargin and stopMarginShare bound what StopMargin returns. On a host that
	// gives a process 0.27 of a core, hundreds of calls that end together take 400 ms.
	minStopMargin   = 300 * time.Millisecond
	maxStopMargin   = 600 * time.Millisecond
	stopMarginShare = 0.075
	// maxReplicaSilence is the time for which a sound replica may be silent. The time to stop
	// is divided by minStopPerSilence if it is too short for all of that.
	maxReplicaSilence = 2 * time.Second
	minStopPerSilence = 4
	// estimateWindow is the time at the start of a planned stop in which requests are admitted
	// that will probably end in time. Later ones must end in time by their limit: a response that
	// is cut at the end of the stop is excused only if its request was sent by then.
	estimateWindow = 3 * time.Second
	// maxPauseShare limits the time before a planned stop is known of that counts as part of it to
	// 1/maxPauseShare of the time to stop: the signal may as well have come after a pause.
	maxPauseShare = 2
)

// StopMargin returns the time between the end of the calls in flight and the time at which the
// process would be killed.
func StopMargin(stopTimeout time.Duration) time.Duration {
	return min(maxStopMargin, max(minStopMargin, time.Duration(float64(stopTimeout)*stopMarginShare)))
}

// Leaving reports whether a planned stop has begun.
func (e *Edge) Leaving() bool { return e.leaving.Load() }

// BeginLeaving records that the process has been signalled to stop. The signal of a process that has
// just stood still may have come at any time since it last ran.
func (e *Edge) BeginLeaving() {
	e.leavingOnce.Do(func() {
		ranUntil := max(e.pauses.ranUntil(), e.config.Clock()-e.config.Bounds.StopTimeout/maxPauseShare)
		e.leavingSince.Store(int64(ranUntil))
	})
}

// UntilKilled returns the time until the process is killed, after BeginLeaving.
func (e *Edge) UntilKilled() time.Duration { return e.config.Bounds.StopTimeout - e.stoppingFor() }

// Leave begins a planned stop. It returns after addressTTL, the time for which callers may
// still use the entry's address, has passed and no call is in flight, or earlier if the
// time to stop runs out or the context ends. Calls that are in flight when TimeLeft is 0 must
// end then.
func (e *Edge) Leave(ctx context.Context, addressTTL time.Duration) {
	stopTimeout := e.config.Bounds.StopTimeout
	e.BeginLeaving()
	begun := e.stoppingFor()
	e.forwarder.BeginStop(forwarder.PlannedStop{
		TimeLeft: e.TimeLeft, SilenceMargin: min(maxReplicaSilence, stopTimeout/minStopPerSilence),
		StoppingFor: e.stoppingFor, EstimateWindow: estimateWindow,
	})
	e.leaving.Store(true)
	e.config.Log.Event(reporter.ProcessLeaving, reporter.Fields{"InHand": e.inFlight.Load()})
	e.pulser.SendNow()
	e.Refresh()
	stay := min(addressTTL+addressTTLMargin, stopTimeout/2)
	for e.stoppingFor()-begun < stay && e.TimeLeft() > 0 || e.inFlight.Load() > 0 && e.TimeLeft() > 0 {
		if sleeper.Sleep(ctx, drainPollInterval) != nil {
			return
		}
	}
}

// stoppingFor returns the time since the signal to stop.
func (e *Edge) stoppingFor() time.Duration {
	return e.config.Clock() - time.Duration(e.leavingSince.Load())
}

// TimeLeft returns the time until the calls in flight must end, after a planned stop has begun.
func (e *Edge) TimeLeft() time.Duration {
	return max(0, e.config.Bounds.StopTimeout-StopMargin(e.config.Bounds.StopTimeout)-e.stoppingFor())
}

// EndCalls ends all calls, at the end of a planned stop. Callers whose response has not begun
// receive an error.
func (e *Edge) EndCalls() { e.forwarder.Stop() }
