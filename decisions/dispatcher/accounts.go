package dispatcher

import (
	"slices"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/limiter"
)

// admit counts a request against its account's rate.
func (c *Core) admit(now time.Time, a filbertstile.Account) (time.Duration, bool) {
	b, ok := c.buckets[a.Name]
	if !ok {
		b = limiter.NewBucket(a, now, c.entries)
	}
	b = b.WithFill(now, a, c.entries)
	b, pass := b.WithArrival()
	c.buckets[a.Name] = b
	if !ok || c.quiet || !pass && now.Sub(c.askedAt) > askGap {
		// The owner is asked at once for an account that is new here, or whose
		// rate has grown.
		c.askedAt = time.Time{}
	}
	return b.Wait(), pass
}

func (c *Core) granted(now time.Time, e Granted) {
	b, ok := c.buckets[e.Account]
	a, known := c.view.Config.Accounts.Get(e.Account)
	if !ok || !known {
		return
	}
	c.buckets[e.Account] = b.WithFill(now, a, c.entries).WithGrant(e.PerSecond, e.Until)
}

// ask brings the buckets up to date and asks the owners for new grants.
func (c *Core) ask(now time.Time) []Command {
	every := c.config.AskEvery
	if c.quiet {
		// A sign of life is enough.
		every = quietAsk
	}
	if now.Sub(c.askedAt) < every {
		return nil
	}
	c.askedAt = now
	c.quiet = true
	var cmd Ask
	for _, name := range sortedKeys(c.buckets) {
		a, ok := c.view.Config.Accounts.Get(name)
		if !ok {
			delete(c.buckets, name)
			continue
		}
		b := c.buckets[name].WithFill(now, a, c.entries).WithDemand(now)
		b = b.WithFallback(now, a.RatePerSecond/float64(max(1, c.entries)))
		c.buckets[name] = b
		if b.Asks() == 0 && b.PerSecond == 0 {
			continue
		}
		c.quiet = c.quiet && b.Asks() == 0
		cmd.Demands = append(cmd.Demands, Demand{Account: name, PerSecond: b.Asks()})
	}
	return []Command{cmd}
}

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
