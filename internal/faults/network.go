package faults

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiport/wasabiport/transport/network"
)

// linkLatency is the default one-way latency between two endpoints.
const linkLatency = time.Millisecond

// Network is an in-memory network whose links can be cut, delayed and reset.
// An endpoint is identified by its IP address.
type Network struct {
	// mu guards all fields. It is never held together with the lock of a
	// direction.
	mu                sync.Mutex
	links             map[link]*linkState
	conns             map[*conn]struct{}
	listeners         map[string]*listener
	isolatedEndpoints map[string]bool
	// changed is closed and replaced whenever a link or an endpoint changes.
	changed chan struct{}
}

// link is an unordered pair of endpoints.
type link struct{ a, b string }

type linkState struct {
	cut      bool
	latency  time.Duration
	truncate bool
}

func linkOf(a, b string) link {
	if a > b {
		a, b = b, a
	}
	return link{a: a, b: b}
}

// NewNetwork returns a network without faults.
func NewNetwork() *Network {
	return &Network{
		links:             make(map[link]*linkState),
		conns:             make(map[*conn]struct{}),
		listeners:         make(map[string]*listener),
		isolatedEndpoints: make(map[string]bool),
		changed:           make(chan struct{}),
	}
}

// ForEndpoint returns the network from the point of view of one endpoint.
func (n *Network) ForEndpoint(endpoint string) network.Network {
	return endpointNetwork{network: n, endpoint: endpoint}
}

// Cut partitions the two groups of endpoints. Messages between them are held
// back until the links are healed.
func (n *Network) Cut(group, others []string) {
	n.change(group, others, func(state *linkState) { state.cut = true })
}

// Delay sets the latency between the endpoints of the two groups.
func (n *Network) Delay(group, others []string, latency time.Duration) {
	n.change(group, others, func(state *linkState) { state.latency = latency })
}

// Truncate cuts the next message between endpoints of the two groups in half
// and closes its connection.
func (n *Network) Truncate(group, others []string) {
	n.change(group, others, func(state *linkState) { state.truncate = true })
}

// Heal removes the faults of all links.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links = make(map[link]*linkState)
	n.notifyChange()
}

// Isolate resets all connections of an endpoint and refuses new ones, as if
// its process had died.
func (n *Network) Isolate(endpoint string) {
	n.mu.Lock()
	n.isolatedEndpoints[endpoint] = true
	n.notifyChange()
	n.mu.Unlock()
	n.Reset([]string{endpoint})
}

// Rejoin ends the isolation of an endpoint.
func (n *Network) Rejoin(endpoint string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.isolatedEndpoints, endpoint)
	n.notifyChange()
}

// Reset resets all connections of the endpoints except those within one host.
func (n *Network) Reset(endpoints []string) {
	n.mu.Lock()
	var affected []*conn
	for _, endpoint := range endpoints {
		for conn := range n.conns {
			if conn.link.a != conn.link.b && (conn.link.a == endpoint || conn.link.b == endpoint) {
				affected = append(affected, conn)
			}
		}
	}
	n.mu.Unlock()
	for _, conn := range affected {
		conn.reset()
	}
}

func (n *Network) change(group, others []string, change func(*linkState)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range group {
		for _, b := range others {
			if a == b {
				continue
			}
			state, ok := n.links[linkOf(a, b)]
			if !ok {
				state = &linkState{latency: linkLatency}
				n.links[linkOf(a, b)] = state
			}
			change(state)
		}
	}
	n.notifyChange()
}

func (n *Network) notifyChange() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// linkStatus returns the current state of a link and a channel that is closed
// when any link changes. A truncation is returned only once.
func (n *Network) linkStatus(l link) (linkState, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l.a == l.b {
		return linkState{}, n.changed
	}
	if state, ok := n.links[l]; ok {
		current := *state
		state.truncate = false
		return current, n.changed
	}
	return linkState{latency: linkLatency}, n.changed
}

func (n *Network) isIsolated(endpoint string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isolatedEndpoints[endpoint]
}

var errUnreachable = errors.New("endpoint is unreachable")

// endpointNetwork implements network.Network for one endpoint.
type endpointNetwork struct {
	network  *Network
	endpoint string
}

func (n endpointNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	target, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", address)
	}
	if n.network.isIsolated(n.endpoint) || n.network.isIsolated(target) {
		return nil, errors.Wrapf(errUnreachable, "dial %s", address)
	}
	l := linkOf(n.endpoint, target)
	if err := n.network.waitOpen(ctx, l); err != nil {
		return nil, errors.Wrapf(err, "dial %s", address)
	}
	listener := n.network.listener(address)
	if listener == nil {
		return nil, errors.Wrapf(errUnreachable, "dial %s", address)
	}
	clientEnd, serverEnd := newConns(n.network, l)
	select {
	case listener.accepted <- serverEnd:
		return clientEnd, nil
	case <-listener.closed:
		err = errUnreachable
	case <-ctx.Done():
		err = ctx.Err()
	}
	clientEnd.reset()
	return nil, errors.Wrapf(err, "dial %s", address)
}

func (n endpointNetwork) Listen(_ context.Context, address string) (net.Listener, error) {
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	if n.network.listeners[address] != nil {
		return nil, errors.Newf("listen on %s: address is in use", address)
	}
	listener := &listener{
		network:  n.network,
		address:  address,
		accepted: make(chan *conn),
		closed:   make(chan struct{}),
	}
	n.network.listeners[address] = listener
	return listener, nil
}

func (n *Network) listener(address string) *listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.listeners[address]
}

func (n *Network) removeConn(closed *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, closed)
}

// waitOpen blocks until a link is not cut.
func (n *Network) waitOpen(ctx context.Context, l link) error {
	for {
		state, changed := n.linkStatus(l)
		if !state.cut {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
