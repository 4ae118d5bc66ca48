package forwarder

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRetryBudgetAcrossEntries guards against retries that exceed the operators' limit:
// however the requests are distributed over the entries, all retries together must stay
// within the limit in every window, even if entries restart with full shares. Some
// retries must still be possible.
func TestRetryBudgetAcrossEntries(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		config := RetryBudgetConfig{Ratio: 0.2, Window: 10 * time.Second, Slack: float64(rapid.IntRange(40, 250).Draw(rt, "slack"))}
		entries := rapid.IntRange(1, 60).Draw(rt, "entries")
		newEntry := func() *retryBudget {
			b := newRetryBudget(config)
			b.setEntryCount(entries)
			return b
		}
		budgets := make([]*retryBudget, entries)
		for i := range budgets {
			budgets[i] = newEntry()
		}
		const step = 100 * time.Millisecond
		start := time.Unix(1e9, 0)
		var requests, retries []int
		for n := range 400 {
			now := start.Add(time.Duration(n) * step)
			arrived, retried := rapid.IntRange(0, 80).Draw(rt, "requests"), 0
			for range arrived {
				// The first entries get most of the requests.
				b := budgets[min(rapid.IntRange(0, entries-1).Draw(rt, "a"), rapid.IntRange(0, entries-1).Draw(rt, "b"))]
				b.requestArrived("s", now)
				for b.spend("s", now) {
					retried++
				}
			}
			if n%100 == 50 {
				budgets[n%entries] = newEntry()
			}
			requests, retries = append(requests, arrived), append(retries, retried)
		}
		window := int(config.Window / step)
		for end := window; end <= len(retries); end++ {
			allowed := config.Ratio*float64(sum(requests[end-window:end])) + config.Slack
			if got := float64(sum(retries[end-window : end])); got > allowed {
				rt.Fatalf("%v retries in a window, %v allowed", got, allowed)
			}
		}
		if total := sum(requests); total > 200*entries && sum(retries) == 0 {
			rt.Fatalf("no retry for %d requests", total)
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
