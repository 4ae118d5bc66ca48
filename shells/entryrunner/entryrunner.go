// Package entryrunner runs the process that callers and operators talk to: it
// admits, routes and answers requests, owns quotas and record shards, takes
// part in the configuration tree and controls rollouts by lease.
package entryrunner

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/configurer"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/base/sleeper"
	"filbertstile.example/filbertstile/base/ticker"
	"filbertstile.example/filbertstile/base/viewer"
	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/decisions/dispatcher"
	"filbertstile.example/filbertstile/decisions/router"
	"filbertstile.example/filbertstile/decisions/voucher"
	"filbertstile.example/filbertstile/shells/joiner"
	"filbertstile.example/filbertstile/shells/recorder"
	"filbertstile.example/filbertstile/shells/relayer"
	"filbertstile.example/filbertstile/transport/messenger"
	"filbertstile.example/filbertstile/transport/responder"
)

const (
	idleTick    = 10 * time.Millisecond
	viewEvery   = 50 * time.Millisecond
	redial      = 300 * time.Millisecond
	silentAfter = 3 * time.Second
	drainPoll   = 10 * time.Millisecond
	// listedFor bounds the wait for the list to show the stop, and leaveSpread is
	// what it then takes until every entry has seen it.
	listedFor   = 30 * time.Second
	leaveSpread = 2500 * time.Millisecond
)

// Config puts an entry together.
type Config struct {
	Settings *configurer.Entry
	Network  filbertstile.Network
	Logger   *logrus.Logger
	Tree     relayer.Limits
	Trust    voucher.Limits
	Records  recorder.Config
	// Dispatch overrides the dispatcher's bounds where it is set.
	Dispatch *dispatcher.Config
}

// Entry is the process that callers talk to.
type Entry struct {
	config   Config
	node     *joiner.Node
	core     *dispatcher.Core
	loop     *ticker.Loop[dispatcher.Event, dispatcher.Command]
	records  *recorder.Recorder
	quotas   *quotas
	rollout  *rollout
	accounts atomic.Pointer[accountIndex]

	mu    sync.Mutex
	calls map[string]*call
	// loads are the newest reports of all hosts that the entry follows.
	loads   map[string]router.Load
	callsWG sync.WaitGroup

	ctx context.Context
	wg  sync.WaitGroup

	requests metrics.Counter
	attempts metrics.Counter
	failures metrics.Counter
	latency  metrics.Histogram
}

const latencySamples = 1028

// New returns an entry that does not run yet.
func New(c Config) (*Entry, error) {
	s := c.Settings
	e := &Entry{config: c, calls: make(map[string]*call), loads: make(map[string]router.Load)}
	self := filbertstile.Member{
		Name: s.Identity.Name, Role: filbertstile.RoleEntry, Region: s.Identity.Region, Domain: s.Identity.Domain,
		Address: s.Identity.Address, HTTPAddress: s.HTTPAddress,
	}
	node, err := joiner.New(joiner.Config{
		Self: self, Network: c.Network, ObjectAPI: s.Platform.ObjectAPI, HostList: s.Platform.HostList,
		Logger: c.Logger, Subsystems: s.Log.Subsystems, Tree: c.Tree, Trust: c.Trust, Handle: e.handle, Dump: e.dump,
	})
	if err != nil {
		return nil, err
	}
	e.node = node
	dispatch := dispatcher.DefaultConfig(self)
	if c.Dispatch != nil {
		dispatch = *c.Dispatch
		dispatch.Self = self
	}
	dispatch.MaxQueue = s.MaxQueue
	dispatch.MaxWait = time.Duration(s.MaxWait)
	e.core = dispatcher.New(dispatch)
	e.loop = ticker.New(ticker.Config[dispatcher.Event, dispatcher.Command]{Core: e.core, Execute: e.execute, IdleInterval: idleTick})
	records := c.Records
	records.Store, records.Self, records.Log, records.Metrics = node.Store, self.Name, node.Log, node.Metrics
	records.Keep = time.Duration(s.RecordsKept)
	e.records = recorder.New(records)
	e.quotas = newQuotas()
	e.rollout = newRollout(e)
	e.accounts.Store(&accountIndex{})
	e.requests = metrics.NewRegisteredCounter("Entry.Requests", node.Metrics)
	e.attempts = metrics.NewRegisteredCounter("Entry.Attempts", node.Metrics)
	e.failures = metrics.NewRegisteredCounter("Entry.Failures", node.Metrics)
	e.latency = metrics.NewRegisteredHistogram("Entry.LatencyMicroseconds", node.Metrics, metrics.NewUniformSample(latencySamples))
	return e, nil
}

