package network

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrNoListener means that no listener has the dialed address.
var ErrNoListener = errors.New("nobody listens on the address")

// Memory is a Network inside one process. Its connections are pipes without
// buffers, so that tests with a virtual clock see no real I/O.
type Memory struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
}

// NewMemory returns a Network without listeners.
func NewMemory() *Memory {
	return &Memory{listeners: make(map[string]*memoryListener)}
}

// Dial opens a connection to the listener on address.
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

// Listen accepts connections on an address that nobody else listens on.
func (m *Memory) Listen(_ context.Context, address string) (net.Listener, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, taken := m.listeners[address]; taken {
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
