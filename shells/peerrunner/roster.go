package peerrunner

import (
	"maps"
	"time"

	"filbertstile.example/filbertstile/transport/pulser"
)

const (
	// missedFor is how long a host may go unheard before chunks are asked of
	// others: heartbeats are lost while links are full, and a host that is gone
	// costs one time-out of a chunk.
	missedFor = 6 * time.Second
	// settleTime is how long the lists of entries of several groups take until they
	// name all hosts: entries hear the hosts of their own group, and of the others
	// from each other.
	settleTime = 2500 * time.Millisecond
)

// roster is which hosts entries have named as heard.
type roster struct {
	// since is when the first list came after a time without any.
	since   time.Time
	heardAt time.Time
	alive   map[string]time.Time
}

// hear takes in a list. Entries of other regions send none.
func (r *roster) hear(now time.Time, names []string) {
	if len(names) == 0 {
		return
	}
	if now.Sub(r.heardAt) > pulser.HeartbeatTimeout {
		r.since = now
	}
	r.heardAt = now
	for _, name := range names {
		r.alive[name] = now
	}
}

// living returns the test for hosts that live: those that were named lately. Any
// host may live where no list has come lately, or the first ones came less than
// the settling time ago.
func (r *roster) living(now time.Time, settle time.Duration) func(name string) bool {
	if now.Sub(r.heardAt) > pulser.HeartbeatTimeout || now.Sub(r.since) < settle {
		return func(string) bool { return true }
	}
	alive := maps.Clone(r.alive)
	return func(name string) bool {
		at, named := alive[name]
		return named && now.Sub(at) <= missedFor
	}
}
