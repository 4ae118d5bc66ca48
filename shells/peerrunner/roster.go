package peerrunner

import (
	"maps"
	"time"

	"filbertstile.example/filbertstile/transport/pulser"
)

const (
	// hostTimeout is the time after which a host that no entry lists any more is
	// treated as lost, and its chunks are requested from others. It is long because
	// heartbeats are lost while links are full, and a lost host costs only the timeout
	// of one chunk.
	hostTimeout = 6 * time.Second
	// settleTime is how long after the first list it takes until the lists name all
	// hosts, if the entries form several groups: entries receive the heartbeats of
	// their own group's hosts, and learn of the other hosts from each other.
	settleTime = 2500 * time.Millisecond
	// oneGroupSettleTime is the same if the entries form one group: entries that have just
	// started name the hosts whose heartbeats have arrived so far.
	oneGroupSettleTime = 1200 * time.Millisecond
)

// roster records which hosts are alive according to the lists in the heartbeats of
// entries.
type roster struct {
	// firstListAt is when the first list arrived after at least HeartbeatTimeout
	// without any.
	firstListAt time.Time
	lastListAt  time.Time
	// lastListed is when a list last named each host.
	lastListed map[string]time.Time
}

// recordList records a list of hosts. Entries of other regions send empty lists, which
// are ignored.
func (r *roster) recordList(now time.Time, names []string) {
	if len(names) == 0 {
		return
	}
	if now.Sub(r.lastListAt) > pulser.HeartbeatTimeout {
		r.firstListAt = now
	}
	r.lastListAt = now
	for _, name := range names {
		r.lastListed[name] = now
	}
}

// aliveFunc returns a function that reports whether a host counts as alive, which
// means that a list named it within hostTimeout. Every host counts as alive while no
// lists arrive, and for the settle time after the first one.
func (r *roster) aliveFunc(now time.Time, settle time.Duration) func(name string) bool {
	if now.Sub(r.lastListAt) > pulser.HeartbeatTimeout || now.Sub(r.firstListAt) < settle {
		return func(string) bool { return true }
	}
	alive := maps.Clone(r.lastListed)
	return func(name string) bool {
		at, listed := alive[name]
		return listed && now.Sub(at) <= hostTimeout
	}
}
