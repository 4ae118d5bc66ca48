package gatekeeper

import (
	"slices"
	"time"

	"filbertstile.example/filbertstile"
)

// findReady returns the release, and whether its weights are complete in memory.
func (c *Core) findReady(release string) (readyRelease, bool) {
	for _, r := range c.readyReleases {
		if r.release == release {
			return r, true
		}
	}
	return readyRelease{}, false
}

func (c *Core) handleWeightsReady(e WeightsReady) {
	c.readyReleases = slices.DeleteFunc(c.readyReleases, func(r readyRelease) bool { return r.release == e.Release })
	c.readyReleases = append(c.readyReleases, readyRelease{release: e.Release, manifest: e.Manifest, whole: e.Whole})
}

// handleEngineReport compares the engine's report with the loaded release. If the
// engine runs other weights, the gate stops accepting requests. Reports that were
// requested before the last load ended are ignored.
func (c *Core) handleEngineReport(e EngineReported) []Command {
	c.engine = e.State
	if c.config.Kind == filbertstile.ServicePlain || c.loading != "" || e.RequestedAt.Before(c.loadEndedAt) {
		return nil
	}
	if c.loaded.whole != "" && e.State.Loaded != c.loaded.whole {
		c.loaded = readyRelease{}
		return c.markCold("weights lost")
	}
	if e.State.Cold && !c.cold {
		return c.markCold("reported")
	}
	return nil
}

// handlePermit accepts a permit for the target release, unless the permit has
// ended, its epoch is older than the last accepted one, or the weights are not
// complete.
func (c *Core) handlePermit(now time.Time, e PermitReceived) []Command {
	reply := Permitted{Ticket: e.Ticket}
	switch {
	case e.Epoch < c.epoch:
		reply.Reason = "an entry with a newer epoch controls the rollout"
	case !e.Until.After(now):
		reply.Reason = "the permit has ended"
	case e.Release != c.status.Target.Name:
		reply.Reason = "the host's configuration has a different target release"
	default:
		if _, ok := c.findReady(e.Release); !ok {
			reply.Reason = "the weights are not complete yet"
			break
		}
		c.epoch = e.Epoch
		c.permit = permit{release: e.Release, epoch: e.Epoch, until: e.Until}
		reply.Accepted = true
	}
	return []Command{reply}
}

// switching reports whether an accepted permit for the target release has not been
// used yet. Meanwhile requests are refused, so that the replica drains.
func (c *Core) switching() bool {
	return c.permit.release != "" && c.permit.release == c.status.Target.Name &&
		(c.permit.release != c.loaded.release || c.status.Role != c.engine.Role)
}

// startLoad orders the load as soon as the replica is drained. The order must be
// sent before the permit ends, but the load may take longer: requests are accepted
// only after the engine has reported the digest of the new weights.
func (c *Core) startLoad() []Command {
	if !c.switching() || c.loading != "" || len(c.running) > 0 {
		return nil
	}
	c.loading = c.permit.release
	return []Command{Load{Release: c.permit.release, Fence: c.permit.epoch, Role: c.status.Role, Until: c.permit.until.Add(-permitMargin)}}
}

func (c *Core) handleLoadEnded(now time.Time, e LoadEnded) []Command {
	c.loading = ""
	c.loadEndedAt = now
	c.permit = permit{}
	r, ok := c.findReady(e.Release)
	if e.Err != nil || !ok || e.State.Loaded != r.whole {
		c.loadFailure = "the engine did not report the digest of the expected weights"
		if e.Err != nil {
			c.loadFailure = e.Err.Error()
		}
		if e.State.Loaded != c.loaded.whole || e.State.Loaded == "" {
			c.loaded = readyRelease{}
		}
		return nil
	}
	c.loadFailure = ""
	c.loaded = r
	c.engine = e.State
	c.baselineLatency = 0
	c.limit = 1
	c.cold = true
	return nil
}
