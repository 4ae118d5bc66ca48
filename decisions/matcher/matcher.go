// Package matcher finds the route and the client account of a request.
package matcher

import (
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"filbertstile.example/filbertstile"
)

// Matcher is an immutable index of one version of the routing.
type Matcher struct {
	routing          filbertstile.Routing
	routesByHostName map[string][]filbertstile.Route
	accountsByKey    map[string]filbertstile.AccountAccess
}

// New returns an index of the routing.
func New(r filbertstile.Routing) *Matcher {
	m := &Matcher{routing: r, routesByHostName: make(map[string][]filbertstile.Route), accountsByKey: make(map[string]filbertstile.AccountAccess)}
	for _, route := range r.Routes.All() {
		name := withoutBrackets(route.HostName)
		m.routesByHostName[name] = append(m.routesByHostName[name], route)
	}
	for _, routes := range m.routesByHostName {
		slices.SortStableFunc(routes, func(a, b filbertstile.Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	for _, a := range r.Accounts.All() {
		for _, k := range a.Keys {
			m.accountsByKey[k] = a
		}
	}
	return m
}

// Routing returns the indexed routing.
func (m *Matcher) Routing() filbertstile.Routing { return m.routing }

// Route returns the route of the host name whose path prefix is the longest that
// matches the path, and whether there is one.
func (m *Matcher) Route(hostName, path string) (filbertstile.Route, bool) {
	for _, r := range m.routesByHostName[normalizeHostName(hostName)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return filbertstile.Route{}, false
}

// Regions returns the regions that may serve requests for a host name; nil means
// all.
func (m *Matcher) Regions(hostName string) []string {
	var out []string
	for _, r := range m.routesByHostName[normalizeHostName(hostName)] {
		if len(r.Regions) == 0 {
			return nil
		}
		out = append(out, r.Regions...)
	}
	return out
}

// Account returns the access of the account with the API key, and whether there is
// one. A request without a key belongs to no account, even if one lists an empty key.
func (m *Matcher) Account(key string) (filbertstile.AccountAccess, bool) {
	a, ok := m.accountsByKey[key]
	return a, ok && key != ""
}

// ChooseService returns the service that the route sends the request to, or "" if no
// target has weight. The hash of the request ID determines the target, in proportion
// to the weights.
func ChooseService(r filbertstile.Route, requestID string) string {
	// The sum of all weights must not overflow.
	limit := math.MaxInt / max(1, len(r.Targets))
	weight := func(t filbertstile.Target) int { return min(max(0, t.Weight), limit) }
	total := 0
	for _, t := range r.Targets {
		total += weight(t)
	}
	if total == 0 {
		return ""
	}
	position := int(xxhash.Sum64String(requestID) % uint64(total))
	for _, t := range r.Targets {
		position -= weight(t)
		if position < 0 {
			return t.Service
		}
	}
	return ""
}

// CommonRegions returns the regions that both lists allow, and whether there are
// any. An empty list allows all regions.
func CommonRegions(a, b []string) ([]string, bool) {
	if len(a) == 0 {
		return b, true
	}
	if len(b) == 0 {
		return a, true
	}
	var out []string
	for _, r := range a {
		if slices.Contains(b, r) {
			out = append(out, r)
		}
	}
	return out, len(out) > 0
}

// withoutBrackets returns the host name of a route, without the brackets of an IPv6 address.
func withoutBrackets(hostName string) string {
	if address, closed := strings.CutSuffix(hostName, "]"); closed {
		return strings.TrimPrefix(address, "[")
	}
	return hostName
}

// normalizeHostName returns the host name or address in lower case, without the port and without
// the brackets of an IPv6 address. What is neither is returned as it is.
func normalizeHostName(hostName string) string {
	name := strings.ToLower(hostName)
	if strings.HasPrefix(name, "[") {
		address, port, closed := strings.Cut(name[1:], "]")
		if closed && (port == "" || port[0] == ':') {
			return address
		}
		return name
	}
	if host, _, hasPort := strings.Cut(name, ":"); hasPort && strings.Count(name, ":") == 1 {
		return host
	}
	return name
}
