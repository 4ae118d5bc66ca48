// Package sharer keeps a process's copies of the store's objects up to date from those of
// another process, so that a few processes read the store for all. It also sends the own
// copies to the processes that follow this one. A copy carries the time at which the
// store confirmed it, and never claims to be newer than it is.
package sharer

import (
	"context"
	"slices"
	"sync"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/base/sleeper"
	"filbertstile.example/filbertstile/decisions/selector"
	"filbertstile.example/filbertstile/outside/tracker"
	"filbertstile.example/filbertstile/transport/messenger"
)

const (
	// decisionInterval is the time between two decisions. It delays the takeover from a
	// failed reader.
	decisionInterval = 100 * time.Millisecond
	// startInterval is the same for a process that has just started and has no copies yet, and
	// startCooldown how long such a process does not call one again that may not have
	// started either.
	startInterval = 20 * time.Millisecond
	startCooldown = 100 * time.Millisecond
	// neverConfirmed stands for the age of a copy that was never confirmed.
	neverConfirmed = time.Hour
)

// Copy is a copy of the objects under one prefix; tracker.Tracker implements it.
type Copy interface {
	Prefix() string
	// Position returns the copy's position, and a channel that is closed when it changes.
	Position() (tracker.Position, <-chan struct{})
	// Since returns the update from a position of the era to the copy's own.
	Since(era, revision uint64) tracker.Update
	// Follow applies an update that the store had confirmed at the given time of the
	// clock. It returns false if a complete copy is needed.
	Follow(u tracker.Update, confirmedAt time.Duration) bool
	// SetReading sets whether the copy is kept up to date by calls of the store, and the
	// maximum delay between two calls that fail.
	SetReading(reading bool, maxRetryDelay time.Duration)
	// Receiving reports whether a large response of the store is arriving.
	Receiving() bool
}

// SharedCopy is a copy and the age from which it counts as old.
type SharedCopy struct {
	Copy
	MaxAge time.Duration
	// Bootstrap is true if the copy names the processes that may be followed: a process that
	// has just started, and has no contacts, reads it itself until it has all copies.
	Bootstrap bool
}

// Config configures a Sharer.
type Config struct {
	Self filbertstile.Member
	// Copies are the process's copies. While the store does not answer, only the first one
	// is read.
	Copies []SharedCopy
	// Choose decides what this process does: selector.Choose or selector.ChooseAny.
	Choose func(now time.Time, s selector.State) selector.Choice
	// Contacts, if not nil, is a small copy that names processes that may be followed. It is
	// read until the Bootstrap copies, which may be large, are listed; most processes get
	// these from a contact.
	Contacts Copy
	// Peers returns the processes that may be followed: those that the Bootstrap copies name
	// or, before these are listed, the contacts.
	Peers func() []Peer
	// Clock is a monotonic clock that keeps running while the host is suspended.
	Clock  func() time.Duration
	Client *messenger.Client
	Log    *reporter.Log
	// StartTimeout is how long a process that has just started waits for the copies of
	// others before it reads the store itself.
	StartTimeout time.Duration
	// TurnSpread is the time over which processes that have got no copies from their contacts
	// list the Bootstrap copies one after another. It is 0 if Choose spreads them.
	TurnSpread time.Duration
	// OnReaderChange, if not nil, is called after the result of Reader has changed.
	OnReaderChange func()
}

// Peer is a process that may be followed.
type Peer struct {
	Member filbertstile.Member
	// Heard and Reader are those of selector.Peer.
	Heard  bool
	Reader bool
}

// Sharer decides whom to follow and follows it. It is safe for concurrent use.
type Sharer struct {
	config  Config
	started time.Time

	mu sync.Mutex
	// following is the stream from the process that is followed; nil if there is none.
	following *following
	failures  map[string]failure
	// noReaderSince is since when no peer has been a reader.
	noReaderSince time.Time
	reading       bool
	// readingSince is when this process last began to read the store.
	readingSince time.Time
	retryDelay   time.Duration
	// reader is the last result of Reader.
	reader bool
	// alone is true if this process knows nobody that it may follow.
	alone bool
	// receiving is true while a large response of the store is arriving, and awaiting while
	// newer copies are arriving, from the store or from the process that is followed.
	// receivingChanged is closed and replaced when awaiting changes.
	// awaitedUntil is when awaiting was last true.
	receiving        bool
	awaiting         bool
	awaitedUntil     time.Time
	receivingChanged chan struct{}
	compressor       *compressor
	// obtaining is the stream of Obtain; nil if there is none.
	obtaining *following
}

