package tracker_test

import (
	"fmt"
	"testing"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/outside/tracker"
)

// BenchmarkFollow measures an update of 20 replicas, by the number of replicas.
func BenchmarkFollow(b *testing.B) {
	const changes = 20
	for _, replicas := range []int{138, 1000, 10000} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			tr := tracker.New(tracker.Config[filbertstile.Replica]{
				Prefix: "servers/", OnChange: func() {}, Clock: func() time.Duration { return 0 },
				Decode: func(o filbertstile.Object) (filbertstile.Replica, error) { return filbertstile.Replica{ID: o.Key}, nil },
			})
			u := tracker.Update{Era: 1, Revision: 1, Complete: true}
			for i := range replicas {
				u.Objects = append(u.Objects, filbertstile.Object{Key: fmt.Sprintf("servers/%05d", i)})
			}
			tr.Follow(u, 0)
			changed := u.Objects[:changes]
			b.ReportAllocs()
			for b.Loop() {
				u = tracker.Update{Era: 1, From: u.Revision, Revision: u.Revision + 1, Objects: changed}
				if !tr.Follow(u, 0) {
					b.Fatal("the update does not continue the copy")
				}
			}
		})
	}
}
