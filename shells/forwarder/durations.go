package forwarder

import (
	"sync"
	"time"
)

const (
	// durationWindow is the time after which the durations of a class make room for new ones.
	// Those of the window before are kept.
	durationWindow = 30 * time.Second
	// minDurations is the number of complete responses from which their durations are used.
	minDurations = 8
	// maxDurationClasses limits the memory for classes that are no longer in use.
	maxDurationClasses = 4096
	// durationSlack is added to a duration, with a quarter of it, for slower responses and for
	// their delivery.
	durationSlack = 100 * time.Millisecond
)

// durationClass is a kind of requests that take similar times.
type durationClass struct{ route, service string }

// classDurations are the durations of one class.
type classDurations struct {
	// begunAt is the start of the current window.
	begunAt time.Time
	// longest is the longest duration in the current window, and before that in the one before.
	longest, before time.Duration
	// complete is the number of complete responses in the current window, and completeBefore
	// that in the one before.
	complete, completeBefore int
}

// durations holds how long recent requests took from the first send to the end. The zero value
// is ready for use.
type durations struct {
	mu      sync.Mutex
	classes map[durationClass]*classDurations
}

// record adds a request that has ended. A request that ended without a complete response would
// have taken at least that long.
func (d *durations) record(now time.Time, class durationClass, took time.Duration, complete bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.classes[class]
	if c == nil {
		if d.classes == nil || len(d.classes) >= maxDurationClasses {
			d.classes = make(map[durationClass]*classDurations)
		}
		c = &classDurations{begunAt: now}
		d.classes[class] = c
	}
	if now.Sub(c.begunAt) > durationWindow {
		c.before, c.completeBefore = c.longest, c.complete
		c.begunAt, c.longest, c.complete = now, 0, 0
	}
	c.longest = max(c.longest, took)
	if complete {
		c.complete++
	}
}

// bound returns the time within which a request of the class will probably end, and whether it
// is known.
func (d *durations) bound(class durationClass) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.classes[class]
	if c == nil || c.complete+c.completeBefore < minDurations {
		return 0, false
	}
	longest := max(c.longest, c.before)
	return longest + longest/4 + durationSlack, true
}