// failure describes a process that was given up.
type failure struct {
	// count is the number of failures in a row.
	count int
	until time.Time
}

// New returns a sharer, whose process reads only the contacts until Run decides, or the
// Bootstrap copies if there are none.
func New(c Config) *Sharer {
	s := &Sharer{config: c, started: time.Now(), failures: make(map[string]failure), receivingChanged: make(chan struct{}), compressor: newCompressor()}
	s.alone = c.Contacts == nil
	s.applyReading()
	return s
}

// Run decides and follows until the context ends.
func (s *Sharer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for sleeper.Sleep(ctx, s.interval()) == nil {
		s.decide(ctx, &wg)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.following != nil {
		s.following.cancel()
	}
}

// interval returns the time until the next decision.
func (s *Sharer) interval() time.Duration {
	if s.empty() && time.Since(s.started) < s.config.StartTimeout {
		return startInterval
	}
	return decisionInterval
}

// empty reports whether the process has no copies yet.
func (s *Sharer) empty() bool {
	return s.age(func(p tracker.Position) time.Duration { return p.ConfirmedAt }) == neverConfirmed
}

// Reader reports whether this process reads the store itself and its copies are up to date,
// so that others may follow it.
func (s *Sharer) Reader() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reader
}

// StoreSilent reports whether the store has answered none of this process's calls for the
// time, although the process reads it and has had answers before.
func (s *Sharer) StoreSilent(d time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.reading || s.receiving || time.Since(s.readingSince) < d {
		return false
	}
	p, _ := s.config.Copies[0].Position()
	return p.Listed && s.config.Clock()-p.ReadAt >= d
}

// decide makes one decision and acts on it.
func (s *Sharer) decide(ctx context.Context, wg *sync.WaitGroup) {
	now := time.Now()
	peers := s.config.Peers()
	s.mu.Lock()
	s.updateReceiving(now)
	s.alone = s.contactsListed() && (s.config.Contacts == nil || len(peers) == 0)
	choice := s.config.Choose(now, s.state(now, peers))
	if choice.GiveUp && s.following != nil {
		s.giveUp(now, "its copies are too old")
		choice.Follow = ""
	}
	s.follow(ctx, wg, choice.Follow, peers)
	s.retryDelay = choice.RetryDelay
	changed := s.setReading(choice.Read)
	s.mu.Unlock()
	if changed && s.config.OnReaderChange != nil {
		s.config.OnReaderChange()
	}
}

// updateReceiving updates whether newer copies are arriving, and tells the followers if that
// has changed. The caller holds s.mu.
func (s *Sharer) updateReceiving(now time.Time) {
	s.receiving = slices.ContainsFunc(s.config.Copies, func(c SharedCopy) bool { return c.Receiving() })
	awaiting := s.receiving || s.following != nil && s.following.receiving(now)
	if awaiting {
		s.awaitedUntil = now
	}
	if awaiting != s.awaiting {
		s.awaiting = awaiting
		close(s.receivingChanged)
		s.receivingChanged = make(chan struct{})
	}
}

// Receiving reports whether newer copies are arriving, from the store or from the process that
// is followed, and returns a channel that is closed when that changes.
func (s *Sharer) Receiving() (bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.awaiting, s.receivingChanged
}

// readLimit returns the age up to which a copy that this process reads counts as up to date.
// The caller holds s.mu.
func (s *Sharer) readLimit() time.Duration {
	return selector.State{MaxAge: maxAge, Receiving: s.receiving}.Limit()
}

// state returns what the process knows. The caller holds s.mu.
func (s *Sharer) state(now time.Time, peers []Peer) selector.State {
	out := selector.State{
		Self: s.config.Self.Name, Domain: s.config.Self.Domain, Reading: s.reading, FollowedAge: neverConfirmed, MaxAge: maxAge, Receiving: s.awaiting, ReceivedUntil: s.awaitedUntil,
		PeersKnown: s.peersKnown(peers), ReadAge: s.age(func(p tracker.Position) time.Duration { return p.ReadAt }),
		Age: s.age(func(p tracker.Position) time.Duration { return p.ConfirmedAt }),
	}
	if out.Age == neverConfirmed {
		out.Empty, out.Age = true, maxAge-s.config.StartTimeout+time.Since(s.started)
	}
	if s.following != nil {
		out.FollowedAge, out.FollowingSince = s.following.age(s.config.Clock(), s.config.Copies), s.following.since
		out.Answered = s.following.answered()
		if out.FollowedAge <= maxAge {
			delete(s.failures, s.following.peer.Name)
		}
	}
	anyReader := false
	for _, p := range peers {
		anyReader = anyReader || p.Heard && p.Reader
		out.Peers = append(out.Peers, selector.Peer{Name: p.Member.Name, Heard: p.Heard, Reader: p.Reader, FailedUntil: s.failures[p.Member.Name].until})
	}
	if anyReader {
		s.noReaderSince = time.Time{}
	} else if s.noReaderSince.IsZero() {
		s.noReaderSince = now
	}
	out.NoReaderSince = s.noReaderSince
	return out
}

