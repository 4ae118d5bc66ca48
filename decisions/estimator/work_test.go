package estimator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/estimator"
)

// The delay by later prompts must not count before it is known, must shrink with the engine's
// times and with the prompts, and must be a number whatever the figures are.
func TestLaterPrompts(t *testing.T) {
	is := is.New(t)
	spec := filbertstile.EngineSpec{PrefillTokensPerSecond: 19100, StepTime: 9 * time.Millisecond, StepsPerEvent: 5}
	fast := filbertstile.EngineSpec{PrefillTokensPerSecond: 4 * 19100, StepTime: 9 * time.Millisecond / 4, StepsPerEvent: 5}
	delay := func(e filbertstile.EngineSpec, prompt, output, requests int) (time.Duration, bool) {
		var w estimator.Work
		for range requests {
			w.Learn(prompt, output)
		}
		return w.LaterPrompts(&e)
	}
	_, known := delay(spec, 900, 90, 10)
	is.True(!known)
	usual, known := delay(spec, 900, 90, 100)
	is.True(known && usual > 5*time.Millisecond && usual < 6*time.Millisecond)
	quarter, _ := delay(fast, 900, 90, 100)
	is.True((4*quarter - usual).Abs() < time.Microsecond)
	short, _ := delay(spec, 90, 90, 100)
	is.True(short < usual/5)
	for _, e := range []filbertstile.EngineSpec{{}, {StepTime: -1, PrefillTokensPerSecond: -1}, {StepTime: 1 << 62, StepsPerEvent: 1 << 40, PrefillTokensPerSecond: 1e-300}} {
		d, _ := delay(e, -1, 1<<62, 100)
		is.True(d >= 0)
	}
}
