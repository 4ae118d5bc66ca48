package entryrunner

import (
	"context"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/base/sleeper"
	"filbertstile.example/filbertstile/base/viewer"
	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/decisions/dispatcher"
	"filbertstile.example/filbertstile/decisions/router"
)

// subset returns the hosts to which the entry sends requests.
func (e *Entry) subset(v viewer.View) []filbertstile.Member {
	return router.Subset(e.node.Self(), hostsOf(v), e.config.Settings.MaxHosts)
}

// subscribedHosts returns the hosts whose load reports the entry needs: the subset, or all
// hosts if the entry controls rollouts, as the controller must see every replica.
func (e *Entry) subscribedHosts(v viewer.View, subset []filbertstile.Member, controller bool) []filbertstile.Member {
	if controller {
		return hostsOf(v)
	}
	return subset
}

// hostsOf returns the host processes among the members.
func hostsOf(v viewer.View) []filbertstile.Member {
	var hosts []filbertstile.Member
	for _, m := range v.Members.All() {
		if m.Role == filbertstile.RoleHost && m.Address != "" {
			hosts = append(hosts, m)
		}
	}
	return hosts
}

// updateSubscriptions starts and ends subscriptions so that there is one for each of
// the hosts.
func (e *Entry) updateSubscriptions(ctx context.Context, subscriptions map[filbertstile.Member]context.CancelFunc, hosts []filbertstile.Member) {
	want := make(map[filbertstile.Member]bool, len(hosts))
	for _, m := range hosts {
		// The subscription to a host that starts leaving must continue, so the key must
		// not change.
		m.Leaving = false
		want[m] = true
		if _, ok := subscriptions[m]; ok {
			continue
		}
		hostCtx, cancel := context.WithCancel(ctx)
		subscriptions[m] = cancel
		e.wg.Go(func() { e.subscribe(hostCtx, m) })
	}
	for m, cancel := range subscriptions {
		if !want[m] {
			cancel()
			delete(subscriptions, m)
		}
	}
}

// subscribe reads the host's load reports until the context ends, and reconnects when
// the stream fails.
func (e *Entry) subscribe(ctx context.Context, m filbertstile.Member) {
	connected := false
	for ctx.Err() == nil {
		err := e.readLoads(ctx, m, &connected)
		e.handleHostLost(m.Name)
		if ctx.Err() != nil {
			return
		}
		if connected {
			e.node.Log.Event(reporter.HostLost, reporter.Fields{"Peer": m.Name, "Error": err})
			connected = false
		}
		e.node.Client.CloseSession(m.Address)
		_ = sleeper.Sleep(ctx, resubscribeDelay)
	}
}

// readLoads reads load reports from one stream until it fails. It sets connected after
// the first report.
func (e *Entry) readLoads(ctx context.Context, m filbertstile.Member, connected *bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := e.node.Client.Open(ctx, m.Address, &wire.Request{Id: e.node.Client.NextID(), Kind: &wire.Request_Report{Report: &wire.Report{}}})
	if err != nil {
		return err
	}
	defer s.Close()
	timeout := time.AfterFunc(reportTimeout, cancel)
	defer timeout.Stop()
	var last *wire.Load
	for {
		f, err := s.Receive()
		if err != nil {
			return err
		}
		l := f.GetLoad()
		if l.GetSame() {
			l = last
		}
		if l == nil {
			continue
		}
		last = l
		timeout.Reset(reportTimeout)
		if !*connected {
			*connected = true
			e.node.Log.Event(reporter.HostFound, reporter.Fields{"Peer": m.Name})
		}
		e.handleLoad(m.Name, l)
	}
}

func (e *Entry) handleHostLost(host string) {
	e.mu.Lock()
	delete(e.loads, host)
	e.mu.Unlock()
	e.loop.Post(dispatcher.HostLost{Host: host})
}

func (e *Entry) handleLoad(host string, l *wire.Load) {
	e.mu.Lock()
	e.loads[host] = toLoad(l)
	e.mu.Unlock()
	e.loop.Post(dispatcher.LoadReported{Host: host, Load: toLoad(l)})
}
