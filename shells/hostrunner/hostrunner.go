// Package hostrunner runs the process in front of one backend server: it moves
// weights, keeps the gate and passes requests on.
package hostrunner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/configurer"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/base/sleeper"
	"filbertstile.example/filbertstile/base/ticker"
	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/decisions/distributor"
	"filbertstile.example/filbertstile/decisions/gatekeeper"
	"filbertstile.example/filbertstile/decisions/voucher"
	"filbertstile.example/filbertstile/outside/invoker"
	"filbertstile.example/filbertstile/outside/sourcer"
	"filbertstile.example/filbertstile/shells/fetcher"
	"filbertstile.example/filbertstile/shells/joiner"
	"filbertstile.example/filbertstile/shells/relayer"
	"filbertstile.example/filbertstile/transport/messenger"
	"filbertstile.example/filbertstile/transport/responder"
)

const (
	idleTick      = 20 * time.Millisecond
	standingEvery = 50 * time.Millisecond
	stateEvery    = 500 * time.Millisecond
	reportGap     = 100 * time.Millisecond
	reportEvery   = time.Second
	drainPoll     = 10 * time.Millisecond
	// leaveGrace lets entries hear of the stop before the last stream ends.
	leaveGrace = time.Second
	// maxReleases is the number of releases that a host holds or fetches.
	maxReleases = 2
)

// Config puts a host process together.
type Config struct {
	Settings *configurer.Host
	Network  filbertstile.Network
	Logger   *logrus.Logger
	// Distribution bounds the transfers; the zero value takes the defaults.
	Distribution distributor.Limits
	Tree         relayer.Limits
	Trust        voucher.Limits
	// Source replaces the sources of the settings where it is set.
	Source filbertstile.WeightSource
}

// Host is the process in front of one backend server.
type Host struct {
	config      Config
	node        *joiner.Node
	incarnation string
	kind        filbertstile.ServiceKind
	backend     *invoker.Client
	source      *sourcer.Client
	weights     *fetcher.Fetcher
	gate        *gatekeeper.Core
	loop        *ticker.Loop[gatekeeper.Event, gatekeeper.Command]

	mu       sync.Mutex
	jobs     map[string]*job
	tickets  map[string]chan gatekeeper.Command
	changed  chan struct{}
	lastGate gatekeeper.State
	standing gatekeeper.HostStatus
	seen     seen
	ctx      context.Context
	wg       sync.WaitGroup
}

// New returns a host process that does not run yet.
func New(c Config) (*Host, error) {
	s := c.Settings
	if c.Distribution == (distributor.Limits{}) {
		c.Distribution = distributor.DefaultLimits()
	}
	h := &Host{
		config:      c,
		incarnation: uuid.NewString(),
		kind:        filbertstile.ServiceKind(s.Kind),
		jobs:        make(map[string]*job),
		tickets:     make(map[string]chan gatekeeper.Command),
		changed:     make(chan struct{}),
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
	h.loop = ticker.New(ticker.Config[gatekeeper.Event, gatekeeper.Command]{Core: h, Execute: h.execute, IdleInterval: idleTick})
	if h.kind == filbertstile.ServiceModel {
		if err := h.addWeights(self); err != nil {
			return nil, err
		}
	}
	return h, nil
}

func (h *Host) addWeights(self filbertstile.Member) error {
	s := h.config.Settings
	source := h.config.Source
	if source == nil {
		h.source = sourcer.New(sourcer.Config{Addresses: s.WeightSources, Network: h.config.Network})
		source = h.source
	}
	weights, err := fetcher.New(fetcher.Config{
		Self: self,
		Core: distributor.Config{
			Self: self, SourceRegion: s.SourceRegion, RegionBytesPerSecond: s.RegionBytesPerSecond, Limits: h.config.Distribution, Seed: 1,
		},
		Client: h.node.Client, Source: source, Log: h.node.Log, MemoryBytes: s.WeightMemoryBytes, Metrics: h.node.Metrics,
		Completed: h.weightsCompleted,
	})
	if err != nil {
		return fmt.Errorf("start %s: %w", self.Name, err)
	}
	h.weights = weights
	return nil
}

// Node returns the process's common part.
func (h *Host) Node() *joiner.Node { return h.node }

// Weights returns the process's transfers; nil for a plain service.
func (h *Host) Weights() *fetcher.Fetcher { return h.weights }

// Tick lets the gate decide, and notes what changed for reports.
func (h *Host) Tick(now time.Time, inbox []gatekeeper.Event) []gatekeeper.Command {
	out := h.gate.Tick(now, inbox)
	g := h.gate.State()
	h.mu.Lock()
	defer h.mu.Unlock()
	if g != h.lastGate {
		h.lastGate = g
		close(h.changed)
		h.changed = make(chan struct{})
	}
	return out
}

// Gate returns the state of the gate.
func (h *Host) Gate() gatekeeper.State {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastGate
}

// InHand returns the number of requests that the host has now.
func (h *Host) InHand() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.jobs)
}

