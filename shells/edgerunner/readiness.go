package edgerunner

import "filbertstile.example/filbertstile/base/reporter"

// current reports whether the store has confirmed this entry's view within maxViewAge.
func (e *Edge) current() bool {
	if !e.sources.Routing.View().Listed {
		return false
	}
	_, age := e.currentMatcher()
	return age < maxViewAge
}

// Ready reports whether the entry is ready for requests: it has a complete and current
// view, and no planned stop has begun.
func (e *Edge) Ready() bool {
	return !e.leaving.Load() && e.matcher.Load() != nil && e.replicasKnown.Load() && e.current()
}

// logReadiness logs a change of readiness.
func (e *Edge) logReadiness() {
	ready := e.Ready()
	e.mu.Lock()
	changed := ready != e.loggedReady
	e.loggedReady = ready
	e.mu.Unlock()
	if !changed {
		return
	}
	age, known := e.sources.Routing.Age()
	event := reporter.ViewStale
	if ready {
		event = reporter.ProcessReady
	}
	e.config.Log.Event(event, reporter.Fields{"Age": age.String(), "Known": known, "Leaving": e.leaving.Load()})
}
