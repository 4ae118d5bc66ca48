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
	"filbertstile.example/filbertstile/decisions/dispatcher"
	"filbertstile.example/filbertstile/decisions/distributor"
	"filbertstile.example/filbertstile/decisions/evaluator"
	"filbertstile.example/filbertstile/rigs/claimer"
	"filbertstile.example/filbertstile/rigs/imitator"
	"filbertstile.example/filbertstile/rigs/shaper"
	"filbertstile.example/filbertstile/shells/entryrunner"
	"filbertstile.example/filbertstile/shells/hostrunner"
	"filbertstile.example/filbertstile/shells/recorder"
	"filbertstile.example/filbertstile/shells/relayer"
	"filbertstile.example/filbertstile/transport/connector"
)

const (
	// operatorName and operatorToken identify the operator that all entries accept.
	operatorName  = "operator"
	operatorToken = "operator-token"
	// pollInterval is the interval at which AwaitRelease counts the replicas.
	pollInterval = 20 * time.Millisecond
	// Names of the sites of the stand-ins and of the callers.
	platformSite    = "platform"
	weightStoreSite = "weight-store"
	callerSite      = "caller"
	// loopbackAnyPort makes Listen choose an unused port.
	loopbackAnyPort = "127.0.0.1:0"
)

// Config is the configuration of a Stage.
type Config struct {
	Deployment *Deployment
	// Base is the network below the simulated links: TCP or in memory.
	Base   filbertstile.Network
	Logger *logrus.Logger
	// ListLag is the delay until a change appears in the host list; 0 means 500 ms.
	ListLag time.Duration
	// EntriesValid is how long callers may cache the list of entries; 0 means 3 s.
	EntriesValid time.Duration
	// Records is the configuration of the entries' recorders; the zero value means
	// recorder.DefaultConfig.
	Records recorder.Config
	// Dispatch is the dispatcher configuration of the entries; nil means the default.
	Dispatch *dispatcher.Config
	// Distribution limits the hosts' transfers of weights; the zero value means the defaults.
	Distribution distributor.Limits
	// Direct makes all processes communicate over Base, without the delays and
	// bandwidths of the links.
	Direct bool
	// ConfigureHost changes the settings of a host before its first start; nil means no
	// change.
	ConfigureHost func(*configurer.Host)
}

// EntryProcess is an entry of a Stage.
type EntryProcess struct {
	Settings *configurer.Entry
	Entry    *entryrunner.Entry
	process
}

// HostProcess is a host process of a Stage, with its backend server.
type HostProcess struct {
	Settings *configurer.Host
	Host     *hostrunner.Host
	// Engine and Plain are the backend server, depending on the kind of the service; the
	// other one is nil.
	Engine *imitator.Engine
	Plain  *imitator.PlainService
	process
}

// Stage runs a deployment, with stand-ins for the outside systems, in one process.
type Stage struct {
	config  Config
	Fabric  *shaper.Fabric
	Objects *imitator.ObjectAPI
	List    *imitator.HostList
	Weights *imitator.WeightStore
	Entries []*EntryProcess
	Hosts   []*HostProcess

	objectsAddress string
	listAddress    string
	weightsAddress string
	ctx            context.Context
	cancel         context.CancelFunc
	wg             sync.WaitGroup
	transports     []*http.Transport
	// claims are the ports of the processes.
	claims []claimer.Claim
}

// New returns a Stage without running processes.
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

// network returns the network over which the site dials and listens.
func (s *Stage) network(site shaper.Site) filbertstile.Network {
	if s.config.Direct {
		return s.config.Base
	}
	return s.Fabric.Network(site)
}

// server is a stand-in of an outside system.
type server interface {
	Serve(ctx context.Context, l net.Listener) error
}

// serve runs a stand-in at an unused address of the site and returns the address.
func (s *Stage) serve(ctx context.Context, site shaper.Site, v server) (string, error) {
	l, err := s.network(site).Listen(loopbackAnyPort)
	if err != nil {
		return "", err
	}
	s.wg.Go(func() { _ = v.Serve(ctx, l) })
	return l.Addr().String(), nil
}

