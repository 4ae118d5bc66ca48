package peerrunner

import (
	"io"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/decisions/distributor"
	"filbertstile.example/filbertstile/outside/tracker"
)

// TestSuspensionCountsUntilSwitch guards against a host that takes longer to switch to a version
// because it was suspended.
func TestSuspensionCountsUntilSwitch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		started, suspended := time.Now(), time.Duration(0)
		clock := func() time.Duration { return time.Since(started) + suspended }
		p := New(Config{Clock: clock, Log: reporter.New(reporter.Config{Logger: logger}), RolloutTimeout: 8 * time.Second})
		p.sources.Weights = tracker.New(tracker.Config[filbertstile.WeightsVersion]{Clock: clock})
		p.model = "m"
		p.recordVersion(filbertstile.WeightsVersion{Model: "m", Version: 2})
		time.Sleep(time.Second)
		suspended = 4 * time.Second
		wanted := p.wantedVersions()
		is.Equal(len(wanted), 1)
		is.Equal(time.Since(wanted[0].LearnedAt), 5*time.Second)
	})
}

// TestLargestVersionIsHeld guards against a loop without end over the versions up to the largest
// number, which any process of the system may report as chosen.
func TestLargestVersionIsHeld(t *testing.T) {
	is := is.New(t)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := reporter.New(reporter.Config{Logger: logger})
	for _, newest := range []int64{math.MaxInt64, 1, 2} {
		p := New(Config{Clock: func() time.Duration { return 0 }, Log: log})
		w := filbertstile.WeightsVersion{Model: "m", Version: newest}
		p.weightSource.digests[w] = "digest"
		done := make(chan []distributor.Want, 1)
		go func() { done <- p.versionsToHold(w) }()
		select {
		case wants := <-done:
			is.Equal(wants[len(wants)-1], distributor.Want{Release: "m", Manifest: "digest"})
		case <-time.After(5 * time.Second):
			t.Fatal("versionsToHold does not return")
		}
	}
}
