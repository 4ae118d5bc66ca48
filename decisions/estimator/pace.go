// Package estimator estimates, from what an entry observes, how fast model engines work and how
// much work requests are. It holds no clock and does no I/O; its values are not safe for
// concurrent use.
package estimator

import (
	"math"
	"time"

	"filbertstile.example/filbertstile"
)

const (
	// paceSamples is the number of latest observations of an engine that count.
	paceSamples = 16
	// paceWindow is the age from which an observation no longer counts, so that an engine
	// counts as slow or as recovered within about a second.
	paceWindow = time.Second
	// minPaceSamples is the number of observations from which they count. At full load, a stream
	// of an engine that works at 2.5 times its pace has about 5 events in a second.
	minPaceSamples = 4
	// paceQuantilePercent is the quantile of the observations that is taken as the pace. It is low,
	// as the prompts of other requests are read between events; at full load most gaps contain
	// one.
	paceQuantilePercent = 15
	// minObservedPace is the pace from which observations count: a busy host makes events late
	// by a part of their interval.
	minObservedPace = 1.5
	// observedPaceTimeout is how long an observed pace counts after the latest observation.
	observedPaceTimeout = 1500 * time.Millisecond
	// hugePace is the figure above which a report is taken for an error.
	hugePace = 1000
	// minGapRatio is the lowest ratio that counts as an observation: events that were
	// delayed on the way arrive in quick succession.
	minGapRatio = 0.5
)

// lowestSamples is the number of lowest observations among which the quantile is.
const lowestSamples = paceSamples*paceQuantilePercent/100 + 1

// paceSample is one observation: how much longer something took than the specification explains.
type paceSample struct {
	// at is the time since the first observation.
	at    time.Duration
	ratio float32
}

// Pace estimates how much slower than its specification an engine works, from observations and
// from the engine's report. The zero value and nil have no observations.
type Pace struct {
	// samples is a ring of the latest observations, of which count have been made.
	samples [paceSamples]paceSample
	count   int
	// first is the time of the first observation.
	first time.Time
	// seen is the pace by the observations up to seenAt; 0 if there are too few.
	seen   float64
	seenAt time.Time
}

// Observe records that something took the given time for which the specification explains the
// expected one. Figures that make no sense are ignored.
func (p *Pace) Observe(now time.Time, took, expected time.Duration) {
	if expected <= 0 || took <= 0 {
		return
	}
	ratio := float64(took) / float64(expected)
	if ratio < minGapRatio {
		return
	}
	if p.count == 0 {
		p.first = now
	}
	at := now.Sub(p.first)
	p.samples[p.count%paceSamples] = paceSample{at: at, ratio: float32(min(ratio, filbertstile.MaxPace))}
	p.count++
	if pace, ok := p.quantile(at); ok {
		p.seen, p.seenAt = pace, now
	}
}

// quantile returns the quantile that counts of the observations within paceWindow, and whether there are
// enough.
func (p *Pace) quantile(at time.Duration) (float64, bool) {
	var lowest [lowestSamples + 1]float32 // ascending, and room for one that is dropped
	n := 0
	for _, s := range p.samples[:min(p.count, paceSamples)] {
		if at-s.at > paceWindow {
			continue
		}
		i := min(n, lowestSamples)
		for ; i > 0 && lowest[i-1] > s.ratio; i-- {
			lowest[i] = lowest[i-1]
		}
		lowest[i] = s.ratio
		n++
	}
	return float64(lowest[n*paceQuantilePercent/100]), n >= minPaceSamples
}

// Seen returns the pace by the observations; 0 if there are too few recent ones.
func (p *Pace) Seen(now time.Time) float64 {
	if p == nil || p.seen == 0 || now.Sub(p.seenAt) > observedPaceTimeout {
		return 0
	}
	return p.seen
}

// Used returns the pace that counts, from 1 to filbertstile.MaxPace, given the latest report of
// the engine and the pace that others see, which are 0 if there is none. An engine is never faster
// than it says, and not much faster than all see it to be. The lowest of what is seen counts, as
// an observer on a busy host sees all engines slow.
func (p *Pace) Used(now time.Time, reported, others float64) float64 {
	if math.IsNaN(reported) || reported < 1 || reported > hugePace {
		reported = 1
	}
	out := min(reported, filbertstile.MaxPace)
	seen := p.Seen(now)
	if others > 0 && (seen == 0 || others < seen) {
		seen = min(others, filbertstile.MaxPace)
	}
	if IsSlow(seen) {
		out = max(out, seen)
	}
	return out
}

// IsSlow reports whether a pace that is seen counts.
func IsSlow(seen float64) bool { return seen >= minObservedPace }
