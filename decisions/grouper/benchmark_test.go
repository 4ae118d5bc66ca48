package grouper_test

import (
	"fmt"
	"testing"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/grouper"
)

// BenchmarkDivide measures the division of a system, by the number of entries, each with 1.4 hosts.
func BenchmarkDivide(b *testing.B) {
	for _, entries := range []int{25, 100, 400} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			s := grouper.SystemView{Alive: func(string) bool { return true }}
			for i := range entries {
				s.Members = append(s.Members, filbertstile.Member{Name: fmt.Sprint("entry-", i), Role: filbertstile.RoleEntry, Domain: fmt.Sprint(i % 5)})
			}
			for i := range entries * 7 / 5 {
				x := filbertstile.Replica{ID: fmt.Sprint("replica-", i), Domain: fmt.Sprint(i % 5), Address: fmt.Sprint("a", i)}
				s.Engines = append(s.Engines, x)
				s.Members = append(s.Members, filbertstile.Member{Name: fmt.Sprint("host-", i), Role: filbertstile.RoleHost, Domain: x.Domain, Backend: x.Address})
			}
			s.Self = s.Members[0]
			b.ReportAllocs()
			for b.Loop() {
				grouper.Divide(s)
			}
		})
	}
}
