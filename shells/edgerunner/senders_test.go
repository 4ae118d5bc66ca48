package edgerunner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/grouper"
	"filbertstile.example/filbertstile/transport/pulser"
)

// TestEntryThatHearsNobodyIsNotAlone guards against an entry that takes the whole of a shared limit because
// it has just started, or stood still, and hears no other entry yet.
func TestEntryThatHearsNobodyIsNotAlone(t *testing.T) {
	d := &grouper.Division{GroupPeers: make([]filbertstile.Member, 7), OtherPeers: make([]filbertstile.Member, 4)}
	for _, c := range []struct {
		name               string
		runs               time.Duration
		stopped, suspended time.Duration
		// runsAfter is how long the entry runs after the pause.
		runsAfter      time.Duration
		entries, group int
	}{
		{"just started", 0, 0, 0, 0, 12, 8},
		{"started a while ago", pulser.HeartbeatTimeout, 0, 0, 0, 1, 1},
		{"stood still", time.Minute, 4 * time.Second, 0, 0, 12, 8},
		{"suspended", time.Minute, 0, 4 * time.Second, 0, 12, 8},
		{"listens again", time.Minute, 4 * time.Second, 0, pulser.HeartbeatTimeout - 100*time.Millisecond, 12, 8},
		{"hears nobody after a pause", time.Minute, 4 * time.Second, 0, pulser.HeartbeatTimeout + 100*time.Millisecond, 1, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				started, suspended := time.Now(), time.Duration(0)
				s := newSenderCounter(func() time.Duration { return time.Since(started) + suspended })
				run := func(d time.Duration) {
					for until := time.Now().Add(d); time.Now().Before(until); {
						time.Sleep(multiGroupLoadInterval)
						s.tick()
					}
				}
				run(c.runs)
				time.Sleep(c.stopped)
				suspended += c.suspended
				run(c.runsAfter)
				entries, group := s.counts(d)
				is.Equal(entries, c.entries)
				is.Equal(group, c.group)
			})
		})
	}
}

// TestMessagesMayHaveWaitedDuringPause guards against news that an entry takes for newer than it
// is, as it stood still while the message waited.
func TestMessagesMayHaveWaitedDuringPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		started, suspended := time.Now(), time.Duration(0)
		s := newSenderCounter(func() time.Duration { return time.Since(started) + suspended })
		is.Equal(s.messageDelay(), time.Duration(0))
		suspended = 4 * time.Second
		is.True(s.messageDelay() >= 4*time.Second) // before the pause is noticed
		s.tick()
		is.True(s.messageDelay() >= 4*time.Second)
		for range 20 {
			time.Sleep(multiGroupLoadInterval)
			s.tick()
		}
		is.Equal(s.messageDelay(), time.Duration(0))
	})
}
