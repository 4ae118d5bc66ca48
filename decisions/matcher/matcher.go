// Package matcher finds the route and the client account of a request.
package matcher

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"filbertstile.example/filbertstile"
)

// Matcher is an index of one version of the routing. It is immutable.
type Matcher struct {
	routing filbertstile.Routing
	hosts   map[string][]filbertstile.Route
	keys    map[string]filbertstile.AccountAccess
}

// New indexes the routing.
func New(r filbertstile.Routing) *Matcher {
	m := &Matcher{routing: r, hosts: make(map[string][]filbertstile.Route), keys: make(map[string]filbertstile.AccountAccess)}
	for _, x := range r.Routes.All() {
		m.hosts[x.HostName] = append(m.hosts[x.HostName], x)
	}
	for _, routes := range m.hosts {
		slices.SortStableFunc(routes, func(a, b filbertstile.Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	for _, t := range r.Accounts.All() {
		for _, k := range t.Keys {
			m.keys[k] = t
		}
	}
	return m
}

// Routing returns what is indexed.
func (m *Matcher) Routing() filbertstile.Routing { return m.routing }

// Route returns the route of the host name with the longest prefix of the path.
func (m *Matcher) Route(hostName, path string) (filbertstile.Route, bool) {
	for _, r := range m.hosts[nameOf(hostName)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return filbertstile.Route{}, false
}

// Regions returns where the requests for a host name may be served; nil means
// anywhere.
func (m *Matcher) Regions(hostName string) []string {
	var out []string
	for _, r := range m.hosts[nameOf(hostName)] {
		if len(r.Regions) == 0 {
			return nil
		}
		out = append(out, r.Regions...)
	}
	return out
}

// Account returns the account that holds the key.
func (m *Matcher) Account(key string) (filbertstile.AccountAccess, bool) {
	t, ok := m.keys[key]
	return t, ok
}

// Service returns the service of the route that the request goes to: each
// target gets its share of the request ids.
func Service(r filbertstile.Route, requestID string) string {
	total := 0
	for _, t := range r.Targets {
		total += max(0, t.Weight)
	}
	if total == 0 {
		return ""
	}
	at := int(xxhash.Sum64String(requestID) % uint64(total))
	for _, t := range r.Targets {
		at -= max(0, t.Weight)
		if at < 0 {
			return t.Service
		}
	}
	return ""
}

// Both returns the regions that both lists allow; an empty list allows all, and
// nothing in common is told by false.
func Both(a, b []string) ([]string, bool) {
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

// nameOf drops the port and folds the case.
func nameOf(hostName string) string {
	name, _, _ := strings.Cut(hostName, ":")
	return strings.ToLower(name)
}
