package suspector_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"filbertstile.example/filbertstile/decisions/suspector"
)

// message is evidence on its way, with the time at which it arrives.
type message struct {
	at       time.Time
	to       int
	evidence suspector.Evidence
}

// TestEvidenceInAnyOrder guards against entries that disagree for good after messages were
// lost, repeated or out of order: the part that crashes replicas must be blocked at all of
// them, and parts on which answers begin at none.
func TestEvidenceInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const entries = 5
		var all []*suspector.Suspector
		for i := range entries {
			all = append(all, newSuspector(i, entries))
		}
		crashes := rapid.IntRange(3, 8).Draw(t, "crashes")
		var messages []message
		now, end := start, start.Add(12*time.Second)
		for step := 0; now.Before(end); step++ {
			now = now.Add(100 * time.Millisecond)
			if step%5 == 0 && step/5 < crashes {
				for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, entries-1), 1, 3, rapid.ID[int]).Draw(t, "seen by") {
					all[i].RecordCrash(now, uint64(step), suspector.LostRequest{Keys: []uint64{system, bad}})
				}
			}
			if step%8 == 0 {
				all[rapid.IntRange(0, entries-1).Draw(t, "witness")].RecordWitness(now, []uint64{system})
			}
			if from := rapid.IntRange(0, entries-1).Draw(t, "from"); rapid.IntRange(0, 3).Draw(t, "lost") > 0 {
				for to := range entries {
					for range rapid.IntRange(1, 2).Draw(t, "copies") {
						delay := time.Duration(rapid.IntRange(1, 400).Draw(t, "delay")) * time.Millisecond
						messages = append(messages, message{at: now.Add(delay), to: to, evidence: all[from].Evidence(now)})
					}
				}
			}
			kept := messages[:0]
			for _, m := range messages {
				if m.at.After(now) {
					kept = append(kept, m)
				} else {
					all[m.to].Merge(now, m.evidence)
				}
			}
			messages = kept
		}
		// Later heartbeats reach every entry.
		for range 2 {
			for _, from := range all {
				for _, to := range all {
					to.Merge(now, from.Evidence(now))
				}
			}
		}
		for i, s := range all {
			if got := stateOf(s, now, bad); got != "Blocked" {
				t.Fatalf("entry %d: the part that crashes replicas is %s after %d crashes", i, got, crashes)
			}
			if got := stateOf(s, now, system); got != "Free" {
				t.Fatalf("entry %d: the sound part is %s", i, got)
			}
		}
	})
}

// TestRepeatedEvidenceCountsOnce guards against crashes that are counted again when several
// entries report them, or report each other's counts.
func TestRepeatedEvidenceCountsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := newSuspector(0, 2), newSuspector(1, 2)
		a.RecordCrash(start, 1, suspector.LostRequest{Keys: []uint64{bad}})
		b.RecordCrash(start.Add(5*time.Millisecond), 1, suspector.LostRequest{Keys: []uint64{bad}})
		b.RecordCrash(start.Add(apart), 2, suspector.LostRequest{Keys: []uint64{bad}})
		now := start.Add(apart)
		for range rapid.IntRange(1, 40).Draw(t, "messages") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "delay")) * time.Millisecond)
			from, to := a, b
			if rapid.Bool().Draw(t, "back") {
				from, to = b, a
			}
			to.Merge(now.Add(50*time.Millisecond), from.Evidence(now))
		}
		for _, s := range []*suspector.Suspector{a, b} {
			if got := stateOf(s, now, bad); got == "Blocked" {
				t.Fatal("two crashes block a part")
			}
		}
		for _, x := range a.Dump(now) {
			if x.Age > now.Sub(start) || x.Age < now.Sub(start)-2*time.Second {
				t.Fatalf("the last crash is %v old, want about %v", x.Age, now.Sub(start))
			}
		}
	})
}

// TestRestartedEntryLearnsBlockedPart guards against an entry that sends blocked parts after
// its restart, long after the crashes.
func TestRestartedEntryLearnsBlockedPart(t *testing.T) {
	is := is.New(t)
	a, b := newSuspector(0, 2), newSuspector(1, 2)
	crash(a, start, 0, 3, bad)
	now := start.Add(time.Minute)
	b.Merge(now, a.Evidence(now))
	is.Equal(b.Admit(now, []uint64{bad}).Verdict, suspector.Refuse)
	c := newSuspector(0, 2)                // the first entry has restarted
	is.True(b.Merge(now, c.Evidence(now))) // must answer at once
	c.Merge(now, b.Evidence(now))
	is.Equal(c.Admit(now, []uint64{bad}).Verdict, suspector.Refuse)
	is.True(!b.Merge(now, c.Evidence(now))) // has nothing to add
}

