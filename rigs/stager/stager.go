package stager

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/configurer"
	"filbertstile.example/filbertstile/base/sleeper"
	"filbertstile.example/filbertstile/decisions/dispatcher"
	"filbertstile.example/filbertstile/decisions/distributor"
	"filbertstile.example/filbertstile/decisions/voucher"
	"filbertstile.example/filbertstile/rigs/imitator"
	"filbertstile.example/filbertstile/rigs/shaper"
	"filbertstile.example/filbertstile/shells/entryrunner"
	"filbertstile.example/filbertstile/shells/hostrunner"
	"filbertstile.example/filbertstile/shells/recorder"
	"filbertstile.example/filbertstile/shells/relayer"
)

const (
	operatorName  = "operator"
	operatorToken = "operator-token"
	readyPoll     = 20 * time.Millisecond
	platformSite  = "platform"
	weightSite    = "weight-store"
	callerSite    = "caller"
	loopback      = "127.0.0.1:0"
)

// Config puts a stage together.
type Config struct {
	Deployment *Deployment
	// Base carries the bytes: real sockets, or memory.
	Base   filbertstile.Network
	Logger *logrus.Logger
	// ListLag is how late the host list is.
	ListLag time.Duration
	// EntriesValid is how long callers may keep the list of entries.
	EntriesValid time.Duration
	Records      recorder.Config
	Dispatch     *dispatcher.Config
	Distribution distributor.Limits
	// Direct leaves the links out: processes meet over the base network.
	Direct bool
	// Tune changes the settings of a host before it starts.
	Tune func(*configurer.Host)
}

// EntryProcess is an entry on the stage.
type EntryProcess struct {
	Settings *configurer.Entry
	Entry    *entryrunner.Entry
	process
}

// HostProcess is a host process on the stage, with its backend server.
type HostProcess struct {
	Settings *configurer.Host
	Host     *hostrunner.Host
	Engine   *imitator.Engine
	Plain    *imitator.PlainService
	process
}

