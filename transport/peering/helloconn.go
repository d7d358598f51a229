package peering

import (
	"bufio"
	"net"
)

// helloBufferBytes is the size of the read buffer for the hello. The buffer is
// released once the multiplexer has read the bytes left in it.
const helloBufferBytes = 512

func newHelloReader(conn net.Conn) *bufio.Reader {
	return bufio.NewReaderSize(conn, helloBufferBytes)
}

// helloConn is a secured connection that first returns the bytes that were
// buffered during the handshake.
type helloConn struct {
	net.Conn
	hello *bufio.Reader
	// below is the connection that was secured.
	below net.Conn
}

func (c *helloConn) Read(p []byte) (int, error) {
	if c.hello == nil {
		return c.Conn.Read(p)
	}
	if c.hello.Buffered() > 0 {
		return c.hello.Read(p)
	}
	c.hello = nil
	return c.Conn.Read(p)
}

// Close closes the connection within closeTimeout.
func (c *helloConn) Close() error { return closeWithin(c.Conn, c.below) }
