package guard

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// backendConn is a connection to a backend server. It carries one call at a
// time and writes only what the delivery of that call permits.
type backendConn struct {
	net.Conn
	delivery atomic.Pointer[delivery]
	writing  atomic.Bool
	closed   atomic.Bool
	// onLost is called when the backend server has ended the connection, also while it
	// carries no call.
	onLost func()

	// writeMu is held during each write, and guards brokenBy.
	writeMu sync.Mutex
	// brokenBy is the error of a write that shows that the connection was not ended in
	// order.
	brokenBy error
}

// assign assigns the connection to the next call.
func (c *backendConn) assign(d *delivery) {
	c.writing.Store(false)
	c.delivery.Store(d)
}

// Read returns io.EOF only if the backend server has ended the connection in order.
func (c *backendConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.endOfStream()
	}
	c.noticeLoss(err)
	return n, err
}

// endOfStream returns what a read that got io.EOF has to return. The operating system
// reports a reset, or a timeout of the connection, only once. If a write gets the error, a
// read gets io.EOF, as at the end of a complete answer.
func (c *backendConn) endOfStream() error {
	// A write that waits for room returns now. The rest of the request is of no use: no
	// further answer can arrive. An error means that the connection is closed.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if c.brokenBy != nil {
		return c.brokenBy
	}
	return io.EOF
}

// noticeLoss calls onLost if an error shows that the backend server has ended the
// connection. A write may show it first, after which the transport closes the connection.
func (c *backendConn) noticeLoss(err error) {
	if err != nil && !c.closed.Load() {
		c.onLost()
	}
}

// Close closes the connection.
func (c *backendConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

func (c *backendConn) Write(p []byte) (int, error) {
	if c.writing.Load() {
		return c.write(p)
	}
	delivery := c.delivery.Load()
	if delivery == nil {
		return 0, errDeliveryEnded
	}
	if err := delivery.beginWrite(); err != nil {
		return 0, err
	}
	n, err := c.write(p)
	if n == 0 && err != nil {
		delivery.undoBegin()
		return 0, err
	}
	c.writing.Store(true)
	return n, err
}

// write writes to the connection and keeps an error that reads must return as well.
func (c *backendConn) write(p []byte) (int, error) {
	c.writeMu.Lock()
	n, err := c.Conn.Write(p)
	if err != nil && !mayFollowOrderlyEnd(err) {
		c.brokenBy = err
	}
	c.writeMu.Unlock()
	c.noticeLoss(err)
	return n, err
}

// mayFollowOrderlyEnd reports whether a write may fail with an error although the backend
// server has ended its stream in order. A reset after that end is reported as EPIPE, or
// io.ErrClosedPipe in memory; the other two errors are caused by this side.
func mayFollowOrderlyEnd(err error) bool {
	return errors.IsAny(err, syscall.EPIPE, io.ErrClosedPipe, os.ErrDeadlineExceeded, net.ErrClosed)
}