// Run serves until the context ends, then lets go of everything at once. A
// planned stop calls Drain first.
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
	h.wg.Go(func() { h.watchStanding(ctx) })
	if h.weights != nil {
		h.wg.Go(func() { h.weights.Run(ctx) })
		h.wg.Go(func() { h.watchEngine(ctx) })
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

// Drain announces the stop, takes no new work and returns when all work in
// hand is finished.
func (h *Host) Drain(ctx context.Context) error {
	h.node.Leave(ctx)
	if err := sleeper.Sleep(ctx, leaveGrace); err != nil {
		return err
	}
	for {
		idle := false
		if !h.loop.Inspect(func() { idle = h.gate.Idle() }) {
			return nil
		}
		h.mu.Lock()
		idle = idle && len(h.jobs) == 0
		h.mu.Unlock()
		if idle {
			return nil
		}
		if err := sleeper.Sleep(ctx, drainPoll); err != nil {
			return fmt.Errorf("drain: %w", err)
		}
	}
}

// watchStanding keeps the gate and the transfers up to date with the view.
func (h *Host) watchStanding(ctx context.Context) {
	for {
		changed := h.node.Holder.Changed()
		h.refresh()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-time.After(standingEvery):
		}
	}
}

func (h *Host) refresh() {
	v := h.node.Holder.View()
	self := h.node.Self()
	service, _ := v.Config.Services.Get(self.Service)
	target, _ := v.Config.TargetRelease(self.Service)
	next := gatekeeper.HostStatus{
		DomainOutOfService: v.Config.DomainOutOfService(self.Domain), HostOutOfService: v.Config.HostOutOfService(self.Name),
		Stale: h.node.Relay.Trust() == voucher.Stale, Leaving: h.node.Leaving(),
		Revision: v.Config.Revision, Target: target, ChecksFencing: service.ChecksFencing, Role: service.Role,
	}
	if next != h.standing {
		h.standing = next
		h.loop.Post(gatekeeper.HostStatusChanged{Status: next})
	}
	if h.weights == nil {
		return
	}
	if v.MembersVersion != h.seen.members {
		h.weights.SetMembers(peers(v.Members, self.Service))
	}
	running := h.Gate().Release
	if v.Config.Revision != h.seen.revision || running != h.seen.running {
		h.weights.SetWanted(wanted(v.Config, self.Service, running))
	}
	h.seen = seen{members: v.MembersVersion, revision: v.Config.Revision, running: running}
}

// seen is what the transfers were last told of.
type seen struct {
	members  uint64
	revision uint64
	running  string
}

func peers(members filbertstile.Table[filbertstile.Member], service string) []filbertstile.Member {
	var out []filbertstile.Member
	for _, m := range members.All() {
		if m.Role == filbertstile.RoleHost && m.Service == service && !m.Leaving {
			out = append(out, m)
		}
	}
	return out
}

