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

// TestPauseIsLogged guards against late news whose cause the log does not show, and against a planned stop
// that counts from the signal although a pause may have begun before it.
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
				const begun = 100 * time.Millisecond
				is.Equal(d.ranUntil(), time.Duration(0))
				time.Sleep(begun)
				is.Equal(d.ranUntil(), begun)
				time.Sleep(pauseCheckInterval + c.stopped)
				suspended += c.suspended
				if c.stopped+c.suspended > minPause {
					is.Equal(d.ranUntil(), begun)
					time.Sleep(recentPause)
				}
				is.Equal(d.ranUntil(), clock())
				time.Sleep(pauseCheckInterval)
				is.Equal(d.ranUntil(), clock())
				is.Equal(strings.Count(out.String(), "ProcessPaused"), min(1, len(c.want)))
				for field := range strings.SplitSeq(c.want, " ") {
					is.True(strings.Contains(out.String(), field))
				}
			})
		})
	}
}
