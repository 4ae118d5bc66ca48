package suspector_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"filbertstile.example/filbertstile/decisions/suspector"
)

const (
	system = uint64(1)
	bad    = uint64(0xbad)
	// apart is longer than the window in which crashes form one episode.
	apart = 400 * time.Millisecond
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSuspector(self int, entries int) *suspector.Suspector {
	s := suspector.New(suspector.Config{Self: fmt.Sprint(self)})
	var others []string
	for i := range entries {
		if i != self {
			others = append(others, fmt.Sprint(i))
		}
	}
	s.SetEntries(others)
	return s
}

// stateOf returns the state of the part.
func stateOf(s *suspector.Suspector, now time.Time, part uint64) string {
	for _, x := range s.Dump(now) {
		if x.Key == part {
			return x.State
		}
	}
	return "Free"
}

// crash records crashes with the parts, each in an episode of its own, and returns the time
// after them.
func crash(s *suspector.Suspector, now time.Time, from, n int, parts ...uint64) time.Time {
	for i := range n {
		s.RecordCrash(now, uint64(from+i), suspector.LostRequest{Keys: parts})
		now = now.Add(apart)
	}
	return now
}

// TestCommonPartIsBlocked guards against blame on parts that sound requests share, and
// against a part without any begun answer that is never blocked.
func TestCommonPartIsBlocked(t *testing.T) {
	is := is.New(t)
	s, now := newSuspector(0, 1), start
	for i := range 3 {
		s.RecordWitness(now, []uint64{system, 100, 101, 102})
		is.Equal(s.Admit(now, []uint64{system, bad}).Verdict != suspector.Refuse, true)
		s.RecordCrash(now, uint64(i), suspector.LostRequest{Keys: []uint64{system, uint64(100 + i), bad}})
		now = now.Add(apart)
	}
	is.Equal(stateOf(s, now, bad), "Blocked")
	is.Equal(s.Admit(now, []uint64{system, bad}).Verdict, suspector.Refuse)
	for i := range 3 {
		is.Equal(s.Admit(now, []uint64{system, uint64(100 + i)}).Verdict, suspector.Send)
	}
}

// TestWrongSuspicionEndsWithFirstAnswer guards against sound parts that stay suspected or
// blocked after an answer on them has begun.
func TestWrongSuspicionEndsWithFirstAnswer(t *testing.T) {
	for crashes := 2; crashes <= 12; crashes++ {
		is := is.New(t)
		s := newSuspector(0, 1)
		now := crash(s, start, 0, crashes, 5)
		is.True(stateOf(s, now, 5) != "Free")
		is.True(s.RecordWitness(now, []uint64{5}))
		is.Equal(s.Admit(now, []uint64{5}).Verdict, suspector.Send)
		now = crash(s, now.Add(2*time.Second), 100, 1, 5)
		is.Equal(s.Admit(now, []uint64{5}).Verdict, suspector.Send) // one crash is not enough
	}
}

// TestSimultaneousCrashesBlockNothing guards against sound parts, popular or rare, that are
// blocked because many replicas crash together while answers begin elsewhere.
func TestSimultaneousCrashesBlockNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := newSuspector(0, 1), start
		parts := rapid.SliceOfNDistinct(rapid.Uint64Range(10, 60), 1, 30, rapid.ID[uint64]).Draw(t, "parts")
		for i := range 8 {
			at := now.Add(time.Duration(rapid.IntRange(0, 250).Draw(t, "offset")) * time.Millisecond)
			held := rapid.SliceOfN(rapid.SampledFrom(parts), 1, 12).Draw(t, "held")
			s.RecordCrash(at, uint64(i), suspector.LostRequest{Keys: held})
		}
		now = now.Add(250 * time.Millisecond)
		for _, part := range parts {
			if stateOf(s, now, part) == "Blocked" {
				t.Fatalf("part %d is blocked by crashes within 250 ms", part)
			}
			s.RecordWitness(now, []uint64{part})
			if v := s.Admit(now, []uint64{part}).Verdict; v != suspector.Send {
				t.Fatalf("part %d: verdict %d after an answer has begun", part, v)
			}
		}
	})
}

// TestPopularPartsAreNeverSuspects guards against refusals of parts on which answers begin
// all the time, whatever crashes.
func TestPopularPartsAreNeverSuspects(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := newSuspector(0, 1), start
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "gap")) * time.Millisecond)
			if rapid.Bool().Draw(t, "crash") {
				s.RecordCrash(now.Add(-time.Millisecond), uint64(i), suspector.LostRequest{Keys: []uint64{system, bad}})
			}
			s.RecordWitness(now, []uint64{system})
			if v := s.Admit(now, []uint64{system}).Verdict; v != suspector.Send {
				t.Fatalf("verdict %d", v)
			}
		}
	})
}

