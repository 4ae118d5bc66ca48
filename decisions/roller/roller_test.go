package roller_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/roller"
	"filbertstile.example/filbertstile/decisions/router"
	"filbertstile.example/filbertstile/rigs/bubbler"
)

func TestMain(m *testing.M) { os.Exit(bubbler.Main(m)) }

// TestRolloutKeepsFloorAndCompletes guards against permits that leave fewer replicas
// serving than the floor, and against rollouts that never complete. It simulates a
// rollout in which replicas stop serving while they switch.
func TestRolloutKeepsFloorAndCompletes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "replicas")
		percent := rapid.IntRange(0, 100).Draw(t, "floor")
		c := filbertstile.Config{
			Services: filbertstile.NewTable(filbertstile.Service{Name: "m", Kind: filbertstile.ServiceModel, Release: "new", CapacityFloorPercent: percent}),
			Releases: filbertstile.NewTable(filbertstile.Release{Name: "new", Service: "m"}),
		}
		replicas := make([]router.Replica, n)
		for i := range replicas {
			replicas[i] = router.Replica{
				Host: filbertstile.Member{Name: fmt.Sprint("h", i), Service: "m"}, Connected: true,
				Load: router.Load{Serving: rapid.Bool().Draw(t, "serving"), Limit: 4, Running: rapid.IntRange(0, 2).Draw(t, "running"), Release: "old", Ready: "new"},
			}
		}
		for range 10 * n {
			serving := countServing(replicas)
			permits := roller.Plan(c, replicas, roller.Lease{Epoch: 1, Until: time.Unix(1, 0)})
			for _, p := range permits {
				for i := range replicas {
					if replicas[i].Host.Name == p.Host.Name {
						replicas[i].Load.Serving = false
					}
				}
			}
			if after := countServing(replicas); after < serving && after < roller.CapacityFloor(n, percent) {
				t.Fatalf("%d of %d replicas serve, the floor is %d", after, n, roller.CapacityFloor(n, percent))
			}
			for _, p := range permits {
				for i := range replicas {
					if replicas[i].Host.Name == p.Host.Name {
						replicas[i].Load = router.Load{Serving: true, Limit: 4, Release: "new", Ready: "new"}
					}
				}
			}
		}
		for _, r := range replicas {
			if r.Load.Release != "new" {
				t.Fatalf("the rollout did not complete: %+v", replicas)
			}
		}
	})
}

func countServing(replicas []router.Replica) int {
	n := 0
	for _, r := range replicas {
		if r.Load.Serving {
			n++
		}
	}
	return n
}
