package edgerunner

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/decisions/grouper"
	"filbertstile.example/filbertstile/transport/pulser"
)

// relayTimeout is how long after its last heartbeat an entry of the group counts as one that
// relays. It is shorter than pulser.HeartbeatTimeout, so that others take over before those
// whose heartbeats it relayed are missed.
const relayTimeout = time.Second

// relayed returns the latest heartbeats of the other entries of the group, without lists. An
// entry that stood still relays none, as it cannot tell how long they waited to be read.
func (e *Edge) relayed(d *grouper.Division) []*wire.Pulse {
	if e.senders.messageDelay() > 0 {
		return nil
	}
	now, peers := time.Now(), e.pulser.Peers()
	var out []*wire.Pulse
	for _, m := range d.GroupPeers {
		p, heard := peers[m.Name]
		if !heard {
			continue
		}
		out = append(out, &wire.Pulse{
			Name: m.Name, Incarnation: p.Pulse.GetIncarnation(), Sequence: p.Pulse.GetSequence(), Leaving: p.Pulse.GetLeaving(), Current: p.Pulse.GetCurrent(),
			Reader: p.Pulse.GetReader(), Serving: p.Pulse.GetServing(), TakesRelayed: p.Pulse.GetTakesRelayed(), StoreSilent: p.Pulse.GetStoreSilent(), AgeMilliseconds: now.Sub(p.ReceivedAt).Milliseconds(),
		})
	}
	return out
}

// relayTargets returns the entries of other groups to which this entry sends its heartbeat and
// those that it relays: those for which it is one of the group's relays, and those that are not
// heard or use no relayed heartbeats.
func (e *Edge) relayTargets(d *grouper.Division) []filbertstile.Member {
	peers := e.pulser.Peers()
	relays := e.relayCandidates(d, peers)
	var out []filbertstile.Member
	for _, m := range d.OtherPeers {
		p, heard := peers[m.Name]
		if !heard || !p.Pulse.GetTakesRelayed() || slices.Contains(relaysFor(m, relays), e.config.Self.Name) {
			out = append(out, m)
		}
	}
	return out
}

// relayCandidates returns the entries of the group that may relay: those that were heard within
// relayTimeout and do not stop, and this one.
func (e *Edge) relayCandidates(d *grouper.Division, peers map[string]pulser.Peer) []filbertstile.Member {
	out := []filbertstile.Member{e.config.Self}
	for _, m := range d.GroupPeers {
		p, heard := peers[m.Name]
		if heard && time.Since(p.ReceivedAt) < relayTimeout && p.Pulse.GetTakesRelayed() && !p.Pulse.GetLeaving() {
			out = append(out, m)
		}
	}
	if e.leaving.Load() && len(out) > 1 {
		return out[1:]
	}
	return out
}

// relaysFor returns the names of the candidates that relay the group's heartbeats to an entry of
// another group, at most two: one of the entry's own failure domain, if there is any, as the
// domain may be cut off, and one of another domain, so that the loss of a domain ends only one.
func relaysFor(to filbertstile.Member, candidates []filbertstile.Member) []string {
	first := lowest(to, candidates, func(m filbertstile.Member) bool { return m.Domain == to.Domain })
	if first == nil {
		first = lowest(to, candidates, func(filbertstile.Member) bool { return true })
	}
	second := lowest(to, candidates, func(m filbertstile.Member) bool { return m.Domain != first.Domain })
	if second == nil {
		second = lowest(to, candidates, func(m filbertstile.Member) bool { return m.Name != first.Name })
	}
	if second == nil {
		return []string{first.Name}
	}
	return []string{first.Name, second.Name}
}

// lowest returns the candidate that comes first in the rendezvous order of the entry among those
// for which matches is true, or nil.
func lowest(to filbertstile.Member, candidates []filbertstile.Member, matches func(filbertstile.Member) bool) *filbertstile.Member {
	var best *filbertstile.Member
	var bestRank uint64
	var buf [64]byte
	prefix := append(append(buf[:0], to.Name...), 0)
	for i, m := range candidates {
		if !matches(m) {
			continue
		}
		if rank := xxhash.Sum64(append(prefix, m.Name...)); best == nil || rank < bestRank {
			best, bestRank = &candidates[i], rank
		}
	}
	return best
}

// hasEvidence reports whether there is any evidence.
func hasEvidence(p *wire.PartEvidence) bool {
	return len(p.GetCrashes())+len(p.GetWitnesses())+len(p.GetSuspicions()) > 0
}
