package placer

import (
	"maps"
	"slices"
	"time"

	"filbertstile.example/filbertstile/decisions/admitter"
)

// EngineFigures are the figures of an engine of the entry's group.
type EngineFigures struct {
	Replica string
	// Pace is how much slower than its specification the engine counts.
	Pace float64
}

// PriorityFigures are the figures of a priority, over all services with admission by priority.
type PriorityFigures struct {
	Priority int
	// Reserve is the number of free slots that are left to more urgent requests.
	Reserve int
	// Floor is the share of the arrivals that is admitted whatever the priority: the lowest of the
	// services.
	Floor float64
}

// Engines returns the figures of the engines of the entry's group. Unlike Dump it does not visit those
// of other groups.
func (p *Placer) Engines(now time.Time) []EngineFigures {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []EngineFigures
	for _, service := range slices.Sorted(maps.Keys(p.byService)) {
		spec := p.engine(service)
		if spec == nil {
			continue
		}
		delay := p.laterDelay(service, spec)
		for _, r := range p.byService[service].own {
			r.usePace(now, delay)
			out = append(out, EngineFigures{Replica: r.replica.ID, Pace: r.pace()})
		}
	}
	return out
}

// FiguresByPriority returns the figures of the priorities of requests that can be in time.
func FiguresByPriority(admissions []AdmissionState) []PriorityFigures {
	byPriority := make(map[int]PriorityFigures)
	for _, a := range admissions {
		for _, c := range a.Classes {
			if !c.Class.Late {
				byPriority[c.Class.Priority] = merge(byPriority, c)
			}
		}
	}
	out := make([]PriorityFigures, 0, len(byPriority))
	for _, priority := range slices.Sorted(maps.Keys(byPriority)) {
		out = append(out, byPriority[priority])
	}
	return out
}

// merge returns the figures of the priority with those of a class of another service.
func merge(byPriority map[int]PriorityFigures, c admitter.Stats) PriorityFigures {
	out, known := byPriority[c.Class.Priority]
	if !known {
		return PriorityFigures{Priority: c.Class.Priority, Reserve: c.Reserve, Floor: c.Floor}
	}
	out.Reserve, out.Floor = out.Reserve+c.Reserve, min(out.Floor, c.Floor)
	return out
}
