package edgerunner

import (
	"time"

	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/decisions/placer"
)

// demands returns the rates at which requests arrive at this entry, for services with admission
// by priority, and whether there are such services.
func (e *Edge) demands() (demands []*wire.ClassDemand, known bool) {
	list, known := e.placer.Demands(time.Now())
	for _, d := range list {
		demands = append(demands, wireDemand(d))
	}
	return demands, known
}

func wireDemand(d placer.Demand) *wire.ClassDemand {
	return &wire.ClassDemand{Service: d.Service, Priority: int32(d.Priority), Late: d.Late, PerSecond: float32(d.PerSecond)}
}

// readDemands returns the demands that another entry has reported.
func readDemands(demands []*wire.ClassDemand) []placer.Demand {
	out := make([]placer.Demand, 0, len(demands))
	for _, d := range demands {
		out = append(out, placer.Demand{Service: d.GetService(), Priority: int(d.GetPriority()), Late: d.GetLate(), PerSecond: float64(d.GetPerSecond())})
	}
	return out
}
