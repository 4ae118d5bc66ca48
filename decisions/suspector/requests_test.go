package suspector_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"filbertstile.example/filbertstile/decisions/suspector"
)

var badRequest = suspector.RequestKey(0xbad)

// lose records a crash 60 ms after a request with the keys was sent to the replica, and
// returns the time after it.
func lose(s *suspector.Suspector, sentAt time.Time, replica uint64, keys ...uint64) time.Time {
	at := sentAt.Add(60 * time.Millisecond)
	s.RecordCrash(at, replica, suspector.LostRequest{Keys: keys, SentAt: sentAt})
	return at.Add(time.Millisecond)
}

// TestRetriedRequestIsHeld guards against a request that ends the last replica of a service
// while those are down that it has ended just before.
func TestRetriedRequestIsHeld(t *testing.T) {
	is := is.New(t)
	s := newSuspector(0, 1)
	now := lose(s, start, 1, badRequest)
	is.Equal(s.Admit(now, []uint64{badRequest}).Verdict, suspector.Send)
	now = lose(s, now, 2, badRequest)
	d := s.Admit(now, []uint64{badRequest})
	is.Equal(d.Verdict, suspector.Refuse)
	is.Equal(s.Recheck(now, []uint64{badRequest}).Verdict, suspector.Refuse)
	is.Equal(s.Admit(now.Add(d.RetryAfter-time.Millisecond), []uint64{badRequest}).Verdict, suspector.Refuse)
	is.Equal(s.Admit(now.Add(d.RetryAfter), []uint64{badRequest}).Verdict, suspector.Trial)
}

// TestRefusalSaysWhenRequestIsTried guards against a retry delay after which a request that
// crashes replicas is refused again, and against a request that is tried without end.
func TestRefusalSaysWhenRequestIsTried(t *testing.T) {
	is := is.New(t)
	s := newSuspector(0, 1)
	now, sends := start, 0
	for range 24 * 60 {
		d := s.Admit(now, []uint64{badRequest})
		switch d.Verdict {
		case suspector.Send, suspector.Trial:
			sends++
			now = lose(s, now, uint64(sends), badRequest)
			s.EndTrial(now, d.InTrial, true)
		default:
			is.Equal(d.Verdict, suspector.Refuse)
			is.True(d.RetryAfter > 0 || sends == 4)
			now = now.Add(cmp.Or(d.RetryAfter, 58*time.Second))
		}
	}
	is.Equal(sends, 4)
}

// TestRequestLostTogetherIsTried guards against a sound request that stays refused because it
// was in flight at several replicas that ended together.
func TestRequestLostTogetherIsTried(t *testing.T) {
	is := is.New(t)
	s, poll := newSuspector(0, 1), suspector.RequestKey(5)
	for i := range 6 {
		sentAt := start.Add(time.Duration(i) * time.Millisecond)
		s.RecordCrash(start.Add(time.Duration(50+30*i)*time.Millisecond), uint64(i), suspector.LostRequest{Keys: []uint64{poll}, SentAt: sentAt})
	}
	now := start.Add(250 * time.Millisecond)
	d := s.Admit(now, []uint64{poll})
	is.Equal(d.Verdict, suspector.Trial)
	s.RecordWitness(now, []uint64{poll})
	s.EndTrial(now, d.InTrial, true)
	is.Equal(s.Admit(now, []uint64{poll}).Verdict, suspector.Send)
}

// TestRequestSentAfterCrashIsNoSuspect guards against blame on a request that was sent after
// another entry had seen the crash.
func TestRequestSentAfterCrashIsNoSuspect(t *testing.T) {
	is := is.New(t)
	s := newSuspector(0, 2)
	for i := range uint64(3) {
		at := start.Add(time.Duration(i) * time.Second)
		s.Merge(at, suspector.Evidence{Crashes: []suspector.Crash{{Replica: i, Keys: []uint64{badRequest}}}})
		s.RecordCrash(at.Add(20*time.Millisecond), i, suspector.LostRequest{Keys: []uint64{7}, SentAt: at.Add(time.Millisecond)})
	}
	is.Equal(s.Admit(start.Add(3*time.Second), []uint64{7}).Verdict, suspector.Send)
	is.Equal(s.Admit(start.Add(3*time.Second), []uint64{badRequest}).Verdict, suspector.Refuse)
}

// TestTrialWithoutResultCounts guards against a request that is sent again and again because
// its trials neither crash replicas nor are answered.
func TestTrialWithoutResultCounts(t *testing.T) {
	is := is.New(t)
	s := newSuspector(0, 1)
	now := lose(s, start, 1, badRequest)
	now = lose(s, now, 2, badRequest)
	trials := 0
	for range 100 {
		now = now.Add(time.Minute)
		if d := s.Admit(now, []uint64{badRequest}); d.Verdict == suspector.Trial {
			trials++
			is.True(s.EndTrial(now.Add(time.Second), d.InTrial, true)) // must be told at once
		}
	}
	is.Equal(trials, 2)
	d := s.Admit(now, []uint64{badRequest})
	is.Equal(d.Verdict, suspector.Refuse)
	is.Equal(d.RetryAfter, time.Duration(0))
}

