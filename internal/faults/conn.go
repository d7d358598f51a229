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
func newConns(n *Network, on link) (near, far *conn) {
	there, back := newDirection(n, on), newDirection(n, on)
	near = &conn{network: n, link: on, incoming: back, outgoing: there}
	far = &conn{network: n, link: on, incoming: there, outgoing: back}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[near] = struct{}{}
	return near, far
}

// Read returns bytes that have arrived.
func (c *conn) Read(p []byte) (int, error) { return c.incoming.read(p) }

// Write sends bytes without waiting.
func (c *conn) Write(p []byte) (int, error) {
	state, _ := c.network.look(c.link)
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

// Close ends this end. The other end reads what has been sent and then the
// end of the stream.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.outgoing.end()
		c.incoming.breakOff()
		c.network.forget(c)
	})
	return nil
}

// reset breaks both ends at once; what is on its way is lost.
func (c *conn) reset() {
	c.outgoing.breakOff()
	c.incoming.breakOff()
	c.network.forget(c)
}

// SetDeadline bounds reads. Writes never wait.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline bounds reads, also those that wait already.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.incoming.setDeadline(t)
	return nil
}

// SetWriteDeadline does nothing: writes never wait.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// LocalAddr returns the link, which tells both ends.
func (c *conn) LocalAddr() net.Addr { return c.link }

// RemoteAddr returns the link, which tells both ends.
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

// Close frees the address.
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

// String returns the IP number and port.
func (a address) String() string { return string(a) }
