package edgerunner

import (
	"sync/atomic"
	"time"

	"filbertstile.example/filbertstile/decisions/grouper"
	"filbertstile.example/filbertstile/transport/pulser"
)

// senderCounter counts the entries that may send requests to the same replicas. Limits that
// entries share are divided by these counts. An entry that has just started, or has stood
// still, does not hear the others yet: until their heartbeats had the time to arrive, all
// registered entries count.
type senderCounter struct {
	clock func() time.Duration
	// tickedAt is the time of the last tick, and listenUntil the end of the time in which all
	// registered entries count.
	tickedAt    atomic.Int64
	listenUntil atomic.Int64
}

func newSenderCounter(clock func() time.Duration) *senderCounter {
	s := &senderCounter{clock: clock}
	s.tickedAt.Store(int64(clock()))
	s.listenUntil.Store(int64(clock() + pulser.HeartbeatTimeout))
	return s
}

// tick must be called at least every multiGroupLoadInterval while the process runs. It reports
// whether the process has stood still since the last tick.
func (s *senderCounter) tick() bool {
	now := s.clock()
	paused := now-time.Duration(s.tickedAt.Swap(int64(now))) >= minLoggedPause
	if paused {
		s.listenUntil.Store(int64(now + pulser.HeartbeatTimeout))
	}
	return paused
}

// listening reports whether heartbeats of other entries may not have arrived yet.
func (s *senderCounter) listening() bool {
	now := s.clock()
	paused := now-time.Duration(s.tickedAt.Load()) >= minLoggedPause
	return paused || now < time.Duration(s.listenUntil.Load())
}

// counts returns the number of entries in the system and in the own group, this one included.
func (s *senderCounter) counts(d *grouper.Division) (entries, group int) {
	if s.listening() {
		return 1 + len(d.GroupPeers) + len(d.OtherPeers), 1 + len(d.GroupPeers)
	}
	return 1 + d.LivePeerCount, 1 + len(d.LiveGroupPeers)
}
