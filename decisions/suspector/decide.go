package suspector

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// trialShareInterval is the time after which twice as many entries may try a suspected
	// key: one at first, so that requests with it end few replicas, and all after a few
	// seconds, so that requests with a sound one need not find the right entry.
	trialShareInterval = 500 * time.Millisecond
	// maxTrialDoublings bounds the doublings: no system has more than 2^16 entries.
	maxTrialDoublings = 16
	// suspectedRetryAfter is the retry delay for requests with a suspected key.
	suspectedRetryAfter = 500 * time.Millisecond
)

// Verdict is a decision about a request.
type Verdict int

// Verdicts.
const (
	// Send means that the request may be sent.
	Send Verdict = iota
	// Trial means that the request may be sent alone, to an idle replica. EndTrial must be
	// called after it has ended.
	Trial
	// Wait means that an answer in flight may clear the request's keys soon.
	Wait
	// Refuse means that the request must not be sent.
	Refuse
)

// Decision says whether a request may be sent.
type Decision struct {
	Verdict Verdict
	// Part is the key that speaks against the request; 0 if there is none.
	Key uint64
	// RetryAfter is the time after which the request may be accepted, if it is not sent.
	RetryAfter time.Duration
	// InTrial lists the keys on trial.
	InTrial []uint64
	// Changed is closed when a key has been cleared.
	Changed <-chan struct{}
}

// Admit decides whether a request with the keys may be sent.
func (s *Suspector) Admit(now time.Time, keys []uint64) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := Decision{Changed: s.changed}
	mayTry := true
	for _, key := range keys {
		p := s.suspect(now, key)
		if p == nil || p.state() == Free {
			continue
		}
		d.Key = key
		sinceCrash := max(0, now.Sub(p.lastCrash))
		trialEntries := 1 << min(maxTrialDoublings, sinceCrash/trialShareInterval)
		if p.state() == Blocked && !s.explained(p, key, keys) {
			if sinceCrash < retrialAfter {
				d.Verdict, d.RetryAfter, d.InTrial = Refuse, retrialAfter-sinceCrash, nil
				return d
			}
			trialEntries = 1
		}
		mayTry = mayTry && !p.inTrial && s.rank(key) < trialEntries
		d.InTrial = append(d.InTrial, key)
	}
	switch {
	case len(d.InTrial) == 0:
		d.Verdict = Send
	case mayTry:
		d.Verdict = Trial
		for _, key := range d.InTrial {
			s.suspects[key].inTrial = true
		}
	default:
		d.Verdict, d.RetryAfter, d.InTrial = Wait, suspectedRetryAfter, nil
	}
	return d
}

// Recheck decides again about a request that Admit has let pass. It returns Send, or Refuse
// if a key has been blocked since.
func (s *Suspector) Recheck(now time.Time, keys []uint64) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range keys {
		p := s.suspect(now, key)
		if p == nil || p.state() != Blocked || s.explained(p, key, keys) {
			continue
		}
		if wait := retrialAfter - now.Sub(p.lastCrash); wait > 0 {
			return Decision{Verdict: Refuse, Key: key, RetryAfter: wait}
		}
	}
	return Decision{Verdict: Send}
}

// EndTrial ends a trial of the keys.
func (s *Suspector) EndTrial(keys []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range keys {
		if p := s.suspects[key]; p != nil {
			p.inTrial = false
		}
	}
}

// explained reports whether each crash of the key may have been caused by another blocked
// key that the request does not hold. A key that only accompanies the cause, such as that
// of the caller's account, is then not withheld from sound requests.
func (s *Suspector) explained(p *suspect, key uint64, request []uint64) bool {
	if len(p.crashes) == 0 || p.reported > len(p.episodes) {
		return false
	}
	for _, c := range p.crashes {
		other := false
		for q := range c.keys {
			if q != key && !slices.Contains(request, q) && s.suspects[q] != nil && s.suspects[q].state() == Blocked {
				other = true
				break
			}
		}
		if !other {
			return false
		}
	}
	return true
}

// rank returns the place of this entry in the order in which entries may try the key.
func (s *Suspector) rank(key uint64) int {
	own, rank := hashOf(s.config.Self, key), 0
	for _, name := range s.entries {
		if name != s.config.Self && hashOf(name, key) > own {
			rank++
		}
	}
	return rank
}

func hashOf(entry string, key uint64) uint64 {
	b := []byte(entry)
	for range 8 {
		b = append(b, byte(key))
		key >>= 8
	}
	return xxhash.Sum64(b)
}
