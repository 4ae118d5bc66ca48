package edgerunner

import (
	"slices"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/decisions/grouper"
	"filbertstile.example/filbertstile/transport/pulser"
)

// divisionInputs are what a division was worked out from.
type divisionInputs struct {
	members []filbertstile.Member
	engines []filbertstile.Replica
	// alive has an element for each member, true if its heartbeats arrive or may not have
	// arrived yet.
	alive []bool
}

// equal reports whether both inputs lead to the same division.
func (i divisionInputs) equal(o divisionInputs) bool {
	sameEngine := func(a, b filbertstile.Replica) bool {
		return a.ID == b.ID && a.Domain == b.Domain && a.Address == b.Address
	}
	return slices.Equal(i.alive, o.alive) && slices.Equal(i.members, o.members) && slices.EqualFunc(i.engines, o.engines, sameEngine)
}

// updateDivision computes, stores and returns the division of the system into groups of
// entries, which determines the replicas and hosts of this entry's group. It computes
// nothing if the members, the engines and who is alive are as before: most changes of
// replicas concern their state. An entry that may not have heard the others yet takes all as
// alive, or the replicas of all groups would seem to be its group's. Only refreshLoop calls
// it.
func (e *Edge) updateDivision(replicas filbertstile.Table[filbertstile.Replica], pools filbertstile.Table[filbertstile.PoolSpec]) *grouper.Division {
	peers, listening := e.pulser.Peers(), e.senders.listening()
	alive := func(name string) bool {
		_, heard := peers[name]
		return heard || listening
	}
	inputs := divisionInputs{members: e.sources.Members.View().Rows.All()}
	for _, m := range inputs.members {
		inputs.alive = append(inputs.alive, alive(m.Name) && m.Role == filbertstile.RoleEntry)
	}
	for _, x := range replicas.All() {
		if spec, ok := pools.Get(x.Service); ok && spec.Engine != nil {
			inputs.engines = append(inputs.engines, x)
		}
	}
	if e.dividedFrom != nil && inputs.equal(*e.dividedFrom) {
		return e.division.Load()
	}
	d := grouper.Divide(grouper.SystemView{Self: e.config.Self, Members: inputs.members, Engines: inputs.engines, Alive: alive})
	e.division.Store(&d)
	e.dividedFrom = &inputs
	return &d
}

// compose returns the heartbeats to other entries and to hosts. Hosts send their
// heartbeats to the entries whose heartbeats they receive, so that an entry receives those
// of its group's hosts. Before the members are listed, the contacts get heartbeats, so that
// each knows its place in the order in which they read the store.
func (e *Edge) compose() []pulser.Message {
	if !e.sources.Members.View().Listed {
		return []pulser.Message{{Pulse: e.newStatePulse(), To: e.contacts()}}
	}
	d := e.division.Load()
	weights, evidence, limits, direct := e.weightsToSend(), e.evidence(), e.limits(), e.directHosts()
	newPulse := func(heard []string) *wire.Pulse {
		p := e.newPulse()
		p.Heard, p.Weights = heard, weights
		return p
	}
	newEntryPulse := func() *wire.Pulse {
		p := newPulse(direct)
		p.Evidence, p.Limits, p.InForce = evidence, limits, e.inForce()
		return p
	}
	sameRegion, otherRegions := e.splitByRegion(d.Hosts)
	if d.Groups == 1 {
		return []pulser.Message{{Pulse: newEntryPulse(), To: slices.Concat(d.GroupPeers, sameRegion)}}
	}
	out := []pulser.Message{
		{Pulse: newEntryPulse(), To: d.GroupPeers},
		{Pulse: newPulse(e.withPeerHosts(direct)), To: sameRegion},
		{Pulse: newPulse(nil), To: otherRegions},
	}
	if due, urgent := e.otherGroupsDue(); due {
		p, to := newEntryPulse(), d.OtherPeers
		p.Relayed = e.relayed(d)
		if !urgent && len(limits) == 0 && !hasEvidence(evidence) {
			to = e.relayTargets(d)
		}
		out = append(out, pulser.Message{Pulse: p, To: to})
	}
	return out
}