// TestOrderOfEvidenceDoesNotMatter guards against crashes one after the other that count as
// one because the news of the first came after the second.
func TestOrderOfEvidenceDoesNotMatter(t *testing.T) {
	is := is.New(t)
	s := newSuspector(0, 2)
	second := start.Add(61 * time.Millisecond)
	now := lose(s, second, 2, badRequest)
	s.Merge(now, suspector.Evidence{Crashes: []suspector.Crash{{Replica: 1, Age: now.Sub(start.Add(60 * time.Millisecond)), Keys: []uint64{badRequest}}}})
	is.Equal(s.Admit(now, []uint64{badRequest}).Verdict, suspector.Refuse)
}

// TestOldSuspicionDoesNotReturn guards against a cleared request that is suspected again for
// as long as another entry has not heard that it is sound.
func TestOldSuspicionDoesNotReturn(t *testing.T) {
	is := is.New(t)
	a, b := newSuspector(0, 2), newSuspector(1, 2)
	now := lose(a, start, 1, badRequest)
	now = lose(a, now, 2, badRequest)
	b.Merge(now, a.Evidence(now)) // b is cut off from now on
	a.RecordWitness(now, []uint64{badRequest})
	now = now.Add(20 * time.Second)
	is.True(a.Merge(now, b.Evidence(now)))
	is.Equal(a.Admit(now, []uint64{badRequest}).Verdict, suspector.Send)
	b.Merge(now, a.Evidence(now))
	is.Equal(b.Admit(now, []uint64{badRequest}).Verdict, suspector.Send)
}

// TestFloodOfRequestsKeepsEvidence guards against a caller who makes entries forget the parts
// that answers have cleared, or the requests that are blocked, by sending new requests.
func TestFloodOfRequestsKeepsEvidence(t *testing.T) {
	is := is.New(t)
	s, now := newSuspector(0, 1), start
	for i := range uint64(3) {
		now = lose(s, now, i, badRequest)
	}
	s.RecordWitness(now, []uint64{system})
	for i := range uint64(200_000) {
		s.RecordWitness(now, []uint64{suspector.RequestKey(i + 1<<20)})
		if i%100 == 0 {
			s.RecordCrash(now, 100+i, suspector.LostRequest{Keys: []uint64{suspector.RequestKey(i + 1<<40)}, SentAt: now.Add(-time.Millisecond)})
		}
	}
	s.RecordCrash(now, 10, suspector.LostRequest{Keys: []uint64{system}})
	s.RecordCrash(now, 11, suspector.LostRequest{Keys: []uint64{system}})
	is.Equal(s.Admit(now, []uint64{system}).Verdict, suspector.Send)
	is.Equal(s.Admit(now, []uint64{badRequest}).Verdict, suspector.Refuse)
	is.Equal(s.Evidence(now).Suspicions[0].Key, badRequest)
}

// TestAnyEvidenceIsBounded guards against a message of another entry that ends the process, or
// makes it keep or send any amount of evidence.
func TestAnyEvidenceIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := newSuspector(0, 3), start
		key := rapid.OneOf(rapid.Uint64Range(0, 5), rapid.Map(rapid.Uint64Range(0, 5), suspector.RequestKey), rapid.Uint64())
		keys := rapid.SliceOfN(key, 0, 300)
		age := rapid.Map(rapid.IntRange(-10, 10_000), func(n int) time.Duration { return time.Duration(n) * time.Millisecond })
		boot := rapid.Uint64Range(0, 200)
		t.Repeat(map[string]func(*rapid.T){
			"merge": func(t *rapid.T) {
				s.Merge(now, suspector.Evidence{
					Crashes: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) suspector.Crash {
						return suspector.Crash{Replica: boot.Draw(t, "boot"), Age: age.Draw(t, "age"), Keys: keys.Draw(t, "keys")}
					}), 0, 3).Draw(t, "crashes"),
					Witnesses: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) suspector.Witness {
						return suspector.Witness{Key: key.Draw(t, "key"), Age: age.Draw(t, "age")}
					}), 0, 3).Draw(t, "witnesses"),
					Suspicions: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) suspector.Suspicion {
						return suspector.Suspicion{Key: key.Draw(t, "key"), Age: age.Draw(t, "age"), Episodes: rapid.IntRange(-3, 1<<30).Draw(t, "episodes")}
					}), 0, 40).Draw(t, "suspicions"),
				})
			},
			"crash": func(t *rapid.T) {
				s.RecordCrash(now, boot.Draw(t, "boot"), suspector.LostRequest{Keys: keys.Draw(t, "keys"), SentAt: now.Add(-age.Draw(t, "age"))})
			},
			"witness": func(t *rapid.T) { s.RecordWitness(now, keys.Draw(t, "keys")) },
			"request": func(t *rapid.T) {
				held := keys.Draw(t, "keys")
				d := s.Admit(now, held)
				if d.RetryAfter < 0 {
					t.Fatalf("retry delay %v", d.RetryAfter)
				}
				s.Recheck(now, held)
				s.EndTrial(now, d.InTrial, rapid.Bool().Draw(t, "sent"))
			},
			"": func(t *rapid.T) {
				now = now.Add(age.Draw(t, "pause"))
				e := s.Evidence(now)
				if len(e.Crashes) > 8 || len(e.Witnesses) > 64 || len(e.Suspicions) > 32 || len(s.Dump(now)) > 1024 {
					t.Fatalf("%d crashes, %d witnesses, %d suspicions", len(e.Crashes), len(e.Witnesses), len(e.Suspicions))
				}
			},
		})
	})
}

