// Package shaper gives connections the delays and rates of links between hosts, failure
// domains and regions. The connections are real sockets or in-memory pipes.
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

// blockedPollInterval is the interval at which blocked connections check whether they are
// still blocked.
const blockedPollInterval = 10 * time.Millisecond

// Site is the location of a process in the network.
type Site struct {
	Name string
	// Domain is the failure domain.
	Domain string
	// Region is empty for a site without a region, such as that of a client.
	Region string
	// BytesPerSecond is the rate of the site's own link in each direction; 0 means no
	// limit.
	BytesPerSecond float64
}

// Config configures the delays and rates between sites.
type Config struct {
	// DomainDelay is the one-way delay between sites of a region, and to and from sites
	// without a region.
	DomainDelay time.Duration
	// RegionDelay is the one-way delay between regions.
	RegionDelay time.Duration
	// RegionBytesPerSecond is the rate of each direction between two regions; 0 means no
	// limit.
	RegionBytesPerSecond float64
	// Base is the underlying network.
	Base filbertstile.Network
}

// LinkKey identifies one direction between two regions.
type LinkKey struct {
	From string
	To   string
}

// Fabric is a simulated network of sites and the links between them.
type Fabric struct {
	config Config
	mu     sync.Mutex
	// sites holds each site under "site:" and its name, and under the addresses of its
	// listeners.
	sites map[string]*siteState
	links map[LinkKey]*link
	// blocked holds the partitions. Its keys are names of sites, failure domains and
	// regions.
	blocked map[LinkKey]bool
}

// siteState is a site and its own link.
type siteState struct {
	site     Site
	uplink   *link
	downlink *link
	stalled  bool
}

// link is one direction of a link.
type link struct {
	mu sync.Mutex
	// rate is the number of bytes per second; 0 means no limit.
	rate float64
	// freeAt is the time at which all reserved bytes are transmitted.
	freeAt time.Time
	bytes  int64
}

// reserve adds n bytes to the link's queue and returns the time at which the link has
// transmitted them.
func (l *link) reserve(n int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.bytes += int64(n)
	if l.rate <= 0 {
		return now
	}
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
	return l.freeAt
}

func (l *link) totalBytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

// New returns a fabric without sites.
func New(c Config) *Fabric {
	return &Fabric{
		config:  c,
		sites:   make(map[string]*siteState),
		links:   make(map[LinkKey]*link),
		blocked: make(map[LinkKey]bool),
	}
}

// Network returns the network through which a process at the site dials and listens.
func (f *Fabric) Network(s Site) filbertstile.Network {
	return &network{fabric: f, self: f.siteState(s)}
}

// siteState returns the state of the site with the name, which it creates if necessary.
func (f *Fabric) siteState(s Site) *siteState {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := "site:" + s.Name
	if st, ok := f.sites[key]; ok {
		return st
	}
	st := &siteState{site: s, uplink: &link{rate: s.BytesPerSecond}, downlink: &link{rate: s.BytesPerSecond}}
	f.sites[key] = st
	return st
}

// siteAt returns the site of the listener with the address, or nil.
func (f *Fabric) siteAt(address string) *siteState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sites[address]
}

func (f *Fabric) registerListener(address string, st *siteState) {
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

// RegionBytes is the traffic in one direction between two regions.
type RegionBytes struct {
	LinkKey
	Bytes int64
}

// RegionTraffic returns the traffic over each link between regions so far.
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

// SiteBytes is the number of bytes that a site sent and received.
type SiteBytes struct {
	Site     Site
	Sent     int64
	Received int64
}

// SiteTraffic returns the traffic of every site so far.
func (f *Fabric) SiteTraffic() []SiteBytes {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []SiteBytes
	for key, st := range f.sites {
		if key == "site:"+st.site.Name {
			out = append(out, SiteBytes{Site: st.site, Sent: st.uplink.totalBytes(), Received: st.downlink.totalBytes()})
		}
	}
	return out
}

// SetSiteRate sets the rate of a site's own link in each direction; 0 means no
// limit.
func (f *Fabric) SetSiteRate(name string, bytesPerSecond float64) {
	st := f.siteState(Site{Name: name})
	for _, l := range []*link{st.uplink, st.downlink} {
		l.mu.Lock()
		l.rate = bytesPerSecond
		l.mu.Unlock()
	}
}

// SetStalled sets whether all traffic from and to a site is blocked. Blocked data is
// delivered after the block ends.
func (f *Fabric) SetStalled(name string, stalled bool) {
	st := f.siteState(Site{Name: name})
	f.mu.Lock()
	defer f.mu.Unlock()
	st.stalled = stalled
}

// SetPartitioned sets whether all traffic between a and b is blocked. Each of them is the
// name of a site, a failure domain or a region. Blocked data is delivered after the block
// ends.
func (f *Fabric) SetPartitioned(a, b string, partitioned bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.blocked[LinkKey{From: a, To: b}] = partitioned
	f.blocked[LinkKey{From: b, To: a}] = partitioned
}

// isBlocked reports whether traffic from a to b is blocked.
func (f *Fabric) isBlocked(a, b *siteState) bool {
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

// delay returns the one-way delay between two sites.
func (f *Fabric) delay(a, b *siteState) time.Duration {
	switch {
	case a.site.Name == b.site.Name:
		return 0
	case a.site.Region != b.site.Region && a.site.Region != "" && b.site.Region != "":
		return f.config.RegionDelay
	default:
		return f.config.DomainDelay
	}
}

// path returns the links from a to b in order. There are none within a site.
func (f *Fabric) path(a, b *siteState) []*link {
	if a.site.Name == b.site.Name {
		return nil
	}
	p := []*link{a.uplink}
	if a.site.Region != b.site.Region && a.site.Region != "" && b.site.Region != "" {
		p = append(p, f.regionLink(a.site.Region, b.site.Region))
	}
	return append(p, b.downlink)
}

// network is the fabric as seen from one site.
type network struct {
	fabric *Fabric
	self   *siteState
}

// Listen listens on an address of the underlying network.
func (n *network) Listen(address string) (net.Listener, error) {
	l, err := n.fabric.config.Base.Listen(address)
	if err != nil {
		return nil, err
	}
	n.fabric.registerListener(l.Addr().String(), n.self)
	return l, nil
}

// Dial connects to an address. It takes one round trip, and waits while traffic to the
// address is blocked.
func (n *network) Dial(ctx context.Context, address string) (net.Conn, error) {
	peer := n.fabric.siteAt(address)
	if peer == nil {
		return nil, fmt.Errorf("dial %s: no site listens on this address", address)
	}
	roundTrip := 2 * n.fabric.delay(n.self, peer)
	for n.fabric.isBlocked(n.self, peer) || roundTrip > 0 {
		pause := roundTrip
		if pause == 0 {
			pause = blockedPollInterval
		}
		if err := sleeper.Sleep(ctx, pause); err != nil {
			return nil, fmt.Errorf("dial %s: %w", address, err)
		}
		roundTrip = 0
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
