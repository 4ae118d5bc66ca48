package placer

import (
	"time"

	"filbertstile.example/filbertstile"
)

// Fleet describes the replicas and the entries that send requests to them.
type Fleet struct {
	Replicas filbertstile.Table[filbertstile.Replica]
	Pools    filbertstile.Table[filbertstile.PoolSpec]
	// OutOfService is the set of failure domains that are out of service.
	OutOfService map[string]bool
	// Regions maps failure domains to their regions.
	Regions map[string]string
	// Entries is the number of entries that send requests to the replicas.
	Entries int
	// GroupReplicas is the set of IDs of the model engines of the entry's group; the
	// engines of other groups get only requests for which no engine of the group is
	// eligible. It is nil if there is only one group.
	GroupReplicas map[string]bool
	// GroupEntries is the number of entries in the group, including this one.
	GroupEntries int
	// Priorities lists the priorities of the routes to a service, without repeats. Admission by
	// priority is active for model engines with more than one.
	Priorities map[string][]int
	// Senders are the names of the entries that share the limits that replicas name, this one
	// included unless it stops; empty means only this one.
	Senders []string
}

// senders returns the number of entries that send requests to the replica, and
// whether the replica belongs to another group.
func (f Fleet) senders(x filbertstile.Replica) (entries int, otherGroup bool) {
	spec, _ := f.Pools.Get(x.Service)
	if f.GroupReplicas == nil || spec.Engine == nil {
		return f.Entries, false
	}
	if f.GroupReplicas[x.ID] {
		return f.GroupEntries, false
	}
	return f.Entries, true
}

// VersionFloor is the minimum version of a model's weights with which a replica may
// start a request.
type VersionFloor struct {
	// Version is the current minimum; 0 if there is none.
	Version int64
	// Next lists the versions that become the minimum later, in ascending order. They matter
	// before that time, as a replica may start a request some time after it was sent.
	Next []DueVersion
}

// DueVersion is a version that becomes the minimum at a time.
type DueVersion struct {
	Version int64
	At      time.Time
}

// end returns the time from which the version is below the minimum, and whether there is one.
func (f VersionFloor) end(version int64) (time.Time, bool) {
	var out time.Time
	for _, n := range f.Next {
		if n.Version > version && (out.IsZero() || n.At.Before(out)) {
			out = n.At
		}
	}
	return out, !out.IsZero()
}
