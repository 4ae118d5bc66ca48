package selector_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile/decisions/selector"
)

const (
	maxAge = 1700 * time.Millisecond
	never  = time.Hour
)

// firstOf returns which of the processes reads the store if all of them have just started and
// hear each other.
func firstOf(now time.Time, names []string) string {
	first := ""
	for _, self := range names {
		s := selector.State{Self: self, Domain: "d", MaxAge: maxAge, Age: never, FollowedAge: never, NoReaderSince: now}
		for _, other := range names {
			if other != self {
				s.Peers = append(s.Peers, selector.Peer{Name: other, Heard: true})
			}
		}
		s.Age = 0
		if selector.Choose(now, s).Read {
			first += self
		}
	}
	return first
}

// TestOneProcessTakesOver guards against all processes of a failure domain that read the
// store at the moment at which none does.
func TestOneProcessTakesOver(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1e9, 0)
	names := []string{"a", "b", "c", "e", "f"}
	first := firstOf(now, names)
	is.Equal(len(first), 1)
	for i, name := range names {
		if name == first {
			names = append(names[:i:i], names[i+1:]...)
		}
	}
	second := firstOf(now, names)
	is.Equal(len(second), 1)
	is.True(second != first)
}

// TestChoose checks what a process does that hears one reader, "b".
func TestChoose(t *testing.T) {
	now := time.Unix(1e9, 0)
	for n, c := range []struct {
		state selector.State
		want  selector.Choice
	}{
		// A follower with fresh copies makes no calls.
		{selector.State{FollowedAge: time.Second, Age: time.Second}, selector.Choice{Follow: "b"}},
		// One that has just begun to follow does not read while its copies are fresh.
		{selector.State{FollowedAge: never, Age: time.Second, FollowingSince: now}, selector.Choice{Follow: "b"}},
		// A process that reads goes on until what it follows is fresh.
		{selector.State{Reading: true, ReadAge: never, FollowedAge: never, FollowingSince: now}, selector.Choice{Follow: "b", Read: true}},
		// Old copies make it read, whoever sends them.
		// One that has just started gets its copies from the reader.
		{selector.State{Empty: true, FollowedAge: never, Age: time.Second, FollowingSince: now}, selector.Choice{Follow: "b"}},
		{selector.State{FollowedAge: 4 * time.Second, Age: 4 * time.Second, FollowingSince: now.Add(-time.Minute)}, selector.Choice{Follow: "b", Read: true, GiveUp: true}},
	} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			c.state.Self, c.state.Domain, c.state.MaxAge = "a", "d", maxAge
			c.state.Peers = []selector.Peer{{Name: "b", Heard: true, Reader: true}, {Name: "c", Heard: true}}
			got := selector.Choose(now, c.state)
			got.RetryDelay = 0
			is.Equal(got, c.want)
			c.state.Peers[0].FailedUntil = now.Add(time.Second)
			is.True(selector.Choose(now, c.state).Follow != "b") // a failed reader is not followed
		})
	}
}

// TestTwoReadersBecomeOne guards against two processes that both go on reading, and against
// both of them stopping.
func TestTwoReadersBecomeOne(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1e9, 0)
	read := func(self, other string) bool {
		return selector.Choose(now, selector.State{
			Self: self, Domain: "d", MaxAge: maxAge, Reading: true, FollowedAge: time.Second, FollowingSince: now,
			Peers: []selector.Peer{{Name: other, Heard: true, Reader: true}},
		}).Read
	}
	is.True(read("a", "b") != read("b", "a"))
}

// TestFollowersAreSpread guards against hosts that all follow the same entry.
func TestFollowersAreSpread(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1e9, 0)
	var peers []selector.Peer
	for n := range 10 {
		peers = append(peers, selector.Peer{Name: fmt.Sprint("e", n)})
	}
	followers := make(map[string]int)
	for n := range 100 {
		followers[selector.ChooseAny(now, selector.State{Self: fmt.Sprint("h", n), MaxAge: maxAge, Peers: peers}).Follow]++
	}
	is.Equal(len(followers), 10)
	for _, n := range followers {
		is.True(n < 25)
	}
	is.True(selector.ChooseAny(now, selector.State{Self: "h", MaxAge: maxAge}).Read)
}

// TestCooldownDoubles guards against going back to a failed process every few seconds.
func TestCooldownDoubles(t *testing.T) {
	is := is.New(t)
	is.Equal(selector.Cooldown(1), 3*time.Second)
	is.Equal(selector.Cooldown(2), 6*time.Second)
	is.Equal(selector.Cooldown(100), 48*time.Second)
}