// TestCrashesSpreadAfterCut guards against entries that each know some of the crashes, after they
// did not hear each other while the crashes were news, and send on a part that has ended replicas
// three times.
func TestCrashesSpreadAfterCut(t *testing.T) {
	for _, first := range []int{0, 1} {
		is := is.New(t)
		all := []*suspector.Suspector{newSuspector(0, 2), newSuspector(1, 2)}
		crash(all[first], start, 0, 2, bad)
		crash(all[1-first], start.Add(2*apart), 2, 1, bad)
		now := start.Add(10 * time.Second)
		for range 2 {
			all[1].Merge(now, all[0].Evidence(now))
			all[0].Merge(now, all[1].Evidence(now))
		}
		for _, s := range all {
			is.Equal(stateOf(s, now, bad), "Blocked")
		}
	}
}

// TestSoundCrashesAreNotRepeated guards against old crashes that every heartbeat repeats although
// nothing is suspected.
func TestSoundCrashesAreNotRepeated(t *testing.T) {
	is := is.New(t)
	s := newSuspector(0, 2)
	now := crash(s, start, 0, 1, bad).Add(10 * time.Second)
	is.Equal(len(s.Evidence(now).Crashes), 0)
}

// TestLateCrashesAreDated guards against crashes that count once because the messages about them
// waited and arrived together.
func TestLateCrashesAreDated(t *testing.T) {
	is := is.New(t)
	a, b := newSuspector(0, 2), newSuspector(1, 2)
	var waiting []suspector.Evidence
	for i := range 3 {
		at := crash(a, start.Add(time.Duration(i)*apart), i, 1, bad)
		waiting = append(waiting, suspector.Evidence{Crashes: a.Evidence(at).Crashes})
	}
	now := start.Add(3 * time.Second)
	for _, e := range waiting {
		b.Merge(now, e)
	}
	b.Merge(now, suspector.Evidence{Crashes: a.Evidence(now).Crashes})
	is.Equal(stateOf(b, now, bad), "Blocked")
}

// TestAnswerElsewhereClearsSuspicion guards against an entry that suspects a part on which
// answers begin at others, and is not told of it.
func TestAnswerElsewhereClearsSuspicion(t *testing.T) {
	is := is.New(t)
	a, b := newSuspector(0, 2), newSuspector(1, 2)
	now := crash(a, start, 0, 3, 5)
	is.Equal(stateOf(a, now, 5), "Blocked")
	b.RecordWitness(now, []uint64{5})
	is.True(b.Merge(now, a.Evidence(now))) // must answer at once
	is.Equal(stateOf(b, now, 5), "Free")
	changed := a.Admit(now, []uint64{9}).Changed
	a.Merge(now, b.Evidence(now))
	is.Equal(stateOf(a, now, 5), "Free")
	<-changed
}

// TestPauseHidesNoCrash guards against an entry that stood still while others sent evidence, and takes an
// answer that had begun before a crash for one that began after it.
func TestPauseHidesNoCrash(t *testing.T) {
	is := is.New(t)
	witness, reporter, paused := newSuspector(0, 3), newSuspector(1, 3), newSuspector(2, 3)
	for i := range uint64(4) {
		reporter.RecordCrash(start.Add(time.Duration(i+1)*2*time.Second), i, suspector.LostRequest{Keys: []uint64{bad}})
	}
	// An answer began 1.5 s before the first crash; the message waits until the entry runs again.
	witness.RecordWitness(start.Add(500*time.Millisecond), []uint64{bad})
	witness.Merge(start.Add(550*time.Millisecond), suspector.Evidence{Suspicions: []suspector.Suspicion{{Key: bad, Episodes: 2}}})
	fromWitness := witness.Evidence(start.Add(600 * time.Millisecond))
	fromReporter := reporter.Evidence(start.Add(8100 * time.Millisecond))
	resumed := start.Add(8200 * time.Millisecond)
	stoodStill := resumed.Sub(start)
	fromWitness.Delay, fromReporter.Delay = stoodStill, stoodStill
	paused.Merge(resumed, fromWitness)
	paused.Merge(resumed, fromReporter)
	is.Equal(stateOf(reporter, resumed, bad), stateOf(paused, resumed, bad))
}
