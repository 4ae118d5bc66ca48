package edgerunner

import (
	"fmt"
	"testing"

	"filbertstile.example/filbertstile"
)

// BenchmarkRelaysFor measures the choice of a group's relays for 92 entries of other groups.
func BenchmarkRelaysFor(b *testing.B) {
	var members []filbertstile.Member
	for i := range 100 {
		members = append(members, filbertstile.Member{Name: fmt.Sprint("entry-", i), Domain: fmt.Sprint(i % 5)})
	}
	b.ReportAllocs()
	for b.Loop() {
		for _, m := range members[8:] {
			relaysFor(m, members[:8])
		}
	}
}
