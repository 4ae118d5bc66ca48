package edgerunner

import (
	"context"
	"maps"
	"slices"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/base/sleeper"
	"filbertstile.example/filbertstile/decisions/placer"
)

// Refresh requests that the current routing, replicas and peers be applied. It must be
// called after each change of a source, and does not block.
func (e *Edge) Refresh() {
	select {
	case e.refreshRequested <- struct{}{}:
	default:
	}
}

// refreshLoop applies requested refreshes until the context ends. Only this loop applies
// views, so that none is replaced by an older one.
func (e *Edge) refreshLoop(ctx context.Context) {
	var logged reporter.Fields
	for {
		select {
		case <-e.refreshRequested:
		case <-ctx.Done():
			return
		}
		if fields := e.refresh(); !maps.Equal(fields, logged) {
			e.config.Log.Event(reporter.ReplicasChanged, fields)
			logged = fields
		}
		if sleeper.Sleep(ctx, refreshInterval) != nil {
			return
		}
	}
}

// listsKnown reports whether all lists are known that the use of replicas depends on, or have
// not come within listsTimeout. Without the members, an entry would take itself for the only
// one, and without the marks, all failure domains for in service.
func (e *Edge) listsKnown() bool {
	return e.sources.Members.View().Listed && e.sources.Marks.View().Listed || e.config.Clock()-e.startedAt >= listsTimeout
}

// refresh applies the current routing, replicas and peers, and returns the log fields that
// describe the result; nil if the replicas may not be used yet.
func (e *Edge) refresh() reporter.Fields {
	routing, _ := e.routing()
	e.LearnVersions()
	replicas := e.sources.Replicas.View()
	d := e.updateDivision(replicas.Rows, routing.Pools)
	if e.sources.Members.View().Listed && !e.divided.Swap(true) {
		e.askOthers()
	}
	e.currentMatcher()
	if !e.listsKnown() || e.matcher.Load() == nil {
		return nil
	}
	outOfService := e.outOfService()
	now := time.Now()
	entries, groupEntries := e.senders.counts(d)
	e.placer.RetainPeers(now, d.LiveGroupPeers)
	e.placer.SetFleet(now, placer.Fleet{
		Replicas: replicas.Rows, Pools: routing.Pools, OutOfService: outOfService, Regions: e.config.Regions, Entries: entries,
		GroupReplicas: d.GroupReplicas, GroupEntries: groupEntries, Senders: e.senderNames(d),
		Priorities: prioritiesOf(routing),
	})
	e.replicasKnown.Store(replicas.Listed)
	e.forwarder.SetEntryCount(entries)
	e.suspector.SetEntries(e.liveEntryNames())
	return reporter.Fields{
		"Replicas": replicas.Rows.Len(), "Revision": replicas.Revision, "Out": len(outOfService), "Entries": entries,
		"Groups": d.Groups, "Group": d.Group, "Near": len(d.LiveGroupPeers), "Own": len(d.GroupReplicas),
	}
}

// prioritiesOf returns the priorities of the routes to each service, without repeats.
func prioritiesOf(routing filbertstile.Routing) map[string][]int {
	out := make(map[string][]int)
	for _, r := range routing.Routes.All() {
		for _, t := range r.Targets {
			if !slices.Contains(out[t.Service], r.Priority) {
				out[t.Service] = append(out[t.Service], r.Priority)
			}
		}
	}
	return out
}
