// Package hostrunner runs the host process of one backend server. It fetches weights,
// admits requests through the gate, which package gatekeeper implements, and sends them
// to the backend server.
package hostrunner

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/configurer"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/base/sleeper"
	"filbertstile.example/filbertstile/base/ticker"
	"filbertstile.example/filbertstile/decisions/distributor"
	"filbertstile.example/filbertstile/decisions/evaluator"
	"filbertstile.example/filbertstile/decisions/gatekeeper"
	"filbertstile.example/filbertstile/outside/invoker"
	"filbertstile.example/filbertstile/outside/sourcer"
	"filbertstile.example/filbertstile/shells/fetcher"
	"filbertstile.example/filbertstile/shells/joiner"
	"filbertstile.example/filbertstile/shells/relayer"
	"filbertstile.example/filbertstile/transport/responder"
)

const (
	// idleInterval is the time between ticks of the gate while no events arrive.
	idleInterval = 20 * time.Millisecond
	// statusInterval is the maximum time between two updates of the status that the
	// gate knows.
	statusInterval = 50 * time.Millisecond
	// enginePollInterval is the time between two requests for the engine's state.
	enginePollInterval = 500 * time.Millisecond
	// minReportInterval is the minimum time between two load reports to an entry. If
	// the load does not change, the next report is sent idleReportInterval after that.
	minReportInterval  = 100 * time.Millisecond
	idleReportInterval = time.Second
	// drainPollInterval is the time between two checks whether the drain is complete.
	drainPollInterval = 10 * time.Millisecond
	// leaveNoticeDelay is the minimum time between the announcement of a planned stop
	// and the end of the last stream, so that entries learn of the stop first.
	leaveNoticeDelay = time.Second
	// maxReleases is the maximum number of releases that a host holds or fetches.
	maxReleases = 2
)

// Config configures a Host.
type Config struct {
	Settings *configurer.Host
	Network  filbertstile.Network
	Logger   *logrus.Logger
	// Distribution limits the transfers of weights; the zero value means the defaults.
	Distribution distributor.Limits
	Tree         relayer.Limits
	Trust        evaluator.Limits
	// Source replaces the sources in Settings if it is set.
	Source filbertstile.WeightSource
}

// Host is the host process of one backend server.
type Host struct {
	config Config
	node   *joiner.Node
	// incarnation identifies this run of the process.
	incarnation string
	kind        filbertstile.ServiceKind
	backend     *invoker.Client
	source      *sourcer.Client
	fetcher     *fetcher.Fetcher
	gate        *gatekeeper.Core
	loop        *ticker.Loop[gatekeeper.Event, gatekeeper.Command]

	mu sync.Mutex
	// requests are the requests at the host, by ID.
	requests map[string]*request
	// pendingTickets are the channels on which postAndWait receives commands of the
	// gate, by ticket.
	pendingTickets map[string]chan gatekeeper.Command
	// gateChanged is closed and replaced when gateState changes.
	gateChanged chan struct{}
	gateState   gatekeeper.State
	// status is the last status that was posted to the gate.
	status       gatekeeper.HostStatus
	fetcherInput fetcherInput
	ctx          context.Context
	wg           sync.WaitGroup
}

// New returns a host process. It serves no requests before Run is called.
func New(c Config) (*Host, error) {
	s := c.Settings
	if c.Distribution == (distributor.Limits{}) {
		c.Distribution = distributor.DefaultLimits()
	}
	h := &Host{
		config:         c,
		incarnation:    uuid.NewString(),
		kind:           filbertstile.ServiceKind(s.Kind),
		requests:       make(map[string]*request),
		pendingTickets: make(map[string]chan gatekeeper.Command),
		gateChanged:    make(chan struct{}),
	}
	self := filbertstile.Member{
		Name: s.Identity.Name, Role: filbertstile.RoleHost, Region: s.Identity.Region, Domain: s.Identity.Domain,
		Address: s.Identity.Address, Service: s.Service,
	}
	node, err := joiner.New(joiner.Config{
		Self: self, Network: c.Network, ObjectAPI: s.Platform.ObjectAPI, HostList: s.Platform.HostList,
		Logger: c.Logger, Subsystems: s.Log.Subsystems, Tree: c.Tree, Trust: c.Trust, Handle: h.handle, Dump: h.dump,
	})
	if err != nil {
		return nil, err
	}
	h.node = node
	h.backend = invoker.New(invoker.Config{Address: s.Backend, Network: c.Network, Kind: h.kind})
	h.gate = gatekeeper.New(gatekeeper.Config{
		Kind: h.kind, MaxRunning: s.MaxRunning, MaxWaiting: s.MaxWaiting,
		ResultRetention: time.Duration(s.ResultsKept),
	})
	h.loop = ticker.New(ticker.Config[gatekeeper.Event, gatekeeper.Command]{Core: h, Execute: h.execute, IdleInterval: idleInterval})
	if h.kind == filbertstile.ServiceModel {
		if err := h.addFetcher(self); err != nil {
			return nil, err
		}
	}
	return h, nil
}

