package grouper_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/grouper"
)

// scene is a system of three failure domains.
func scene(entries, engines int) grouper.Scene {
	s := grouper.Scene{Alive: func(string) bool { return true }}
	for i := range entries {
		s.Members = append(s.Members, filbertstile.Member{
			Name: fmt.Sprint("entry-", i), Role: filbertstile.RoleEntry, Domain: fmt.Sprint(i % 3),
		})
	}
	for i := range engines {
		address := fmt.Sprintf("10.0.0.%d:80", i)
		s.Engines = append(s.Engines, filbertstile.Replica{ID: fmt.Sprint("r", i), Address: address, Domain: fmt.Sprint(i % 3)})
		s.Members = append(s.Members, filbertstile.Member{
			Name: fmt.Sprint("host-", i), Role: filbertstile.RoleHost, Domain: fmt.Sprint(i % 3), Backend: address,
		})
	}
	return s
}

func (s *sums) add(d grouper.Division) {
	for id := range d.Own {
		s.owners[id]++
	}
	s.near = max(s.near, len(d.Near))
	s.hosts = max(s.hosts, len(d.Hosts))
}

type sums struct {
	owners      map[string]int
	near, hosts int
}

func TestDivideOneGroup(t *testing.T) {
	is := is.New(t)
	s := scene(7, 24)
	s.Self = s.Members[0]
	d := grouper.Divide(s)
	is.Equal(d.Groups, 1)
	is.Equal(len(d.Near), 6)
	is.Equal(len(d.Live), 6)
	is.Equal(d.Heard, 6)
	is.Equal(len(d.Far), 0)
	is.True(d.Own == nil)
	is.Equal(len(d.Hosts), 24)
}

// TestNearUnheard is for entries that told only those that they heard, so that
// two that had lost each other never met again.
func TestNearUnheard(t *testing.T) {
	is := is.New(t)
	s := scene(44, 88)
	s.Self = s.Members[0]
	all := grouper.Divide(s)
	s.Alive = func(string) bool { return false }
	alone := grouper.Divide(s)
	is.Equal(alone.Near, all.Near)
	is.Equal(alone.Far, all.Far)
	is.Equal(len(alone.Live), 0)
	is.Equal(all.Heard, 43)
	is.Equal(alone.Heard, 0)
}

// What an entry talks to must not grow with the system.
func TestDivideLargeSystem(t *testing.T) {
	is := is.New(t)
	for _, scale := range []int{1, 4} {
		s := scene(44*scale, 88*scale)
		all := sums{owners: make(map[string]int)}
		for _, self := range s.Members[:44*scale] {
			s.Self = self
			all.add(grouper.Divide(s))
		}
		is.Equal(len(all.owners), 88*scale)
		is.True(all.near < grouper.MostEntries+2)
		is.True(all.hosts <= 88/6+3)
	}
}

// The replicas of a group whose entries are all silent go to the other groups.
func TestDivideWithoutAGroup(t *testing.T) {
	is := is.New(t)
	s := scene(24, 30)
	s.Self = s.Members[0]
	own := grouper.Divide(s)
	silent := make(map[string]bool)
	for _, m := range own.Near {
		silent[m.Name] = true
	}
	silent[s.Self.Name] = true
	s.Alive = func(name string) bool { return !silent[name] }
	covered := make(map[string]bool)
	for _, self := range s.Members[:24] {
		if silent[self.Name] {
			continue
		}
		s.Self = self
		for id := range grouper.Divide(s).Own {
			covered[id] = true
		}
	}
	is.Equal(len(covered), 30)
}
