package edgerunner

import (
	"cmp"
	"slices"
	"time"

	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/decisions/grouper"
	"filbertstile.example/filbertstile/decisions/placer"
)

// maxLimitsPerMessage bounds the size of messages. The latest limits are sent.
const maxLimitsPerMessage = 16

// limits returns what responses to this entry said about the limits of replicas.
func (e *Edge) limits() []*wire.ReplicaLimit {
	reports := e.placer.LimitReports()
	slices.SortFunc(reports, func(a, b placer.LimitReport) int { return cmp.Compare(a.Age, b.Age) })
	var out []*wire.ReplicaLimit
	for _, r := range reports[:min(len(reports), maxLimitsPerMessage)] {
		out = append(out, &wire.ReplicaLimit{
			Replica: r.Replica, Born: r.Born.UnixMilli(), Named: r.Limit.Named, PerSecond: r.Limit.PerSecond, AgeMilliseconds: r.Age.Milliseconds(),
		})
	}
	return out
}

// learnLimits records what responses to another entry said about the limits of replicas.
func (e *Edge) learnLimits(entry string, limits []*wire.ReplicaLimit) {
	for _, l := range limits {
		limit := placer.Limit{Named: l.GetNamed()}
		if limit.Named {
			limit.PerSecond = l.GetPerSecond()
		}
		age := milliseconds(l.GetAgeMilliseconds()) + e.senders.messageDelay()
		id, news := e.placer.LearnLimit(placer.LimitReport{Replica: l.GetReplica(), Born: time.UnixMilli(l.GetBorn()), Limit: limit, Age: age})
		if news {
			e.config.Log.Event(reporter.ReplicaLimited, reporter.Fields{
				"Peer": id, "From": entry, "PerSecond": limit.PerSecond, "Ended": !limit.Named, "Age": age.String(),
			})
		}
	}
}

// senderNames returns the names of the entries that share the limits that replicas name: those
// that live, do not stop, and have requests to place, or all that live if none has. While this
// entry may not have heard the others yet, all registered ones count.
func (e *Edge) senderNames(d *grouper.Division) []string {
	peers, listening := e.pulser.Peers(), e.senders.listening()
	var serving, idle []string
	add := func(name string, isServing bool) {
		if isServing {
			serving = append(serving, name)
		} else {
			idle = append(idle, name)
		}
	}
	for _, m := range slices.Concat(d.GroupPeers, d.OtherPeers) {
		if p, heard := peers[m.Name]; heard && !p.Pulse.GetLeaving() || !heard && listening {
			add(m.Name, p.Pulse.GetServing() || listening)
		}
	}
	if !e.leaving.Load() {
		add(e.config.Self.Name, e.placer.Serving())
	}
	if len(serving) > 0 {
		return serving
	}
	return idle
}
