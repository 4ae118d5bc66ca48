package admitter

import (
	"math"
	"time"
)

// rateTime is the time constant of rates. With 8 requests per second it gives a standard
// deviation of a quarter, and a burst shows within a second.
const rateTime = time.Second

// rate is a rate of events that decays exponentially.
type rate struct {
	value float64
	at    time.Time
}

func (r *rate) add(now time.Time) {
	r.value = r.perSecond(now) + 1/rateTime.Seconds()
	r.at = now
}

func (r *rate) perSecond(now time.Time) float64 {
	if r.value == 0 {
		return 0
	}
	return r.value * math.Exp(-max(0, now.Sub(r.at).Seconds())/rateTime.Seconds())
}
