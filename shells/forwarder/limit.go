package forwarder

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"filbertstile.example/filbertstile/base/reporter"
)

// Names of the limits of a request, as in log events.
const (
	limitRoute  = "Route"
	limitCaller = "Caller"
)

// Situation is the situation of the entry when a request or an attempt ends.
type Situation struct {
	// ConfigVersion is the latest known version of the routing; 0 if it is not known.
	ConfigVersion int64
	// Leaving is true after a planned stop has begun.
	Leaving bool
}

// errLimitReached is the cause with which a request ends at its limit.
var errLimitReached = fmt.Errorf("the time limit has been reached: %w", context.DeadlineExceeded)

// limitReached reports whether the request has ended at its limit.
func (x *requestState) limitReached() bool {
	return errors.Is(context.Cause(x.ctx), context.DeadlineExceeded)
}

// RouteLimit returns the time at which the route ends the call. A change of the configuration
// moves it only to a later time.
func (c *Call) RouteLimit() time.Time {
	if c.LatestDeadline != nil {
		if latest := c.LatestDeadline(); latest.After(c.Deadline) {
			return latest
		}
	}
	return c.Deadline
}

// Limit returns the time at which the call ends, as far as is known.
func (c *Call) Limit() time.Time {
	limit, _ := c.limit()
	return limit
}

// limit returns the time at which the call ends, and the name of the limit.
func (c *Call) limit() (time.Time, string) {
	limit := c.RouteLimit()
	if !c.CallerDeadline.IsZero() && !c.CallerDeadline.After(limit) {
		return c.CallerDeadline, limitCaller
	}
	return limit, limitRoute
}

// waited returns how long the caller had waited before the request arrived, by the time that it
// has left of what the route allows; 0 if it resumes a stream, which had begun.
func (c *Call) waited() time.Duration {
	if c.CallerDeadline.IsZero() || c.Route.Timeout <= 0 || c.LastEventID.Known() {
		return 0
	}
	return max(0, c.Route.Timeout-c.CallerDeadline.Sub(c.Arrived))
}

// replicaDeadline returns the time until which replicas may work.
func (c *Call) replicaDeadline() time.Time {
	if !c.ReplicaDeadline.IsZero() {
		return c.ReplicaDeadline
	}
	return c.Limit()
}

// limitWatch watches the limit of a call.
type limitWatch struct {
	call    *Call
	moved   func(limit time.Time)
	reached func()

	mu    sync.Mutex
	timer *time.Timer
	done  bool
}

// WatchLimit calls reached once the limit of the call has passed. If the limit turns out to have
// moved by then, it calls moved and waits on. Neither is called after end has returned.
func (c *Call) WatchLimit(moved func(limit time.Time), reached func()) (end func()) {
	w := &limitWatch{call: c, moved: moved, reached: reached}
	w.mu.Lock()
	defer w.mu.Unlock()
	left := time.Until(c.Limit())
	if left <= 0 {
		reached()
		return func() {}
	}
	w.timer = time.AfterFunc(left, w.due)
	return w.end
}

// due is called when the limit has passed that was last known.
func (w *limitWatch) due() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done {
		return
	}
	limit := w.call.Limit()
	if left := time.Until(limit); left > 0 {
		w.moved(limit)
		w.timer.Reset(left)
		return
	}
	w.done = true
	w.reached()
}

func (w *limitWatch) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done = true
	w.timer.Stop()
}

// addLimitFields adds what tells whether a limit, a stop or a change of the configuration ended
// the request or the attempt.
func (x *requestState) addLimitFields(f reporter.Fields) {
	c, now := x.call, x.forwarder.config.Situation()
	limit, name := c.limit()
	f["Limit"], f["LimitLeft"], f["Leaving"] = name, time.Until(limit).String(), now.Leaving
	if now.ConfigVersion != 0 && now.ConfigVersion != c.ConfigVersion {
		f["ConfigNow"] = now.ConfigVersion
	}
}
