package guard

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// errDeliveryEnded means that a call must not write to a connection any more.
var errDeliveryEnded = errors.New("the call has ended or has been sent over another connection")

type deliveryPhase = int32

const (
	// deliveryPending means that no byte of the call has been written.
	deliveryPending deliveryPhase = iota
	// deliverySent means that bytes may have reached the backend server.
	deliverySent
	// deliveryEnded means that no byte was written and none will be.
	deliveryEnded
)

// delivery follows the bytes of one call to a backend server. The HTTP client
// sends some requests again when a kept connection breaks; a delivery lets
// the bytes of a call reach one connection only, and knows for sure whether
// any were written.
type delivery struct {
	phase atomic.Int32
	// repeatable says that the call may be written to several connections.
	repeatable bool
	// conn is the connection that the call was given last.
	conn atomic.Pointer[backendConn]
	// beforeSend is called before the first byte is written.
	beforeSend func()
	cancel     context.CancelCauseFunc
}

// trace ties the connections that the HTTP client takes for the call to d.
func (d *delivery) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if d.phase.Load() != deliveryPending && !d.repeatable {
			d.cancel(errDeliveryEnded)
		}
		if conn, ok := info.Conn.(*backendConn); ok {
			d.conn.Store(conn)
			conn.take(d)
		}
	}}
}

// maxDiscardedBytes is how much of an answer that nobody gets is read, so that
// its connection can be used again.
const maxDiscardedBytes = 4 << 10

// discard ends an answer that goes to nobody. A connection that is spoiled is
// closed, as what follows on it can't be told from other answers.
func (d *delivery) discard(response *http.Response, spoiled bool) {
	if conn := d.conn.Load(); spoiled && conn != nil {
		_ = conn.Close()
	}
	// What goes wrong here has no effect on a call: the connection is dropped.
	_, _ = io.CopyN(io.Discard, response.Body, maxDiscardedBytes)
	_ = response.Body.Close()
}

// end makes sure that no more connections are written to when none was yet.
// It returns false when bytes of the call may have reached the backend server.
func (d *delivery) end() bool {
	return d.phase.CompareAndSwap(deliveryPending, deliveryEnded)
}

// begin asks to write to one more connection.
func (d *delivery) begin() error {
	if d.phase.CompareAndSwap(deliveryPending, deliverySent) {
		d.beforeSend()
		return nil
	}
	if d.repeatable && d.phase.Load() == deliverySent {
		return nil
	}
	return errDeliveryEnded
}

// takeBack says that the first write to the connection wrote nothing.
func (d *delivery) takeBack() {
	if !d.repeatable {
		d.phase.CompareAndSwap(deliverySent, deliveryPending)
	}
}

// backendConn is a connection to a backend server. It carries one call at a
// time and writes only what the delivery of that call allows.
type backendConn struct {
	net.Conn
	delivery atomic.Pointer[delivery]
	begun    atomic.Bool
}

// take ties the connection to the next call.
func (c *backendConn) take(d *delivery) {
	c.begun.Store(false)
	c.delivery.Store(d)
}

func (c *backendConn) Write(p []byte) (int, error) {
	if c.begun.Load() {
		return c.Conn.Write(p)
	}
	delivery := c.delivery.Load()
	if delivery == nil {
		return 0, errDeliveryEnded
	}
	if err := delivery.begin(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		delivery.takeBack()
		return 0, err
	}
	c.begun.Store(true)
	return n, err
}
