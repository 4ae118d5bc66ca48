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

// TestLedgerLetsOneRun lets attempts with the same key come in any order, with
// outcomes early, late or never: at most one attempt may be sent, unless those
// before it are known not to have run.
func TestLedgerLetsOneRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1e9, 0)
		l := recorder.NewLedger(time.Hour, time.Minute)
		sent := make(map[string]bool)
		for n := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "seconds")) * time.Second)
			body := fmt.Sprint("body", rapid.IntRange(0, 1).Draw(t, "body"))
			in := recorder.Intent{Key: "k", BodyDigest: body, RequestID: fmt.Sprint(n), At: now}
			if v, rec := l.Judge(now, in); v == recorder.VerdictNew {
				for id, open := range sent {
					if open {
						t.Fatalf("%s may be sent while %s may have run; record %+v", in.RequestID, id, rec)
					}
				}
				l.Apply(recorder.Batch{Intents: []recorder.Intent{in}})
				sent[in.RequestID] = true
			}
			if !rapid.Bool().Draw(t, "outcome") {
				continue
			}
			id := fmt.Sprint(rapid.IntRange(0, n).Draw(t, "of"))
			run := rapid.SampledFrom([]filbertstile.RunState{filbertstile.Ran, filbertstile.NotRun, filbertstile.Unknown}).Draw(t, "run")
			if !sent[id] {
				run = filbertstile.NotRun // an attempt that was not sent did not run
			}
			if sent[id] && run == filbertstile.NotRun {
				sent[id] = false
			}
			l.Apply(recorder.Batch{Outcomes: []recorder.Outcome{{Key: "k", RequestID: id, Run: run, At: now}}})
		}
	})
}
