package gatekeeper

import "time"

func (c *Core) handleFinished(now time.Time, e Finished) []Command {
	if _, ok := c.running[e.ID]; !ok {
		return nil
	}
	limitReached := len(c.running) >= c.slots()
	if e.Failure == FailureUnused {
		c.queue.refund(c.running[e.ID].request.Class)
	}
	delete(c.running, e.ID)
	out := c.recordResult(now, e)
	switch e.Failure {
	case FailureNone:
		c.consecutiveFailures, c.cooldown = 0, 0
		out = append(out, c.recordLatency(e.Latency, limitReached)...)
	case FailureOverloaded:
		c.recordFailure(now)
		out = append(out, c.markCold("overloaded")...)
	case FailureBroken:
		c.recordFailure(now)
	}
	return out
}

// recordResult stores the result of a non-idempotent call and replies to the
// seal requests that wait for it.
func (c *Core) recordResult(now time.Time, e Finished) []Command {
	call := c.calls[e.ID]
	if call == nil {
		return nil
	}
	call.running = false
	call.result = e.Result
	call.resultAt = now
	var out []Command
	for _, ticket := range call.sealTickets {
		out = append(out, Sealed{Ticket: ticket, Result: call.result})
	}
	call.sealTickets = nil
	return out
}

// recordFailure counts a failure and starts a cooldown if there were enough
// consecutive ones. After the cooldown the limit is 1, so that a single request
// tests whether the backend server has recovered.
func (c *Core) recordFailure(now time.Time) {
	c.consecutiveFailures++
	if c.consecutiveFailures < failuresToCooldown {
		return
	}
	c.cooldown = min(max(minCooldown, 2*c.cooldown), maxCooldown)
	c.cooldownUntil = now.Add(c.cooldown)
	c.limit = 1
	c.cold = true
}

// recordLatency adapts the baseline and the concurrency limit to the latency of a
// response. Slow responses do not count towards the baseline.
func (c *Core) recordLatency(latency time.Duration, limitReached bool) []Command {
	latency = max(latency, minLatency)
	if c.baselineLatency == 0 {
		c.baselineLatency = latency
	}
	if float64(latency) > slowLatencyRatio*float64(c.baselineLatency) {
		c.slowResponses++
		if c.slowResponses >= slowResponsesToCold {
			return c.markCold("latency")
		}
		return nil
	}
	c.slowResponses = 0
	c.baselineLatency += time.Duration(baselineWeight * float64(latency-c.baselineLatency))
	steady := float64(latency) <= steadyLatencyRatio*float64(c.baselineLatency)
	if steady && limitReached {
		c.limit = min(c.limit+limitIncrease, float64(c.config.MaxRunning))
	}
	if c.limit >= float64(c.config.MaxRunning) {
		c.cold = false
	}
	return nil
}

// markCold resets the limit to 1 and treats the backend server as cold.
func (c *Core) markCold(reason string) []Command {
	c.limit = 1
	c.slowResponses = 0
	if c.cold {
		return nil
	}
	c.cold = true
	return []Command{WentCold{Reason: reason}}
}
