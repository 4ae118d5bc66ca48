package edgerunner

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"filbertstile.example/filbertstile/decisions/placer"
	"filbertstile.example/filbertstile/shells/forwarder"
)

// registerGauges adds the numbers of replicas in each announced state and of slow engines, the
// expected and the real cost of requests, their first events, and what they use, to the metrics.
func (e *Edge) registerGauges() {
	registerCost := func(name string, value func(placer.Costs) int64) {
		_ = e.config.Metrics.Register(name, metrics.NewFunctionalGauge(func() int64 { return value(e.placer.Costs()) }))
	}
	register := func(name string, holds func(placer.State) bool) {
		// The registry rejects a name that it has, and then keeps the first gauge.
		_ = e.config.Metrics.Register(name, metrics.NewFunctionalGauge(func() int64 { return e.countReplicas(holds) }))
	}
	register("Replicas.Leaving", func(s placer.State) bool { return s.Leaving })
	register("Replicas.Paused", func(s placer.State) bool { return s.Paused > 0 })
	register("Replicas.Limited", func(s placer.State) bool { return s.Limit.Named })
	register("Replicas.SlowReported", func(s placer.State) bool { return s.Load.Pace > 1 })
	register("Replicas.SlowSeen", func(s placer.State) bool { return s.UsedPace > max(1, s.Load.Pace) })
	registerUsage := func(name string, value func(forwarder.Usage) int64) {
		_ = e.config.Metrics.Register(name, metrics.NewFunctionalGauge(func() int64 { return value(e.forwarder.Usage()) }))
	}
	registerUsage("Admission.Admitted", func(u forwarder.Usage) int64 { return u.Admitted })
	registerUsage("Memory.Responses", func(u forwarder.Usage) int64 { return u.ResponseBytes })
	registerUsage("Memory.Streams", func(u forwarder.Usage) int64 { return u.StreamBytes })
	registerFirst := func(name string, value func(count int64, expected, observed time.Duration) int64) {
		_ = e.config.Metrics.Register(name, metrics.NewFunctionalGauge(func() int64 { return value(e.placer.FirstEvents()) }))
	}
	registerFirst("FirstEvents.Count", func(count int64, _, _ time.Duration) int64 { return count })
	registerFirst("FirstEvents.ExpectedMicroseconds", func(_ int64, expected, _ time.Duration) int64 { return expected.Microseconds() })
	registerFirst("FirstEvents.ObservedMicroseconds", func(_ int64, _, observed time.Duration) int64 { return observed.Microseconds() })
	registerCost("Costs.Responses", func(c placer.Costs) int64 { return c.Responses })
	registerCost("Costs.ExpectedTokens", func(c placer.Costs) int64 { return c.ExpectedTokens })
	registerCost("Costs.Tokens", func(c placer.Costs) int64 { return c.Tokens })
	registerCost("Costs.ExpectedMilliseconds", func(c placer.Costs) int64 { return c.ExpectedTime.Milliseconds() })
	registerCost("Costs.Milliseconds", func(c placer.Costs) int64 { return c.Time.Milliseconds() })
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
