package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/viewer"
	"filbertstile.example/filbertstile/decisions/dispatcher"
	"filbertstile.example/filbertstile/decisions/evaluator"
	"filbertstile.example/filbertstile/decisions/router"
)

// TestTiersGetTheirFloors guards against a tier that gets less than its floor while all tiers have
// work, and against floors that change the shares of the other tiers among each other.
func TestTiersGetTheirFloors(t *testing.T) {
	const sends = 100
	for _, c := range []struct {
		weights, floors []int
		// want are the tiers' shares in percent.
		want []int
	}{
		{weights: []int{4, 1}, floors: []int{0, 0}, want: []int{80, 20}},
		{weights: []int{4, 1}, floors: []int{20, 5}, want: []int{80, 20}},
		{weights: []int{99, 1}, floors: []int{0, 50}, want: []int{50, 50}},
		{weights: []int{9, 1}, floors: []int{0, 80}, want: []int{20, 80}},
		{weights: []int{8, 1, 1}, floors: []int{0, 30, 30}, want: []int{40, 30, 30}},
		{weights: []int{60, 30, 1}, floors: []int{0, 0, 40}, want: []int{40, 20, 40}},
		{weights: []int{60, 20, 1}, floors: []int{0, 20, 40}, want: []int{40, 20, 40}},
		{weights: []int{1, 1}, floors: []int{60, 40}, want: []int{60, 40}},
		{weights: []int{5, 1}, floors: []int{40, 60}, want: []int{40, 60}},
		{weights: []int{5, 1}, floors: []int{0, 100}, want: []int{1, 99}},
		{weights: []int{5}, floors: []int{100}, want: []int{100}},
	} {
		t.Run(fmt.Sprint(c.weights, c.floors), func(t *testing.T) {
			is := is.New(t)
			got := make([]int, len(c.weights))
			for _, cmd := range sendQueued(c.weights, c.floors, sends)[:sends] {
				for i := range got {
					if cmd.Tier == fmt.Sprint(i) {
						got[i]++
					}
				}
			}
			t.Log(got)
			for i, want := range c.want {
				is.True(got[i] >= want-1 && got[i] <= want+1)
			}
		})
	}
}

// sendQueued returns the order in which a core sends n requests of each tier that have queued.
func sendQueued(weights, floors []int, n int) []dispatcher.Send {
	config := dispatcher.DefaultConfig(filbertstile.Member{Name: "e1", Role: filbertstile.RoleEntry})
	config.MaxQueue = n * len(weights)
	core, now := dispatcher.New(config), time.Unix(1e9, 0)
	view := viewer.View{Config: filbertstile.Config{Services: filbertstile.NewTable(filbertstile.Service{Name: "s", Kind: filbertstile.ServicePlain})}}
	var arrivals []dispatcher.Event
	for i := range weights {
		name := fmt.Sprint(i)
		view.Config.Tiers = view.Config.Tiers.With(filbertstile.Tier{Name: name, Rank: -i, Weight: weights[i], FloorPercent: floors[i]})
		view.Config.Accounts = view.Config.Accounts.With(filbertstile.Account{Name: name, Tier: name, RatePerSecond: 1e6, Burst: 1e6})
		for k := range n {
			arrivals = append(arrivals, dispatcher.Arrived{Request: dispatcher.Request{ID: fmt.Sprint(i, "-", k), Account: name, Service: "s", Deadline: now.Add(time.Second)}})
		}
	}
	host := filbertstile.Member{Name: "h", Role: filbertstile.RoleHost, Service: "s"}
	core.Tick(now, []dispatcher.Event{dispatcher.ViewUpdated{View: view, Trust: evaluator.Current, Hosts: []filbertstile.Member{host}}})
	core.Tick(now, arrivals)
	var out []dispatcher.Send
	for _, cmd := range core.Tick(now, []dispatcher.Event{dispatcher.LoadReported{Host: "h", Load: router.Load{Limit: 10 * config.MaxQueue, Serving: true}}}) {
		if s, ok := cmd.(dispatcher.Send); ok {
			out = append(out, s)
		}
	}
	return out
}
