package gatekeeper

import (
	"slices"
	"time"

	"filbertstile.example/filbertstile"
)

func (c *Core) readyFor(release string) (ready, bool) {
	for _, r := range c.readies {
		if r.release == release {
			return r, true
		}
	}
	return ready{}, false
}

func (c *Core) weightsReady(e WeightsReady) {
	c.readies = slices.DeleteFunc(c.readies, func(r ready) bool { return r.release == e.Release })
	c.readies = append(c.readies, ready{release: e.Release, manifest: e.Manifest, whole: e.Whole})
}

// engineSeen compares what the engine says with what was ordered. An engine
// that runs other weights than the gate believes serves nobody.
func (c *Core) engineSeen(e EngineSeen) []Command {
	c.engine = e.State
	if c.config.Kind == filbertstile.ServicePlain || c.loading != "" || e.AskedAt.Before(c.loadedAt) {
		return nil
	}
	if c.loaded.whole != "" && e.State.Loaded != c.loaded.whole {
		c.loaded = ready{}
		return c.turnCold("weights lost")
	}
	if e.State.Cold && !c.cold {
		return c.turnCold("reported")
	}
	return nil
}

// permitAsked takes a permit unless its epoch is older than one seen before.
func (c *Core) permitAsked(now time.Time, e PermitAsked) []Command {
	answer := Permitted{Ticket: e.Ticket}
	switch {
	case e.Epoch < c.epoch:
		answer.Reason = "an entry with a newer epoch controls the rollout"
	case !e.Until.After(now):
		answer.Reason = "the permit has ended"
	case e.Release != c.standing.Target.Name:
		answer.Reason = "the configuration here names another release"
	default:
		if _, ok := c.readyFor(e.Release); !ok {
			answer.Reason = "the weights are not whole yet"
			break
		}
		c.epoch = e.Epoch
		c.permit = permit{release: e.Release, epoch: e.Epoch, until: e.Until}
		answer.Accepted = true
	}
	return []Command{answer}
}

// switching tells whether the replica drains in order to load.
func (c *Core) switching() bool {
	return c.permit.release != "" && c.permit.release == c.standing.Target.Name &&
		(c.permit.release != c.loaded.release || c.standing.Role != c.engine.Role)
}

// change orders the load once the replica is drained and the permit still
// holds. The permit bounds the order, not the load: the engine's digest is
// read back before anything is served.
func (c *Core) change() []Command {
	if !c.switching() || c.loading != "" || len(c.running) > 0 {
		return nil
	}
	c.loading = c.permit.release
	return []Command{Load{Release: c.permit.release, Fence: c.permit.epoch, Role: c.standing.Role, Until: c.permit.until.Add(-permitMargin)}}
}

func (c *Core) loadEnded(now time.Time, e LoadEnded) []Command {
	c.loading = ""
	c.loadedAt = now
	c.permit = permit{}
	r, ok := c.readyFor(e.Release)
	if e.Err != nil || !ok || e.State.Loaded != r.whole {
		c.failure = "the engine did not confirm the digest"
		if e.Err != nil {
			c.failure = e.Err.Error()
		}
		if e.State.Loaded != c.loaded.whole || e.State.Loaded == "" {
			c.loaded = ready{}
		}
		return nil
	}
	c.failure = ""
	c.loaded = r
	c.engine = e.State
	c.usual = 0
	c.limit = 1
	c.cold = true
	return nil
}
