package peerrunner

import (
	"fmt"
	"io"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/decisions/distributor"
	"filbertstile.example/filbertstile/outside/tracker"
	"filbertstile.example/filbertstile/shells/fetcher"
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
		p.weightSource.believed(w).digest = "digest"
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

// TestSupersededVersionIsNotFetched guards against a version that is fetched before or beside the
// newest one, though hosts heard of both together when the store was back: the first complete copy
// took 1.7 times what the origin's link needs. A version of which most has been read when a newer one is
// named must be completed: dropped, it left replicas without a version that they may run.
func TestSupersededVersionIsNotFetched(t *testing.T) {
	newest := []distributor.Want{{Release: "m", Manifest: "d3"}}
	both := append([]distributor.Want{{Release: "m", Manifest: "d2"}}, newest...)
	for _, c := range []struct {
		apart, copyTime time.Duration
		want            []distributor.Want
	}{
		{0, 0, newest},
		{0, 2600 * time.Millisecond, newest},
		{2 * time.Second, 0, both},
		{2 * time.Second, 2600 * time.Millisecond, both},
		{2 * time.Second, 4300 * time.Millisecond, newest},
		{3 * time.Second, 4300 * time.Millisecond, both},
	} {
		t.Run(fmt.Sprint(c.apart, c.copyTime), func(t *testing.T) {
			is := is.New(t)
			logger := logrus.New()
			logger.SetOutput(io.Discard)
			now := time.Duration(0)
			p := New(Config{Clock: func() time.Duration { return now }, Log: reporter.New(reporter.Config{Logger: logger}), RolloutTimeout: 8 * time.Second})
			f, err := fetcher.New(fetcher.Config{Source: p.weightSource, Metrics: metrics.NewRegistry(), Log: p.config.Log})
			is.NoErr(err)
			p.fetcher.Store(f)
			p.originCopyTime = c.copyTime
			for version, digest := range map[int64]filbertstile.Digest{1: "d1", 2: "d2", 3: "d3"} {
				p.weightSource.believed(filbertstile.WeightsVersion{Model: "m", Version: version}).digest = digest
			}
			p.recordVersion(filbertstile.WeightsVersion{Model: "m", Version: 2})
			now += c.apart
			p.recordVersion(filbertstile.WeightsVersion{Model: "m", Version: 3})
			is.Equal(p.versionsToHold(filbertstile.WeightsVersion{Model: "m", Version: 3}), c.want)
		})
	}
}
