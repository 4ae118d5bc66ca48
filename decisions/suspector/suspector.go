// Package suspector decides which requests are kept away from replicas because something in
// them is suspected of crashing replicas. Keys stand for what requests may have in common,
// such as the parts of their prompts. When a replica crashes, the keys of the requests whose
// answers had not begun there are suspects. An answer that has begun clears the keys of its
// request. The key that causes the crashes is the one that several of them have in common
// and that no begun answer has.
package suspector

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// suspectCrashes is the number of crashes from which a key is suspected.
	suspectCrashes = 2
	// blockEpisodes is the number of episodes from which a key is blocked.
	blockEpisodes = 3
	// episodeWindow is the time within which crashes form one episode. Replicas that crash
	// together mostly have a common cause other than the requests that each of them ran.
	episodeWindow = 300 * time.Millisecond
	// witnessReach is the time for which a begun answer clears its keys of crashes that
	// follow. Parts that many requests share are thus never suspects.
	witnessReach = time.Second
	// retrialAfter is the time from the last crash after which one entry may try a blocked
	// key again.
	retrialAfter = 5 * time.Minute
	// forgetSuspectedAfter is the time from the last crash after which a key that is not
	// blocked is forgotten.
	forgetSuspectedAfter = 5 * time.Minute
	// maxSuspects, maxCrashes and maxChanges bound the tables.
	maxSuspects = 1024
	maxCrashes  = 128
	maxChanges  = 64
	// maxKeysPerCrash is the maximum number of suspects of one crash.
	maxKeysPerCrash = 256
	// maxCrashesPerKey is the maximum number of crashes that are kept for a key.
	maxCrashesPerKey = 8
)

// State is what may be done with requests that hold a key.
type State int

// States.
const (
	// Free means that requests with the key may be sent.
	Free State = iota
	// Suspected means that a single request with the key may be sent, as a trial.
	Suspected
	// Blocked means that no request with the key may be sent.
	Blocked
)

// String returns the state's name.
func (s State) String() string { return [...]string{"Free", "Suspected", "Blocked"}[s] }

// Config configures a Suspector.
type Config struct {
	// Self is the name of the entry.
	Self string
}

// Suspector holds an entry's evidence about keys of requests. It is safe for
// concurrent use.
type Suspector struct {
	config Config

	mu sync.Mutex
	// entries are the names of the live entries.
	entries []string
	// crashes holds recent crashes by the hash of the replica's boot, and order lists them
	// in the order in which they became known.
	crashes map[uint64]*crash
	order   []*crash
	// suspects holds the keys with crashes that no begun answer has cleared.
	suspects map[uint64]*suspect
	// witnesses holds those of parts and of contested requests, and requestWitnesses those of
	// all other requests, which are many more.
	witnesses, requestWitnesses witnesses
	// contested holds the time at which a key was last named as a suspect.
	contested map[uint64]time.Time
	// changes lists the changes of state that TakeChanges has not returned yet.
	changes []Change
	// changed is closed and replaced when a key is cleared.
	changed chan struct{}
}

// crash is the crash of one boot of a replica.
type crash struct {
	replica uint64
	at      time.Time
	// keys are the suspects.
	keys map[uint64]blame
}

// blame says why a key is a suspect of a crash.
type blame struct {
	// own is true if a request of this entry held the key.
	own bool
	// sentAt is the time at which the last of these requests was sent; zero if none is known.
	sentAt time.Time
}

// LostRequest is a request of this entry whose answer had not begun at a replica when it
// crashed.
type LostRequest struct {
	Keys []uint64
	// SentAt is the time at which the request was sent there; zero if it is not known.
	SentAt time.Time
}

// Change is a change of a key's state.
type Change struct {
	Key   uint64
	State State
	// Crashes is the number of crashes.
	Crashes int
}