// Node returns the process's common part.
func (e *Entry) Node() *joiner.Node { return e.node }

// Attempts returns how many requests were taken in, and how many times
// requests were sent to a host.
func (e *Entry) Attempts() (requests, attempts int64) { return e.requests.Count(), e.attempts.Count() }

// Run serves until the context ends, then lets go of everything at once. A
// planned stop calls Drain first.
func (e *Entry) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.ctx = ctx
	s := e.config.Settings
	l, err := e.config.Network.Listen(s.Identity.Address)
	if err != nil {
		return fmt.Errorf("start %s: %w", s.Identity.Name, err)
	}
	public, err := e.config.Network.Listen(s.HTTPAddress)
	if err != nil {
		_ = l.Close()
		return fmt.Errorf("start %s: %w", s.Identity.Name, err)
	}
	admin, err := e.config.Network.Listen(s.AdminAddress)
	if err != nil {
		_ = l.Close()
		_ = public.Close()
		return fmt.Errorf("start %s: %w", s.Identity.Name, err)
	}
	e.wg.Go(func() { e.loop.Run(ctx) })
	e.wg.Go(func() { e.records.Run(ctx) })
	e.wg.Go(func() { e.watchView(ctx) })
	e.wg.Go(func() { e.rollout.run(ctx) })
	e.wg.Go(func() {
		_ = responder.Serve(ctx, public, responder.Config{Name: "filbertstile", Handler: e.handlePublic, MaxBodyBytes: s.MaxBodyBytes})
	})
	e.wg.Go(func() {
		_ = responder.Serve(ctx, admin, responder.Config{Name: "filbertstile-admin", Handler: e.handleAdmin})
	})
	err = e.node.Run(ctx, l)
	cancel()
	e.wg.Wait()
	e.callsWG.Wait()
	e.node.Log.Event(reporter.ProcessStopped, nil)
	return err
}

// Drain announces the stop. The entry goes on answering until no other entry
// names it any more and the answers that named it have expired, and returns
// when all calls in hand are finished.
func (e *Entry) Drain(ctx context.Context) error {
	e.node.Leave(ctx)
	e.awaitUnlisted(ctx)
	if err := sleeper.Sleep(ctx, leaveSpread+time.Duration(e.config.Settings.EntriesValid)); err != nil {
		return err
	}
	for {
		e.mu.Lock()
		idle := len(e.calls) == 0
		e.mu.Unlock()
		if idle {
			return nil
		}
		if err := sleeper.Sleep(ctx, drainPoll); err != nil {
			return fmt.Errorf("drain: %w", err)
		}
	}
}

// awaitUnlisted waits until the list shows the stop, as far as this entry sees.
func (e *Entry) awaitUnlisted(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listedFor)
	defer cancel()
	for {
		m, listed := e.node.Holder.View().Members.Get(e.node.Self().Name)
		if !listed || m.Leaving || sleeper.Sleep(ctx, drainPoll) != nil {
			return
		}
	}
}

// watchView keeps the core, and the streams of load reports, up to date with
// the view.
func (e *Entry) watchView(ctx context.Context) {
	var last viewer.View
	var lastTrust voucher.Trust
	var hosts []filbertstile.Member
	controls := false
	streams := make(map[filbertstile.Member]context.CancelFunc)
	for {
		changed := e.node.Holder.Changed()
		v := e.node.Holder.View()
		trust := e.node.Relay.Trust()
		controller := e.rollout.state().Holder
		if v.MembersVersion != last.MembersVersion || controller != controls {
			hosts = e.subset(v)
			e.follow(ctx, streams, e.followed(v, hosts, controller))
			controls = controller
		}
		if v.Config.Revision != last.Config.Revision || v.MembersVersion != last.MembersVersion || trust != lastTrust {
			e.loop.Post(dispatcher.ViewUpdated{View: v, Trust: trust, Hosts: hosts})
			e.accounts.Store(newAccountIndex(v.Config))
			last, lastTrust = v, trust
		}
		select {
		case <-ctx.Done():
			e.follow(ctx, streams, nil)
			return
		case <-changed:
		case <-time.After(viewEvery):
		}
	}
}

