// Package roller decides which replicas may switch to another release, so that
// enough capacity stays in service.
package roller

import (
	"slices"
	"strings"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/router"
)

// Permit lets one host switch.
type Permit struct {
	Host    filbertstile.Member
	Release string
	Epoch   uint64
	Until   time.Time
}

// Grant is the controller's lease.
type Grant struct {
	Epoch uint64
	Until time.Time
}

// headroom is the capacity that must stay, relative to the work in hand.
const headroom = 1.25

const allPercent = 100

// Plan returns the permits to give now. It is a function of what the replicas
// report, so that a controller that takes over needs no other memory.
func Plan(c filbertstile.Config, replicas []router.Replica, g Grant) []Permit {
	var out []Permit
	for _, s := range c.Services.All() {
		target, ok := c.TargetRelease(s.Name)
		if s.Kind != filbertstile.ServiceModel || !ok {
			continue
		}
		out = append(out, planService(c, s, target, replicas, g)...)
	}
	return out
}

// capacity sums up the replicas of a service that callers can reach.
type capacity struct {
	total   int
	serving int
	limit   int
	running int
}

func inService(c filbertstile.Config, r router.Replica) bool {
	return !c.DomainOutOfService(r.Host.Domain) && !c.HostOutOfService(r.Host.Name) && !r.Host.Leaving && !r.Load.Leaving
}

func planService(c filbertstile.Config, s filbertstile.Service, target filbertstile.Release, replicas []router.Replica, g Grant) []Permit {
	var have capacity
	var idle, busy []router.Replica
	for _, r := range replicas {
		if r.Host.Service != s.Name {
			continue
		}
		reachable := inService(c, r)
		if reachable {
			have.total++
		}
		serving := reachable && r.Connected && r.Load.Serving
		if serving {
			have.serving++
			have.limit += r.Load.Limit
			have.running += r.Load.Running
		}
		if !r.Connected || r.Load.Release == target.Name && r.Load.Role == s.Role || r.Load.Ready != target.Name {
			continue
		}
		if serving {
			busy = append(busy, r)
		} else {
			idle = append(idle, r)
		}
	}
	var out []Permit
	permit := func(r router.Replica) {
		out = append(out, Permit{Host: r.Host, Release: target.Name, Epoch: g.Epoch, Until: g.Until})
	}
	// Who serves nobody takes nothing away by switching.
	for _, r := range idle {
		permit(r)
	}
	slices.SortFunc(busy, func(a, b router.Replica) int {
		if a.Load.Running != b.Load.Running {
			return a.Load.Running - b.Load.Running
		}
		return strings.Compare(a.Host.Name, b.Host.Name)
	})
	floor := Floor(have.total, s.CapacityFloorPercent)
	for _, r := range busy {
		left := have.limit - r.Load.Limit
		if have.serving-1 < floor || float64(left) < headroom*float64(have.running) && have.serving > 1 {
			break
		}
		have.serving--
		have.limit = left
		permit(r)
	}
	return out
}

// Floor is the number of replicas that must stay, of the total. One may always
// switch, or a service with few replicas could never change its release.
func Floor(total, percent int) int {
	floor := (total*percent + allPercent - 1) / allPercent
	return min(floor, total-1)
}