type process struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// running tells whether the process was started and has not ended.
func (p *process) running() bool {
	if p.done == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Stage is a deployment in one process.
type Stage struct {
	config  Config
	Fabric  *shaper.Fabric
	Objects *imitator.ObjectAPI
	List    *imitator.HostList
	Weights *imitator.WeightStore
	Entries []*EntryProcess
	Hosts   []*HostProcess

	objectsAt string
	listAt    string
	weightsAt string
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	idle      []*http.Transport
}

// New returns a stage on which nothing runs yet.
func New(c Config) *Stage {
	d := c.Deployment
	if c.ListLag == 0 {
		c.ListLag = 500 * time.Millisecond
	}
	if c.EntriesValid == 0 {
		c.EntriesValid = 3 * time.Second
	}
	if c.Records.MinWriteInterval == 0 {
		c.Records = recorder.DefaultConfig()
	}
	return &Stage{
		config: c,
		Fabric: shaper.New(shaper.Config{
			DomainDelay: time.Duration(d.Links.DomainDelay), RegionDelay: time.Duration(d.Links.RegionDelay),
			RegionBytesPerSecond: d.Links.RegionBytesPerSecond, Base: c.Base,
		}),
		Objects: imitator.NewObjectAPI(),
		List:    imitator.NewHostList(c.ListLag),
		Weights: imitator.NewWeightStore(),
	}
}

// network returns the network as the site sees it.
func (s *Stage) network(site shaper.Site) filbertstile.Network {
	if s.config.Direct {
		return s.config.Base
	}
	return s.Fabric.Network(site)
}

type server interface {
	Serve(ctx context.Context, l net.Listener) error
}

// serve runs a stand-in at a free address of the site, and returns the address.
func (s *Stage) serve(ctx context.Context, site shaper.Site, v server) (string, error) {
	l, err := s.network(site).Listen(loopback)
	if err != nil {
		return "", err
	}
	s.wg.Go(func() { _ = v.Serve(ctx, l) })
	return l.Addr().String(), nil
}

// reserve finds an address that is free now.
func (s *Stage) reserve() (string, error) {
	l, err := s.config.Base.Listen(loopback)
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// Start runs the stand-ins and all processes.
func (s *Stage) Start(ctx context.Context) error {
	s.ctx, s.cancel = context.WithCancel(ctx)
	d := s.config.Deployment
	var err error
	platform := shaper.Site{Name: platformSite, Domain: platformSite, Region: d.SourceRegion}
	if s.objectsAt, err = s.serve(s.ctx, platform, s.Objects); err != nil {
		return err
	}
	if s.listAt, err = s.serve(s.ctx, platform, s.List); err != nil {
		return err
	}
	store := shaper.Site{Name: weightSite, Domain: weightSite, Region: d.SourceRegion, BytesPerSecond: d.Links.OriginBytesPerSecond}
	if s.weightsAt, err = s.serve(s.ctx, store, s.Weights); err != nil {
		return err
	}
	for i := range d.Entries {
		if err := s.addEntry(i); err != nil {
			return err
		}
	}
	for _, v := range d.Services {
		for i := range v.Replicas {
			if err := s.addHost(v, i); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *Stage) identity(name string, i int) (configurer.Identity, error) {
	dom := s.config.Deployment.Domains[i%len(s.config.Deployment.Domains)]
	address, err := s.reserve()
	return configurer.Identity{Name: name, Region: dom.Region, Domain: dom.Name, Address: address}, err
}

func (s *Stage) addEntry(i int) error {
	settings := configurer.DefaultEntry()
	var err error
	if settings.Identity, err = s.identity(fmt.Sprintf("entry-%d", i+1), i); err != nil {
		return err
	}
	if settings.HTTPAddress, err = s.reserve(); err != nil {
		return err
	}
	if settings.AdminAddress, err = s.reserve(); err != nil {
		return err
	}
	settings.Platform = configurer.Platform{ObjectAPI: s.objectsAt, HostList: s.listAt}
	settings.EntriesValid = configurer.Duration(s.config.EntriesValid)
	settings.Operators = []configurer.Operator{{Name: operatorName, TokenDigest: string(filbertstile.DigestOf([]byte(operatorToken)))}}
	p := &EntryProcess{Settings: settings}
	s.Entries = append(s.Entries, p)
	return s.StartEntry(p)
}

func (s *Stage) addHost(v Served, i int) error {
	settings := configurer.DefaultHost()
	var err error
	if settings.Identity, err = s.identity(fmt.Sprintf("%s-%d", v.Service.Name, i+1), i); err != nil {
		return err
	}
	if settings.AdminAddress, err = s.reserve(); err != nil {
		return err
	}
	settings.Platform = configurer.Platform{ObjectAPI: s.objectsAt, HostList: s.listAt}
	settings.Service = v.Service.Name
	settings.Kind = string(v.Service.Kind)
	settings.MaxRunning = v.MaxRunning
	settings.MaxWaiting = v.MaxRunning
	p := &HostProcess{Settings: settings}
	var backend server
	if v.Service.Kind == filbertstile.ServiceModel {
		settings.WeightSources = []string{s.weightsAt}
		settings.SourceRegion = s.config.Deployment.SourceRegion
		settings.RegionBytesPerSecond = s.config.Deployment.Links.RegionBytesPerSecond
		p.Engine = imitator.NewEngine(imitator.EngineConfig{
			Name: settings.Identity.Name, Slots: v.MaxRunning, TokenDelay: time.Duration(v.TokenDelay), ChecksFencing: v.Service.ChecksFencing,
		})
		backend = p.Engine
	} else {
		p.Plain = imitator.NewPlainService(imitator.PlainConfig{Name: settings.Identity.Name, Delay: time.Duration(v.Delay)})
		backend = p.Plain
	}
	if settings.Backend, err = s.serve(s.ctx, s.hostSite(settings), backend); err != nil {
		return err
	}
	if s.config.Tune != nil {
		s.config.Tune(settings)
	}
	s.Hosts = append(s.Hosts, p)
	return s.StartHost(p)
}

func (s *Stage) hostSite(h *configurer.Host) shaper.Site {
	return shaper.Site{
		Name: h.Identity.Name, Domain: h.Identity.Domain, Region: h.Identity.Region, BytesPerSecond: s.config.Deployment.Links.HostBytesPerSecond,
	}
}

func (s *Stage) start(p *process, run func(context.Context) error) {
	ctx, cancel := context.WithCancel(s.ctx)
	p.cancel = cancel
	done := make(chan struct{})
	p.done = done
	s.wg.Go(func() {
		defer close(done)
		_ = run(ctx)
	})
}

// StartEntry starts an entry, for the first time or again; one that runs stays
// as it is.
func (s *Stage) StartEntry(p *EntryProcess) error {
	if p.running() {
		return nil
	}
	id := p.Settings.Identity
	e, err := entryrunner.New(entryrunner.Config{
		Settings: p.Settings, Logger: s.config.Logger, Tree: relayer.DefaultLimits(), Trust: voucher.DefaultLimits(), Records: s.config.Records,
		Dispatch: s.config.Dispatch,
		Network:  s.network(shaper.Site{Name: id.Name, Domain: id.Domain, Region: id.Region}),
	})
	if err != nil {
		return err
	}
	p.Entry = e
	s.start(&p.process, e.Run)
	return nil
}

// StartHost starts a host process, for the first time or again; one that runs
// stays as it is.
func (s *Stage) StartHost(p *HostProcess) error {
	if p.running() {
		return nil
	}
	h, err := hostrunner.New(hostrunner.Config{
		Settings: p.Settings, Logger: s.config.Logger, Tree: relayer.DefaultLimits(), Trust: voucher.DefaultLimits(),
		Distribution: s.config.Distribution, Network: s.network(s.hostSite(p.Settings)),
	})
	if err != nil {
		return err
	}
	p.Host = h
	s.start(&p.process, h.Run)
	return nil
}

// Kill ends a process at once.
func (p *process) Kill() {
	p.cancel()
	<-p.done
}

// Stop ends a host process as planned.
func (p *HostProcess) Stop(ctx context.Context) error {
	err := p.Host.Drain(ctx)
	p.Kill()
	return err
}

// Stop ends an entry as planned.
func (p *EntryProcess) Stop(ctx context.Context) error {
	err := p.Entry.Drain(ctx)
	p.Kill()
	return err
}

// Close ends everything.
func (s *Stage) Close() {
	s.cancel()
	for _, t := range s.idle {
		t.CloseIdleConnections()
	}
	s.wg.Wait()
}

// HostsOf returns the host processes of a service.
func (s *Stage) HostsOf(service string) []*HostProcess {
	var out []*HostProcess
	for _, h := range s.Hosts {
		if h.Settings.Service == service {
			out = append(out, h)
		}
	}
	return out
}

// Host returns the host process with the name, or nil.
func (s *Stage) Host(name string) *HostProcess {
	i := slices.IndexFunc(s.Hosts, func(h *HostProcess) bool { return h.Settings.Identity.Name == name })
	if i < 0 {
		return nil
	}
	return s.Hosts[i]
}

// HTTPClient returns an ordinary HTTP client that stands at the site.
func (s *Stage) HTTPClient(site shaper.Site) *http.Client {
	n := s.network(site)
	t := &http.Transport{
		DialContext:         func(ctx context.Context, _, addr string) (net.Conn, error) { return n.Dial(ctx, addr) },
		MaxIdleConnsPerHost: 256,
	}
	s.idle = append(s.idle, t)
	return &http.Client{Transport: t}
}

// CallerSite is where callers stand: near every entry.
func CallerSite() shaper.Site { return shaper.Site{Name: callerSite, Domain: callerSite} }

// Propose applies a change through an entry.
func (s *Stage) Propose(ctx context.Context, p *EntryProcess, change relayer.Proposal) (relayer.Acceptance, error) {
	change.Author = operatorName
	return p.Entry.Node().Relay.Propose(ctx, change)
}

// OperatorToken returns the token that opens the administration API.
func OperatorToken() string { return operatorToken }

// AwaitReady returns when every running process trusts its view.
func (s *Stage) AwaitReady(ctx context.Context) error {
	for _, e := range s.Entries {
		if err := e.Entry.Node().AwaitReady(ctx); err != nil {
			return err
		}
	}
	for _, h := range s.Hosts {
		if err := h.Host.Node().AwaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Install applies the deployment's entities.
func (s *Stage) Install(ctx context.Context) error {
	_, err := s.Propose(ctx, s.Entries[0], relayer.Proposal{Notes: filbertstile.ReleaseNotes{Added: s.config.Deployment.Entities()}})
	return err
}

// AddRelease makes up weights and applies release notes that make them the
// service's release.
func (s *Stage) AddRelease(ctx context.Context, service string, r imitator.ReleaseConfig) (filbertstile.Manifest, error) {
	digest, m := s.Weights.AddRelease(r)
	current, ok := s.Entries[0].Entry.Node().Holder.View().Config.Services.Get(service)
	if !ok {
		return m, filbertstile.ErrNotFound{Step: "add release", Key: service}
	}
	current.Release = r.Name
	_, err := s.Propose(ctx, s.Entries[0], relayer.Proposal{Notes: filbertstile.ReleaseNotes{
		Added:   filbertstile.Entities{Releases: []filbertstile.Release{{Name: r.Name, Service: service, Kind: filbertstile.ReleaseModel, Manifest: string(digest)}}},
		Changed: filbertstile.Entities{Services: []filbertstile.Service{current}},
	}})
	return m, err
}

// Serving counts the running replicas of a service that serve the release.
func (s *Stage) Serving(service, release string) int {
	n := 0
	for _, h := range s.HostsOf(service) {
		if g := h.Host.GateState(); h.running() && g.Serving && (release == "" || g.Release == release) {
			n++
		}
	}
	return n
}

// AwaitRelease returns when at least n replicas serve the release.
func (s *Stage) AwaitRelease(ctx context.Context, service, release string, n int) error {
	for s.Serving(service, release) < n {
		if err := sleeper.Sleep(ctx, readyPoll); err != nil {
			return fmt.Errorf("wait for %d replicas of %s, have %d: %w", n, release, s.Serving(service, release), err)
		}
	}
	return nil
}