// contacts returns the contacts without this entry.
func (e *Edge) contacts() []filbertstile.Member {
	if e.sources.Contacts == nil {
		return nil
	}
	isSelf := func(m filbertstile.Member) bool { return m.Name == e.config.Self.Name }
	return slices.DeleteFunc(slices.Clone(e.sources.Contacts.View().Rows.All()), isSelf)
}

// newPulse returns a message with the state of this entry.
func (e *Edge) newPulse() *wire.Pulse {
	return &wire.Pulse{Leaving: e.leaving.Load(), Current: e.current(), Reader: e.isReader(), Serving: e.placer.Serving(), TakesRelayed: true, StoreSilent: e.storeSilent()}
}

// splitByRegion splits hosts into those in this entry's region and all others.
func (e *Edge) splitByRegion(hosts []filbertstile.Member) (sameRegion, otherRegions []filbertstile.Member) {
	for _, m := range hosts {
		if m.Region == e.config.Self.Region {
			sameRegion = append(sameRegion, m)
		} else {
			otherRegions = append(otherRegions, m)
		}
	}
	return sameRegion, otherRegions
}

// otherGroupsDue reports whether a heartbeat to the entries of other groups is due: after
// otherGroupsInterval, or at once if there is a new manifest or a planned stop has begun. In
// the latter cases it is urgent. It records that the heartbeat is sent.
func (e *Edge) otherGroupsDue() (due, urgent bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	leaving := e.leaving.Load()
	urgent = leaving != e.otherGroupsSentLeaving || e.otherGroupsSentAt.IsZero()
	if !urgent && time.Since(e.otherGroupsSentAt) < otherGroupsInterval-heartbeatInterval/2 {
		return false, false
	}
	e.otherGroupsSentAt, e.otherGroupsSentLeaving = time.Now(), leaving
	return true, urgent
}

// weightsToSend returns the versions of the weights to announce in heartbeats: the latest
// chosen version of each model, and the versions with a known manifest that are at most one
// older. Once the routing is known, only those of models that its engines run: anyone may have
// named others, and a heartbeat has little room.
func (e *Edge) weightsToSend() []*wire.WeightsVersion {
	runs := e.engineModels()
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []*wire.WeightsVersion
	for w, m := range e.manifests {
		if !runs(w.Model) {
			continue
		}
		if list := e.chosenVersions[w.Model]; len(list) == 0 || w.Version+1 >= list[len(list)-1].version {
			out = append(out, &wire.WeightsVersion{Model: w.Model, Version: w.Version, Manifest: m.digest, ManifestRevision: m.revision})
		}
	}
	for model, list := range e.chosenVersions {
		if !runs(model) {
			continue
		}
		w := filbertstile.WeightsVersion{Model: model, Version: list[len(list)-1].version}
		if _, known := e.manifests[w]; !known {
			out = append(out, &wire.WeightsVersion{Model: w.Model, Version: w.Version})
		}
	}
	return out
}

// engineModels returns a function that reports whether an engine of the routing runs the model.
// While no routing is known, any may.
func (e *Edge) engineModels() func(model string) bool {
	m := e.matcher.Load()
	if m == nil {
		return func(string) bool { return true }
	}
	models := make(map[string]bool)
	for _, s := range m.Routing().Pools.All() {
		if s.Engine != nil {
			models[s.Engine.Model] = true
		}
	}
	return func(model string) bool { return models[model] }
}

// directHosts returns the names of the hosts whose heartbeats this entry receives.
func (e *Edge) directHosts() []string {
	members := e.sources.Members.View().Rows
	return slices.DeleteFunc(e.pulser.PeerNames(), func(name string) bool {
		m, known := members.Get(name)
		return known && m.Role != filbertstile.RoleHost
	})
}

// recordPeerHosts records the names of hosts whose heartbeats another entry receives.
func (e *Edge) recordPeerHosts(names []string) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, name := range names {
		e.peerHosts[name] = now
	}
}

// withPeerHosts returns the sorted names of the hosts in direct and of those whose
// heartbeats other entries receive.
func (e *Edge) withPeerHosts(direct []string) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := slices.Clone(direct)
	for name, reportedAt := range e.peerHosts {
		if time.Since(reportedAt) > pulser.HeartbeatTimeout {
			delete(e.peerHosts, name)
		} else {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}
