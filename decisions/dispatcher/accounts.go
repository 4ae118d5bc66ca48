package dispatcher

import (
	"slices"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/limiter"
)

// admit counts a request against its account's rate. It returns the time until the
// next request can be admitted, and whether this one is.
func (c *Core) admit(now time.Time, a filbertstile.Account) (time.Duration, bool) {
	b, ok := c.buckets[a.Name]
	if !ok {
		b = limiter.NewBucket(a, now, c.entries)
	}
	b = b.WithRefill(now, a, c.entries)
	b, admitted := b.WithRequest()
	c.buckets[a.Name] = b
	if !ok || c.idle || !admitted && now.Sub(c.demandedAt) > minDemandInterval {
		// Request a grant without waiting for the interval if the account is new at
		// this entry, if no account had any demand in the last round, or if the
		// account exceeds its rate.
		c.demandedAt = time.Time{}
	}
	return b.WaitTime(), admitted
}

// handleGrant applies a grant from the owner of an account.
func (c *Core) handleGrant(now time.Time, e GrantReceived) {
	b, ok := c.buckets[e.Account]
	a, known := c.view.Config.Accounts.Get(e.Account)
	if !ok || !known {
		return
	}
	c.buckets[e.Account] = b.WithRefill(now, a, c.entries).WithGrant(e.PerSecond, e.Until)
}

// requestGrants updates the buckets and, at most once per interval, requests new
// grants from the owners of the accounts.
func (c *Core) requestGrants(now time.Time) []Command {
	interval := c.config.DemandInterval
	if c.idle {
		// Without demand, the request serves only as a heartbeat.
		interval = idleDemandInterval
	}
	if now.Sub(c.demandedAt) < interval {
		return nil
	}
	c.demandedAt = now
	c.idle = true
	var cmd RequestGrants
	for _, name := range sortedKeys(c.buckets) {
		a, ok := c.view.Config.Accounts.Get(name)
		if !ok {
			delete(c.buckets, name)
			continue
		}
		b := c.buckets[name].WithRefill(now, a, c.entries).WithDemand(now)
		b = b.WithFallback(now, a.RatePerSecond/float64(max(1, c.entries)))
		c.buckets[name] = b
		if b.RequestedRate() == 0 && b.PerSecond == 0 {
			continue
		}
		c.idle = c.idle && b.RequestedRate() == 0
		cmd.Demands = append(cmd.Demands, Demand{Account: name, PerSecond: b.RequestedRate()})
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