func (h *Host) addFetcher(self filbertstile.Member) error {
	s := h.config.Settings
	source := h.config.Source
	if source == nil {
		h.source = sourcer.New(sourcer.Config{Addresses: s.WeightSources, Network: h.config.Network})
		source = h.source
	}
	f, err := fetcher.New(fetcher.Config{
		Self: self,
		Core: distributor.Config{
			Self: self, SourceRegion: s.SourceRegion, RegionBytesPerSecond: s.RegionBytesPerSecond, Limits: h.config.Distribution, Seed: 1,
		},
		Client: h.node.Client, Source: source, Log: h.node.Log, MemoryBytes: s.WeightMemoryBytes, Metrics: h.node.Metrics,
		OnCompleted: h.handleWeightsCompleted,
	})
	if err != nil {
		return fmt.Errorf("start %s: %w", self.Name, err)
	}
	h.fetcher = f
	return nil
}

// Node returns the part of the process that all roles share.
func (h *Host) Node() *joiner.Node { return h.node }

// Fetcher returns the fetcher of weights; nil for a plain service.
func (h *Host) Fetcher() *fetcher.Fetcher { return h.fetcher }

// Tick passes the events to the gate, and records the gate's new state for load
// reports.
func (h *Host) Tick(now time.Time, inbox []gatekeeper.Event) []gatekeeper.Command {
	out := h.gate.Tick(now, inbox)
	state := h.gate.State()
	h.mu.Lock()
	defer h.mu.Unlock()
	if state != h.gateState {
		h.gateState = state
		close(h.gateChanged)
		h.gateChanged = make(chan struct{})
	}
	return out
}

// GateState returns the state of the gate.
func (h *Host) GateState() gatekeeper.State {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.gateState
}

// InFlight returns the number of requests at the host, running or queued.
func (h *Host) InFlight() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.requests)
}

// Run serves requests until the context ends, and then stops without draining. Call
// Drain first for a planned stop.
func (h *Host) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h.ctx = ctx
	l, err := h.config.Network.Listen(h.config.Settings.Identity.Address)
	if err != nil {
		return fmt.Errorf("start %s: %w", h.config.Settings.Identity.Name, err)
	}
	admin, err := h.config.Network.Listen(h.config.Settings.AdminAddress)
	if err != nil {
		_ = l.Close()
		return fmt.Errorf("start %s: %w", h.config.Settings.Identity.Name, err)
	}
	h.wg.Go(func() { h.loop.Run(ctx) })
	h.wg.Go(func() { h.watchStatus(ctx) })
	if h.fetcher != nil {
		h.wg.Go(func() { h.fetcher.Run(ctx) })
		h.wg.Go(func() { h.pollEngine(ctx) })
	}
	h.wg.Go(func() {
		_ = responder.Serve(ctx, admin, responder.Config{Name: "filbertstile-host", Handler: h.handleHTTP})
	})
	err = h.node.Run(ctx, l)
	cancel()
	h.wg.Wait()
	h.backend.Close()
	if h.source != nil {
		h.source.Close()
	}
	h.node.Log.Event(reporter.ProcessStopped, nil)
	return err
}

func (h *Host) handleHTTP(rc *fasthttp.RequestCtx) {
	if !h.node.HandleHTTP(rc) {
		responder.WriteProblem(rc, fasthttp.StatusNotFound, responder.ProblemDetail{Code: "NotFound", Message: "try /metrics or /dump"})
	}
}

// Drain announces a planned stop, after which new requests are refused, and returns
// when no request is running or queued.
func (h *Host) Drain(ctx context.Context) error {
	h.node.Leave(ctx)
	if err := sleeper.Sleep(ctx, leaveNoticeDelay); err != nil {
		return err
	}
	for {
		idle := false
		if !h.loop.Inspect(func() { idle = h.gate.Idle() }) {
			return nil
		}
		h.mu.Lock()
		idle = idle && len(h.requests) == 0
		h.mu.Unlock()
		if idle {
			return nil
		}
		if err := sleeper.Sleep(ctx, drainPollInterval); err != nil {
			return fmt.Errorf("drain: %w", err)
		}
	}
}

