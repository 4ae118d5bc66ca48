package edgerunner

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/placer"
)

// TestSeriesFollowEnginesAndPriorities guards against metrics that remain after their engines, whose
// number would grow with each start of a replica, and against series of engines of other groups.
func TestSeriesFollowEnginesAndPriorities(t *testing.T) {
	is := is.New(t)
	registry := metrics.NewRegistry()
	e := New(Config{Metrics: registry})
	fleet := func(ids ...string) placer.Fleet {
		f := placer.Fleet{
			Pools:      filbertstile.NewTable(filbertstile.PoolSpec{Service: "chat", Engine: &filbertstile.EngineSpec{}}, filbertstile.PoolSpec{Service: "plain"}),
			Priorities: map[string][]int{"chat": {0, 2}}, GroupReplicas: make(map[string]bool),
		}
		rows := []filbertstile.Replica{{ID: "p", Service: "plain", Slots: 4}, {ID: "other", Service: "chat", Slots: 4, Version: 1}}
		for _, id := range ids {
			rows, f.GroupReplicas[id] = append(rows, filbertstile.Replica{ID: id, Service: "chat", Slots: 4, Version: 1}), true
		}
		f.Replicas = filbertstile.NewTable(rows...)
		return f
	}
	series := func() (names []string) {
		e.UpdateMetrics()
		registry.Each(func(name string, _ any) {
			if strings.HasPrefix(name, "Engines.") || strings.HasPrefix(name, "Admission.Priority.") {
				names = append(names, name)
			}
		})
		return names
	}
	is.Equal(len(series()), 0)
	e.placer.SetFleet(time.Now(), fleet("1", "2"))
	is.Equal(len(series()), 2)
	e.placer.SetFleet(time.Now(), fleet("3"))
	is.Equal(series(), []string{"Engines.3.Pace"})
	now := time.Now()
	for priority := range 2 {
		_, err := e.placer.Acquire(t.Context(), placer.Request{Service: "chat", RoutePriority: priority, Arrived: now, TargetLatency: time.Second, Deadline: now.Add(time.Minute)})
		is.NoErr(err)
	}
	is.Equal(len(series()), 1+2*2)
	e.CountRefused(filbertstile.ResourceSlots)
	is.Equal(metrics.GetOrRegisterCounter("Admission.Refused.Slots", registry).Count(), int64(1))
}