// subset returns the hosts that the entry sends requests to.
func (e *Entry) subset(v viewer.View) []filbertstile.Member {
	return router.Subset(e.node.Self(), hostsOf(v), e.config.Settings.MaxHosts)
}

// followed returns the hosts whose loads the entry follows: the controller of a
// rollout must see every replica.
func (e *Entry) followed(v viewer.View, subset []filbertstile.Member, controller bool) []filbertstile.Member {
	if controller {
		return hostsOf(v)
	}
	return subset
}

func hostsOf(v viewer.View) []filbertstile.Member {
	var hosts []filbertstile.Member
	for _, m := range v.Members.All() {
		if m.Role == filbertstile.RoleHost && m.Address != "" {
			hosts = append(hosts, m)
		}
	}
	return hosts
}

// follow keeps a stream of load reports from each of the hosts.
func (e *Entry) follow(ctx context.Context, streams map[filbertstile.Member]context.CancelFunc, hosts []filbertstile.Member) {
	want := make(map[filbertstile.Member]bool, len(hosts))
	for _, m := range hosts {
		// A host that leaves is followed to its end.
		m.Leaving = false
		want[m] = true
		if _, ok := streams[m]; ok {
			continue
		}
		hostCtx, cancel := context.WithCancel(ctx)
		streams[m] = cancel
		e.wg.Go(func() { e.followHost(hostCtx, m) })
	}
	for m, cancel := range streams {
		if !want[m] {
			cancel()
			delete(streams, m)
		}
	}
}

func (e *Entry) followHost(ctx context.Context, m filbertstile.Member) {
	found := false
	for ctx.Err() == nil {
		err := e.readLoads(ctx, m, &found)
		e.noteLost(m.Name)
		if ctx.Err() != nil {
			return
		}
		if found {
			e.node.Log.Event(reporter.HostLost, reporter.Fields{"Peer": m.Name, "Error": err})
			found = false
		}
		e.node.Client.CloseSession(m.Address)
		_ = sleeper.Sleep(ctx, redial)
	}
}

func (e *Entry) readLoads(ctx context.Context, m filbertstile.Member, found *bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := e.node.Client.Open(ctx, m.Address, &wire.Request{Id: e.node.Client.NextID(), Kind: &wire.Request_Report{Report: &wire.Report{}}})
	if err != nil {
		return err
	}
	defer s.Close()
	silent := time.AfterFunc(silentAfter, cancel)
	defer silent.Stop()
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
		silent.Reset(silentAfter)
		if !*found {
			*found = true
			e.node.Log.Event(reporter.HostFound, reporter.Fields{"Peer": m.Name})
		}
		e.noteLoad(m.Name, l)
	}
}

func (e *Entry) noteLost(host string) {
	e.mu.Lock()
	delete(e.loads, host)
	e.mu.Unlock()
	e.loop.Post(dispatcher.HostLost{Host: host})
}

func (e *Entry) noteLoad(host string, l *wire.Load) {
	e.mu.Lock()
	e.loads[host] = toLoad(l)
	e.mu.Unlock()
	e.loop.Post(dispatcher.LoadReported{Host: host, Load: toLoad(l)})
}

// handle serves the requests of other processes.
func (e *Entry) handle(ctx context.Context, req *wire.Request, s *messenger.Stream) {
	switch k := req.GetKind().(type) {
	case *wire.Request_Intent:
		e.handleIntent(ctx, k.Intent, s)
	case *wire.Request_Outcome:
		e.handleOutcome(ctx, k.Outcome, s)
	case *wire.Request_Demand:
		e.handleDemand(req.GetSender(), k.Demand, s)
	}
}

// State is the role's part of a dump.
type State struct {
	Calls    int
	Dispatch dispatcher.State
	Rollout  RolloutState
}

func (e *Entry) dump() any {
	st := State{Rollout: e.rollout.state()}
	e.loop.Inspect(func() { st.Dispatch = e.core.State() })
	e.mu.Lock()
	st.Calls = len(e.calls)
	e.mu.Unlock()
	return st
}

// Replicas returns the hosts that this entry follows, as they last reported.
func (e *Entry) Replicas() []router.Replica {
	members := e.node.Holder.View().Members
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]router.Replica, 0, len(e.loads))
	for _, m := range members.All() {
		if m.Role != filbertstile.RoleHost {
			continue
		}
		l, ok := e.loads[m.Name]
		out = append(out, router.Replica{Host: m, Load: l, Connected: ok})
	}
	return out
}
