// Package pulser sends and takes in the heartbeats of the system's processes,
// one datagram each, and keeps the table of the processes that are heard. The
// object API tells where processes are; only heartbeats tell that they live.
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
	// HeardFor is how long a heartbeat counts. A process that was killed must
	// not be named to callers for longer than some seconds, and a datagram may
	// be lost.
	HeardFor = 1800 * time.Millisecond
	// maxDatagram is the largest heartbeat, in bytes.
	maxDatagram = 32 << 10
)

// Conn sends and receives datagrams.
type Conn interface {
	ReadFrom(b []byte) (int, net.Addr, error)
	WriteTo(b []byte, to net.Addr) (int, error)
	Close() error
}

// Config puts a pulser together.
type Config struct {
	Self filbertstile.Member
	Conn Conn
	Log  *reporter.Log
	// Incarnation grows with each start of this process.
	Incarnation int64
	// Compose returns what this process says now.
	Compose func() []Message
	// Every is the time between two heartbeats.
	Every time.Duration
	// Heard is told of each heartbeat; it must not block.
	Heard func(p *wire.Pulse)
	// Changed is called when the processes that are heard change.
	Changed func()
}

// Message is a heartbeat and those to whom it is sent.
type Message struct {
	Pulse *wire.Pulse
	To    []filbertstile.Member
}

// Peer is a process that is heard.
type Peer struct {
	Pulse *wire.Pulse
	At    time.Time
}

// Pulser owns the table.
type Pulser struct {
	config Config
	nudge  chan struct{}

	mu       sync.Mutex
	peers    map[string]Peer
	sequence uint64
}

// New returns a pulser that does not run yet.
func New(c Config) *Pulser {
	return &Pulser{config: c, nudge: make(chan struct{}, 1), peers: make(map[string]Peer)}
}

// Nudge sends a heartbeat at once.
func (p *Pulser) Nudge() {
	select {
	case p.nudge <- struct{}{}:
	default:
	}
}

// Run sends and takes in heartbeats until the context ends.
func (p *Pulser) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = p.config.Conn.Close() })
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { p.receive(ctx) })
	tick := time.NewTicker(p.config.Every)
	defer tick.Stop()
	for ctx.Err() == nil {
		p.send()
		p.forget()
		select {
		case <-tick.C:
		case <-p.nudge:
		case <-ctx.Done():
		}
	}
	wg.Wait()
}

func (p *Pulser) send() {
	for _, m := range p.config.Compose() {
		p.Tell(m)
	}
}

// Tell sends a heartbeat out of turn.
func (p *Pulser) Tell(message Message) {
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
			// A heartbeat that cannot be sent is a lost one: the receiver sees it.
			_, _ = p.config.Conn.WriteTo(data, net.UDPAddrFromAddrPort(addr))
		}
	}
}

func (p *Pulser) receive(ctx context.Context) {
	buf := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, from, err := p.config.Conn.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // a refused datagram of ours shows up here
		}
		pulse := &wire.Pulse{}
		if err := proto.Unmarshal(buf[:n], pulse); err != nil || pulse.GetName() == "" {
			p.config.Log.Event(reporter.StepFailed, reporter.Fields{"Step": "decode heartbeat", "Peer": from.String(), "Error": err})
			continue
		}
		p.take(pulse)
	}
}

func (p *Pulser) take(pulse *wire.Pulse) {
	p.mu.Lock()
	old, ok := p.peers[pulse.GetName()]
	newer := cmp.Or(cmp.Compare(pulse.GetIncarnation(), old.Pulse.GetIncarnation()), cmp.Compare(pulse.GetSequence(), old.Pulse.GetSequence()))
	if ok && newer <= 0 {
		p.mu.Unlock()
		return
	}
	p.peers[pulse.GetName()] = Peer{Pulse: pulse, At: time.Now()}
	p.mu.Unlock()
	p.config.Heard(pulse)
	if !ok || old.Pulse.GetLeaving() != pulse.GetLeaving() || old.Pulse.GetCurrent() != pulse.GetCurrent() {
		p.changed()
	}
}

// forget drops the processes that are no longer heard.
func (p *Pulser) forget() {
	now := time.Now()
	p.mu.Lock()
	gone := false
	for name, x := range p.peers {
		if now.Sub(x.At) > HeardFor {
			delete(p.peers, name)
			gone = true
		}
	}
	p.mu.Unlock()
	if gone {
		p.changed()
	}
}

func (p *Pulser) changed() {
	names := p.Names()
	p.config.Log.Event(reporter.PeersChanged, reporter.Fields{"Heard": names})
	p.config.Changed()
}

// Heard returns the processes that are heard, by name.
func (p *Pulser) Heard() map[string]Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	out := make(map[string]Peer, len(p.peers))
	for name, x := range p.peers {
		if now.Sub(x.At) <= HeardFor {
			out[name] = x
		}
	}
	return out
}

// Names returns the names of the processes that are heard, in order.
func (p *Pulser) Names() []string {
	var out []string
	for name := range p.Heard() {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}
