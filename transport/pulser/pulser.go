// Package pulser sends and receives the heartbeats of the system's processes, each as
// one datagram, and keeps a table of the processes whose heartbeats arrive. The object
// API lists the addresses of processes; only heartbeats show that they are alive.
package pulser

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/base/wire"
)

const (
	// HeartbeatTimeout is how long after its last heartbeat a process is removed from the
	// table. A process that was killed must not be named to callers for more than a few
	// seconds, but a single lost datagram must not remove a process.
	HeartbeatTimeout = 1800 * time.Millisecond
	// maxDatagramBytes is the maximum size of a heartbeat.
	maxDatagramBytes = 32 << 10
)

// Conn sends and receives datagrams.
type Conn interface {
	ReadFrom(b []byte) (int, net.Addr, error)
	WriteTo(b []byte, to net.Addr) (int, error)
	Close() error
}

// Config configures a Pulser.
type Config struct {
	Self filbertstile.Member
	Conn Conn
	Log  *reporter.Log
	// Incarnation is higher after each start of this process.
	Incarnation int64
	// Compose returns the heartbeats to send now.
	Compose func() []Message
	// Interval is the time between two heartbeats.
	Interval time.Duration
	// OnHeartbeat is called with each heartbeat that arrives from its sender and is newer
	// than the last such one; it must not block.
	OnHeartbeat func(p *wire.Pulse)
	// OnChange is called after a process is added to or removed from the table, or after
	// its Leaving, Current or Serving field changes.
	OnChange func()
}

// Message is a heartbeat and the processes to send it to.
type Message struct {
	Pulse *wire.Pulse
	To    []filbertstile.Member
}

// Peer is a process whose heartbeats arrive.
type Peer struct {
	// Pulse is the last heartbeat. If another process relayed it, it has no lists.
	Pulse *wire.Pulse
	// ReceivedAt is the time at which it arrived here or at the process that relayed it.
	ReceivedAt time.Time
	// direct is the position of the last heartbeat that arrived from the process itself: a
	// relayed one must not make it seem late.
	direct position
}

// position is the place of a heartbeat in the order in which a process sends them.
type position struct {
	incarnation int64
	sequence    uint64
}

func positionOf(p *wire.Pulse) position { return position{p.GetIncarnation(), p.GetSequence()} }

// after reports whether the heartbeat was sent after the one with the position o.
func (p position) after(o position) bool {
	return cmp.Or(cmp.Compare(p.incarnation, o.incarnation), cmp.Compare(p.sequence, o.sequence)) > 0
}

// Pulser sends heartbeats and keeps the table of peers.
type Pulser struct {
	config Config
	// wake makes Run send heartbeats before the next interval.
	wake chan struct{}

	mu       sync.Mutex
	peers    map[string]Peer
	sequence uint64 // of the last heartbeat sent
	// logged are the names of the processes in the table that were last logged. Only Run uses
	// it.
	logged []string
}

// New returns a pulser. It neither sends nor receives before Run is called.
func New(c Config) *Pulser {
	return &Pulser{config: c, wake: make(chan struct{}, 1), peers: make(map[string]Peer)}
}

// SendNow makes Run send heartbeats without waiting for the next interval.
func (p *Pulser) SendNow() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Run sends and receives heartbeats until the context ends, and closes the connection.
func (p *Pulser) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = p.config.Conn.Close() })
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { p.receive(ctx) })
	ticker := time.NewTicker(p.config.Interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		p.sendComposed()
		p.expire()
		p.logPeers()
		select {
		case <-ticker.C:
		case <-p.wake:
		case <-ctx.Done():
		}
	}
	wg.Wait()
}

func (p *Pulser) sendComposed() {
	for _, m := range p.config.Compose() {
		p.Send(m)
	}
}

// Send sends a heartbeat immediately. It sets the sender's name, incarnation and
// sequence number.
func (p *Pulser) Send(message Message) {
	if len(message.To) == 0 {
		return
	}
	pulse := message.Pulse
	p.mu.Lock()
	p.sequence++
	pulse.Sequence = p.sequence
	p.mu.Unlock()
	pulse.Name, pulse.Incarnation = p.config.Self.Name, p.config.Incarnation
	data, err := proto.Marshal(pulse)
	if err != nil {
		p.config.Log.Event(reporter.StepFailed, reporter.Fields{"Step": "encode heartbeat", "Error": err})
		return
	}
	for _, m := range message.To {
		addr, err := netip.ParseAddrPort(m.Address)
		if err == nil {
			// An error is ignored: the receiver notices the missing heartbeat.
			_, _ = p.config.Conn.WriteTo(data, net.UDPAddrFromAddrPort(addr))
		}
	}
}

