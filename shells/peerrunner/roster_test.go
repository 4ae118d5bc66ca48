package peerrunner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile/transport/pulser"
)

// TestRosterSettles is for hosts that, after a power loss of a large system, took
// themselves for the only one alive, as the first heartbeats named nobody, and
// each read all weights from the origin.
func TestRosterSettles(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1e9, 0)
	r := roster{alive: make(map[string]time.Time)}
	is.True(r.living(now, settleTime)("a")) // nothing was heard yet
	r.hear(now, nil)
	is.True(r.living(now, 0)("a")) // an entry of another region names nobody
	r.hear(now, []string{"a"})
	is.True(r.living(now, settleTime)("b")) // its entry may not be heard yet
	is.True(!r.living(now, 0)("b"))
	for range 4 {
		now = now.Add(time.Second)
		r.hear(now, []string{"a"})
	}
	is.True(r.living(now, settleTime)("a"))
	is.True(!r.living(now, settleTime)("b"))
	r.hear(now, []string{"b"})
	now = now.Add(pulser.HeartbeatTimeout + time.Millisecond)
	is.True(r.living(now, settleTime)("c")) // no entry is heard any more
	r.hear(now, []string{"b"})
	now = now.Add(missedFor)
	r.hear(now, []string{"a"})
	is.True(r.living(now.Add(settleTime), 0)("c"))
}
