package peerrunner

import (
	"slices"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/decisions/grouper"
	"filbertstile.example/filbertstile/transport/pulser"
)

// heard takes in an entry's heartbeat.
func (p *Peer) heard(x *wire.Pulse) {
	now := time.Now()
	for _, w := range x.GetWeights() {
		named := filbertstile.WeightsVersion{Model: w.GetModel(), Version: w.GetVersion()}
		p.library.hear(named, filbertstile.Digest(w.GetManifest()))
		p.hearName(named)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roster.hear(now, x.GetHeard())
}

// compose says what this host tells the entries.
func (p *Peer) compose() []pulser.Message {
	out := &wire.Pulse{}
	if r := p.report.Load(); r != nil {
		out.Replica = &wire.ReplicaLoad{
			Address: p.config.EngineAddress, Born: r.Born.UnixMilli(), Running: int32(r.Running), Waiting: int32(r.Waiting),
			Version: r.Version, Loading: r.Loading || p.closing.Load(),
		}
	}
	for w, digest := range p.library.fresh(digestNews) {
		out.Weights = append(out.Weights, &wire.WeightsVersion{Model: w.Model, Version: w.Version, Manifest: string(digest)})
	}
	return []pulser.Message{{Pulse: out, To: p.entries()}}
}

// entries returns the entries to report to: those that are heard, as only they
// send to this replica, and all where these are few.
func (p *Peer) entries() []filbertstile.Member {
	all := p.registeredEntries()
	if grouper.GroupCount(len(all)) == 1 {
		return all
	}
	heard := p.pulser.Peers()
	return slices.DeleteFunc(all, func(m filbertstile.Member) bool {
		_, ok := heard[m.Name]
		return !ok
	})
}

func (p *Peer) registeredEntries() []filbertstile.Member {
	var out []filbertstile.Member
	for _, m := range p.sources.Members.View().Rows.All() {
		if m.Role == filbertstile.RoleEntry {
			out = append(out, m)
		}
	}
	return out
}

// large tells whether the entries form several groups.
func (p *Peer) large() bool { return grouper.GroupCount(len(p.registeredEntries())) > 1 }
