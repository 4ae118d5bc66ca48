package grouper

import (
	"slices"

	"filbertstile.example/filbertstile"
)

// Scene is what an entry knows of the system.
type Scene struct {
	Self filbertstile.Member
	// Members are all processes that are registered.
	Members []filbertstile.Member
	// Engines are the replicas that run a model engine.
	Engines []filbertstile.Replica
	// Alive tells whether an entry is heard.
	Alive func(name string) bool
}

// Division is an entry's part of a system.
type Division struct {
	// Groups is the number of groups, Group that of the entry.
	Groups int
	Group  int
	// Near are the other entries of the group, Far those of other groups, heard or
	// not; Live are those of Near that are heard.
	Near []filbertstile.Member
	Far  []filbertstile.Member
	Live []filbertstile.Member
	// Heard is the number of other entries that are heard, of any group.
	Heard int
	// Own lists the group's replicas by id; nil where there is one group only.
	Own map[string]bool
	// Hosts are the host processes beside the group's replicas, and a share of
	// those whose replica is not known.
	Hosts []filbertstile.Member
}

// Divide works out the entry's part.
func Divide(s Scene) Division {
	entries := s.entries()
	d := Division{Groups: Count(len(entries))}
	of := Assign(itemsOf(entries), All(d.Groups))
	d.Group = of[s.Self.Name]
	live := map[int]bool{d.Group: true}
	for _, m := range entries {
		if m.Name == s.Self.Name {
			continue
		}
		heard := s.Alive(m.Name)
		if heard {
			live[of[m.Name]] = true
			d.Heard++
		}
		if of[m.Name] != d.Group {
			d.Far = append(d.Far, m)
			continue
		}
		d.Near = append(d.Near, m)
		if heard {
			d.Live = append(d.Live, m)
		}
	}
	var groups []int
	for g := range d.Groups {
		if live[g] {
			groups = append(groups, g)
		}
	}
	s.share(&d, groups)
	return d
}

// share fills in the group's replicas and hosts.
func (s Scene) share(d *Division, groups []int) {
	byBackend := make(map[string]int, len(s.Engines))
	if d.Groups > 1 {
		d.Own = make(map[string]bool)
		engines := make([]Item, 0, len(s.Engines))
		for _, x := range s.Engines {
			engines = append(engines, Item{Key: x.ID, Domain: x.Domain})
		}
		of := Assign(engines, groups)
		for _, x := range s.Engines {
			byBackend[x.Address] = of[x.ID]
			if of[x.ID] == d.Group {
				d.Own[x.ID] = true
			}
		}
	}
	var rest []filbertstile.Member
	for _, m := range s.Members {
		if m.Role != filbertstile.RoleHost {
			continue
		}
		if group, known := byBackend[m.Backend]; !known {
			rest = append(rest, m)
		} else if group == d.Group {
			d.Hosts = append(d.Hosts, m)
		}
	}
	of := Assign(itemsOf(rest), groups)
	for _, m := range rest {
		if of[m.Name] == d.Group {
			d.Hosts = append(d.Hosts, m)
		}
	}
}

// entries returns all entries, the own one among them.
func (s Scene) entries() []filbertstile.Member {
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