// TestBlockedRequestStaysAway guards against entries that together send a request more than
// three times later than 3 s after it has ended the third replica: it comes at any entry, at
// any time, several at once, evidence takes up to 300 ms, and some sends end without a crash.
func TestBlockedRequestStaysAway(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		entries := rapid.IntRange(1, 12).Draw(t, "entries")
		restarts := rapid.Bool().Draw(t, "restarts")
		var all []*suspector.Suspector
		for i := range entries {
			all = append(all, newSuspector(i, entries))
		}
		type event struct {
			at time.Time
			do func(now time.Time)
		}
		var events []event
		after := func(now time.Time, d time.Duration, do func(now time.Time)) {
			events = append(events, event{now.Add(d), do})
		}
		random := func(limit time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(limit))) }
		var sends, crashes []time.Time
		share := func(now time.Time, from int) {
			e := all[from].Evidence(now)
			for to := range all {
				if to != from {
					after(now, time.Millisecond+random(300*time.Millisecond), func(now time.Time) { all[to].Merge(now, e) })
				}
			}
		}
		var send func(now time.Time, at int, retry bool)
		send = func(now time.Time, at int, retry bool) {
			s := all[at]
			d := s.Admit(now, []uint64{badRequest})
			if d.Verdict != suspector.Send && (d.Verdict != suspector.Trial || retry) {
				s.EndTrial(now, d.InTrial, false)
				return
			}
			sends = append(sends, now)
			if rng.IntN(4) == 0 {
				after(now, random(1500*time.Millisecond), func(now time.Time) {
					if s.EndTrial(now, d.InTrial, true) {
						share(now, at)
					}
				})
				return
			}
			after(now, 25*time.Millisecond+random(100*time.Millisecond), func(crashedAt time.Time) {
				crashes = append(crashes, crashedAt)
				s.RecordCrash(crashedAt, uint64(len(crashes)), suspector.LostRequest{Keys: []uint64{badRequest}, SentAt: now})
				s.EndTrial(crashedAt, d.InTrial, true)
				share(crashedAt, at)
				if !retry {
					after(crashedAt, 2*time.Millisecond, func(now time.Time) { send(now, at, true) })
				}
			})
		}
		for now, end := start, start.Add(20*time.Minute); now.Before(end); now = now.Add(random(8 * time.Second)) {
			for range 1 + rng.IntN(2) {
				at := rng.IntN(entries)
				after(now, random(time.Second), func(now time.Time) { send(now, at, false) })
			}
			if restarts && rng.IntN(20) == 0 && entries > 1 {
				i := rng.IntN(entries)
				after(now, random(time.Second), func(now time.Time) {
					all[i] = newSuspector(i, entries)
					all[i].Merge(now, all[(i+1)%entries].Evidence(now)) // heard before it is ready
				})
			}
		}
		for beat := start; beat.Before(start.Add(20 * time.Minute)); beat = beat.Add(5 * time.Second) {
			after(beat, 0, func(now time.Time) { share(now, rng.IntN(entries)) })
		}
		for len(events) > 0 {
			slices.SortStableFunc(events, func(a, b event) int { return a.at.Compare(b.at) })
			due := events[0]
			events = events[1:]
			due.do(due.at)
		}
		late := 0
		for _, sentAt := range sends {
			if len(crashes) >= 3 && sentAt.Sub(crashes[2]) > 3*time.Second {
				late++
			}
		}
		if late > 3 {
			t.Fatalf("%d of %d sends are late: %v", late, len(sends), sends)
		}
	})
}

// TestCrashDatedBeforeItsRequest guards against a request that is blamed, and counted twice, for a
// crash that another entry then dates before the request was sent.
func TestCrashDatedBeforeItsRequest(t *testing.T) {
	for _, c := range []struct {
		lostElsewhere []uint64
		want          string
	}{
		{lostElsewhere: []uint64{badRequest}, want: "Suspected"},
		{lostElsewhere: []uint64{bad}, want: "Free"},
	} {
		is := is.New(t)
		s := newSuspector(0, 2)
		s.RecordCrash(start, 1, suspector.LostRequest{Keys: []uint64{badRequest}, SentAt: start.Add(-200 * time.Millisecond)})
		for range 2 {
			s.Merge(start, suspector.Evidence{Crashes: []suspector.Crash{{Replica: 1, Age: 500 * time.Millisecond, Keys: c.lostElsewhere}}})
		}
		now := start.Add(time.Second)
		s.RecordCrash(now, 2, suspector.LostRequest{Keys: []uint64{badRequest}, SentAt: now.Add(-50 * time.Millisecond)})
		is.Equal(stateOf(s, now, badRequest), c.want)
	}
}
