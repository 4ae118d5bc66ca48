// Package entryrunner runs the entry process, which serves callers and operators. It
// admits and routes requests, grants quotas, commits the records of non-idempotent calls,
// relays the configuration, and controls rollouts while it holds the rollout lease.
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
	"filbertstile.example/filbertstile/decisions/evaluator"
	"filbertstile.example/filbertstile/decisions/router"
	"filbertstile.example/filbertstile/shells/joiner"
	"filbertstile.example/filbertstile/shells/recorder"
	"filbertstile.example/filbertstile/shells/relayer"
	"filbertstile.example/filbertstile/transport/messenger"
)

const (
	// idleInterval is the time between ticks of the core while no events arrive.
	idleInterval = 10 * time.Millisecond
	// viewInterval is the maximum time between two checks of the view, the trust in it
	// and the rollout lease.
	viewInterval = 50 * time.Millisecond
	// resubscribeDelay is the delay before a failed subscription to load reports is
	// restarted.
	resubscribeDelay = 300 * time.Millisecond
	// reportTimeout is the time without a load report after which a host counts as lost.
	reportTimeout     = 3 * time.Second
	drainPollInterval = 10 * time.Millisecond
	// leaveListTimeout is the maximum time to wait until this entry's view of the members
	// shows that it is leaving, and leavePropagationDelay the time after that until the
	// views of all entries show it.
	leaveListTimeout      = 30 * time.Second
	leavePropagationDelay = 2500 * time.Millisecond
)

// Config configures an Entry.
type Config struct {
	Settings *configurer.Entry
	Network  filbertstile.Network
	Logger   *logrus.Logger
	Tree     relayer.Limits
	Trust    evaluator.Limits
	Records  recorder.Config
	// Dispatch replaces the default configuration of the dispatcher, except for Self,
	// MaxQueue and MaxWait; nil means the default.
	Dispatch *dispatcher.Config
}

// Entry is an entry process.
type Entry struct {
	config Config
	node   *joiner.Node
	// core decides to which hosts requests are sent. All access to it goes through loop.
	core     *dispatcher.Core
	loop     *ticker.Loop[dispatcher.Event, dispatcher.Command]
	records  *recorder.Recorder
	quotas   *quotas
	rollout  *rollout
	accounts atomic.Pointer[accountIndex]
	// parsing is held while a large body is parsed.
	parsing sync.Mutex

	mu sync.Mutex
	// calls holds the calls that have not ended, by request ID.
	calls map[string]*call
	// loads holds the newest load report of each host whose reports arrive.
	loads   map[string]router.Load
	callsWG sync.WaitGroup

	// ctx is the context of Run. It ends when the entry stops.
	ctx context.Context
	wg  sync.WaitGroup

	requests metrics.Counter
	attempts metrics.Counter
	failures metrics.Counter
	latency  metrics.Histogram
}

// latencyReservoirSize is the number of samples in the reservoir of the latency
// histogram.
const latencyReservoirSize = 1028

// New returns an entry. It does nothing until Run is called.
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
	e.loop = ticker.New(ticker.Config[dispatcher.Event, dispatcher.Command]{Core: e.core, Execute: e.execute, IdleInterval: idleInterval})
	records := c.Records
	records.Store, records.Self, records.Log, records.Metrics = node.Store, self.Name, node.Log, node.Metrics
	records.Retention = time.Duration(s.RecordsKept)
	e.records = recorder.New(records)
	e.quotas = newQuotas()
	e.rollout = newRollout(e)
	e.accounts.Store(&accountIndex{})
	e.requests = metrics.NewRegisteredCounter("Entry.Requests", node.Metrics)
	e.attempts = metrics.NewRegisteredCounter("Entry.Attempts", node.Metrics)
	e.failures = metrics.NewRegisteredCounter("Entry.Failures", node.Metrics)
	e.latency = metrics.NewRegisteredHistogram("Entry.LatencyMicroseconds", node.Metrics, metrics.NewUniformSample(latencyReservoirSize))
	return e, nil
}

// Node returns the part of the process that entries and hosts have in common.
func (e *Entry) Node() *joiner.Node { return e.node }

// Attempts returns the number of requests received, and the number of times that a
// request was sent to a host to run.
func (e *Entry) Attempts() (requests, attempts int64) { return e.requests.Count(), e.attempts.Count() }

// Run serves requests until the context ends, and then aborts the requests in flight.
// A planned stop calls Drain first.
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
	e.wg.Go(func() { e.servePublic(ctx, public) })
	e.wg.Go(func() { e.serveAdmin(ctx, admin) })
	err = e.node.Run(ctx, l)
	cancel()
	e.wg.Wait()
	e.callsWG.Wait()
	e.node.Log.Event(reporter.ProcessStopped, nil)
	return err
}

// Drain announces the stop and returns when the entry may be stopped. The entry keeps
// serving until no entry returns its address to callers any more and the lists that
// callers have cached have expired, and then until no call is in flight.
func (e *Entry) Drain(ctx context.Context) error {
	e.node.Leave(ctx)
	e.awaitUnlisted(ctx)
	if err := sleeper.Sleep(ctx, leavePropagationDelay+time.Duration(e.config.Settings.EntriesValid)); err != nil {
		return err
	}
	for {
		e.mu.Lock()
		idle := len(e.calls) == 0
		e.mu.Unlock()
		if idle {
			return nil
		}
		if err := sleeper.Sleep(ctx, drainPollInterval); err != nil {
			return fmt.Errorf("drain: %w", err)
		}
	}
}

// awaitUnlisted waits until this entry's view of the members shows that it is leaving.
func (e *Entry) awaitUnlisted(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveListTimeout)
	defer cancel()
	for {
		m, listed := e.node.Holder.View().Members.Get(e.node.Self().Name)
		if !listed || m.Leaving || sleeper.Sleep(ctx, drainPollInterval) != nil {
			return
		}
	}
}

// watchView updates the core and the subscriptions to load reports when the view, the
// trust in it or the role of rollout controller changes.
func (e *Entry) watchView(ctx context.Context) {
	var last viewer.View
	var lastTrust evaluator.Trust
	var hosts []filbertstile.Member
	wasController := false
	subscriptions := make(map[filbertstile.Member]context.CancelFunc)
	for {
		changed := e.node.Holder.Changed()
		v := e.node.Holder.View()
		trust := e.node.Relay.Trust()
		controller := e.rollout.state().Holder
		if v.MembersVersion != last.MembersVersion || controller != wasController {
			hosts = e.subset(v)
			e.updateSubscriptions(ctx, subscriptions, e.subscribedHosts(v, hosts, controller))
			wasController = controller
		}
		if v.Config.Revision != last.Config.Revision || v.MembersVersion != last.MembersVersion || trust != lastTrust {
			e.loop.Post(dispatcher.ViewUpdated{View: v, Trust: trust, Hosts: hosts})
			e.accounts.Store(newAccountIndex(v.Config))
			last, lastTrust = v, trust
		}
		select {
		case <-ctx.Done():
			e.updateSubscriptions(ctx, subscriptions, nil)
			return
		case <-changed:
		case <-time.After(viewInterval):
		}
	}
}

// handle handles requests from other processes.
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

// State is the entry's own part of a dump.
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

// Replicas returns all hosts with their last reported loads. A host without load
// reports has Connected set to false.
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
