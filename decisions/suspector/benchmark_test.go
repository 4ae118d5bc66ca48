package suspector_test

import (
	"testing"
	"time"

	"filbertstile.example/filbertstile/decisions/suspector"
)

// BenchmarkSoundRequest measures what a sound request costs that has no parts of prompts: a
// decision, the checks after the queue and at the write, and a witness.
func BenchmarkSoundRequest(b *testing.B) {
	s := newSuspector(0, 12)
	now := lose(s, start, 1, badRequest)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(50 * time.Microsecond)
		keys := []uint64{suspector.RequestKey(uint64(i) << 20)}
		s.Admit(now, keys)
		s.Recheck(now, keys)
		s.Recheck(now, keys)
		s.RecordWitness(now, keys)
	}
}
