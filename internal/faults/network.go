package faults

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiport/wasabiport/transport/network"
)

// linkLatency is the time that a message takes from one endpoint to another.
const linkLatency = time.Millisecond

// Network is an in-memory network whose links can be cut, slowed and reset.
// An endpoint is the IP number of an address.
type Network struct {
	// mu guards all fields. It is never held while a connection is locked.
	mu        sync.Mutex
	links     map[link]*linkState
	conns     map[*conn]struct{}
	listeners map[string]*listener
	isolate   map[string]bool
	// changed is closed and replaced when a link or an endpoint changes.
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

// NewNetwork returns a network on which every link works.
func NewNetwork() *Network {
	return &Network{
		links:     make(map[link]*linkState),
		conns:     make(map[*conn]struct{}),
		listeners: make(map[string]*listener),
		isolate:   make(map[string]bool),
		changed:   make(chan struct{}),
	}
}

// From returns the network as one endpoint sees it.
func (n *Network) From(endpoint string) network.Network {
	return view{network: n, endpoint: endpoint}
}

// Cut stops all messages between the endpoints of the two groups. They arrive
// once the links are healed.
func (n *Network) Cut(group, others []string) {
	n.change(group, others, func(state *linkState) { state.cut = true })
}

// Delay sets the latency between the endpoints of the two groups.
func (n *Network) Delay(group, others []string, latency time.Duration) {
	n.change(group, others, func(state *linkState) { state.latency = latency })
}

// Truncate lets the next message between endpoints of the two groups end in
// its middle, and the connection with it.
func (n *Network) Truncate(group, others []string) {
	n.change(group, others, func(state *linkState) { state.truncate = true })
}

// Heal makes every link work again.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links = make(map[link]*linkState)
	n.announce()
}

// Isolate resets all connections of an endpoint and lets no new ones come
// about, as if its process had died.
func (n *Network) Isolate(endpoint string) {
	n.mu.Lock()
	n.isolate[endpoint] = true
	n.announce()
	n.mu.Unlock()
	n.Reset([]string{endpoint})
}

// Rejoin lets an isolated endpoint take part again.
func (n *Network) Rejoin(endpoint string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.isolate, endpoint)
	n.announce()
}

// Reset breaks all connections of the endpoints, but not those within one
// host.
func (n *Network) Reset(endpoints []string) {
	n.mu.Lock()
	var broken []*conn
	for _, endpoint := range endpoints {
		for conn := range n.conns {
			if conn.link.a != conn.link.b && (conn.link.a == endpoint || conn.link.b == endpoint) {
				broken = append(broken, conn)
			}
		}
	}
	n.mu.Unlock()
	for _, conn := range broken {
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
	n.announce()
}

func (n *Network) announce() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// look returns how a link works at present and a channel that is closed when
// that changes. A truncation is handed out once.
func (n *Network) look(on link) (linkState, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if on.a == on.b {
		return linkState{}, n.changed
	}
	if state, ok := n.links[on]; ok {
		current := *state
		state.truncate = false
		return current, n.changed
	}
	return linkState{latency: linkLatency}, n.changed
}

func (n *Network) isolated(endpoint string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isolate[endpoint]
}

var errUnreachable = errors.New("endpoint can't be reached")

// view is the network of one endpoint.
type view struct {
	network  *Network
	endpoint string
}

func (v view) Dial(ctx context.Context, address string) (net.Conn, error) {
	target, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", address)
	}
	if v.network.isolated(v.endpoint) || v.network.isolated(target) {
		return nil, errors.Wrapf(errUnreachable, "dial %s", address)
	}
	on := linkOf(v.endpoint, target)
	if err := v.network.waitOpen(ctx, on); err != nil {
		return nil, errors.Wrapf(err, "dial %s", address)
	}
	listener := v.network.listener(address)
	if listener == nil {
		return nil, errors.Wrapf(errUnreachable, "dial %s", address)
	}
	near, far := newConns(v.network, on)
	select {
	case listener.accepted <- far:
		return near, nil
	case <-listener.closed:
		err = errUnreachable
	case <-ctx.Done():
		err = ctx.Err()
	}
	near.reset()
	return nil, errors.Wrapf(err, "dial %s", address)
}

func (v view) Listen(_ context.Context, address string) (net.Listener, error) {
	v.network.mu.Lock()
	defer v.network.mu.Unlock()
	if v.network.listeners[address] != nil {
		return nil, errors.Newf("listen on %s: address is in use", address)
	}
	listener := &listener{
		network:  v.network,
		address:  address,
		accepted: make(chan *conn),
		closed:   make(chan struct{}),
	}
	v.network.listeners[address] = listener
	return listener, nil
}

func (n *Network) listener(address string) *listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.listeners[address]
}

func (n *Network) forget(ended *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, ended)
}

// waitOpen waits until a link is not cut.
func (n *Network) waitOpen(ctx context.Context, on link) error {
	for {
		state, changed := n.look(on)
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
