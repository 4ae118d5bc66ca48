package peerrunner

import (
	"math"
	"slices"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/decisions/grouper"
	"filbertstile.example/filbertstile/transport/pulser"
)

// handleHeartbeat processes the heartbeat of an entry.
func (p *Peer) handleHeartbeat(hb *wire.Pulse) {
	now := time.Now()
	for _, w := range hb.GetWeights() {
		version := filbertstile.WeightsVersion{Model: w.GetModel(), Version: w.GetVersion()}
		if p.weightSource.addDigest(version, filbertstile.Digest(w.GetManifest()), w.GetManifestRevision(), func() bool { return p.holdsVersion(version) }, hb.GetName()) {
			p.Refresh()
		}
		p.recordReportedVersion(version)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roster.recordList(now, hb.GetHeard())
}

// composeHeartbeats returns the heartbeat to send to the entries.
func (p *Peer) composeHeartbeats() []pulser.Message {
	out := &wire.Pulse{Weights: p.weightSource.addedWithin(digestAnnouncePeriod)}
	if r := p.report.Load(); r != nil {
		out.Replica = &wire.ReplicaLoad{
			Address: p.config.EngineAddress, Born: r.Born.UnixMilli(), Running: int32(r.Running), Waiting: int32(r.Waiting),
			Version: r.Version, Loading: r.Loading || p.draining.Load(), PacePercent: pacePercent(r.Pace),
		}
	}
	return []pulser.Message{{Pulse: out, To: p.heartbeatTargets()}}
}

// pacePercent returns the pace in hundredths.
func pacePercent(pace float64) int32 { return int32(math.Round(pace * 100)) }

// heartbeatTargets returns the entries to send heartbeats to: those whose heartbeats
// arrive, as only they send requests to this replica, or all if they form only one
// group.
func (p *Peer) heartbeatTargets() []filbertstile.Member {
	all := p.registeredEntries()
	if grouper.GroupCount(len(all)) == 1 {
		return all
	}
	live := p.pulser.Peers()
	return slices.DeleteFunc(all, func(m filbertstile.Member) bool {
		_, ok := live[m.Name]
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

// hasSeveralGroups reports whether the entries form several groups.
func (p *Peer) hasSeveralGroups() bool {
	entries := 0
	for _, m := range p.sources.Members.View().Rows.All() {
		if m.Role == filbertstile.RoleEntry {
			entries++
		}
	}
	return grouper.GroupCount(entries) > 1
}
