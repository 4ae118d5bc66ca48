package peerrunner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile/transport/pulser"
)

// TestAllHostsAliveUntilListsSettle guards against a fault after a power loss of a
// large system: the first heartbeats named no hosts, so each host considered itself
// the only one alive, and read all weights from the origin.
func TestAllHostsAliveUntilListsSettle(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1e9, 0)
	r := roster{lastListed: make(map[string]time.Time)}
	is.True(r.aliveFunc(now, settleTime)("a")) // no list has arrived
	r.recordList(now, nil)
	is.True(r.aliveFunc(now, 0)("a")) // an entry of another region sends an empty list
	r.recordList(now, []string{"a"})
	is.True(r.aliveFunc(now, settleTime)("b")) // entries may not have learned of it yet
	is.True(!r.aliveFunc(now, 0)("b"))
	for range 4 {
		now = now.Add(time.Second)
		r.recordList(now, []string{"a"})
	}
	is.True(r.aliveFunc(now, settleTime)("a"))
	is.True(!r.aliveFunc(now, settleTime)("b"))
	r.recordList(now, []string{"b"})
	now = now.Add(pulser.HeartbeatTimeout + time.Millisecond)
	is.True(r.aliveFunc(now, settleTime)("c")) // lists have stopped arriving
	r.recordList(now, []string{"b"})
	now = now.Add(hostTimeout)
	r.recordList(now, []string{"a"})
	is.True(r.aliveFunc(now.Add(settleTime), 0)("c")) // lists have stopped arriving again
}