// New returns a suspector without evidence.
func New(c Config) *Suspector {
	return &Suspector{
		config: c, entries: []string{c.Self}, crashes: make(map[uint64]*crash), suspects: make(map[uint64]*suspect),
		contested: make(map[uint64]time.Time), changed: make(chan struct{}),
		witnesses: witnesses{maxAge: witnessAge}, requestWitnesses: witnesses{maxAge: requestWitnessAge},
	}
}

// SetEntries sets the names of the other live entries.
func (s *Suspector) SetEntries(others []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = append([]string{s.config.Self}, others...)
}

// RecordCrash records that a boot of a replica has crashed, and which requests were lost. It
// reports whether other entries should be told at once.
func (s *Suspector) RecordCrash(now time.Time, replica uint64, requests ...LostRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.crash(replica, now)
	added := false
	for _, r := range requests {
		for _, key := range r.Keys {
			added = s.blame(now, c, key, blame{own: true, sentAt: r.SentAt}) || added
		}
	}
	return added
}

// RecordWitness records that an answer to a request with the keys has begun, and that its
// replica did not crash. It reports whether other entries should be told at once.
func (s *Suspector) RecordWitness(now time.Time, keys []uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	cleared := false
	for _, key := range keys {
		s.addWitness(key, now, true)
		cleared = s.clear(key, now) || cleared
	}
	return cleared
}

func (s *Suspector) addWitness(key uint64, at time.Time, own bool) {
	if _, contested := s.contested[key]; IsRequest(key) && !contested {
		s.requestWitnesses.add(key, at, own)
	} else {
		s.witnesses.add(key, at, own)
	}
}

func (s *Suspector) witness(key uint64) witness {
	if IsRequest(key) {
		return s.witnesses.get(key).merge(s.requestWitnesses.get(key))
	}
	return s.witnesses.get(key)
}

// crash returns the crash of the boot, after adding it if it is not known. Messages that waited
// make it seem later than it was, so that its earliest time counts.
func (s *Suspector) crash(replica uint64, at time.Time) *crash {
	if c := s.crashes[replica]; c != nil {
		if at.Before(c.at) {
			s.redate(c, at)
		}
		return c
	}
	c := &crash{replica: replica, at: at, keys: make(map[uint64]blame)}
	s.crashes[replica] = c
	s.order = append(s.order, c)
	if len(s.order) > maxCrashes {
		delete(s.crashes, s.order[0].replica)
		s.order = slices.Delete(s.order, 0, 1)
	}
	return c
}

// redate sets the time of the crash, and counts the episodes of its keys again. A request that
// was sent later did not cause the crash.
func (s *Suspector) redate(c *crash, at time.Time) {
	was := c.at
	c.at = at
	for key, b := range c.keys {
		p := s.suspects[key]
		if b.sentAt.After(at) {
			delete(c.keys, key)
			p.crashes = slices.DeleteFunc(p.crashes, func(o *crash) bool { return o == c })
		} else if !slices.Contains(p.crashes, c) {
			continue
		}
		p.recount(key, was)
		if p.count() == 0 {
			s.forget(key, p)
			continue
		}
		s.logChange(at, key, p)
	}
}

// blame adds the key to the suspects of the crash, and reports whether that is new.
func (s *Suspector) blame(now time.Time, c *crash, key uint64, b blame) bool {
	if b.sentAt.After(c.at) {
		return false // the replica's end is known from another entry
	}
	s.contest(now, key)
	if !policyOf(key).ordered {
		b.sentAt = time.Time{}
	}
	if known, ok := c.keys[key]; ok {
		c.keys[key] = known.merge(b)
		if p := s.suspects[key]; p != nil {
			p.addEpisode(episode{c.at, b.sentAt})
			s.logChange(now, key, p)
		}
		return b.own && !known.own
	}
	if !s.witness(key).last.Add(witnessReach).Before(c.at) || len(c.keys) >= maxKeysPerCrash {
		return false
	}
	p := s.suspectOf(key)
	c.keys[key] = b
	p.add(c, b.sentAt)
	s.logChange(now, key, p)
	s.evict(now)
	return true
}

