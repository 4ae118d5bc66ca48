package placer_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/placer"
)

// BenchmarkAcquire measures the placement of a request on one of the 11 replicas of the group,
// by the number of replicas of all groups.
func BenchmarkAcquire(b *testing.B) {
	for _, replicas := range []int{11, 138, 1000, 10000} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			f := fleet(replicas, 1<<20, 100, 0)
			f.GroupReplicas, f.GroupEntries = make(map[string]bool), 8
			for i := range 11 {
				f.GroupReplicas[fmt.Sprintf("r%02d", i)] = true
			}
			p := placer.New(placer.Config{Region: "a", Seed: 1, ColdBurst: 1.5, ColdSlack: 5})
			p.SetFleet(time.Now(), f)
			b.ReportAllocs()
			for b.Loop() {
				req := request(100)
				req.TargetLatency = time.Hour
				g, err := p.Acquire(context.Background(), req)
				if err != nil {
					b.Fatal(err)
				}
				p.Release(&g, placer.Completed)
			}
		})
	}
}

// BenchmarkAcquirePaced measures the placement of a request on one of 11 engines that report paces.
func BenchmarkAcquirePaced(b *testing.B) {
	p := placer.New(placer.Config{Region: "a", Seed: 1})
	f := fleet(11, 1<<20, 8, 0)
	p.SetFleet(time.Now(), f)
	for _, r := range f.Replicas.All() {
		p.SetReplicaLoad(time.Now().Add(time.Hour), r.Address, placer.ReplicaLoad{Version: 1, Pace: 1})
	}
	b.ReportAllocs()
	for b.Loop() {
		req := request(100)
		req.TargetLatency, req.Output.Route = time.Hour, "route"
		g, err := p.Acquire(context.Background(), req)
		if err != nil {
			b.Fatal(err)
		}
		p.EventArrived(&g)
		p.Release(&g, placer.Completed)
	}
}

// BenchmarkEventArrived measures what an event of a stream costs.
func BenchmarkEventArrived(b *testing.B) {
	for _, pace := range []float64{0, 1} {
		b.Run(fmt.Sprintf("pace %v", pace), func(b *testing.B) {
			p := placer.New(placer.Config{Region: "a", Seed: 1})
			p.SetFleet(time.Now(), fleet(1, 1<<20, 1, 0))
			p.SetReplicaLoad(time.Now(), "10.0.0.0:1", placer.ReplicaLoad{Version: 1, Pace: pace})
			g, err := p.Acquire(context.Background(), request(100))
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				p.EventArrived(&g)
			}
		})
	}
}

// BenchmarkAcquirePrioritized is like BenchmarkAcquire, with admission by priority.
func BenchmarkAcquirePrioritized(b *testing.B) {
	f := fleet(138, 1<<20, 100, 0)
	f.GroupReplicas, f.GroupEntries, f.Priorities = make(map[string]bool), 8, map[string][]int{model: {0, 1, 2}}
	for i := range 11 {
		f.GroupReplicas[fmt.Sprintf("r%02d", i)] = true
	}
	p := placer.New(placer.Config{Region: "a", Seed: 1, ColdBurst: 1.5, ColdSlack: 5})
	var peers []filbertstile.Member
	for i := range 7 {
		peers = append(peers, filbertstile.Member{Name: fmt.Sprint("peer-", i)})
	}
	p.RetainPeers(time.Now(), peers)
	p.SetFleet(time.Now(), f)
	for _, m := range peers {
		p.SetPeerDemands(m.Name, []placer.Demand{{Service: placer.HashOf(model), PerSecond: 10}, {Service: placer.HashOf(model), Priority: 1, PerSecond: 10}})
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		req := request(100)
		req.TargetLatency, req.Priority, req.Route = time.Hour, i%3, "route"
		g, err := p.Acquire(context.Background(), req)
		if err != nil {
			b.Fatal(err)
		}
		p.Release(&g, placer.Completed)
	}
}