// watchStatus updates the gate's status and the fetcher's input when the view changes,
// and at least every statusInterval.
func (h *Host) watchStatus(ctx context.Context) {
	for {
		changed := h.node.Holder.Changed()
		h.updateStatus()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-time.After(statusInterval):
		}
	}
}

func (h *Host) updateStatus() {
	v := h.node.Holder.View()
	self := h.node.Self()
	service, _ := v.Config.Services.Get(self.Service)
	target, _ := v.Config.TargetRelease(self.Service)
	status := gatekeeper.HostStatus{
		DomainOutOfService: v.Config.DomainOutOfService(self.Domain), HostOutOfService: v.Config.HostOutOfService(self.Name),
		Stale: h.node.Relay.Trust() == evaluator.Stale, Leaving: h.node.Leaving(),
		Revision: v.Config.Revision, Target: target, ChecksFencing: service.ChecksFencing, Role: service.Role,
	}
	if status != h.status {
		h.status = status
		h.loop.Post(gatekeeper.HostStatusChanged{Status: status})
	}
	if h.fetcher == nil {
		return
	}
	if v.MembersVersion != h.fetcherInput.members {
		h.fetcher.SetMembers(distributor.MembersChanged{Members: serviceHosts(v.Members, self.Service), Listed: true})
	}
	running := h.GateState().Release
	if v.Config.Revision != h.fetcherInput.revision || running != h.fetcherInput.running {
		h.fetcher.SetWanted(wantedReleases(v.Config, self.Service, running))
	}
	h.fetcherInput = fetcherInput{members: v.MembersVersion, revision: v.Config.Revision, running: running}
}

// fetcherInput identifies the members, the configuration and the running release that
// the fetcher was last updated from.
type fetcherInput struct {
	members  uint64
	revision uint64
	running  string
}

// serviceHosts returns the hosts of the service that are not leaving.
func serviceHosts(members filbertstile.Table[filbertstile.Member], service string) []filbertstile.Member {
	var out []filbertstile.Member
	for _, m := range members.All() {
		if m.Role == filbertstile.RoleHost && m.Service == service && !m.Leaving {
			out = append(out, m)
		}
	}
	return out
}

// wantedReleases lists the releases to hold: the target, then those that operators
// have added ahead of their use, in reverse order of their names, and last the one
// that runs. The list is cut off after maxReleases.
func wantedReleases(c filbertstile.Config, service, running string) []distributor.Want {
	var out []distributor.Want
	add := func(r filbertstile.Release) {
		for _, w := range out {
			if w.Release == r.Name {
				return
			}
		}
		if r.Service == service && len(out) < maxReleases {
			out = append(out, distributor.Want{Release: r.Name, Manifest: filbertstile.Digest(r.Manifest)})
		}
	}
	target, _ := c.TargetRelease(service)
	add(target)
	all := c.Releases.All()
	for i := len(all) - 1; i >= 0; i-- {
		if all[i].Name != running {
			add(all[i])
		}
	}
	if r, ok := c.Releases.Get(running); ok {
		add(r)
	}
	return out
}

func (h *Host) handleWeightsCompleted(cmd distributor.Completed) {
	h.wg.Go(func() {
		m, _, err := h.fetcher.ChunkStore().VerifyAllChunks(cmd.Manifest)
		if err != nil {
			h.node.Log.Event(reporter.StepFailed, reporter.Fields{"Step": "verify weights", "Error": err})
			return
		}
		h.loop.Post(gatekeeper.WeightsReady{Release: cmd.Release, Manifest: cmd.Manifest, Whole: m.Whole})
	})
}

// pollEngine reads the engine's state every enginePollInterval and posts it to the
// gate.
func (h *Host) pollEngine(ctx context.Context) {
	for {
		requestedAt := time.Now()
		state, err := h.backend.State(ctx)
		if err == nil {
			h.loop.Post(gatekeeper.EngineReported{State: state, RequestedAt: requestedAt})
		}
		if sleeper.Sleep(ctx, enginePollInterval) != nil {
			return
		}
	}
}

// State is the host's part of a dump.
type State struct {
	Incarnation string
	Gate        gatekeeper.State
	// Jobs is the number of requests at the host.
	Jobs      int
	Transfers []distributor.Progress
	// WeightBytes is the size of the held chunks in bytes.
	WeightBytes int64
}

func (h *Host) dump() any {
	h.mu.Lock()
	st := State{Incarnation: h.incarnation, Gate: h.gateState, Jobs: len(h.requests)}
	h.mu.Unlock()
	if h.fetcher != nil {
		st.Transfers = h.fetcher.Progress()
		st.WeightBytes = h.fetcher.ChunkStore().Bytes()
	}
	return st
}