// merge returns the blame by all requests of both.
func (b blame) merge(o blame) blame {
	if o.sentAt.After(b.sentAt) {
		b.sentAt = o.sentAt
	}
	b.own = b.own || o.own
	return b
}

// suspectOf returns the key's record, after adding it if there is none.
func (s *Suspector) suspectOf(key uint64) *suspect {
	p := s.suspects[key]
	if p == nil {
		p = &suspect{policy: policyOf(key)}
		s.suspects[key] = p
	}
	return p
}

// clear removes the crashes up to witnessReach after the time from the key. It reports
// whether the key was suspected or blocked before, and no longer is.
func (s *Suspector) clear(key uint64, at time.Time) bool {
	p := s.suspects[key]
	if p == nil {
		return false
	}
	was, until := p.state(), at.Add(witnessReach)
	if p.lastCrash.After(until) {
		p.crashes = slices.DeleteFunc(p.crashes, func(c *crash) bool {
			if c.at.After(until) {
				return false
			}
			delete(c.keys, key)
			return true
		})
		p.episodes = slices.DeleteFunc(p.episodes, func(e episode) bool { return !e.at.After(until) })
		p.reported = min(p.reported, len(p.episodes))
		s.logChange(at, key, p)
	} else {
		s.forget(key, p)
		if was != Free {
			s.addChange(Change{Key: key, State: Free})
		}
	}
	if was == Free || s.suspects[key] != nil && p.state() != Free {
		return false
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return true
}

// evict forgets an eighth of the suspects if there are too many: those that have expired and
// those with the least evidence.
func (s *Suspector) evict(now time.Time) {
	if len(s.suspects) <= maxSuspects {
		return
	}
	keys := slices.Collect(maps.Keys(s.suspects))
	slices.SortFunc(keys, func(a, b uint64) int {
		p, q := s.suspects[a], s.suspects[b]
		if p.expired(now) != q.expired(now) {
			if p.expired(now) {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(p.state(), q.state()), p.lastCrash.Compare(q.lastCrash))
	})
	for _, key := range keys[:maxSuspects/8] {
		s.forget(key, s.suspects[key])
	}
}

func (s *Suspector) forget(key uint64, p *suspect) {
	for _, c := range slices.Concat(s.order, p.crashes) {
		delete(c.keys, key)
	}
	delete(s.suspects, key)
}

// suspect returns the key's record; nil if it has none or if it has expired.
func (s *Suspector) suspect(now time.Time, key uint64) *suspect {
	p := s.suspects[key]
	if p != nil && p.expired(now) {
		s.forget(key, p)
		return nil
	}
	return p
}

// logChange records a change of the key's state.
func (s *Suspector) logChange(now time.Time, key uint64, p *suspect) {
	if state := p.state(); state != p.logged && !p.expired(now) {
		p.logged = state
		s.addChange(Change{Key: key, State: state, Crashes: p.count()})
	}
}

func (s *Suspector) addChange(c Change) {
	if len(s.changes) < maxChanges {
		s.changes = append(s.changes, c)
	}
}

// TakeChanges returns the changes of state since the last call, up to a limit.
func (s *Suspector) TakeChanges() []Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.changes
	s.changes = nil
	return out
}

// Suspect describes a key in a dump.
type Suspect struct {
	Key     uint64
	State   string
	Crashes int
	// Age is the time since the last crash.
	Age     time.Duration
	InTrial bool
}

// Dump returns the suspected and blocked keys.
func (s *Suspector) Dump(now time.Time) []Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Suspect
	for key, p := range s.suspects {
		if p.state() != Free && !p.expired(now) {
			out = append(out, Suspect{Key: key, State: p.state().String(), Crashes: p.count(), Age: now.Sub(p.lastCrash), InTrial: p.inTrial})
		}
	}
	slices.SortFunc(out, func(a, b Suspect) int { return cmp.Compare(a.Key, b.Key) })
	return out
}
