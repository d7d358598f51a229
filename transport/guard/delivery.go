package guard

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// errDeliveryEnded means that a call must not write to the connection any more.
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

// delivery tracks whether bytes of one call were written to a backend server.
// http.Transport retries some requests when a keep-alive connection breaks. A
// delivery restricts its call to one connection, so that it is certain whether any
// bytes were written, and that only the retry policy sends a call again.
type delivery struct {
	phase atomic.Int32
	// conn is the connection that was last assigned to the call.
	conn atomic.Pointer[backendConn]
	// beforeSend is called before the first byte is written.
	beforeSend func()
	cancel     context.CancelCauseFunc
}

// trace returns a client trace that assigns each connection selected by
// http.Transport for the call to d.
func (d *delivery) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if d.phase.Load() != deliveryPending {
			d.cancel(errDeliveryEnded)
		}
		if conn, ok := info.Conn.(*backendConn); ok {
			d.conn.Store(conn)
			conn.assign(d)
		}
	}}
}

// Limits on the body of a discarded response. A body within them is read, so that
// its connection can be reused.
const (
	maxDiscardedBytes = 4 << 10
	discardTimeout    = 50 * time.Millisecond
)

// discard drops a response that is not forwarded. With closeConn it closes the
// connection, because later bytes on it can't be attributed to a request.
func (d *delivery) discard(response *http.Response, closeConn bool) {
	conn := d.conn.Load()
	if closeConn && conn != nil {
		_ = conn.Close()
	}
	if response.ContentLength <= maxDiscardedBytes && conn != nil {
		timeout := time.AfterFunc(discardTimeout, func() { _ = conn.Close() })
		defer timeout.Stop()
		// Errors have no effect on the call: http.Transport drops the
		// connection.
		_, _ = io.CopyN(io.Discard, response.Body, maxDiscardedBytes)
	}
	_ = response.Body.Close()
}

// endUnsent prevents all later writes if nothing was written yet. It returns
// false if bytes of the call may have reached the backend server.
func (d *delivery) endUnsent() bool {
	return d.phase.CompareAndSwap(deliveryPending, deliveryEnded)
}

// beginWrite must be called before the first write of the call to a connection. An
// error means that the call must not be written there.
func (d *delivery) beginWrite() error {
	if !d.phase.CompareAndSwap(deliveryPending, deliverySent) {
		return errDeliveryEnded
	}
	d.beforeSend()
	return nil
}

// undoBegin reverts beginWrite after a first write that wrote no byte.
func (d *delivery) undoBegin() { d.phase.CompareAndSwap(deliverySent, deliveryPending) }
