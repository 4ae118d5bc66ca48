package shaper

import (
	"context"
	"fmt"
	"net"
	"sync"
)

// Memory is a network of in-memory pipes, for tests in virtual time. It implements
// filbertstile.Network.
type Memory struct {
	mu sync.Mutex
	// assignedPorts is the number of ports assigned for port 0.
	assignedPorts int
	listeners     map[string]*memoryListener
}

// NewMemory returns a network without listeners.
func NewMemory() *Memory {
	return &Memory{listeners: make(map[string]*memoryListener)}
}

// Dial connects to a listener of the network.
func (m *Memory) Dial(ctx context.Context, address string) (net.Conn, error) {
	m.mu.Lock()
	l, ok := m.listeners[address]
	m.mu.Unlock()
	if !ok {
		return nil, fmt.Errorf("dial %s: connection refused", address)
	}
	local, remote := net.Pipe()
	select {
	case l.conns <- remote:
		return local, nil
	case <-l.done:
		return nil, fmt.Errorf("dial %s: connection refused", address)
	case <-ctx.Done():
		return nil, fmt.Errorf("dial %s: %w", address, ctx.Err())
	}
}

// Listen listens on an address. Port 0 selects a free port.
func (m *Memory) Listen(address string) (net.Listener, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fmt.Errorf("listen on %q: %w", address, err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if port == "0" {
		m.assignedPorts++
		address = net.JoinHostPort(host, fmt.Sprint(10000+m.assignedPorts))
	}
	if _, taken := m.listeners[address]; taken {
		return nil, fmt.Errorf("listen on %s: address in use", address)
	}
	l := &memoryListener{network: m, address: memoryAddr(address), conns: make(chan net.Conn), done: make(chan struct{})}
	m.listeners[address] = l
	return l, nil
}

type memoryAddr string

// Network returns "memory".
func (a memoryAddr) Network() string { return "memory" }

// String returns the address that Dial accepts.
func (a memoryAddr) String() string { return string(a) }

type memoryListener struct {
	network *Memory
	address memoryAddr
	// conns passes connections from Dial to Accept.
	conns chan net.Conn
	once  sync.Once
	done  chan struct{}
}

// Accept waits for the next connection and returns it.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return &assembler{Conn: c}, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close closes the listener and frees its address.
func (l *memoryListener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, string(l.address))
	})
	return nil
}

// Addr returns the listener's address.
func (l *memoryListener) Addr() net.Addr { return l.address }
