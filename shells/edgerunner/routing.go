package edgerunner

import (
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/decisions/matcher"
	"filbertstile.example/filbertstile/shells/forwarder"
)

// currentMatcher returns the matcher of the latest known routing, and the time since the store
// confirmed that routing; nil if none is known. Matcher and age belong together: a copy that
// has just been confirmed says nothing about the routing before it, nor does one of a new era
// confirm anything before it has been compared with what other entries have in force.
func (e *Edge) currentMatcher() (m *matcher.Matcher, age time.Duration) {
	v := e.sources.Routing.View()
	if !v.Listed {
		return e.matcher.Load(), e.config.Clock() - v.ConfirmedAt
	}
	r, ok := v.Rows.Get(filbertstile.Routing{}.Key())
	version := r.Version
	if m := e.matcher.Load(); m != nil {
		version = max(version, m.Routing().Version)
	}
	inForce := e.comparison.holds(v.Era, version) || e.compare(v, version)
	if ok && (inForce || e.matcher.Load() != nil) && e.applyRouting(r) {
		e.config.Log.Event(reporter.ChangeApplied, reporter.Fields{"Config": r.Version, "Routes": r.Routes.Len(), "Era": v.Era, "Source": e.sourceName()})
	}
	if !inForce {
		return e.matcher.Load(), e.comparison.age(e.config.Clock())
	}
	e.comparison.confirm(v.ConfirmedAt)
	return e.matcher.Load(), e.config.Clock() - v.ConfirmedAt
}

// applyRouting puts the routing in use unless a later version is, and reports whether it has.
func (e *Edge) applyRouting(r filbertstile.Routing) bool {
	inUse := func() bool {
		m := e.matcher.Load()
		return m != nil && m.Routing().Version >= r.Version
	}
	if inUse() {
		return false
	}
	e.routingMu.Lock()
	defer e.routingMu.Unlock()
	if inUse() {
		return false
	}
	e.matcher.Store(matcher.New(r))
	return true
}

// situation returns the situation of the entry for the log events of requests.
func (e *Edge) situation() forwarder.Situation {
	s := forwarder.Situation{Leaving: e.leaving.Load()}
	if m := e.matcher.Load(); m != nil {
		s.ConfigVersion = m.Routing().Version
	}
	return s
}
