package forwarder_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile"
)

// TestRequestThatCrashesReplicas guards against a request that ends one replica of a plain
// service after the other.
func TestRequestThatCrashesReplicas(t *testing.T) {
	for _, entries := range []int{1, 12, 100} {
		for _, replicas := range []int{3, 24} {
			for _, kind := range []filbertstile.CallKind{filbertstile.CallIdempotent, filbertstile.CallNonIdempotent} {
				for seed := range uint64(2) {
					t.Run(fmt.Sprintf("entries=%d/replicas=%d/%s/seed=%d", entries, replicas, kind, seed), func(t *testing.T) {
						is := is.New(t)
						w := wave{entries: entries, replicas: replicas, plain: true, kind: kind, repeatsPerSecond: 2, soundPerReplica: 4, seed: seed}
						got := w.play(t)
						w.repeatsPerSecond = 0
						sound := w.play(t)
						t.Logf("without: %+v, with: %+v", sound, got)
						is.True(got.repeatsAfter <= 3)
						is.True(got.servedAtLast >= sound.servedAtLast/2)
					})
				}
			}
		}
	}
}
