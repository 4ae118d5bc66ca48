package suspector

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
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
	// Key is the key that speaks against the request; 0 if there is none.
	Key uint64
	// RetryAfter is the time after which the request may be accepted, if it is not sent; 0 if
	// it will not be accepted.
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
		triedFor := max(0, now.Sub(p.lastCrash))
		explained := s.explained(p, key, keys)
		if !explained {
			wait, never := p.heldBack(now)
			if wait > 0 || never {
				d.Verdict, d.RetryAfter, d.InTrial = Refuse, max(0, wait), nil
				return d
			}
			triedFor = -wait
		}
		trialEntries := 1 << min(maxTrialDoublings, triedFor/p.policy.trialInterval)
		if !explained && (p.state() == Blocked || p.held()) {
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

// held reports whether the suspected key is tried only after a while, and by one entry.
func (p *suspect) held() bool {
	return p.state() == Suspected && p.policy.holdFor > 0 && p.counted() > 1
}

// heldBack returns the time until requests with the key may be tried; it is negative if they
// may be tried since then. Never is true if they are not tried before the key is forgotten.
func (p *suspect) heldBack(now time.Time) (wait time.Duration, never bool) {
	since := max(0, now.Sub(p.lastCrash))
	switch {
	case p.state() == Blocked:
		if p.policy.maxEpisodes > 0 && p.counted() >= p.policy.maxEpisodes {
			return 0, true
		}
		return retrialAfter - since, false
	case p.held():
		return p.policy.holdFor - since, false
	}
	return -since, false
}

// Recheck decides again about a request that Admit has let pass. It returns Send, or Refuse
// if a key is held back since.
func (s *Suspector) Recheck(now time.Time, keys []uint64) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range keys {
		p := s.suspect(now, key)
		if p == nil || p.state() == Free || s.explained(p, key, keys) {
			continue
		}
		if wait, never := p.heldBack(now); wait > 0 || never {
			return Decision{Verdict: Refuse, Key: key, RetryAfter: max(0, wait)}
		}
	}
	return Decision{Verdict: Send}
}

// EndTrial ends a trial of the keys. Sent is true if the request has reached a replica: unless
// it was cleared or crashed the replica, the trial then counts against a request that was
// held, as no more than a few may be sent. EndTrial reports whether other entries should be
// told at once.
func (s *Suspector) EndTrial(now time.Time, keys []uint64, sent bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	counted := false
	for _, key := range keys {
		p := s.suspects[key]
		if p == nil {
			continue
		}
		p.inTrial = false
		if sent && p.policy.ordered && p.counted() > 1 && p.addEpisode(episode{at: now}) {
			if p.reported >= len(p.episodes) {
				p.reported = min(p.reported+1, p.maxCounted())
			}
			p.lastCrash = now
			s.logChange(now, key, p)
			counted = true
		}
	}
	return counted
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
