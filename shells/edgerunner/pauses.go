package edgerunner

import (
	"time"

	"filbertstile.example/filbertstile/base/reporter"
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
