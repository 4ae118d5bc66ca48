package forwarder

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestBudgetOfAllEntries has entries with any share of the requests repeat all that
// they may: together they must keep the operators' bound in every window, also
// while entries start anew with full shares, and still be able to repeat.
func TestBudgetOfAllEntries(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		config := BudgetConfig{Ratio: 0.2, Window: 10 * time.Second, Slack: float64(rapid.IntRange(40, 250).Draw(rt, "slack"))}
		entries := rapid.IntRange(1, 60).Draw(rt, "entries")
		fresh := func() *budget {
			b := newBudget(config)
			b.setEntries(entries)
			return b
		}
		list := make([]*budget, entries)
		for i := range list {
			list[i] = fresh()
		}
		const step = 100 * time.Millisecond
		start := time.Unix(1e9, 0)
		var requests, repeats []int
		for n := range 400 {
			now := start.Add(time.Duration(n) * step)
			asked, again := rapid.IntRange(0, 80).Draw(rt, "requests"), 0
			for range asked {
				// The first entries get most of the requests.
				b := list[min(rapid.IntRange(0, entries-1).Draw(rt, "a"), rapid.IntRange(0, entries-1).Draw(rt, "b"))]
				b.arrived("s", now)
				for b.take("s", now) {
					again++
				}
			}
			if n%100 == 50 {
				list[n%entries] = fresh()
			}
			requests, repeats = append(requests, asked), append(repeats, again)
		}
		window := int(config.Window / step)
		for end := window; end <= len(repeats); end++ {
			allowed := config.Ratio*float64(sum(requests[end-window:end])) + config.Slack
			if got := float64(sum(repeats[end-window : end])); got > allowed {
				rt.Fatalf("%v repeats in a window, %v allowed", got, allowed)
			}
		}
		if total := sum(requests); total > 200*entries && sum(repeats) == 0 {
			rt.Fatalf("no repeat for %d requests", total)
		}
	})
}

func sum(list []int) int {
	out := 0
	for _, n := range list {
		out += n
	}
	return out
}
