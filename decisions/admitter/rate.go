package admitter

import (
	"math"
	"time"
)

const (
	// rateTime is the time constant of rates. With 8 requests per second it gives a standard
	// deviation of a quarter, and a burst shows within a second.
	rateTime = time.Second
	// demandTime is the time constant of the rates that entries tell one another.
	demandTime = 3 * time.Second
	// minRateAge is the least time over which a rate is taken after its first event.
	minRateAge = 200 * time.Millisecond
	// restartFactor is the number of time constants without events after which a rate starts anew.
	restartFactor = 4
)

// rate is a rate of events that decays exponentially.
type rate struct {
	// over is the time constant.
	over time.Duration
	// value is the rate at the time at, too low by as much as decayed events before startedAt
	// would add.
	value     float64
	at        time.Time
	startedAt time.Time
}

func (r *rate) add(now time.Time) {
	if r.value == 0 || now.Sub(r.at) > restartFactor*r.over {
		r.startedAt, r.value, r.at = now, 0, now
	}
	r.value = r.value*r.decay(now.Sub(r.at)) + 1/r.over.Seconds()
	r.at = now
}

func (r *rate) perSecond(now time.Time) float64 {
	if r.value == 0 {
		return 0
	}
	age := max(minRateAge, now.Sub(r.startedAt))
	return r.value * r.decay(now.Sub(r.at)) / (1 - r.decay(age))
}

// age returns the time since the first event.
func (r *rate) age(now time.Time) time.Duration { return now.Sub(r.startedAt) }

func (r *rate) decay(d time.Duration) float64 {
	return math.Exp(-max(0, d.Seconds()) / r.over.Seconds())
}
