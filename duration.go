package filbertstile

import "time"

// MaxDuration is the longest duration that DurationOf returns. Sums and small multiples of it
// stay within the range of time.Duration, and a time that is as far from now can be encoded.
const MaxDuration = 365 * 24 * time.Hour

// DurationOf returns n units, at least -MaxDuration and at most MaxDuration, and 0 if n is not
// a number. The result of a plain conversion from beyond the range differs between processors.
func DurationOf(n float64, unit time.Duration) time.Duration {
	ns := n * float64(unit)
	switch {
	case ns != ns:
		return 0
	case ns >= float64(MaxDuration):
		return MaxDuration
	case ns <= -float64(MaxDuration):
		return -MaxDuration
	}
	return time.Duration(ns)
}
