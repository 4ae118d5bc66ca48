package forwarder

import (
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

// limitName returns the name of the limit that ends the request.
func (c *Call) limitName() string {
	if !c.CallerDeadline.IsZero() && !c.CallerDeadline.After(c.Deadline) {
		return limitCaller
	}
	return limitRoute
}

// addLimitFields adds what tells whether a limit, a stop or a change of the configuration ended
// the request or the attempt.
func (x *requestState) addLimitFields(f reporter.Fields) {
	c, now := x.call, x.forwarder.config.Situation()
	f["Limit"], f["LimitLeft"], f["Leaving"] = c.limitName(), time.Until(c.Deadline).String(), now.Leaving
	if now.ConfigVersion != 0 && now.ConfigVersion != c.ConfigVersion {
		f["ConfigNow"] = now.ConfigVersion
	}
}
