package edgerunner

import (
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/shells/forwarder"
)

const (
	// defaultTimeout is the maximum timeout of a request whose route sets none.
	defaultTimeout = 30 * time.Second
	// timeoutAllowance is added to the route's timeout, so that a response that is complete
	// as the time runs out still arrives.
	timeoutAllowance = 30 * time.Millisecond
)

// setLimits sets the time limits of an admitted call. The route's limit follows the
// configuration; the caller's does not.
func (e *Edge) setLimits(c *forwarder.Call, req Request) {
	c.Deadline = routeDeadline(req, c.Route)
	c.LatestDeadline = func() time.Time { return e.latestDeadline(c, req) }
	// Replicas stop at the time that they are told, and cannot be told of a later one: the
	// entry closes their connections at the route's limit.
	c.ReplicaDeadline = req.Arrived.Add(max(defaultTimeout, c.Route.Timeout))
	if req.Timeout > 0 {
		c.CallerDeadline = req.Arrived.Add(req.Timeout)
		c.ReplicaDeadline = c.CallerDeadline
	}
}

// routeDeadline returns the time at which the route ends the request.
func routeDeadline(req Request, route filbertstile.Route) time.Time {
	timeout := route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return req.Arrived.Add(timeout + timeoutAllowance)
}

// latestDeadline returns the time at which the call's route ends it by the latest routing; zero
// if that is the routing at admission, or if the route no longer serves the request.
func (e *Edge) latestDeadline(c *forwarder.Call, req Request) time.Time {
	m, _ := e.currentMatcher()
	if m == nil || m.Routing().Version == c.ConfigVersion {
		return time.Time{}
	}
	route, ok := m.Route(req.HostName, req.Path)
	if !ok || route.Name != c.Route.Name {
		return time.Time{}
	}
	return routeDeadline(req, route)
}
