package network

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrNoListener is returned when there is no listener at the dialed address.
var ErrNoListener = errors.New("no listener at the address")

// Memory is a Network within one process. Its connections are unbuffered pipes,
// so that tests under virtual time do no real I/O.
type Memory struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
}

// NewMemory returns an in-memory network with no listeners.
func NewMemory() *Memory {
	return &Memory{listeners: make(map[string]*memoryListener)}
}

// Dial opens a connection to the listener at an address.
func (m *Memory) Dial(ctx context.Context, address string) (net.Conn, error) {
	m.mu.Lock()
	listener, ok := m.listeners[address]
	m.mu.Unlock()
	if !ok {
		return nil, errors.Wrapf(ErrNoListener, "dial %s", address)
	}
	near, far := net.Pipe()
	select {
	case listener.accepted <- far:
		return near, nil
	case <-listener.closed:
		return nil, errors.Wrapf(ErrNoListener, "dial %s", address)
	case <-ctx.Done():
		return nil, errors.Wrapf(ctx.Err(), "dial %s", address)
	}
}

// Listen accepts connections at an address. It fails when the address is in use.
func (m *Memory) Listen(_ context.Context, address string) (net.Listener, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, inUse := m.listeners[address]; inUse {
		return nil, errors.Newf("listen on %s: address is in use", address)
	}
	listener := &memoryListener{
		network:  m,
		address:  memoryAddress(address),
		accepted: make(chan net.Conn),
		closed:   make(chan struct{}),
	}
	m.listeners[address] = listener
	return listener, nil
}

func (m *Memory) remove(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.listeners, address)
}

type memoryListener struct {
	network  *Memory
	address  memoryAddress
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.once.Do(func() {
		l.network.remove(string(l.address))
		close(l.closed)
	})
	return nil
}

func (l *memoryListener) Addr() net.Addr { return l.address }

type memoryAddress string

func (memoryAddress) Network() string  { return "memory" }
func (a memoryAddress) String() string { return string(a) }