// freeAddress returns an address for a process. On TCP nothing else uses it until Close.
func (s *Stage) freeAddress() (string, error) {
	if _, ok := s.config.Base.(*connector.TCP); ok {
		c, err := claimer.New()
		if err != nil {
			return "", err
		}
		s.claims = append(s.claims, c)
		return c.Address(), nil
	}
	l, err := s.config.Base.Listen(loopbackAnyPort)
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// Start starts the stand-ins, the entries and the host processes.
func (s *Stage) Start(ctx context.Context) error {
	s.ctx, s.cancel = context.WithCancel(ctx)
	d := s.config.Deployment
	var err error
	platform := shaper.Site{Name: platformSite, Domain: platformSite, Region: d.SourceRegion}
	if s.objectsAddress, err = s.serve(s.ctx, platform, s.Objects); err != nil {
		return err
	}
	if s.listAddress, err = s.serve(s.ctx, platform, s.List); err != nil {
		return err
	}
	store := shaper.Site{Name: weightStoreSite, Domain: weightStoreSite, Region: d.SourceRegion, BytesPerSecond: d.Links.OriginBytesPerSecond}
	if s.weightsAddress, err = s.serve(s.ctx, store, s.Weights); err != nil {
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

// newIdentity returns the identity of the i-th process of a kind. Processes are distributed
// over the failure domains in turn.
func (s *Stage) newIdentity(name string, i int) (configurer.Identity, error) {
	dom := s.config.Deployment.Domains[i%len(s.config.Deployment.Domains)]
	address, err := s.freeAddress()
	return configurer.Identity{Name: name, Region: dom.Region, Domain: dom.Name, Address: address}, err
}

// addEntry adds and starts the i-th entry.
func (s *Stage) addEntry(i int) error {
	settings := configurer.DefaultEntry()
	var err error
	if settings.Identity, err = s.newIdentity(fmt.Sprintf("entry-%d", i+1), i); err != nil {
		return err
	}
	if settings.HTTPAddress, err = s.freeAddress(); err != nil {
		return err
	}
	if settings.AdminAddress, err = s.freeAddress(); err != nil {
		return err
	}
	settings.Platform = configurer.Platform{ObjectAPI: s.objectsAddress, HostList: s.listAddress}
	settings.EntriesValid = configurer.Duration(s.config.EntriesValid)
	settings.Operators = []configurer.Operator{{Name: operatorName, TokenDigest: string(filbertstile.DigestOf([]byte(operatorToken)))}}
	p := &EntryProcess{Settings: settings}
	s.Entries = append(s.Entries, p)
	return s.StartEntry(p)
}

// addHost adds and starts the i-th host process of the service, with its backend server.
func (s *Stage) addHost(v ServiceSpec, i int) error {
	settings := configurer.DefaultHost()
	var err error
	if settings.Identity, err = s.newIdentity(fmt.Sprintf("%s-%d", v.Service.Name, i+1), i); err != nil {
		return err
	}
	if settings.AdminAddress, err = s.freeAddress(); err != nil {
		return err
	}
	settings.Platform = configurer.Platform{ObjectAPI: s.objectsAddress, HostList: s.listAddress}
	settings.Service = v.Service.Name
	settings.Kind = string(v.Service.Kind)
	settings.MaxRunning = v.MaxRunning
	settings.MaxWaiting = v.MaxRunning
	p := &HostProcess{Settings: settings}
	var backend server
	if v.Service.Kind == filbertstile.ServiceModel {
		settings.WeightSources = []string{s.weightsAddress}
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
	if s.config.ConfigureHost != nil {
		s.config.ConfigureHost(settings)
	}
	s.Hosts = append(s.Hosts, p)
	return s.StartHost(p)
}

func (s *Stage) hostSite(h *configurer.Host) shaper.Site {
	return shaper.Site{
		Name: h.Identity.Name, Domain: h.Identity.Domain, Region: h.Identity.Region, BytesPerSecond: s.config.Deployment.Links.HostBytesPerSecond,
	}
}

// StartEntry starts or restarts an entry. It does nothing if the entry is running.
func (s *Stage) StartEntry(p *EntryProcess) error {
	if p.running() {
		return nil
	}
	id := p.Settings.Identity
	e, err := entryrunner.New(entryrunner.Config{
		Settings: p.Settings, Logger: s.config.Logger, Tree: relayer.DefaultLimits(), Trust: evaluator.DefaultLimits(), Records: s.config.Records,
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

// StartHost starts or restarts a host process. It does nothing if the process is running.
func (s *Stage) StartHost(p *HostProcess) error {
	if p.running() {
		return nil
	}
	h, err := hostrunner.New(hostrunner.Config{
		Settings: p.Settings, Logger: s.config.Logger, Tree: relayer.DefaultLimits(), Trust: evaluator.DefaultLimits(),
		Distribution: s.config.Distribution, Network: s.network(s.hostSite(p.Settings)),
	})
	if err != nil {
		return err
	}
	p.Host = h
	s.start(&p.process, h.Run)
	return nil
}

// Close stops all processes and stand-ins.
func (s *Stage) Close() {
	s.cancel()
	for _, t := range s.transports {
		t.CloseIdleConnections()
	}
	s.wg.Wait()
	for _, c := range s.claims {
		c.Release()
	}
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

// HTTPClient returns an HTTP client at the site.
func (s *Stage) HTTPClient(site shaper.Site) *http.Client {
	n := s.network(site)
	t := &http.Transport{
		DialContext:         func(ctx context.Context, _, addr string) (net.Conn, error) { return n.Dial(ctx, addr) },
		MaxIdleConnsPerHost: 256,
	}
	s.transports = append(s.transports, t)
	return &http.Client{Transport: t}
}