// maxAge is the age of a copy in State, whose ages are scaled so that a copy of any kind
// counts as old at maxAge: kinds differ in the time between two confirmations.
const maxAge = 1200 * time.Millisecond

// scaledAge returns the age of the copy, scaled to maxAge.
func (c SharedCopy) scaledAge(age time.Duration) time.Duration {
	return time.Duration(float64(age) / float64(c.MaxAge) * float64(maxAge))
}

// age returns the highest scaled age of the copies at the time that at selects.
func (s *Sharer) age(at func(tracker.Position) time.Duration) time.Duration {
	now, out := s.config.Clock(), time.Duration(0)
	for _, c := range s.config.Copies {
		p, _ := c.Position()
		if !p.Listed {
			return neverConfirmed
		}
		out = max(out, c.scaledAge(now-at(p)))
	}
	return out
}

// setReading sets whether the copies are read from the store, and reports whether the
// result of Reader has changed. The caller holds s.mu.
func (s *Sharer) setReading(reading bool) bool {
	if reading != s.reading {
		s.reading, s.readingSince = reading, time.Now()
		s.logSource("")
	}
	s.applyReading()
	// The copies of a process that has begun to receive are confirmed soon. Others that wait
	// for them do not ask for the same.
	reader := reading && (s.receiving || s.age(func(p tracker.Position) time.Duration { return p.ReadAt }) <= maxAge)
	changed := reader != s.reader
	s.reader = reader
	return changed
}

// applyReading sets which copies are read from the store. The first one shows whether the
// store answers; the others are not read while it does not.
func (s *Sharer) applyReading() {
	empty, listed, answers := s.empty(), s.bootstrapListed(), false
	if s.config.Contacts != nil {
		s.config.Contacts.SetReading(!listed, s.retryDelay)
	}
	for i, c := range s.config.Copies {
		if p, _ := c.Position(); i == 0 {
			answers = p.Listed && c.scaledAge(s.config.Clock()-p.ReadAt) <= s.readLimit()
		}
		reading := s.reading && (i == 0 || answers)
		if c.Bootstrap && empty {
			reading = s.alone || reading && (listed || s.turnHasCome())
		}
		c.SetReading(reading, s.retryDelay)
	}
}

// giveUp stops following the process, which counts as failed for some time. The caller
// holds s.mu.
func (s *Sharer) giveUp(now time.Time, reason string) {
	f := s.failures[s.following.peer.Name]
	if s.empty() && time.Since(s.started) < s.config.StartTimeout {
		f.until = now.Add(startCooldown)
	} else {
		f.count++
		f.until = now.Add(selector.Cooldown(f.count))
	}
	s.failures[s.following.peer.Name] = f
	s.following.cancel()
	s.logSource(reason)
	s.following = nil
}

// follow follows the named process, and no longer the one before. The caller holds s.mu.
func (s *Sharer) follow(ctx context.Context, wg *sync.WaitGroup, name string, peers []Peer) {
	current := ""
	if s.following != nil {
		current = s.following.peer.Name
	}
	if name == current {
		return
	}
	if s.following != nil {
		s.following.cancel()
		s.following = nil
	}
	for _, p := range peers {
		if p.Member.Name != name {
			continue
		}
		ctx, cancel := context.WithCancel(ctx)
		f := newFollowing(s.config, p.Member, cancel)
		s.following = f
		wg.Go(func() {
			err := f.run(ctx)
			s.ended(f, err)
		})
	}
	s.logSource("")
}

// ended handles the end of a stream: the process counts as failed unless it was left on
// purpose.
func (s *Sharer) ended(f *following, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.following == f {
		s.giveUp(time.Now(), err.Error())
	}
}
