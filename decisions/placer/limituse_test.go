package placer_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/placer"
)

// TestShareIsUsedBesideIdleReplicas guards against a holder of a limit whose requests all go to
// other replicas that are as idle, while its share is lost.
func TestShareIsUsedBesideIdleReplicas(t *testing.T) {
	const (
		duration = 10 * time.Second
		limit    = 1
		seeds    = 100
	)
	for _, c := range []struct {
		replicas int
		interval time.Duration
		// domain is that of the limited replica.
		domain string
	}{
		{2, 400 * time.Millisecond, "a"}, {3, 400 * time.Millisecond, "a"}, {12, 400 * time.Millisecond, "a"}, {100, 400 * time.Millisecond, "a"},
		{12, 400 * time.Millisecond, "b"}, {12, 10 * time.Millisecond, "a"}, {12, 10 * time.Millisecond, "b"},
	} {
		t.Run(fmt.Sprintf("replicas=%d/interval=%v/domain=%v", c.replicas, c.interval, c.domain), func(t *testing.T) {
			least, most := int(duration/time.Second), 0
			for seed := range uint64(seeds) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					p := placer.New(placer.Config{Region: "a", Seed: seed})
					f := fleet(c.replicas, 16, 100, 0)
					limited, _ := f.Replicas.Get("r00")
					limited.Domain = c.domain
					f.Replicas = filbertstile.NewTable(append(f.Replicas.All()[1:], limited)...)
					p.SetFleet(time.Now(), f)
					p.Announced("r00", time.Time{}, named(limit))
					used := 0
					for range duration / c.interval {
						time.Sleep(c.interval)
						g, err := p.Acquire(t.Context(), request(1))
						is.NoErr(err)
						is.True(p.ConfirmSend(&g))
						if g.Replica.ID == "r00" {
							used++
							p.Announced("r00", time.Time{}, named(limit))
						}
						time.AfterFunc(20*time.Millisecond, func() { p.Release(&g, placer.Completed) })
					}
					time.Sleep(time.Second)
					least, most = min(least, used), max(most, used)
				})
			}
			t.Logf("%d to %d of %v requests", least, most, limit*duration.Seconds())
			is := is.New(t)
			is.True(float64(most) <= limit*duration.Seconds())
			is.True(float64(least) >= 0.4*limit*duration.Seconds())
		})
	}
}
