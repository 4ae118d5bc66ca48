// Package selector decides which processes of a failure domain read the store, and which
// process each of the others follows instead. Every process decides for itself, from the
// heartbeats that it hears: there is no lease, and two processes that read for the same
// domain cost no more than a few calls. What is never given up for fewer calls is the age
// of a copy: a process whose copy grows old reads the store itself.
package selector

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// TakeoverStep is the time that each process waits longer than the one ranked before
	// it, until it reads the store for lack of another reader. It is longer than a
	// heartbeat takes within a failure domain, so that one process takes over.
	TakeoverStep = 150 * time.Millisecond
	// maxTakeoverSteps is the rank from which the steps are lateTakeoverStep, of which there
	// are at most maxLateTakeoverSteps: processes of high ranks read one after another, and
	// before their copies are too old to be used.
	maxTakeoverSteps     = 5
	lateTakeoverStep     = 20 * time.Millisecond
	maxLateTakeoverSteps = 30
	// receivingFactor is how much older copies may be while newer ones are arriving.
	receivingFactor = 2
	// answerTimeout is how long after a process began to follow another one it may still be
	// without up-to-date copies; receivingFactor times that while they are arriving.
	answerTimeout = 700 * time.Millisecond
	// firstAnswerTimeout is how long a process that has just started waits for the answer of
	// another one.
	firstAnswerTimeout = 300 * time.Millisecond
	// minRetryDelay is the retry delay of the process that comes first, and retryStep is
	// added for each rank, up to maxRetrySteps.
	minRetryDelay = 400 * time.Millisecond
	retryStep     = 400 * time.Millisecond
	maxRetrySteps = 4
	// minCooldown and maxCooldown bound how long a process that was given up is not
	// followed again; the time doubles with each failure in a row.
	minCooldown = 3 * time.Second
	maxCooldown = 48 * time.Second
)

// Cooldown returns how long a process is not followed again after the given number of
// failures in a row.
func Cooldown(failures int) time.Duration {
	return min(maxCooldown, minCooldown<<min(max(0, failures-1), 8))
}

// Peer is another process of the failure domain that may be followed.
type Peer struct {
	Name string
	// Heard is true if the process's heartbeats arrive, and it is not about to stop.
	Heard bool
	// Reader is true if the process reads the store itself, and its copies are up to date.
	Reader bool
	// FailedUntil is the time before which the peer must not be followed; zero if it has
	// not failed.
	FailedUntil time.Time
}

// failed reports whether the peer must not be followed now.
func (p Peer) failed(now time.Time) bool { return now.Before(p.FailedUntil) }

// State is what a process knows when it decides.
type State struct {
	// Self is the name of the process, and Domain its failure domain.
	Self   string
	Domain string
	Peers  []Peer
	// Reading is true if the process reads the store now, and ReadAge is the age of what
	// it has read.
	Reading bool
	ReadAge time.Duration
	// FollowedAge is the age of what the process that is followed has sent. If nothing has
	// arrived yet, it is longer than MaxAge.
	FollowedAge time.Duration
	// FollowingSince is when the process began to follow the one that it follows now.
	FollowingSince time.Time
	// Age is the age of the copies, wherever they come from. The copies of a process that
	// has just started have never been confirmed; their age begins somewhat below MaxAge, so
	// that the process has time to get them from another one.
	Age time.Duration
	// Empty is true if the process has no copies yet.
	Empty bool
	// PeersKnown is true if Peers are all registered processes of the failure domain, or
	// enough of them to follow one.
	PeersKnown bool
	// Answered is true if the process that is followed has sent what copies it has.
	Answered bool
	// MaxAge is the age from which a copy counts as old. It is longer than the time
	// between two confirmations.
	MaxAge time.Duration
	// Receiving is true if newer copies are arriving: from the store, from the process that is
	// followed, or at that process. Another reader would only share the link with them.
	Receiving bool
	// ReceivedUntil is when Receiving was last true.
	ReceivedUntil time.Time
	// NoReaderSince is since when no peer has been a reader; zero if one is.
	NoReaderSince time.Time
}

// Limit returns the age from which a copy counts as old now.
func (s State) Limit() time.Duration {
	if s.Receiving {
		return receivingFactor * s.MaxAge
	}
	return s.MaxAge
}

// takeoverDelay returns how much longer than the first one a process of the rank waits until
// it reads the store.
func takeoverDelay(rank int) time.Duration {
	late := max(0, rank-maxTakeoverSteps)
	return time.Duration(min(rank, maxTakeoverSteps))*TakeoverStep + time.Duration(min(late, maxLateTakeoverSteps))*lateTakeoverStep
}

// Choice is what a process does until it decides again.
type Choice struct {
	// Follow is the name of the peer to follow; empty if there is none.
	Follow string
	// Read is true if the process reads the store itself.
	Read bool
	// RetryDelay is the maximum delay between attempts to read while the store does not
	// answer. It grows with the process's rank: the first to get an answer serves the others.
	RetryDelay time.Duration
	// GiveUp is true if the peer that is followed sends copies that are too old, and must
	// count as failed.
	GiveUp bool
}

// Choose decides for a process that others can follow.
func Choose(now time.Time, s State) Choice {
	rank := rankOf(s)
	c := chooseReader(now, s, rank)
	c.RetryDelay = minRetryDelay + time.Duration(min(rank, maxRetrySteps))*retryStep
	return c
}

