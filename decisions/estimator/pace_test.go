package estimator_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/estimator"
)

const interval = 45 * time.Millisecond

var start = time.Unix(1000, 0)

// observe records the events of a stream of an engine from the time now on, each the given times
// its specified interval after the previous one, and returns the time of the last one.
func observe(p *estimator.Pace, now time.Time, events int, ratio float64) time.Time {
	for range events {
		gap := time.Duration(ratio * float64(interval))
		now = now.Add(gap)
		p.Observe(now, gap, interval)
	}
	return now
}

// An engine that claims to work as specified and is seen to be slow must count as slow within a
// second, and as recovered within two, by the events of a single stream.
func TestObservationHoldsReports(t *testing.T) {
	is := is.New(t)
	var p estimator.Pace
	now := observe(&p, start, 30, 1)
	is.Equal(p.Used(now, 1, 0), 1.0)
	now = observe(&p, now, 9, 2.5) // one second
	is.True(math.Abs(p.Used(now, 1, 0)-2.5) < 0.1)
	is.True(math.Abs(p.Used(now, 0, 0)-2.5) < 0.1) // a build that does not report a pace
	is.Equal(p.Used(now, 4, 0), 4.0)
	recovered := observe(&p, now, 15, 1)
	is.Equal(p.Used(recovered, 1, 0), 1.0)
	is.Equal(p.Used(now.Add(2*time.Second), 1, 0), 1.0) // it is not used any more
}

// What other entries see must count for an entry that has seen nothing, and an entry that sees all
// engines slow, as its host is busy, must not be believed against them, nor believe itself.
func TestLowestSeenPaceCounts(t *testing.T) {
	is := is.New(t)
	var none, slow, nominal estimator.Pace
	now := observe(&slow, start, 9, 2.5)
	observe(&nominal, now.Add(-9*interval), 9, 1)
	is.Equal(none.Used(now, 1, 2.5), 2.5)
	is.Equal(nominal.Used(now, 1, 2.5), 1.0)
	is.Equal(slow.Used(now, 1, 1), 1.0)
	is.True(slow.Used(now, 1, 2.2) < 2.3)
}

// Prompts of other requests, which are read between events, and events that were delayed on the
// way must not make an engine look slow.
func TestPromptsOfOthersAreNoSlowness(t *testing.T) {
	is := is.New(t)
	var p estimator.Pace
	now := start
	for range 20 {
		now = observe(&p, now, 3, 2.5)
		now = observe(&p, now, 1, 0.1) // it arrived together with the previous one
		now = observe(&p, now, 1, 1.05)
		is.Equal(p.Used(now, 1, 0), 1.0)
	}
}

// Whatever is reported or observed, the pace must be a number within its limits.
func TestPaceWithinLimits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var p estimator.Pace
		now := start
		for range rapid.IntRange(0, 40).Draw(rt, "observations") {
			now = now.Add(time.Duration(rapid.Int64Range(-1e9, 1e9).Draw(rt, "time")))
			p.Observe(now, time.Duration(rapid.Int64().Draw(rt, "took")), time.Duration(rapid.Int64().Draw(rt, "expected")))
		}
		reported := rapid.OneOf(rapid.Float64(), rapid.SampledFrom([]float64{math.NaN(), math.Inf(1), math.Inf(-1), 0, -1, 1e300})).Draw(rt, "reported")
		if used := p.Used(now, reported, rapid.Float64().Draw(rt, "others")); !(used >= 1 && used <= filbertstile.MaxPace) {
			rt.Fatalf("pace %v", used)
		}
	})
}

// BenchmarkObserve measures an observation, of which each event of a stream is one.
func BenchmarkObserve(b *testing.B) {
	var p estimator.Pace
	now := start
	for i := 0; b.Loop(); i++ {
		now = now.Add(interval)
		p.Observe(now, interval*time.Duration(10+i*7%16)/10, interval)
	}
}