// TestFloodKeepsBlockedParts guards against a caller who makes entries forget a blocked part,
// or use memory without bound, by sending new parts.
func TestFloodKeepsBlockedParts(t *testing.T) {
	is := is.New(t)
	s := newSuspector(0, 1)
	now := crash(s, start, 0, 3, bad)
	next := uint64(1 << 20)
	for i := range 1000 {
		parts := make([]uint64, 64)
		for j := range parts {
			parts[j] = next
			next++
		}
		now = now.Add(10 * time.Millisecond)
		s.RecordWitness(now, parts[:32])
		s.RecordCrash(now, uint64(1000+i), suspector.LostRequest{Keys: parts[32:]})
		s.RecordCrash(now, uint64(5000+i), suspector.LostRequest{Keys: parts[32:]})
	}
	is.Equal(stateOf(s, now, bad), "Blocked")
	is.True(len(s.Dump(now)) <= 1024)
	e := s.Evidence(now)
	is.True(len(e.Crashes) <= 8 && len(e.Suspicions) <= 32 && len(e.Witnesses) <= 64)
	for _, c := range e.Crashes {
		is.True(len(c.Keys) <= 48)
	}
	is.Equal(e.Suspicions[0].Key, bad)
}

// TestCompanionIsTried guards against sound requests that are refused for minutes because
// they share a part with all requests that crashed replicas.
func TestCompanionIsTried(t *testing.T) {
	is := is.New(t)
	s := newSuspector(0, 1)
	now := crash(s, start, 0, 3, 7, bad)
	is.Equal(s.Admit(now, []uint64{7, bad}).Verdict, suspector.Refuse)
	d := s.Admit(now, []uint64{7})
	is.Equal(d.Verdict, suspector.Trial)
	s.RecordWitness(now, []uint64{7})
	s.EndTrial(now, d.InTrial, true)
	is.Equal(s.Admit(now, []uint64{7}).Verdict, suspector.Send)
	is.Equal(s.Admit(now, []uint64{bad}).Verdict, suspector.Refuse)
}

// TestOneTrialAtATime guards against several requests with a suspected part that are sent at
// the same time, by one entry or by several.
func TestOneTrialAtATime(t *testing.T) {
	is := is.New(t)
	const entries = 100
	trials := 0
	for i := range entries {
		s := newSuspector(i, entries)
		s.RecordCrash(start, 1, suspector.LostRequest{Keys: []uint64{bad}})
		s.RecordCrash(start, 2, suspector.LostRequest{Keys: []uint64{bad}})
		d := s.Admit(start, []uint64{bad})
		if d.Verdict == suspector.Trial {
			trials++
			is.Equal(s.Admit(start, []uint64{bad}).Verdict, suspector.Wait)
			s.EndTrial(start, d.InTrial, true)
			is.Equal(s.Admit(start, []uint64{bad}).Verdict, suspector.Trial)
		}
		is.Equal(s.Admit(start.Add(10*time.Second), []uint64{bad}).Verdict == suspector.Trial, d.Verdict != suspector.Trial)
	}
	is.Equal(trials, 1)
}

// TestCrashAfterTimeOfRequest guards against a panic if a crash was recorded while a request
// that had read the clock before waited for the lock.
func TestCrashAfterTimeOfRequest(t *testing.T) {
	is := is.New(t)
	s := newSuspector(0, 1)
	for i := range 3 {
		s.RecordCrash(start, uint64(i), suspector.LostRequest{Keys: []uint64{bad}})
		s.Admit(start.Add(-time.Second), []uint64{bad})
		s.Evidence(start.Add(-time.Second))
	}
	is.Equal(stateOf(s, start, bad), "Suspected")
}

// TestBlockedPartIsTriedLate guards against trials of a blocked part before minutes have
// passed, by more than one entry, and against a trial that unblocks a part that crashes.
func TestBlockedPartIsTriedLate(t *testing.T) {
	is := is.New(t)
	const entries = 12
	trials := 0
	for i := range entries {
		s := newSuspector(i, entries)
		crash(s, start, 0, 3, bad)
		d := s.Admit(start.Add(4*time.Minute), []uint64{bad})
		is.Equal(d.Verdict, suspector.Refuse)
		is.True(d.RetryAfter > 0 && d.RetryAfter < 2*time.Minute)
		now := start.Add(6 * time.Minute)
		if d = s.Admit(now, []uint64{bad}); d.Verdict != suspector.Trial {
			continue
		}
		trials++
		s.RecordCrash(now, 77, suspector.LostRequest{Keys: []uint64{bad}})
		s.EndTrial(now, d.InTrial, true)
		is.Equal(s.Admit(now, []uint64{bad}).Verdict, suspector.Refuse)
	}
	is.Equal(trials, 1)
}
