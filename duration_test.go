package filbertstile_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile"
)

// TestDurationOfIsClamped guards against a conversion of a number beyond the range of
// time.Duration, whose result differs between processors.
func TestDurationOfIsClamped(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		n    float64
		want time.Duration
	}{
		{1.5, 1500 * time.Microsecond},
		{0, 0},
		{-0.25, -250 * time.Microsecond},
		{9.3e12, filbertstile.MaxDuration}, // just beyond the range
		{1e308, filbertstile.MaxDuration},
		{math.MaxFloat64, filbertstile.MaxDuration},
		{math.Inf(1), filbertstile.MaxDuration},
		{-9.3e12, -filbertstile.MaxDuration},
		{-1e308, -filbertstile.MaxDuration},
		{math.Inf(-1), -filbertstile.MaxDuration},
		{math.NaN(), 0},
	} {
		is.Equal(filbertstile.DurationOf(c.n, time.Millisecond), c.want)
	}
}

// TestEngineTimesDoNotOverflow guards against negative estimates for an engine whose numbers
// are far too large or too small.
func TestEngineTimesDoNotOverflow(t *testing.T) {
	is := is.New(t)
	odd := filbertstile.EngineSpec{
		PrefillTokensPerSecond: math.SmallestNonzeroFloat64, StepTime: filbertstile.MaxDuration, StepTimePerRequest: filbertstile.MaxDuration,
		StepsPerEvent: math.MaxInt,
	}
	is.Equal(odd.EventInterval(1000), filbertstile.MaxDuration)
	is.Equal(odd.PrefillTime(math.MaxInt), filbertstile.MaxDuration)
	sound := filbertstile.EngineSpec{PrefillTokensPerSecond: 1000, StepTime: 20 * time.Millisecond, StepTimePerRequest: time.Millisecond, StepsPerEvent: 4}
	is.Equal(sound.EventInterval(10), 120*time.Millisecond)
	is.Equal(sound.PrefillTime(500), 500*time.Millisecond)
}