// chooseReader returns whom a process of the rank follows, and whether it reads.
func chooseReader(now time.Time, s State, rank int) Choice {
	patience := takeoverDelay(rank)
	best, found := bestReader(now, s)
	if !found && s.Empty && !s.Reading && s.Age <= s.Limit() {
		return chooseFirst(now, s)
	}
	if !found {
		waited := !s.Empty && !s.NoReaderSince.IsZero() && now.Sub(s.NoReaderSince) >= patience
		return Choice{Read: s.Reading || waited || isOld(now, s, patience)}
	}
	own := order(s.Domain, s.Self)
	readsWell := s.Reading && s.ReadAge <= s.Limit()
	if readsWell && own < order(s.Domain, best) {
		// The other reader follows this process and stops.
		return Choice{Read: true}
	}
	c := Choice{Follow: best, Read: mustRead(now, s, patience), GiveUp: givesUp(now, s, patience)}
	if !s.Reading {
		c.Follow = relayOf(now, s, best)
	}
	return c
}

// chooseFirst decides for a process that has just started, and hears no reader yet. Others may
// have copies, unless all have just started: then the first one in the domain's order reads
// the store, and the others wait for it.
func chooseFirst(now time.Time, s State) Choice {
	first, found := "", false
	for _, p := range s.Peers {
		if !p.failed(now) && (!found || order(s.Domain, p.Name) < order(s.Domain, first)) {
			first, found = p.Name, true
		}
	}
	if !found {
		return Choice{Read: s.PeersKnown}
	}
	c := Choice{Follow: first, GiveUp: unanswered(now, s)}
	if order(s.Domain, s.Self) < order(s.Domain, first) {
		c.Read = s.Answered || c.GiveUp
	}
	return c
}

// unanswered reports whether the process that is followed has not answered in time. A
// connection to a host that has no power yet may take seconds, where a new one works as soon
// as the process runs.
func unanswered(now time.Time, s State) bool {
	return !s.Answered && !s.FollowingSince.IsZero() && now.Sub(s.FollowingSince) > firstAnswerTimeout
}

// mustRead reports whether a process that follows another one must also read the store:
// because its copies are old, or, once it reads, until the other one sends newer ones.
func mustRead(now time.Time, s State, patience time.Duration) bool {
	if s.Reading {
		return s.FollowedAge > s.MaxAge
	}
	return isOld(now, s, patience)
}

// isOld reports whether the copies are so old that a process must read the store. While newer
// ones were arriving, the copies of all processes may have grown too old. If they cease to arrive,
// the processes read one after another even so, in larger steps: a large response takes longer.
func isOld(now time.Time, s State, patience time.Duration) bool {
	return s.Age > s.Limit()+patience && now.Sub(s.ReceivedUntil) >= receivingFactor*patience
}

// givesUp reports whether the process that is followed must count as failed. One that has no
// copies yet may have just started, as this one.
func givesUp(now time.Time, s State, patience time.Duration) bool {
	if s.Empty && s.Age <= s.Limit() {
		return unanswered(now, s)
	}
	timeout := answerTimeout
	if s.Receiving {
		// The copies were old before the peer was followed, and are on their way.
		timeout *= receivingFactor
	}
	return s.FollowedAge > s.Limit()+patience && now.Sub(s.FollowingSince) > timeout
}

// ChooseAny decides for a process that nobody follows, and that may follow any peer:
// the order differs from process to process, so that the followers are spread over the
// peers. It reads the store itself if no peer is left.
func ChooseAny(now time.Time, s State) Choice {
	c := Choice{RetryDelay: minRetryDelay + maxRetrySteps*retryStep}
	best, found := firstPeer(now, s)
	if !found {
		c.Read = !s.Empty || s.Age > s.Limit()
		return c
	}
	c.Follow, c.Read, c.GiveUp = best, mustRead(now, s, 0), givesUp(now, s, 0)
	return c
}

// firstPeer returns the peer that comes first in an order that differs from process to
// process.
func firstPeer(now time.Time, s State) (string, bool) {
	best, bestOrder := "", uint64(0)
	for _, p := range s.Peers {
		if o := order(s.Self, p.Name); !p.failed(now) && (best == "" || o < bestOrder) {
			best, bestOrder = p.Name, o
		}
	}
	return best, best != ""
}

// Turn returns when the process's turn comes among processes that do not know each other: a
// time within the spread that depends on its name.
func Turn(name string, spread time.Duration) time.Duration {
	const places = 1 << 16
	return spread * time.Duration(xxhash.Sum64String(name)%places) / places
}

// bestReader returns the reader that comes first in the domain's order.
func bestReader(now time.Time, s State) (string, bool) {
	readers := slices.DeleteFunc(slices.Clone(s.Peers), func(p Peer) bool { return !p.Heard || !p.Reader || p.failed(now) })
	if len(readers) == 0 {
		return "", false
	}
	best := slices.MinFunc(readers, func(a, b Peer) int {
		if order(s.Domain, a.Name) < order(s.Domain, b.Name) {
			return -1
		}
		return 1
	})
	return best.Name, true
}

// rankOf returns the number of peers that come before the process in the domain's order.
func rankOf(s State) int {
	own := order(s.Domain, s.Self)
	rank := 0
	for _, p := range s.Peers {
		if p.Heard && order(s.Domain, p.Name) < own {
			rank++
		}
	}
	return rank
}

// order returns the position of the process in the rendezvous order of the key.
func order(key, name string) uint64 { return xxhash.Sum64String(key + "\x00" + name) }
