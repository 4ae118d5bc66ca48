package edgerunner

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"filbertstile.example/filbertstile/decisions/placer"
)

// registerGauges adds the numbers of replicas in each announced state to the metrics.
func (e *Edge) registerGauges() {
	register := func(name string, holds func(placer.State) bool) {
		// The registry rejects a name that it has, and then keeps the first gauge.
		_ = e.config.Metrics.Register(name, metrics.NewFunctionalGauge(func() int64 { return e.countReplicas(holds) }))
	}
	register("Replicas.Leaving", func(s placer.State) bool { return s.Leaving })
	register("Replicas.Paused", func(s placer.State) bool { return s.Paused > 0 })
	register("Replicas.Limited", func(s placer.State) bool { return s.Limit.Named })
}

// countReplicas returns the number of replicas for which holds is true.
func (e *Edge) countReplicas(holds func(placer.State) bool) int64 {
	n := int64(0)
	states, _ := e.placer.Dump(time.Now())
	for _, s := range states {
		if holds(s) {
			n++
		}
	}
	return n
}
