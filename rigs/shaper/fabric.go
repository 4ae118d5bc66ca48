// Package shaper gives connections the delays and rates of links between
// hosts, failure domains and regions, over real sockets or in memory.
package shaper

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/sleeper"
)

const blockedPoll = 10 * time.Millisecond

// Site is where a process stands.
type Site struct {
	Name   string
	Domain string
	Region string
	// BytesPerSecond limits the host's own link each way; 0 is no limit.
	BytesPerSecond float64
}

// Config gives the delays and rates between sites.
type Config struct {
	// DomainDelay is one way between domains of a region, and to clients.
	DomainDelay time.Duration
	// RegionDelay is one way between regions.
	RegionDelay time.Duration
	// RegionBytesPerSecond limits each direction between two regions.
	RegionBytesPerSecond float64
	// Base carries the bytes.
	Base filbertstile.Network
}

// LinkKey names one direction between two regions.
type LinkKey struct {
	From string
	To   string
}

// Fabric is the set of links.
type Fabric struct {
	config  Config
	mu      sync.Mutex
	sites   map[string]*station
	links   map[LinkKey]*link
	blocked map[LinkKey]bool
}

type station struct {
	site    Site
	up      *link
	down    *link
	stalled bool
}

type link struct {
	mu    sync.Mutex
	rate  float64
	free  time.Time
	bytes int64
}

// reserve books n bytes and returns when they are through.
func (l *link) reserve(n int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.bytes += int64(n)
	if l.rate <= 0 {
		return now
	}
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
	return l.free
}

func (l *link) total() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

// New returns a fabric without sites.
func New(c Config) *Fabric {
	return &Fabric{
		config:  c,
		sites:   make(map[string]*station),
		links:   make(map[LinkKey]*link),
		blocked: make(map[LinkKey]bool),
	}
}

// Network returns the network as the site sees it.
func (f *Fabric) Network(s Site) filbertstile.Network {
	return &network{fabric: f, self: f.station(s)}
}

func (f *Fabric) station(s Site) *station {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := "site:" + s.Name
	if st, ok := f.sites[key]; ok {
		return st
	}
	st := &station{site: s, up: &link{rate: s.BytesPerSecond}, down: &link{rate: s.BytesPerSecond}}
	f.sites[key] = st
	return st
}

func (f *Fabric) at(address string) *station {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sites[address]
}

func (f *Fabric) register(address string, st *station) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sites[address] = st
}

func (f *Fabric) regionLink(from, to string) *link {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := LinkKey{From: from, To: to}
	l, ok := f.links[k]
	if !ok {
		l = &link{rate: f.config.RegionBytesPerSecond}
		f.links[k] = l
	}
	return l
}

// RegionBytes is what crossed one direction between two regions.
type RegionBytes struct {
	LinkKey
	Bytes int64
}

// RegionTraffic returns the bytes over each link between regions so far.
func (f *Fabric) RegionTraffic() []RegionBytes {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]RegionBytes, 0, len(f.links))
	for k, l := range f.links {
		l.mu.Lock()
		out = append(out, RegionBytes{LinkKey: k, Bytes: l.bytes})
		l.mu.Unlock()
	}
	return out
}

// SiteBytes is what a site sent and received.
type SiteBytes struct {
	Site Site
	Up   int64
	Down int64
}

// SiteTraffic returns the bytes of every site so far.
func (f *Fabric) SiteTraffic() []SiteBytes {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []SiteBytes
	for key, st := range f.sites {
		if key == "site:"+st.site.Name {
			out = append(out, SiteBytes{Site: st.site, Up: st.up.total(), Down: st.down.total()})
		}
	}
	return out
}

// SetSiteRate changes the rate of a site's own link.
func (f *Fabric) SetSiteRate(name string, bytesPerSecond float64) {
	st := f.station(Site{Name: name})
	for _, l := range []*link{st.up, st.down} {
		l.mu.Lock()
		l.rate = bytesPerSecond
		l.mu.Unlock()
	}
}

// Stall holds back all bytes from and to a site until it is released.
func (f *Fabric) Stall(name string, on bool) {
	st := f.station(Site{Name: name})
	f.mu.Lock()
	defer f.mu.Unlock()
	st.stalled = on
}

// Cut holds back all bytes between two names, each a site, a domain or a
// region, until it is released.
func (f *Fabric) Cut(a, b string, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.blocked[LinkKey{From: a, To: b}] = on
	f.blocked[LinkKey{From: b, To: a}] = on
}

func (f *Fabric) isBlocked(a, b *station) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a.stalled || b.stalled {
		return true
	}
	if len(f.blocked) == 0 {
		return false
	}
	for _, from := range []string{a.site.Name, a.site.Domain, a.site.Region} {
		for _, to := range []string{b.site.Name, b.site.Domain, b.site.Region} {
			if f.blocked[LinkKey{From: from, To: to}] {
				return true
			}
		}
	}
	return false
}

func (f *Fabric) delay(a, b *station) time.Duration {
	switch {
	case a.site.Name == b.site.Name:
		return 0
	case a.site.Region != b.site.Region && a.site.Region != "" && b.site.Region != "":
		return f.config.RegionDelay
	default:
		return f.config.DomainDelay
	}
}

// path returns the links from a to b in order.
func (f *Fabric) path(a, b *station) []*link {
	if a.site.Name == b.site.Name {
		return nil
	}
	p := []*link{a.up}
	if a.site.Region != b.site.Region && a.site.Region != "" && b.site.Region != "" {
		p = append(p, f.regionLink(a.site.Region, b.site.Region))
	}
	return append(p, b.down)
}

type network struct {
	fabric *Fabric
	self   *station
}

// Listen accepts connections at the address.
func (n *network) Listen(address string) (net.Listener, error) {
	l, err := n.fabric.config.Base.Listen(address)
	if err != nil {
		return nil, err
	}
	n.fabric.register(l.Addr().String(), n.self)
	return l, nil
}

// Dial connects to the address; it takes a round trip, and hangs while the way
// is blocked.
func (n *network) Dial(ctx context.Context, address string) (net.Conn, error) {
	peer := n.fabric.at(address)
	if peer == nil {
		return nil, fmt.Errorf("dial %s: no process listens there", address)
	}
	wait := 2 * n.fabric.delay(n.self, peer)
	for n.fabric.isBlocked(n.self, peer) || wait > 0 {
		pause := wait
		if pause == 0 {
			pause = blockedPoll
		}
		if err := sleeper.Sleep(ctx, pause); err != nil {
			return nil, fmt.Errorf("dial %s: %w", address, err)
		}
		wait = 0
	}
	base, err := n.fabric.config.Base.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	shaped := newConn(n.fabric, n.self, peer, base)
	if _, ok := n.fabric.config.Base.(*Memory); ok {
		return &assembler{Conn: shaped}, nil
	}
	return shaped, nil
}
