package edgerunner

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"filbertstile.example/filbertstile/base/reporter"
)

// TestPauseIsLogged guards against late news whose cause the log does not show.
func TestPauseIsLogged(t *testing.T) {
	for _, c := range []struct {
		name               string
		stopped, suspended time.Duration
		want               string
	}{
		{name: "runs on time"},
		{name: "timer slightly late", stopped: 300 * time.Millisecond},
		{name: "stood still", stopped: 4 * time.Second, want: `For=4s Uncounted=0s`},
		{name: "suspended", suspended: 4 * time.Second, want: `For=4s Uncounted=4s`},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var out strings.Builder
				logger := logrus.New()
				logger.SetOutput(&out)
				logger.SetFormatter(&logrus.TextFormatter{DisableTimestamp: true, DisableColors: true})
				started, suspended := time.Now(), time.Duration(0)
				clock := func() time.Duration { return time.Since(started) + suspended }
				d := newPauseDetector(clock, reporter.New(reporter.Config{Logger: logger}))
				time.Sleep(maintenanceInterval + c.stopped)
				suspended += c.suspended
				d.check()
				time.Sleep(maintenanceInterval)
				d.check()
				is.Equal(strings.Count(out.String(), "ProcessPaused"), min(1, len(c.want)))
				for field := range strings.SplitSeq(c.want, " ") {
					is.True(strings.Contains(out.String(), field))
				}
			})
		})
	}
}
