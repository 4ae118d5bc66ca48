package edgerunner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/decisions/placer"
)

// A service must count as one with different priorities only if its own routes have them.
func TestPrioritiesOfServices(t *testing.T) {
	is := is.New(t)
	route := func(name string, priority int, services ...string) filbertstile.Route {
		r := filbertstile.Route{Name: name, Priority: priority}
		for _, s := range services {
			r.Targets = append(r.Targets, filbertstile.Target{Service: s, Weight: 1})
		}
		return r
	}
	got := prioritiesOf(filbertstile.Routing{Routes: filbertstile.NewTable(
		route("a", 0, "chat"), route("b", 2, "chat", "code"), route("c", 2, "code"), route("d", 1, "mail"), route("e", 2, "chat"),
	)})
	is.Equal(got, map[string][]int{"chat": {0, 2}, "code": {2}, "mail": {1}})
}

// What an entry tells of its demands must arrive unchanged.
func TestDemandsArriveUnchanged(t *testing.T) {
	is := is.New(t)
	want := []placer.Demand{{Service: 7, Priority: 2, Late: true, PerSecond: 12.5}, {Service: 1 << 31, PerSecond: 0.25}}
	var sent []*wire.ClassDemand
	for _, d := range want {
		sent = append(sent, wireDemand(d))
	}
	is.Equal(readDemands(sent), want)
}

// An entry must report that it has no demands, or the others of its group take its demands for
// their own, only if a service needs them.
func TestDemandsAreReportedForPriorities(t *testing.T) {
	is := is.New(t)
	e := &Edge{placer: placer.New(placer.Config{})}
	f := placer.Fleet{
		Pools:      filbertstile.NewTable(filbertstile.PoolSpec{Service: "chat", Engine: &filbertstile.EngineSpec{}}),
		Replicas:   filbertstile.NewTable(filbertstile.Replica{ID: "r", Service: "chat", Slots: 4, Version: 1}),
		Priorities: map[string][]int{"chat": {1}},
	}
	e.placer.SetFleet(time.Now(), f)
	_, reported := e.demands()
	is.True(!reported)
	f.Priorities = map[string][]int{"chat": {1, 2}}
	e.placer.SetFleet(time.Now(), f)
	demands, reported := e.demands()
	is.True(reported)
	is.Equal(len(demands), 0)
}
