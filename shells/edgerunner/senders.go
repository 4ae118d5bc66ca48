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
	// pausedFor is how long the process stood still last, and readUntil the end of the time in
	// which messages that arrived meanwhile are read.
	pausedFor atomic.Int64
	readUntil atomic.Int64
}

// readTime is the time after a pause in which messages that arrived during it are read.
const readTime = 500 * time.Millisecond

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
	elapsed := now - time.Duration(s.tickedAt.Swap(int64(now)))
	paused := elapsed >= minLoggedPause
	if paused {
		s.pausedFor.Store(int64(elapsed))
		s.readUntil.Store(int64(now + readTime))
		s.listenUntil.Store(int64(now + pulser.HeartbeatTimeout))
	}
	return paused
}

// messageDelay returns the longest time for which a message that is read now may have waited
// because the process stood still; 0 if it did not.
func (s *senderCounter) messageDelay() time.Duration {
	now := s.clock()
	if elapsed := now - time.Duration(s.tickedAt.Load()); elapsed >= minLoggedPause {
		return elapsed
	}
	if now < time.Duration(s.readUntil.Load()) {
		return time.Duration(s.pausedFor.Load()) + readTime
	}
	return 0
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
