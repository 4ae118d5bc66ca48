package placer

import "iter"

// candidates are the replicas of a service, as of the last fleet.
type candidates struct {
	// own are those of the entry's group, and others those of other groups.
	own    []*replicaState
	others []*replicaState
}

// add adds a replica.
func (c *candidates) add(r *replicaState) {
	if r.otherGroup {
		c.others = append(c.others, r)
	} else {
		c.own = append(c.own, r)
	}
}

// all returns the replicas of the service.
func (p *Placer) all(service string) iter.Seq[*replicaState] {
	return func(yield func(*replicaState) bool) {
		c := p.byService[service]
		if c == nil {
			return
		}
		for _, list := range [][]*replicaState{c.own, c.others} {
			for _, r := range list {
				if !yield(r) {
					return
				}
			}
		}
	}
}

// ofGroups returns the replicas of the service that belong to other groups or do not; see
// belongsToOtherGroup. It does not visit those of other groups unless they are asked for.
func (p *Placer) ofGroups(service string, otherGroup bool) iter.Seq[*replicaState] {
	return func(yield func(*replicaState) bool) {
		c := p.byService[service]
		if c == nil {
			return
		}
		if otherGroup {
			for _, r := range c.others {
				if p.belongsToOtherGroup(r) && !yield(r) {
					return
				}
			}
			return
		}
		for _, r := range c.own {
			if !yield(r) {
				return
			}
		}
		for id, x := range p.announced {
			if !x.limit.limit.Named {
				continue
			}
			if r := p.byID[id]; r != nil && r.otherGroup && r.replica.Service == service && !yield(r) {
				return
			}
		}
	}
}
