package edgerunner

import (
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
)

// storeSilentAfter is the time without an answer of the store after which an entry that reads it
// reports that it is silent. It is somewhat shorter than maxViewAge, so that the reports have
// arrived when the views of the entries expire.
const storeSilentAfter = 2500 * time.Millisecond

// entryState is what an entry says of its view of the store.
type entryState struct {
	domain string
	// expired is true if the entry is heard and its view is not current.
	expired bool
	// silent is true if the entry reads the store and gets no answer.
	silent bool
}

// storeUnavailable reports whether the store is unavailable to most of the registered entries: the
// views of more than half have expired, and entries of more than half of the failure domains get no
// answer. Entries that have just started have no view either, and entries whose reader has failed
// do not ask the store, so that neither is enough alone.
func storeUnavailable(entries []entryState) bool {
	expired, domains, silentDomains := 0, make(map[string]bool), 0
	for _, e := range entries {
		if e.expired {
			expired++
		}
		if silent, known := domains[e.domain]; !known || !silent {
			domains[e.domain] = e.silent
		}
	}
	for _, silent := range domains {
		if silent {
			silentDomains++
		}
	}
	return 2*expired > len(entries) && 2*silentDomains > len(domains)
}

// storeSilent reports whether this entry reads the store and gets no answer.
func (e *Edge) storeSilent() bool {
	return e.sharer != nil && e.sharer.StoreSilent(storeSilentAfter)
}

// checkOutage records that the store is unavailable to most entries, this one included. An entry
// that alone is cut off hears too few others, and its peers' views do not expire.
func (e *Edge) checkOutage() {
	if e.matcher.Load() == nil || e.current() || !storeUnavailable(e.entryStates()) {
		return
	}
	e.keepDue()
	now := e.config.Clock()
	previous := time.Duration(e.outageSeenAt.Swap(int64(now)))
	if previous == 0 || now-previous > 2*maintenanceInterval+time.Second {
		e.config.Log.Event(reporter.StoreUnavailable, reporter.Fields{"ViewAge": e.viewAge()})
	}
}

// entryStates returns the states of all registered entries, this one included.
func (e *Edge) entryStates() []entryState {
	peers := e.pulser.Peers()
	out := []entryState{{domain: e.config.Self.Domain, expired: !e.current(), silent: e.storeSilent()}}
	for _, m := range e.sources.Members.View().Rows.All() {
		if m.Role != filbertstile.RoleEntry || m.Name == e.config.Self.Name {
			continue
		}
		p, heard := peers[m.Name]
		out = append(out, entryState{domain: m.Domain, expired: heard && !p.Pulse.GetCurrent(), silent: heard && p.Pulse.GetStoreSilent()})
	}
	return out
}
