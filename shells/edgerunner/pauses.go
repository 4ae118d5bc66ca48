package edgerunner

import (
	"context"
	"sync"
	"time"

	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/base/sleeper"
)

const (
	// pauseCheckInterval is the time between two times that a pauseDetector records.
	pauseCheckInterval = 50 * time.Millisecond
	// minLoggedPause is the shortest pause that is logged. Timers of a process whose share of the
	// processor is used up fire a few hundred milliseconds late.
	minLoggedPause = 500 * time.Millisecond
	// minPause is the shortest time without a record that counts as a pause: about what the exit of a
	// process leaves of the time to stop, and longer than timers on a busy host are late.
	// recentPause is how long after a pause other goroutines may not have run yet.
	minPause    = 250 * time.Millisecond
	recentPause = 100 * time.Millisecond
)

// pauseDetector records when the process runs, to tell after a pause when it began, and logs long
// pauses: everything that the process learns afterwards may be old.
type pauseDetector struct {
	clock func() time.Duration
	log   *reporter.Log

	mu sync.Mutex
	// ranAt and ranAtRuntime are the last time at which the process ran, on the clock and on the
	// runtime's clock; ranAtRuntime is zero if none is known. The latest pause was from pausedAt to
	// resumedAt, on the clock.
	ranAt               time.Duration
	ranAtRuntime        time.Time
	pausedAt, resumedAt time.Duration
}

func newPauseDetector(clock func() time.Duration, log *reporter.Log) *pauseDetector {
	return &pauseDetector{clock: clock, log: log}
}

// run records when the process runs until the context ends.
func (d *pauseDetector) run(ctx context.Context) {
	d.ranUntil()
	for sleeper.Sleep(ctx, pauseCheckInterval) == nil {
		d.ranUntil()
	}
}

// ranUntil records that the process runs now. It returns the time at which a pause began that has just
// ended, or now if there is none.
func (d *pauseDetector) ranUntil() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, runtime := d.clock(), time.Now()
	if !d.ranAtRuntime.IsZero() {
		elapsed, counted := now-d.ranAt, runtime.Sub(d.ranAtRuntime)
		if elapsed >= minPause {
			d.pausedAt, d.resumedAt = d.ranAt, now
		}
		if pause := elapsed - pauseCheckInterval; pause >= minLoggedPause {
			// Uncounted is the part that the runtime's clock leaves out.
			d.log.Event(reporter.ProcessPaused, reporter.Fields{"For": pause.String(), "Uncounted": (elapsed - counted).String()})
		}
	}
	d.ranAt, d.ranAtRuntime = now, runtime
	if d.resumedAt > 0 && now-d.resumedAt < recentPause {
		return d.pausedAt
	}
	return now
}
