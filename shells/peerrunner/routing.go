package peerrunner

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/base/sleeper"
	"filbertstile.example/filbertstile/decisions/selector"
)

const (
	// routingReadDelay is how long a host waits for the configuration from an entry until it
	// reads the store, and loneRoutingReadDelay the same without entries in its failure domain.
	// In a system that starts for the first time, processes are listed one after another.
	routingReadDelay     = copiesTimeout
	loneRoutingReadDelay = time.Second
	// routingReadStep is the time that each host of a failure domain waits longer than the one
	// before it. Large responses to all of them at once fill the link to the store for longer
	// than its calls wait, and each call that is made again adds to what fills it.
	routingReadStep = 250 * time.Millisecond
	// routingPollInterval is the time between two checks whether a host may read the store.
	routingPollInterval = 100 * time.Millisecond
	// routingCheckTimeout is how long a host waits for the latest configuration as its replica
	// is about to switch.
	routingCheckTimeout = 500 * time.Millisecond
	// minRoutingRetryDelay and maxRoutingRetryDelay bound the delay after a read that failed.
	minRoutingRetryDelay = 250 * time.Millisecond
	maxRoutingRetryDelay = 4 * time.Second
)

// obtained is a configuration and where it comes from: the name of an entry, or empty for the
// store.
type obtained struct {
	routing filbertstile.Routing
	peer    string
}

// awaitRouting returns the first configuration that describes the engine of this host's
// service, or false if the context ends first. An entry of the failure domain sends it; only
// if none does so in time is it read from the store.
func (p *Peer) awaitRouting(ctx context.Context) (filbertstile.Routing, bool) {
	begun := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	found := make(chan obtained, 2)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() {
		if o, err := p.obtainRouting(ctx); err == nil {
			found <- o
		}
	})
	wg.Go(func() { p.readRouting(ctx, found) })
	select {
	case o := <-found:
		p.config.Log.Event(reporter.ConfigurationRead, reporter.Fields{
			"Config": o.routing.Version, "Routes": o.routing.Routes.Len(), "Peer": o.peer, "Took": time.Since(begun).String(),
		})
		return o.routing, true
	case <-ctx.Done():
		return filbertstile.Routing{}, false
	}
}

// obtainRouting gets the configuration from the entry that this host follows.
func (p *Peer) obtainRouting(ctx context.Context) (obtained, error) {
	c := p.sources.NewRoutingCopy()
	var r filbertstile.Routing
	enough := func() bool {
		row, ok := c.View().Rows.Get(filbertstile.Routing{}.Key())
		if ok {
			r = row
		}
		return ok && p.hasEngine(row)
	}
	peer, err := p.sharer.Obtain(ctx, c, enough)
	return obtained{routing: r, peer: peer}, err
}

// mayCancelRunning reports whether running requests may be cancelled, because they can continue
// at other replicas by the latest configuration. If that can't be had, they may not.
func (p *Peer) mayCancelRunning(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, routingCheckTimeout)
	defer cancel()
	r, err := p.latestRouting(ctx)
	if err != nil {
		p.config.Log.Event(reporter.StepFailed, reporter.Fields{"Step": "read configuration before a switch", "Error": err})
		return false
	}
	return allRoutesRetryable(r, p.config.Self.Service)
}

// latestRouting returns the configuration of an entry of the failure domain or, if there is none,
// that of the store.
func (p *Peer) latestRouting(ctx context.Context) (filbertstile.Routing, error) {
	if len(p.domainEntries()) == 0 {
		return p.sources.Routing(ctx)
	}
	o, err := p.obtainRouting(ctx)
	return o.routing, err
}

// hasEngine reports whether the configuration describes the engine of this host's service.
func (p *Peer) hasEngine(r filbertstile.Routing) bool {
	spec, ok := r.Pools.Get(p.config.Self.Service)
	return ok && spec.Engine != nil
}

// readRouting reads the configuration from the store once this host's turn has come.
func (p *Peer) readRouting(ctx context.Context, found chan<- obtained) {
	for waitingSince := time.Now(); time.Since(waitingSince) < p.routingReadDelay() || p.sharer.Obtaining(); {
		if sleeper.Sleep(ctx, routingPollInterval) != nil {
			return
		}
	}
	for delay := minRoutingRetryDelay; ; delay = min(2*delay, maxRoutingRetryDelay) {
		r, err := p.sources.Routing(ctx)
		if err == nil && !p.hasEngine(r) {
			err = filbertstile.ErrField{Step: "read configuration", Field: p.config.Self.Service, Problem: "has no engine"}
		}
		if err == nil {
			found <- obtained{routing: r}
			return
		}
		if ctx.Err() != nil {
			return
		}
		p.config.Log.Event(reporter.StepFailed, reporter.Fields{"Step": "read configuration", "Error": err})
		if sleeper.Sleep(ctx, delay/2+rand.N(delay)) != nil {
			return
		}
	}
}

// routingReadDelay returns how long this host waits until it reads the configuration from the
// store. Without the members it does not know its place among the hosts, and waits until each
// of them has had its turn to list them.
func (p *Peer) routingReadDelay() time.Duration {
	view := p.sources.Members.View()
	if !view.Listed {
		return routingReadDelay + listSpread + selector.Turn(p.config.Self.Name, listSpread)
	}
	members := view.Rows
	rank := hostsBefore(members.All(), p.config.Self)
	delay := routingReadDelay
	if _, registered := members.Get(p.config.Self.Key()); registered && len(p.domainEntries()) == 0 {
		delay = loneRoutingReadDelay
	}
	return delay + time.Duration(rank)*routingReadStep
}

// hostsBefore returns the number of hosts of the member's failure domain whose turn comes before
// its own. It is the order in which they list the members, so that each has its place by then.
func hostsBefore(members []filbertstile.Member, self filbertstile.Member) int {
	order := func(a, b filbertstile.Member) int {
		return cmp.Or(cmp.Compare(selector.Turn(a.Name, listSpread), selector.Turn(b.Name, listSpread)), cmp.Compare(a.Name, b.Name))
	}
	before := slices.DeleteFunc(slices.Clone(members), func(m filbertstile.Member) bool {
		return m.Role != filbertstile.RoleHost || m.Domain != self.Domain || order(m, self) >= 0
	})
	return len(before)
}

// allRoutesRetryable reports whether all routes to the service are retryable, so that
// their requests and streams can continue at another replica.
func allRoutesRetryable(r filbertstile.Routing, service string) bool {
	for _, route := range r.Routes.All() {
		matches := slices.ContainsFunc(route.Targets, func(t filbertstile.Target) bool { return t.Service == service })
		if matches && !route.Retryable() {
			return false
		}
	}
	return true
}
