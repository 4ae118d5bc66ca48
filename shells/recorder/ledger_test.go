package recorder_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/rigs/bubbler"
	"filbertstile.example/filbertstile/shells/recorder"
)

func TestMain(m *testing.M) { os.Exit(bubbler.Main(m)) }

// TestAtMostOneAttemptMayRun guards against a second attempt with a key being sent while
// an earlier one may have run. Attempts arrive at any time, and their outcomes are
// recorded early, late or never.
func TestAtMostOneAttemptMayRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1e9, 0)
		l := recorder.NewLedger(time.Hour, time.Minute)
		// mayHaveRun has the sent attempts, with false for those known not to have run.
		mayHaveRun := make(map[string]bool)
		for n := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "seconds")) * time.Second)
			body := fmt.Sprint("body", rapid.IntRange(0, 1).Draw(t, "body"))
			in := recorder.Intent{Key: "k", BodyDigest: body, RequestID: fmt.Sprint(n), At: now}
			if decision, rec := l.Decide(now, in); decision == recorder.DecisionNew {
				for id, possible := range mayHaveRun {
					if possible {
						t.Fatalf("%s may be sent while %s may have run; record %+v", in.RequestID, id, rec)
					}
				}
				l.Apply(recorder.Batch{Intents: []recorder.Intent{in}})
				mayHaveRun[in.RequestID] = true
			}
			if !rapid.Bool().Draw(t, "outcome") {
				continue
			}
			id := fmt.Sprint(rapid.IntRange(0, n).Draw(t, "attempt"))
			run := rapid.SampledFrom([]filbertstile.RunState{filbertstile.Ran, filbertstile.NotRun, filbertstile.Unknown}).Draw(t, "run")
			if !mayHaveRun[id] {
				run = filbertstile.NotRun // not sent, or known not to have run
			}
			if mayHaveRun[id] && run == filbertstile.NotRun {
				mayHaveRun[id] = false
			}
			l.Apply(recorder.Batch{Outcomes: []recorder.Outcome{{Key: "k", RequestID: id, Run: run, At: now}}})
		}
	})
}
