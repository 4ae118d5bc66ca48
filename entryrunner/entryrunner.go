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

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/configurer"
	"filbertstile.example/filbertstile/dispatcher"
	"filbertstile.example/filbertstile/joiner"
	"filbertstile.example/filbertstile/messenger"
	"filbertstile.example/filbertstile/recorder"
	"filbertstile.example/filbertstile/relayer"
	"filbertstile.example/filbertstile/reporter"
	"filbertstile.example/filbertstile/responder"
	"filbertstile.example/filbertstile/router"
	"filbertstile.example/filbertstile/sleeper"
	"filbertstile.example/filbertstile/ticker"
	"filbertstile.example/filbertstile/viewer"
	"filbertstile.example/filbertstile/voucher"
	"filbertstile.example/filbertstile/wire"
)

const (
	idleTick    = 10 * time.Millisecond
	viewEvery   = 50 * time.Millisecond
	redial      = 300 * time.Millisecond
	silentAfter = 3 * time.Second
	drainPoll   = 10 * time.Millisecond
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

	mu           sync.Mutex
	calls        map[string]*call
	incarnations map[string]string
	callsWG      sync.WaitGroup

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
	e := &Entry{config: c, calls: make(map[string]*call), incarnations: make(map[string]string)}
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
	e.loop = ticker.New(ticker.Config[dispatcher.Event, dispatcher.Command]{Core: e.core, Execute: e.execute, Idle: idleTick})
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
	e.wg.Go(func() { e.watchHosts(ctx) })
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

// Drain announces the stop. The entry goes on answering until the answers that
// it gave about which entries to use have expired, and returns when all calls
// in hand are finished.
func (e *Entry) Drain(ctx context.Context) error {
	e.node.Leave(ctx)
	if err := sleeper.Sleep(ctx, time.Duration(e.config.Settings.EntriesValid)); err != nil {
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

// watchView keeps the core up to date with the view.
func (e *Entry) watchView(ctx context.Context) {
	var last viewer.View
	var lastTrust voucher.Trust
	for {
		changed := e.node.Holder.Changed()
		v := e.node.Holder.View()
		trust := e.node.Relay.Trust()
		moved := v.Config.Revision != last.Config.Revision || v.MembersVersion != last.MembersVersion
		if moved || trust != lastTrust {
			e.loop.Post(dispatcher.ViewSeen{View: v, Trust: trust, Leaving: e.node.Leaving()})
			e.accounts.Store(newAccountIndex(v.Config))
			last, lastTrust = v, trust
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-time.After(viewEvery):
		}
	}
}

// watchHosts keeps a stream of load reports from each host of the entry's
// subset.
func (e *Entry) watchHosts(ctx context.Context) {
	running := make(map[filbertstile.Member]context.CancelFunc)
	for {
		changed := e.node.Holder.Changed()
		want := make(map[filbertstile.Member]bool)
		for _, m := range e.subset() {
			m.Leaving = false
			want[m] = true
			if _, ok := running[m]; ok {
				continue
			}
			hostCtx, cancel := context.WithCancel(ctx)
			running[m] = cancel
			e.wg.Go(func() { e.followHost(hostCtx, m) })
		}
		for m, cancel := range running {
			if !want[m] {
				cancel()
				delete(running, m)
			}
		}
		select {
		case <-ctx.Done():
			for _, cancel := range running {
				cancel()
			}
			return
		case <-changed:
		case <-time.After(time.Second):
			// The lease may have changed hands.
		}
	}
}

func (e *Entry) subset() []filbertstile.Member {
	var hosts []filbertstile.Member
	for _, m := range e.node.Holder.View().Members.All() {
		if m.Role == filbertstile.RoleHost && m.Address != "" {
			hosts = append(hosts, m)
		}
	}
	if e.rollout.state().Holder {
		// The controller of a rollout must see every replica.
		return hosts
	}
	return router.Subset(e.node.Self(), hosts, e.config.Settings.MaxHosts)
}

func (e *Entry) followHost(ctx context.Context, m filbertstile.Member) {
	found := false
	for ctx.Err() == nil {
		err := e.readLoads(ctx, m, &found)
		e.loop.Post(dispatcher.HostLost{Host: m.Name})
		if ctx.Err() != nil {
			return
		}
		if found {
			e.node.Log.Event(reporter.HostLost, reporter.Fields{"Peer": m.Name, "Error": err})
			found = false
		}
		e.node.Client.Drop(m.Address)
		_ = sleeper.Sleep(ctx, redial)
	}
}

func (e *Entry) readLoads(ctx context.Context, m filbertstile.Member, found *bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := e.node.Client.Open(ctx, m.Address, &wire.Request{Id: uuid.NewString(), Kind: &wire.Request_Report{Report: &wire.Report{}}})
	if err != nil {
		return err
	}
	defer s.Close()
	silent := time.AfterFunc(silentAfter, cancel)
	defer silent.Stop()
	for {
		f, err := s.Receive()
		if err != nil {
			return err
		}
		l := f.GetLoad()
		if l == nil {
			continue
		}
		silent.Reset(silentAfter)
		if !*found {
			*found = true
			e.node.Log.Event(reporter.HostFound, reporter.Fields{"Peer": m.Name})
		}
		e.noteLoad(m.Name, l)
	}
}

func (e *Entry) noteLoad(host string, l *wire.Load) {
	e.mu.Lock()
	e.incarnations[host] = l.GetIncarnation()
	e.mu.Unlock()
	e.loop.Post(dispatcher.LoadSeen{Host: host, Load: toLoad(l)})
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

// Replicas returns the hosts as this entry sees them.
func (e *Entry) Replicas() []router.Replica {
	var out []router.Replica
	e.loop.Inspect(func() { out = e.core.State().Replicas })
	return out
}
