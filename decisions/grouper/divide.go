package grouper

import (
	"slices"

	"filbertstile.example/filbertstile"
)

// SystemView is what an entry knows of the system.
type SystemView struct {
	// Self is the entry.
	Self filbertstile.Member
	// Members are all registered processes.
	Members []filbertstile.Member
	// Engines are the replicas that run a model engine.
	Engines []filbertstile.Replica
	// Alive reports whether heartbeats arrive from the entry with the name.
	Alive func(name string) bool
}

// Division is the division of a system into groups, as it concerns one entry.
type Division struct {
	// Groups is the number of groups.
	Groups int
	// Group is the index of the entry's group.
	Group int
	// GroupPeers are the other entries of the entry's group, live or not.
	GroupPeers []filbertstile.Member
	// OtherPeers are the entries of the other groups, live or not.
	OtherPeers []filbertstile.Member
	// LiveGroupPeers are the live entries among GroupPeers.
	LiveGroupPeers []filbertstile.Member
	// LivePeerCount is the number of other live entries in all groups.
	LivePeerCount int
	// GroupReplicas is the set of the IDs of the group's replicas; nil if there is
	// only one group.
	GroupReplicas map[string]bool
	// Hosts are the host processes of the group's replicas, and the group's share of
	// the hosts whose replica is unknown.
	Hosts []filbertstile.Member
}

// Divide returns the division as it concerns the entry s.Self.
func Divide(s SystemView) Division {
	entries := s.entries()
	d := Division{Groups: GroupCount(len(entries))}
	groupOf := Assign(itemsOf(entries), GroupIndices(d.Groups))
	d.Group = groupOf[s.Self.Name]
	live := map[int]bool{d.Group: true}
	for _, m := range entries {
		if m.Name == s.Self.Name {
			continue
		}
		alive := s.Alive(m.Name)
		if alive {
			live[groupOf[m.Name]] = true
			d.LivePeerCount++
		}
		if groupOf[m.Name] != d.Group {
			d.OtherPeers = append(d.OtherPeers, m)
			continue
		}
		d.GroupPeers = append(d.GroupPeers, m)
		if alive {
			d.LiveGroupPeers = append(d.LiveGroupPeers, m)
		}
	}
	var groups []int
	for g := range d.Groups {
		if live[g] {
			groups = append(groups, g)
		}
	}
	s.assignReplicasAndHosts(&d, groups)
	return d
}

// assignReplicasAndHosts sets d.GroupReplicas and d.Hosts, given the groups that
// have live entries.
func (s SystemView) assignReplicasAndHosts(d *Division, groups []int) {
	groupByBackend := make(map[string]int, len(s.Engines))
	if d.Groups > 1 {
		d.GroupReplicas = make(map[string]bool)
		engines := make([]Item, 0, len(s.Engines))
		for _, x := range s.Engines {
			engines = append(engines, Item{Key: x.ID, Domain: x.Domain})
		}
		groupOf := Assign(engines, groups)
		for _, x := range s.Engines {
			groupByBackend[x.Address] = groupOf[x.ID]
			if groupOf[x.ID] == d.Group {
				d.GroupReplicas[x.ID] = true
			}
		}
	}
	var unmatched []filbertstile.Member
	for _, m := range s.Members {
		if m.Role != filbertstile.RoleHost {
			continue
		}
		if group, known := groupByBackend[m.Backend]; !known {
			unmatched = append(unmatched, m)
		} else if group == d.Group {
			d.Hosts = append(d.Hosts, m)
		}
	}
	groupOf := Assign(itemsOf(unmatched), groups)
	for _, m := range unmatched {
		if groupOf[m.Name] == d.Group {
			d.Hosts = append(d.Hosts, m)
		}
	}
}

// entries returns all entries, including Self even if it is not registered.
func (s SystemView) entries() []filbertstile.Member {
	var out []filbertstile.Member
	for _, m := range s.Members {
		if m.Role == filbertstile.RoleEntry {
			out = append(out, m)
		}
	}
	if !slices.ContainsFunc(out, func(m filbertstile.Member) bool { return m.Name == s.Self.Name }) {
		out = append(out, s.Self)
	}
	return out
}

func itemsOf(members []filbertstile.Member) []Item {
	out := make([]Item, 0, len(members))
	for _, m := range members {
		out = append(out, Item{Key: m.Name, Domain: m.Domain})
	}
	return out
}
