package faults

import (
	"net"
	"sync"
	"time"
)

// conn is one end of a connection.
type conn struct {
	network  *Network
	link     link
	incoming *direction
	outgoing *direction
	once     sync.Once
}

// newConns returns both ends of a connection.
func newConns(n *Network, l link) (clientEnd, serverEnd *conn) {
	forward, backward := newDirection(n, l), newDirection(n, l)
	clientEnd = &conn{network: n, link: l, incoming: backward, outgoing: forward}
	serverEnd = &conn{network: n, link: l, incoming: forward, outgoing: backward}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[clientEnd] = struct{}{}
	return clientEnd, serverEnd
}

// Read returns bytes that have arrived.
func (c *conn) Read(p []byte) (int, error) { return c.incoming.read(p) }

// Write sends bytes without blocking.
func (c *conn) Write(p []byte) (int, error) {
	state, _ := c.network.linkStatus(c.link)
	if state.truncate {
		half := len(p) / 2
		_ = c.outgoing.write(p[:half], state.latency)
		_ = c.Close()
		return half, net.ErrClosed
	}
	if err := c.outgoing.write(p, state.latency); err != nil {
		return 0, err
	}
	return len(p), nil
}

// Close closes this end. The other end reads the bytes sent so far and then
// io.EOF.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.outgoing.closeWrite()
		c.incoming.abort()
		c.network.removeConn(c)
	})
	return nil
}

// reset aborts the connection at both ends; bytes in transit are lost.
func (c *conn) reset() {
	c.outgoing.abort()
	c.incoming.abort()
	c.network.removeConn(c)
}

// SetDeadline sets the read deadline. Writes never block.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline sets the read deadline, also for reads that are blocked.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.incoming.setDeadline(t)
	return nil
}

// SetWriteDeadline does nothing, because writes never block.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// LocalAddr returns the link, which names both endpoints.
func (c *conn) LocalAddr() net.Addr { return c.link }

// RemoteAddr returns the link, which names both endpoints.
func (c *conn) RemoteAddr() net.Addr { return c.link }

// Network returns the name of the kind of network.
func (link) Network() string { return "memory" }

// String returns both endpoints.
func (l link) String() string { return l.a + "-" + l.b }

// listener accepts connections to one address.
type listener struct {
	network  *Network
	address  string
	accepted chan *conn
	closed   chan struct{}
	once     sync.Once
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close stops listening and releases the address.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, l.address)
		close(l.closed)
	})
	return nil
}

// Addr returns the address.
func (l *listener) Addr() net.Addr { return address(l.address) }

type address string

// Network returns the name of the kind of network.
func (address) Network() string { return "memory" }

// String returns the IP address and port.
func (a address) String() string { return string(a) }
