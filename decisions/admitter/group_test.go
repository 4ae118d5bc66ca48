package admitter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile/decisions/admitter"
)

// While engines fill up, others place as many requests as arrive: with only as many as end, all entries
// chose the same engine, and it got more requests than it has slots.
func TestUnseenFollowsArrivalsWhileSlotsAreFree(t *testing.T) {
	is := is.New(t)
	a := admitter.New()
	a.SetPeers([]string{"2"})
	a.SetPeerDemands("2", []admitter.Demand{{PerSecond: 400}})
	now := time.Now()
	full := a.Unseen(now, admitter.View{Replicas: 10, Slots: 120, InFlight: 120})
	half := a.Unseen(now, admitter.View{Replicas: 10, Slots: 120, Free: 60, InFlight: 60})
	is.True(half > 2*full)
	is.True(a.Unseen(now, admitter.View{Replicas: 10, Slots: 120, Free: 1, InFlight: 119}) <= full) // no more than there are slots
	a.SetPeerDemands("2", nil)
	is.Equal(a.Unseen(now, admitter.View{Replicas: 10, Slots: 120, Free: 120}), 0)
}

// A higher demand must not give this entry more slots before the others know of it and claim fewer; a
// lower one counts at once. Otherwise more than all slots were divided for a while.
func TestHigherDemandCountsAfterOthersKnow(t *testing.T) {
	is := is.New(t)
	a := admitter.New()
	a.SetPeers([]string{"2"})
	a.SetPeerDemands("2", []admitter.Demand{{PerSecond: 10}})
	v := admitter.View{Replicas: 10, Slots: 120}
	now := time.Now()
	own := func() float64 { return a.Weights(now, v)[0].Weight }
	for range 100 {
		a.Arrived(now, "r", 0, false)
		now = now.Add(10 * time.Millisecond)
		a.Demands(now)
	}
	announced := a.Demands(now)[0].PerSecond
	is.True(announced > 60)
	for range 100 { // a steady rate
		a.Arrived(now, "r", 0, false)
		now = now.Add(10 * time.Millisecond)
		a.Demands(now)
	}
	steady := own()
	for range 40 {
		for range 3 {
			a.Arrived(now, "r", 0, false)
		}
		now = now.Add(10 * time.Millisecond)
	}
	is.True(a.Demands(now)[0].PerSecond > 1.2*announced)
	is.Equal(own(), steady)
	now = now.Add(450 * time.Millisecond)
	a.Demands(now)
	now = now.Add(20 * time.Second)
	is.True(own() < steady)
}
