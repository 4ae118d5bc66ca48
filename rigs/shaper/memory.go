package shaper

import (
	"context"
	"fmt"
	"net"
	"sync"
)

// Memory is a network of in-memory pipes, for tests in virtual time.
type Memory struct {
	mu        sync.Mutex
	next      int
	listeners map[string]*memoryListener
}

// NewMemory returns a network without listeners.
func NewMemory() *Memory {
	return &Memory{listeners: make(map[string]*memoryListener)}
}

// Dial connects to a listener of this network.
func (m *Memory) Dial(ctx context.Context, address string) (net.Conn, error) {
	m.mu.Lock()
	l, ok := m.listeners[address]
	m.mu.Unlock()
	if !ok {
		return nil, fmt.Errorf("dial %s: connection refused", address)
	}
	near, far := net.Pipe()
	select {
	case l.accepting <- far:
		return near, nil
	case <-l.done:
		return nil, fmt.Errorf("dial %s: connection refused", address)
	case <-ctx.Done():
		return nil, fmt.Errorf("dial %s: %w", address, ctx.Err())
	}
}

// Listen accepts connections; an address with port 0 is given a free one.
func (m *Memory) Listen(address string) (net.Listener, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fmt.Errorf("listen at %q: %w", address, err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if port == "0" {
		m.next++
		address = net.JoinHostPort(host, fmt.Sprint(10000+m.next))
	}
	if _, taken := m.listeners[address]; taken {
		return nil, fmt.Errorf("listen at %s: address in use", address)
	}
	l := &memoryListener{network: m, address: memoryAddr(address), accepting: make(chan net.Conn), done: make(chan struct{})}
	m.listeners[address] = l
	return l, nil
}

type memoryAddr string

// Network returns the kind of network.
func (a memoryAddr) Network() string { return "memory" }

// String returns the address as it is dialed.
func (a memoryAddr) String() string { return string(a) }

type memoryListener struct {
	network   *Memory
	address   memoryAddr
	accepting chan net.Conn
	once      sync.Once
	done      chan struct{}
}

// Accept waits for a connection.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepting:
		return &assembler{Conn: c}, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close stops accepting.
func (l *memoryListener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, string(l.address))
	})
	return nil
}

// Addr returns the address that reaches the listener.
func (l *memoryListener) Addr() net.Addr { return l.address }
