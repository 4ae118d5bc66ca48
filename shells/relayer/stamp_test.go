package relayer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/viewer"
	"filbertstile.example/filbertstile/shells/relayer"
)

// TestStampsCountFromStart guards against stamps of the wall clock: once it is set forward, their
// echoes would confirm the view as of a time that has not come, and it would never be stale.
func TestStampsCountFromStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := relayer.New(relayer.Config{Self: filbertstile.Member{Name: "p"}, Holder: viewer.NewHolder()})
		is.True(r.Subtree().GetStampMicroseconds() > 0) // 0 is no stamp
		for _, elapsed := range []time.Duration{time.Second, time.Hour} {
			before := r.Subtree().GetStampMicroseconds()
			time.Sleep(elapsed)
			stamp := r.Subtree().GetStampMicroseconds()
			is.True(stamp-before >= (elapsed - time.Millisecond).Microseconds())
			is.True(stamp <= (2 * time.Hour).Microseconds())
		}
	})
}
