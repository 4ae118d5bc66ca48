package edgerunner

import (
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/placer"
)

// series are gauges whose names come and go. They are set when the metrics are read, so that requests
// pay nothing for them.
type series struct {
	registry metrics.Registry

	mu sync.Mutex
	// names holds the names of the gauges that are registered.
	names map[string]bool
}

func newSeries(r metrics.Registry) *series {
	return &series{registry: r, names: make(map[string]bool)}
}

// set replaces the gauges.
func (s *series) set(values map[string]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.names {
		if _, ok := values[name]; !ok {
			s.registry.Unregister(name)
			delete(s.names, name)
		}
	}
	for name, v := range values {
		metrics.GetOrRegisterGaugeFloat64(name, s.registry).Update(v)
		s.names[name] = true
	}
}

// UpdateMetrics sets the metrics that are worked out only when they are read: the reserve and the floor
// by priority, and the pace of each engine of the entry's group.
func (e *Edge) UpdateMetrics() {
	now, values := time.Now(), make(map[string]float64)
	for _, p := range placer.FiguresByPriority(e.placer.Admissions(now)) {
		name := "Admission.Priority." + strconv.Itoa(p.Priority)
		values[name+".Reserve"], values[name+".Floor"] = float64(p.Reserve), p.Floor
	}
	for _, x := range e.placer.Engines(now) {
		values["Engines."+x.Replica+".Pace"] = x.Pace
	}
	e.series.set(values)
}

// CountRefused counts a request that ended without having run, by what it did not get.
func (e *Edge) CountRefused(short filbertstile.Resource) {
	metrics.GetOrRegisterCounter("Admission.Refused."+string(short), e.config.Metrics).Inc(1)
}

// shortOf returns what a request did not get that was rejected with the code before it was forwarded.
func shortOf(code string) filbertstile.Resource {
	switch code {
	case CodeNotReady, CodeStale:
		return filbertstile.ResourceConfiguration
	case CodeLeaving:
		return filbertstile.ResourceEntry
	case CodeNoCommonRegion:
		return filbertstile.ResourceReplicas
	}
	return filbertstile.ResourceNone
}