func (p *Pulser) receive(ctx context.Context) {
	buf := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		n, from, err := p.config.Conn.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // such as an ICMP error for a datagram that this process sent
		}
		p.handle(buf[:n], from)
	}
}

// handle handles one datagram. A panic ends the handling of this datagram only.
func (p *Pulser) handle(data []byte, from net.Addr) {
	defer func() {
		p.config.Log.Panic(reporter.PanicRecovered, recover(), reporter.Fields{"Step": "handle heartbeat", "Peer": from.String()})
	}()
	pulse := &wire.Pulse{}
	if err := proto.Unmarshal(data, pulse); err != nil || pulse.GetName() == "" {
		p.config.Log.Event(reporter.StepFailed, reporter.Fields{"Step": "decode heartbeat", "Peer": from.String(), "Error": err})
		return
	}
	p.record(pulse)
}

// record stores a heartbeat if it is newer than the sender's last one, and those that it
// relays.
func (p *Pulser) record(pulse *wire.Pulse) {
	now := time.Now()
	p.mu.Lock()
	old, ok := p.peers[pulse.GetName()]
	if ok && !positionOf(pulse).after(old.direct) {
		p.mu.Unlock()
		return
	}
	changed := p.store(pulse, now)
	stored := p.peers[pulse.GetName()]
	stored.direct = positionOf(pulse)
	p.peers[pulse.GetName()] = stored
	for _, r := range pulse.GetRelayed() {
		if p.storeRelayed(r, now) {
			changed = true
		}
	}
	p.mu.Unlock()
	p.config.OnHeartbeat(pulse)
	if changed {
		p.config.OnChange()
	}
}

// storeRelayed stores a heartbeat that another process relayed if it is newer than the last
// one, and reports whether that changes the table. The caller holds p.mu.
func (p *Pulser) storeRelayed(pulse *wire.Pulse, now time.Time) (changed bool) {
	age := pulse.GetAgeMilliseconds()
	if pulse.GetName() == "" || pulse.GetName() == p.config.Self.Name || age < 0 || age > HeartbeatTimeout.Milliseconds() {
		return false
	}
	return p.store(pulse, now.Add(-time.Duration(age)*time.Millisecond))
}

// store stores a heartbeat if it is newer than the last one of the process, and reports
// whether the process is new to the table or its state differs. The caller holds p.mu.
func (p *Pulser) store(pulse *wire.Pulse, at time.Time) (changed bool) {
	old, ok := p.peers[pulse.GetName()]
	if ok && !positionOf(pulse).after(positionOf(old.Pulse)) {
		return false
	}
	if at.Before(old.ReceivedAt) {
		at = old.ReceivedAt
	}
	p.peers[pulse.GetName()] = Peer{Pulse: pulse, ReceivedAt: at, direct: old.direct}
	return !ok || old.Pulse.GetLeaving() != pulse.GetLeaving() || old.Pulse.GetCurrent() != pulse.GetCurrent() || old.Pulse.GetServing() != pulse.GetServing()
}

// expire removes the processes whose last heartbeat is older than HeartbeatTimeout.
func (p *Pulser) expire() {
	now := time.Now()
	p.mu.Lock()
	removed := false
	for name, peer := range p.peers {
		if now.Sub(peer.ReceivedAt) > HeartbeatTimeout {
			delete(p.peers, name)
			removed = true
		}
	}
	p.mu.Unlock()
	if removed {
		p.config.OnChange()
	}
}

// logPeers logs the processes in the table if they have changed since it last did.
func (p *Pulser) logPeers() {
	names := p.PeerNames()
	if slices.Equal(names, p.logged) {
		return
	}
	p.logged = names
	p.config.Log.Event(reporter.PeersChanged, reporter.Fields{"Heard": names})
}

// Peers returns the processes whose last heartbeat is at most HeartbeatTimeout old, by
// name.
func (p *Pulser) Peers() map[string]Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	out := make(map[string]Peer, len(p.peers))
	for name, peer := range p.peers {
		if now.Sub(peer.ReceivedAt) <= HeartbeatTimeout {
			out[name] = peer
		}
	}
	return out
}

// PeerNames returns the sorted names of the processes that Peers returns.
func (p *Pulser) PeerNames() []string {
	var out []string
	for name := range p.Peers() {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}