// wanted lists the releases to hold: the target, the one that runs, then those
// that operators have added ahead of their use.
func wanted(c filbertstile.Config, service, running string) []distributor.Want {
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

func (h *Host) weightsCompleted(cmd distributor.Completed) {
	h.wg.Go(func() {
		m, _, err := h.weights.Shelf().Whole(cmd.Manifest)
		if err != nil {
			h.node.Log.Event(reporter.StepFailed, reporter.Fields{"Step": "verify weights", "Error": err})
			return
		}
		h.loop.Post(gatekeeper.WeightsReady{Release: cmd.Release, Manifest: cmd.Manifest, Whole: m.Whole})
	})
}

// watchEngine reads back what the engine runs.
func (h *Host) watchEngine(ctx context.Context) {
	for {
		asked := time.Now()
		st, err := h.backend.State(ctx)
		if err == nil {
			h.loop.Post(gatekeeper.EngineReported{State: st, RequestedAt: asked})
		}
		if sleeper.Sleep(ctx, stateEvery) != nil {
			return
		}
	}
}

// handle serves the requests of other processes.
func (h *Host) handle(ctx context.Context, req *wire.Request, s *messenger.Stream) {
	switch k := req.GetKind().(type) {
	case *wire.Request_Dispatch:
		h.handleDispatch(ctx, req, k.Dispatch, s)
	case *wire.Request_Seal:
		h.handleSeal(ctx, k.Seal, s)
	case *wire.Request_Report:
		h.handleReport(ctx, s)
	case *wire.Request_Permit:
		h.handlePermit(ctx, k.Permit, s)
	case *wire.Request_Chunk:
		if h.weights != nil {
			h.weights.HandleChunk(ctx, req, s)
		}
	case *wire.Request_Holdings:
		if h.weights != nil {
			h.weights.HandleHoldings(ctx, req, s)
		}
	}
}

// load is the gate's state as a report.
func (h *Host) load() *wire.Load {
	g := h.Gate()
	return &wire.Load{
		Host: h.config.Settings.Identity.Name, Incarnation: h.incarnation, Running: int32(g.Running), Waiting: int32(g.Waiting), Limit: int32(g.Limit),
		Release: g.Release, Whole: string(g.Whole), Serving: g.Serving, Leaving: h.node.Leaving(), Cold: g.Cold,
		Revision: g.Revision, Epoch: g.Epoch, Ready: g.Ready, Role: g.Role,
	}
}

// handleReport tells an entry the load, as it changes and at least every
// second.
func (h *Host) handleReport(ctx context.Context, s *messenger.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h.wg.Go(func() {
		// The entry sends nothing: this ends when it goes away.
		_, _ = s.Receive()
		cancel()
	})
	var told *wire.Load
	for {
		h.mu.Lock()
		changed := h.changed
		h.mu.Unlock()
		l := h.load()
		if proto.Equal(l, told) {
			l = &wire.Load{Same: true}
		} else {
			told = l
		}
		if s.Send(&wire.Frame{Kind: &wire.Frame_Load{Load: l}}) != nil {
			return
		}
		if sleeper.Sleep(ctx, reportGap) != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-time.After(reportEvery):
		}
	}
}

// ticketed posts an event and waits for the command that answers its ticket.
func (h *Host) ticketed(ctx context.Context, ticket string, e gatekeeper.Event) (gatekeeper.Command, error) {
	answer := make(chan gatekeeper.Command, 1)
	h.mu.Lock()
	h.tickets[ticket] = answer
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		delete(h.tickets, ticket)
		h.mu.Unlock()
	}()
	if !h.loop.Post(e) {
		return nil, errors.New("the process is stopping")
	}
	select {
	case cmd := <-answer:
		return cmd, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (h *Host) answer(ticket string, cmd gatekeeper.Command) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c, ok := h.tickets[ticket]; ok {
		c <- cmd
	}
}

func (h *Host) handleSeal(ctx context.Context, seal *wire.Seal, s *messenger.Stream) {
	if seal.GetIncarnation() != h.incarnation {
		// What an earlier process did is not known here.
		_ = s.Send(&wire.Frame{Kind: &wire.Frame_Sealed{Sealed: &wire.Sealed{Run: string(filbertstile.Unknown)}}})
		return
	}
	ticket := uuid.NewString()
	cmd, err := h.ticketed(ctx, ticket, gatekeeper.SealRequested{RequestID: seal.GetRequestId(), Ticket: ticket})
	if err != nil {
		return
	}
	sealed, _ := cmd.(gatekeeper.Sealed)
	h.node.Log.Event(reporter.RequestSealed, reporter.Fields{"Request": seal.GetRequestId(), "Run": sealed.Result.Run})
	_ = s.Send(&wire.Frame{Kind: &wire.Frame_Sealed{Sealed: &wire.Sealed{
		Run: string(sealed.Result.Run), Status: int32(sealed.Result.Status), ContentType: sealed.Result.ContentType, Body: sealed.Result.Body,
	}}})
}

func (h *Host) handlePermit(ctx context.Context, p *wire.Permit, s *messenger.Stream) {
	ticket := uuid.NewString()
	cmd, err := h.ticketed(ctx, ticket, gatekeeper.PermitReceived{
		Release: p.GetRelease(), Epoch: p.GetEpoch(), Ticket: ticket,
		Until: time.Now().Add(time.Duration(p.GetLeaseMilliseconds()) * time.Millisecond),
	})
	if err != nil {
		return
	}
	permitted, _ := cmd.(gatekeeper.Permitted)
	_ = s.Send(&wire.Frame{Kind: &wire.Frame_Permitted{Permitted: &wire.Permitted{Accepted: permitted.Accepted, Reason: permitted.Reason}}})
}

// State is the role's part of a dump.
type State struct {
	Incarnation string
	Gate        gatekeeper.State
	Jobs        int
	Transfers   []distributor.Progress
	WeightBytes int64
}

func (h *Host) dump() any {
	h.mu.Lock()
	st := State{Incarnation: h.incarnation, Gate: h.lastGate, Jobs: len(h.jobs)}
	h.mu.Unlock()
	if h.weights != nil {
		st.Transfers = h.weights.Progress()
		st.WeightBytes = h.weights.Shelf().Bytes()
	}
	return st
}
