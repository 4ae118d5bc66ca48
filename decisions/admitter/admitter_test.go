package admitter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"filbertstile.example/filbertstile/decisions/admitter"
)

// arrivals tells the admitter of n requests of the route within a second, and returns the end of
// the second.
func arrivals(a *admitter.Admitter, now time.Time, n int, route string, priority int) time.Time {
	for i := range n {
		a.Arrived(now.Add(time.Duration(i)*time.Second/time.Duration(n)), route, priority, false)
	}
	return now.Add(time.Second)
}

// The reserve must grow with the rate of more urgent requests, and the most urgent class must
// have none.
func TestReserve(t *testing.T) {
	is := is.New(t)
	v := admitter.View{Slots: 168, Free: 20, InFlight: 148}
	reserve := func(urgent int) int {
		a := admitter.New()
		a.SetPeers([]string{"2", "3", "4", "5", "6", "7", "8"})
		now := arrivals(a, time.Now(), urgent, "urgent", 0)
		is.Equal(a.Reserve(now, admitter.Class{}, v), 0)
		return a.Reserve(now, admitter.Class{Priority: 1}, v)
	}
	is.Equal(reserve(0), 0)
	is.True(reserve(8) > 0 && reserve(8) < 20)
	is.True(reserve(100) > 2*reserve(8))
	is.Equal(reserve(1000), 84) // at most half of the slots
}

// A request that can no longer be in time must rank behind those that can, whatever the
// priority, unless the callers of its route always allow less time than the route.
func TestLateRanksLast(t *testing.T) {
	is := is.New(t)
	a := admitter.New()
	now := time.Now()
	inTime, late := a.Arrived(now, "batch", 2, false), a.Arrived(now, "batch", 0, true)
	is.True(late.Rank() > inTime.Rank())
	is.True(!a.TakeCredit(late, "batch"))
	for range 20 {
		late = a.Arrived(now, "impatient", 1, true)
	}
	is.Equal(late, admitter.Class{Priority: 1})
}

// Whatever is refused, a route must be admitted the floor's share of its arrivals, spread over
// time, and not more.
func TestFloor(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		a := admitter.New()
		now, admitted := time.Now(), 0
		n := rapid.IntRange(1, 300).Draw(rt, "requests")
		for i := range n {
			c := a.Arrived(now, "batch", 2, false)
			if a.TakeCredit(c, "batch") {
				a.Placed(c, "batch", true)
				admitted++
			} else {
				a.Refused(c, "batch", false)
			}
			if got, want := float64(admitted), 0.3*float64(i+1); got < want-1 || got > want+1 {
				rt.Fatalf("%v of %d admitted", got, i+1)
			}
		}
	})
}

// The floor of a route must not exceed what is served of a more urgent one: the most urgent
// requests would be served less often than others.
func TestFloorFollowsMoreUrgent(t *testing.T) {
	is := is.New(t)
	a := admitter.New()
	now, admitted := time.Now(), 0
	for i := range 4000 {
		if urgent := a.Arrived(now, "urgent", 0, false); i%10 == 0 {
			a.Placed(urgent, "urgent", false)
		} else {
			a.Refused(urgent, "urgent", false)
		}
		c := a.Arrived(now, "batch", 1, false)
		if a.TakeCredit(c, "batch") {
			a.Placed(c, "batch", true)
			admitted++
		}
	}
	is.True(admitted > 300 && admitted < 500) // about 1 in 10
}