// TestEmptyProcessAsksOthersFirst guards against calls of the store by every process that
// starts: one that hears nobody yet asks any registered one, and reads the store itself only
// after some time without an answer.
func TestEmptyProcessAsksOthersFirst(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1e9, 0)
	s := selector.State{Self: "a", Domain: "d", MaxAge: maxAge, Age: time.Second, FollowedAge: never, FollowingSince: now, Empty: true, Peers: []selector.Peer{{Name: "b"}}}
	for _, choose := range []func(time.Time, selector.State) selector.Choice{selector.Choose, selector.ChooseAny} {
		s.Age = time.Second
		is.Equal(choose(now, s).Follow, "b")
		is.True(!choose(now, s).Read)
		s.Age = maxAge + time.Millisecond
		is.True(choose(now, s).Read)
	}
}

// TestFirstOfThoseThatStartReads guards against processes that have just started and wait for
// each other's copies: once another one has answered that it has none, the first one in the
// order reads, and the others follow it.
func TestFirstOfThoseThatStartReads(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1e9, 0)
	names := []string{"a", "b", "c", "e", "f"}
	var first []string
	follow := make(map[string]string)
	for _, self := range names {
		s := selector.State{Self: self, Domain: "d", MaxAge: maxAge, Empty: true, PeersKnown: true, FollowedAge: never, FollowingSince: now, Answered: true}
		for _, other := range names {
			if other != self {
				s.Peers = append(s.Peers, selector.Peer{Name: other})
			}
		}
		c := selector.Choose(now, s)
		if c.Read {
			first = append(first, self)
		}
		follow[self] = c.Follow
		s.Answered = false
		is.True(!selector.Choose(now, s).Read) // it may get copies from the other one
	}
	is.Equal(len(first), 1)
	for _, self := range names {
		is.True(self == first[0] || follow[self] == first[0])
	}
	alone := selector.State{Self: "a", Domain: "d", MaxAge: maxAge, Empty: true, FollowedAge: never}
	is.True(!selector.Choose(now, alone).Read) // others may be registered
	alone.PeersKnown = true
	is.True(selector.Choose(now, alone).Read)
}

// TestUnansweredIsGivenUp guards against a process that has just started and waits for a
// connection that hangs, as the other host had no power yet when it was called.
func TestUnansweredIsGivenUp(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1e9, 0)
	for _, choose := range []func(time.Time, selector.State) selector.Choice{selector.Choose, selector.ChooseAny} {
		for _, reader := range []bool{false, true} {
			s := selector.State{
				Self: "a", Domain: "d", MaxAge: maxAge, Empty: true, PeersKnown: true, FollowedAge: never,
				Peers: []selector.Peer{{Name: "b", Heard: reader, Reader: reader}}, FollowingSince: now.Add(-200 * time.Millisecond),
			}
			is.True(!choose(now, s).GiveUp)
			s.FollowingSince = now.Add(-400 * time.Millisecond)
			is.True(choose(now, s).GiveUp)
			s.Answered = true
			is.True(!choose(now, s).GiveUp)
		}
	}
}

// TestReadersFollowOneAnotherOnceArrivalEnds guards against processes that all read at once because
// newer copies ceased to arrive when those of all were too old already, and against one that
// gives up a reader whose newer copies are on their way.
func TestReadersFollowOneAnotherOnceArrivalEnds(t *testing.T) {
	is := is.New(t)
	ended := time.Unix(1e9, 0)
	names := []string{"a", "b", "c", "e", "f"}
	reading := func(after time.Duration) (n int) {
		for _, self := range names {
			s := selector.State{
				Self: self, Domain: "d", MaxAge: maxAge, Age: 2 * maxAge, FollowedAge: never, ReceivedUntil: ended,
				// The one that failed is still heard.
				Peers: []selector.Peer{{Name: "failed", Heard: true, Reader: true, FailedUntil: ended.Add(3 * time.Second)}},
			}
			for _, other := range names {
				if other != self {
					s.Peers = append(s.Peers, selector.Peer{Name: other, Heard: true})
				}
			}
			if selector.Choose(ended.Add(after), s).Read {
				n++
			}
		}
		return n
	}
	is.True(reading(100*time.Millisecond) <= 1)
	is.True(reading(selector.TakeoverStep+100*time.Millisecond) <= 1)
	is.Equal(reading(2*time.Second), len(names)) // none waits for ever

	s := selector.State{
		Self: "a", Domain: "d", MaxAge: maxAge, Age: 4 * maxAge, FollowedAge: 4 * maxAge, Receiving: true, ReceivedUntil: ended,
		FollowingSince: ended, Peers: []selector.Peer{{Name: "b", Heard: true, Reader: true}},
	}
	is.True(!selector.Choose(ended.Add(time.Second), s).GiveUp)
	is.True(selector.Choose(ended.Add(2*time.Second), s).GiveUp)
}
