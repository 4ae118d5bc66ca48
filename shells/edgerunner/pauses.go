package edgerunner

import (
	"context"
	"sync"
	"time"

	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/base/sleeper"
)

// minLoggedPause is the shortest pause that is logged. Timers of a process whose share of the
// processor is used up fire a few hundred milliseconds late.
const minLoggedPause = 500 * time.Millisecond

// pauseDetector logs times in which the process did not run. Everything that it learns
// afterwards may be old.
type pauseDetector struct {
	clock func() time.Duration
	log   *reporter.Log
	// checkedClock and checkedRuntime are the times of the last check, on the clock and on the
	// runtime's clock.
	checkedClock   time.Duration
	checkedRuntime time.Time
}

func newPauseDetector(clock func() time.Duration, log *reporter.Log) *pauseDetector {
	return &pauseDetector{clock: clock, log: log, checkedClock: clock(), checkedRuntime: time.Now()}
}

// check must be called every maintenanceInterval.
func (d *pauseDetector) check() {
	onClock, onRuntime := d.clock(), time.Now()
	elapsed, counted := onClock-d.checkedClock, onRuntime.Sub(d.checkedRuntime)
	d.checkedClock, d.checkedRuntime = onClock, onRuntime
	if pause := elapsed - maintenanceInterval; pause >= minLoggedPause {
		// Uncounted is the part that the runtime's clock leaves out.
		d.log.Event(reporter.ProcessPaused, reporter.Fields{"For": pause.String(), "Uncounted": (elapsed - counted).String()})
	}
}

const (
	// pauseWatchInterval is the time between two times that a pauseWatch records.
	pauseWatchInterval = 50 * time.Millisecond
	// minPause is the shortest time without a record that counts as a pause: about what the exit of a
	// process leaves of the time to stop, and longer than timers on a busy host are late.
	// recentPause is how long after a pause other goroutines may not have run yet.
	minPause    = 250 * time.Millisecond
	recentPause = 100 * time.Millisecond
)

// pauseWatch records when the process runs, to tell after a pause when it began.
type pauseWatch struct {
	clock func() time.Duration

	mu sync.Mutex
	// ranAt is the last time at which the process ran; 0 if none is known. The latest pause was from
	// pausedAt to resumedAt.
	ranAt, pausedAt, resumedAt time.Duration
}

// run records when the process runs until the context ends.
func (w *pauseWatch) run(ctx context.Context) {
	for sleeper.Sleep(ctx, pauseWatchInterval) == nil {
		w.ranUntil(w.clock())
	}
}

// ranUntil records that the process runs now. It returns the time at which a pause began that has just
// ended, or now if there is none.
func (w *pauseWatch) ranUntil(now time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ranAt > 0 && now-w.ranAt >= minPause {
		w.pausedAt, w.resumedAt = w.ranAt, now
	}
	w.ranAt = max(w.ranAt, now)
	if w.resumedAt > 0 && now-w.resumedAt < recentPause {
		return w.pausedAt
	}
	return now
}
