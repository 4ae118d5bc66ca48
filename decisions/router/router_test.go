package router_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/router"
	"filbertstile.example/filbertstile/rigs/bubbler"
)

func TestMain(m *testing.M) { os.Exit(bubbler.Main(m)) }

// TestChoosesEligibleReplicaNearby guards against the choice of a replica that must
// not get the request, against no choice although a replica has a free slot, and
// against the choice of a distant replica although one in the entry's failure domain
// has a free slot. The states of the replicas are random.
func TestChoosesEligibleReplicaNearby(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1e9, 0)
		c := filbertstile.Config{Marks: filbertstile.NewTable(filbertstile.Mark{Kind: filbertstile.MarkDomain, Name: "d0", Out: true})}
		q := router.Query{Now: now, Service: "m", Domain: "d1", Region: "r1", Config: c, TopTier: rapid.Bool().Draw(t, "top tier"), Affinity: rapid.Uint64Range(0, 3).Draw(t, "affinity")}
		if rapid.Bool().Draw(t, "pinned") {
			q.Whole = "w1"
		}
		var replicas []router.Replica
		for i := range rapid.IntRange(0, 12).Draw(t, "replicas") {
			r := router.Replica{
				Host: filbertstile.Member{Name: fmt.Sprint("h", i), Service: "m", Domain: fmt.Sprint("d", i%3), Region: fmt.Sprint("r", i%3)},
				Load: router.Load{
					Limit: rapid.IntRange(1, 4).Draw(t, "limit"), Running: rapid.IntRange(0, 6).Draw(t, "running"),
					Serving: rapid.Bool().Draw(t, "serving"), Leaving: rapid.Bool().Draw(t, "leaving"), Whole: filbertstile.Digest(fmt.Sprint("w", i%2)),
				},
				Connected: rapid.Bool().Draw(t, "connected"),
			}
			if rapid.Bool().Draw(t, "in cooldown") {
				r = r.WithCooldown(now.Add(time.Second))
			}
			replicas = append(replicas, r)
		}
		chosen := router.Choose(q, replicas, rand.New(rand.NewPCG(1, 1)))
		for _, r := range chosen {
			if !router.Eligible(q, r) || r.Host.Domain == "d0" || now.Before(r.CooldownUntil) || !r.Load.Serving || q.Whole != "" && r.Load.Whole != q.Whole {
				t.Fatalf("chose replica that must not get the request: %+v", r)
			}
		}
		for _, r := range replicas {
			free := router.Eligible(q, r) && !now.Before(r.CooldownUntil) && r.EstimatedRequests() < r.Load.Limit
			if free && len(chosen) == 0 {
				t.Fatalf("%+v has a free slot, but no replica was chosen", r)
			}
			if free && r.Host.Domain == q.Domain && len(chosen) == 1 && chosen[0].Host.Domain != q.Domain {
				t.Fatalf("%+v in the entry's domain has a free slot, but %+v was chosen", r, chosen[0])
			}
		}
	})
}
