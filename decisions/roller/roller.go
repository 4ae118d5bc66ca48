// Package roller decides which replicas may switch to another release during a rollout,
// so that enough capacity stays in service.
package roller

import (
	"slices"
	"strings"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/router"
)

// Permit allows one host to switch to a release.
type Permit struct {
	Host    filbertstile.Member
	Release string
	// Epoch and Until are those of the lease under which the permit is given.
	Epoch uint64
	Until time.Time
}

// Lease is the lease of the rollout controller.
type Lease struct {
	Epoch uint64
	// Until is when the lease expires.
	Until time.Time
}

// minHeadroom is the minimum ratio of the remaining concurrency limit to the running
// requests when a serving replica switches, unless it is the only one.
const minHeadroom = 1.25

const maxPercent = 100

// Plan returns the permits to give now. It depends only on its arguments, so that a
// controller that takes over the lease needs no state of its predecessor.
func Plan(c filbertstile.Config, replicas []router.Replica, lease Lease) []Permit {
	var out []Permit
	for _, s := range c.Services.All() {
		target, ok := c.TargetRelease(s.Name)
		if s.Kind != filbertstile.ServiceModel || !ok {
			continue
		}
		out = append(out, planService(c, s, target, replicas, lease)...)
	}
	return out
}

// capacity is the capacity of the replicas of a service that are in service.
type capacity struct {
	// total is the number of replicas, and serving the number of those that serve.
	total   int
	serving int
	// limit and running are the sums of the serving replicas' concurrency limits and
	// running requests.
	limit   int
	running int
}

// replicaInService reports whether the replica is neither marked out of service nor
// leaving.
func replicaInService(c filbertstile.Config, r router.Replica) bool {
	return !c.DomainOutOfService(r.Host.Domain) && !c.HostOutOfService(r.Host.Name) && !r.Host.Leaving && !r.Load.Leaving
}

func planService(c filbertstile.Config, s filbertstile.Service, target filbertstile.Release, replicas []router.Replica, lease Lease) []Permit {
	var current capacity
	var notServing, serving []router.Replica
	for _, r := range replicas {
		if r.Host.Service != s.Name {
			continue
		}
		inService := replicaInService(c, r)
		if inService {
			current.total++
		}
		isServing := inService && r.Connected && r.Load.Serving
		if isServing {
			current.serving++
			current.limit += r.Load.Limit
			current.running += r.Load.Running
		}
		if !r.Connected || r.Load.Release == target.Name && r.Load.Role == s.Role || r.Load.Ready != target.Name {
			continue
		}
		if isServing {
			serving = append(serving, r)
		} else {
			notServing = append(notServing, r)
		}
	}
	var out []Permit
	permit := func(r router.Replica) {
		out = append(out, Permit{Host: r.Host, Release: target.Name, Epoch: lease.Epoch, Until: lease.Until})
	}
	// A replica that does not serve takes away no capacity by switching.
	for _, r := range notServing {
		permit(r)
	}
	slices.SortFunc(serving, func(a, b router.Replica) int {
		if a.Load.Running != b.Load.Running {
			return a.Load.Running - b.Load.Running
		}
		return strings.Compare(a.Host.Name, b.Host.Name)
	})
	floor := CapacityFloor(current.total, s.CapacityFloorPercent)
	for _, r := range serving {
		remaining := current.limit - r.Load.Limit
		if current.serving-1 < floor || float64(remaining) < minHeadroom*float64(current.running) && current.serving > 1 {
			break
		}
		current.serving--
		current.limit = remaining
		permit(r)
	}
	return out
}

// CapacityFloor returns the minimum number of replicas, of the total, that must keep
// serving during a rollout. It is always less than the total, or a service with few
// replicas could never switch to another release.
func CapacityFloor(total, percent int) int {
	floor := (total*percent + maxPercent - 1) / maxPercent
	return min(floor, total-1)
}
