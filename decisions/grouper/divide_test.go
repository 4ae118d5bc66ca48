package grouper_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/grouper"
)

// newSystem returns a system with three failure domains and one host per engine.
func newSystem(entries, engines int) grouper.SystemView {
	s := grouper.SystemView{Alive: func(string) bool { return true }}
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

func (t *totals) add(d grouper.Division) {
	for id := range d.GroupReplicas {
		t.owners[id]++
	}
	t.maxGroupPeers = max(t.maxGroupPeers, len(d.GroupPeers))
	t.maxHosts = max(t.maxHosts, len(d.Hosts))
}

// totals aggregates the divisions of all entries.
type totals struct {
	// owners is the number of entries per replica that have it in their group.
	owners map[string]int
	// maxGroupPeers and maxHosts are the maxima over all entries.
	maxGroupPeers, maxHosts int
}

// A small system is one group in which the replicas are not divided.
func TestDivideOneGroup(t *testing.T) {
	is := is.New(t)
	s := newSystem(7, 24)
	s.Self = s.Members[0]
	d := grouper.Divide(s)
	is.Equal(d.Groups, 1)
	is.Equal(len(d.GroupPeers), 6)
	is.Equal(len(d.LiveGroupPeers), 6)
	is.Equal(d.LivePeerCount, 6)
	is.Equal(len(d.OtherPeers), 0)
	is.True(d.GroupReplicas == nil)
	is.Equal(len(d.Hosts), 24)
}

// Entries sent heartbeats only to entries that they received heartbeats from, so
// that two entries that had lost contact never regained it. The peers in a division
// must not depend on which entries are live.
func TestDivideKeepsUnreachablePeers(t *testing.T) {
	is := is.New(t)
	s := newSystem(44, 88)
	s.Self = s.Members[0]
	all := grouper.Divide(s)
	s.Alive = func(string) bool { return false }
	alone := grouper.Divide(s)
	is.Equal(alone.GroupPeers, all.GroupPeers)
	is.Equal(alone.OtherPeers, all.OtherPeers)
	is.Equal(len(alone.LiveGroupPeers), 0)
	is.Equal(all.LivePeerCount, 43)
	is.Equal(alone.LivePeerCount, 0)
}

// The numbers of peers and hosts that an entry communicates with must not grow with
// the system.
func TestDivideBoundsPeersAndHosts(t *testing.T) {
	is := is.New(t)
	for _, scale := range []int{1, 4} {
		s := newSystem(44*scale, 88*scale)
		all := totals{owners: make(map[string]int)}
		for _, self := range s.Members[:44*scale] {
			s.Self = self
			all.add(grouper.Divide(s))
		}
		is.Equal(len(all.owners), 88*scale)
		is.True(all.maxGroupPeers < grouper.TargetGroupSize+2)
		is.True(all.maxHosts <= 88/6+3)
	}
}

// The replicas of a group without live entries must be assigned to the other
// groups.
func TestDivideReassignsReplicasOfDeadGroup(t *testing.T) {
	is := is.New(t)
	s := newSystem(24, 30)
	s.Self = s.Members[0]
	division := grouper.Divide(s)
	dead := make(map[string]bool)
	for _, m := range division.GroupPeers {
		dead[m.Name] = true
	}
	dead[s.Self.Name] = true
	s.Alive = func(name string) bool { return !dead[name] }
	assigned := make(map[string]bool)
	for _, self := range s.Members[:24] {
		if dead[self.Name] {
			continue
		}
		s.Self = self
		for id := range grouper.Divide(s).GroupReplicas {
			assigned[id] = true
		}
	}
	is.Equal(len(assigned), 30)
}
