package peerrunner

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
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
