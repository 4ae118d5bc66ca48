package suspector

import (
	"cmp"
	"slices"
	"time"
)

const (
	// repeatFor is the time for which an entry repeats a crash that it has seen, and its
	// witnesses of keys that were named as suspects. Several heartbeats may be lost. After that
	// a crash is repeated with its suspected keys only: entries that did not hear each other
	// may each know too few of their crashes.
	repeatFor = 4 * time.Second
	// ageTolerance is the difference up to which two ages are the same: messages take
	// time, and entries have no common clock.
	ageTolerance = time.Second
	// maxSharedCrashes, maxSharedKeys, maxSharedWitnesses and maxSharedSuspicions bound
	// the evidence in one message.
	maxSharedCrashes    = 8
	maxSharedKeys       = 48
	maxSharedWitnesses  = 64
	maxSharedSuspicions = 32
	// maxContested is the maximum number of keys of which witnesses are sent.
	maxContested = 1024
)

// Evidence is what an entry tells the others.
type Evidence struct {
	// Crashes are crashes that the sender has seen, the latest first: recent ones, and those
	// with suspected keys.
	Crashes []Crash
	// Witnesses are the sender's witnesses of keys that were named as suspects.
	Witnesses []Witness
	// Suspicions are the keys that the sender suspects or blocks.
	Suspicions []Suspicion
	// Delay is the longest time for which the message may have waited at the receiver.
	Delay time.Duration
}

// Crash is the crash of a boot of a replica.
type Crash struct {
	// Replica is a hash of the boot.
	Replica uint64
	Age     time.Duration
	Keys    []uint64
}

// Witness is the last answer that has begun on a key.
type Witness struct {
	Key uint64
	Age time.Duration
}

// Suspicion is the sum of the evidence against a key. It outlives the list of crashes.
type Suspicion struct {
	Key uint64
	// Episodes is the number of crashes that did not happen together, as far as it
	// matters, but at least 2 for a part.
	Episodes int
	// Age is the time since the last crash.
	Age time.Duration
}

// contest records that the key was named as a suspect. Evidence removes old ones.
func (s *Suspector) contest(now time.Time, key uint64) {
	if _, known := s.contested[key]; known || len(s.contested) < maxContested {
		s.contested[key] = now
	}
}

// Evidence returns what the other entries should be told now.
func (s *Suspector) Evidence(now time.Time) Evidence {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Evidence{Crashes: s.sharedCrashes(now), Witnesses: s.sharedWitnesses(now), Suspicions: s.sharedSuspicions(now)}
}

func (s *Suspector) sharedCrashes(now time.Time) []Crash {
	var out []Crash
	for _, c := range slices.Backward(s.order) {
		if len(out) == maxSharedCrashes {
			break
		}
		x := Crash{Replica: c.replica, Age: now.Sub(c.at)}
		for key, b := range c.keys {
			p := s.suspects[key]
			if b.own && (x.Age <= repeatFor || p.state() == Suspected && !p.expired(now)) {
				x.Keys = append(x.Keys, key)
			}
		}
		if len(x.Keys) == 0 {
			continue
		}
		slices.SortFunc(x.Keys, func(a, b uint64) int {
			return cmp.Or(cmp.Compare(s.suspects[b].count(), s.suspects[a].count()), cmp.Compare(a, b))
		})
		x.Keys = x.Keys[:min(len(x.Keys), maxSharedKeys)]
		out = append(out, x)
	}
	return out
}

func (s *Suspector) sharedWitnesses(now time.Time) []Witness {
	var out []Witness
	for key, at := range s.contested {
		if now.Sub(at) > repeatFor {
			delete(s.contested, key)
			continue
		}
		if own := s.witness(key).own; !own.IsZero() {
			out = append(out, Witness{Key: key, Age: now.Sub(own)})
		}
	}
	slices.SortFunc(out, func(a, b Witness) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Key, b.Key)) })
	return out[:min(len(out), maxSharedWitnesses)]
}

func (s *Suspector) sharedSuspicions(now time.Time) []Suspicion {
	var out []Suspicion
	for key, p := range s.suspects {
		if p.state() != Free && !p.expired(now) {
			episodes := p.counted()
			if !p.policy.ordered {
				episodes = max(suspectCrashes, episodes)
			}
			out = append(out, Suspicion{Key: key, Episodes: episodes, Age: now.Sub(p.lastCrash)})
		}
	}
	slices.SortFunc(out, func(a, b Suspicion) int {
		return cmp.Or(cmp.Compare(b.Episodes, a.Episodes), cmp.Compare(a.Age, b.Age), cmp.Compare(a.Key, b.Key))
	})
	return out[:min(len(out), maxSharedSuspicions)]
}

// Merge adds the evidence of another entry. It reports whether that entry should be told at
// once that a key that it suspects has a witness here, or that a key is blocked or held of
// which it does not know, as after its restart.
func (s *Suspector) Merge(now time.Time, e Evidence) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range e.Witnesses {
		at := now.Add(-max(0, w.Age) - max(0, e.Delay))
		s.addWitness(w.Key, at, false)
		s.clear(w.Key, at)
	}
	for _, x := range e.Crashes {
		c := s.crash(x.Replica, now.Add(-max(0, x.Age)))
		for _, key := range x.Keys {
			s.blame(now, c, key, blame{})
		}
	}
	reply := false
	for _, x := range e.Suspicions {
		reply = s.addSuspicion(now, x) || reply
	}
	return reply || s.knowsMore(now, e.Suspicions)
}

// knowsMore reports whether a key is blocked or held here that the suspicions of another
// entry do not contain.
func (s *Suspector) knowsMore(now time.Time, others []Suspicion) bool {
	if len(others) == maxSharedSuspicions {
		return false
	}
	for key, p := range s.suspects {
		if (p.state() == Blocked || p.held()) && !p.expired(now) && !slices.ContainsFunc(others, func(x Suspicion) bool { return x.Key == key }) {
			return true
		}
	}
	return false
}

// addSuspicion adds the suspicion of another entry, and reports whether this entry has a
// witness of the key.
func (s *Suspector) addSuspicion(now time.Time, x Suspicion) bool {
	at := now.Add(-max(0, x.Age))
	s.contest(now, x.Key)
	if w := s.witness(x.Key); !w.last.Add(witnessReach).Before(at) {
		return !w.own.Add(witnessReach).Before(at)
	}
	p := s.suspectOf(x.Key)
	p.reported = max(p.reported, min(x.Episodes, p.maxCounted()))
	if at.Sub(p.lastCrash) > ageTolerance {
		p.lastCrash = at
	}
	if p.expired(now) {
		s.forget(x.Key, p)
		return false
	}
	s.logChange(now, x.Key, p)
	s.evict(now)
	return false
}
