package edgerunner

import (
	"slices"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/decisions/grouper"
	"filbertstile.example/filbertstile/transport/pulser"
)

// divide works out which replicas and hosts this entry cares for, and which
// entries share them.
func (e *Edge) divide(replicas filbertstile.Table[filbertstile.Replica], pools filbertstile.Table[filbertstile.PoolSpec]) *grouper.Division {
	heard := e.pulser.Peers()
	scene := grouper.SystemView{Self: e.config.Self, Members: e.sources.Members.View().Rows.All(), Alive: func(name string) bool {
		_, ok := heard[name]
		return ok
	}}
	for _, x := range replicas.All() {
		if spec, ok := pools.Get(x.Service); ok && spec.Engine != nil {
			scene.Engines = append(scene.Engines, x)
		}
	}
	d := grouper.Divide(scene)
	e.division.Store(&d)
	return &d
}

// compose says what this entry tells other entries and hosts. Hosts report to
// the entries that they hear, so that an entry hears the hosts of its group.
func (e *Edge) compose() []pulser.Message {
	d := e.division.Load()
	weights := e.tellWeights()
	base := func(heard []string) *wire.Pulse {
		return &wire.Pulse{Leaving: e.leaving.Load(), Current: e.current(), Heard: heard, Weights: weights}
	}
	near, away := e.split(d.Hosts)
	direct := e.hostsHeard()
	if d.Groups == 1 {
		return []pulser.Message{{Pulse: base(direct), To: slices.Concat(d.GroupPeers, near)}}
	}
	out := []pulser.Message{
		{Pulse: base(direct), To: d.GroupPeers},
		{Pulse: base(e.hostsKnown(direct)), To: near},
		{Pulse: base(nil), To: away},
	}
	if e.farIsDue() {
		out = append(out, pulser.Message{Pulse: base(direct), To: d.OtherPeers})
	}
	return out
}

// split parts hosts into those of the own region and the others.
func (e *Edge) split(hosts []filbertstile.Member) (near, away []filbertstile.Member) {
	for _, m := range hosts {
		if m.Region == e.config.Self.Region {
			near = append(near, m)
		} else {
			away = append(away, m)
		}
	}
	return near, away
}

// farIsDue tells whether entries of other groups should be told again: after a
// while, and at once of weights and of a planned stop.
func (e *Edge) farIsDue() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	leaving := e.leaving.Load()
	if leaving == e.toldLeaving && time.Since(e.toldFar) < farEvery-pulseEvery/2 {
		return false
	}
	e.toldFar, e.toldLeaving = time.Now(), leaving
	return true
}

// tellWeights lists the versions that hosts should know of.
func (e *Edge) tellWeights() []*wire.WeightsVersion {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []*wire.WeightsVersion
	for w, manifest := range e.digest {
		if list := e.named[w.Model]; len(list) == 0 || w.Version+1 >= list[len(list)-1].version {
			out = append(out, &wire.WeightsVersion{Model: w.Model, Version: w.Version, Manifest: manifest})
		}
	}
	for model, list := range e.named {
		w := filbertstile.WeightsVersion{Model: model, Version: list[len(list)-1].version}
		if e.digest[w] == "" {
			out = append(out, &wire.WeightsVersion{Model: w.Model, Version: w.Version})
		}
	}
	return out
}

// hostsHeard lists the hosts that this entry hears itself.
func (e *Edge) hostsHeard() []string {
	members := e.sources.Members.View().Rows
	return slices.DeleteFunc(e.pulser.PeerNames(), func(name string) bool {
		m, known := members.Get(name)
		return known && m.Role != filbertstile.RoleHost
	})
}

// hearHosts takes in which hosts another entry hears.
func (e *Edge) hearHosts(names []string) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, name := range names {
		e.hosts[name] = now
	}
}

// hostsKnown adds the hosts that other entries hear.
func (e *Edge) hostsKnown(direct []string) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := slices.Clone(direct)
	for name, at := range e.hosts {
		if time.Since(at) > pulser.HeartbeatTimeout {
			delete(e.hosts, name)
		} else {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}
