package entry

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiport/wasabiport/state"
)

// callerConns tracks the open connections of callers and limits them per IP
// address.
type callerConns struct {
	// limit is the maximum number of open connections per IP address.
	limit int
	// counts holds the number of open connections per IP address.
	counts *state.ShardedMap[string, int]
	open   *state.ShardedMap[*callerConn, struct{}]
}

func newCallerConns(limit int) *callerConns {
	return &callerConns{
		limit:  limit,
		counts: state.NewShardedMap[string, int](state.DefaultShardCount),
		open:   state.NewShardedMap[*callerConn, struct{}](state.DefaultShardCount),
	}
}

// add registers a connection. It returns nil when the remote address already
// has the maximum number of connections; the connection is not closed then.
func (c *callerConns) add(conn net.Conn) *callerConn {
	address := ipAddress(conn.RemoteAddr())
	if !c.reserve(address) {
		return nil
	}
	added := &callerConn{Conn: conn, closed: make(chan struct{})}
	added.remove = func() {
		c.unreserve(address)
		c.open.Delete(added)
	}
	c.open.Set(added, struct{}{})
	return added
}

func (c *callerConns) reserve(address string) bool {
	admitted := false
	c.counts.Update(address, func(count int, present bool) (int, bool) {
		admitted = count < c.limit
		if admitted {
			return count + 1, true
		}
		return count, present
	})
	return admitted
}

func (c *callerConns) unreserve(address string) {
	c.counts.Update(address, func(count int, _ bool) (int, bool) { return count - 1, count > 1 })
}

// newConnGrace is how long a shutdown keeps connections that have not sent a
// request yet, since a first request may already be in flight.
const newConnGrace = 300 * time.Millisecond

// drain closes idle HTTP/1 connections and waits until the busy ones are closed
// after their response. The caller must make sure that no connection is added
// any more. HTTP/2 connections are left to http.Server.Shutdown.
func (c *callerConns) drain(ctx context.Context) error {
	var conns []*callerConn
	c.open.Range(func(conn *callerConn, _ struct{}) bool {
		if !conn.isHTTP2() {
			conns = append(conns, conn)
		}
		return true
	})
	for _, conn := range conns {
		conn.shutdown()
	}
	timer := time.AfterFunc(newConnGrace, func() {
		for _, conn := range conns {
			conn.closeIfNew()
		}
	})
	defer timer.Stop()
	for _, conn := range conns {
		select {
		case <-conn.closed:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for open calls")
		}
	}
	return nil
}

func ipAddress(address net.Addr) string {
	if host, _, err := net.SplitHostPort(address.String()); err == nil {
		return host
	}
	return address.String()
}

// callerConn is a connection of a caller that can be shut down without losing a
// request that arrives at the same moment. http.Server.Shutdown can't do this:
// it drops HTTP/1 requests that are read while it runs.
type callerConn struct {
	net.Conn
	closeOnce sync.Once
	// remove removes the connection from callerConns.
	remove func()
	closed chan struct{}

	// hasRead is set by the first read that returns data. Only the reading
	// goroutine accesses it.
	hasRead bool

	mu        sync.Mutex
	connState http.ConnState
	// http2Preface is set when the connection starts with the HTTP/2 preface.
	http2Preface bool
	// shuttingDown requests that the connection is closed when it becomes idle.
	shuttingDown bool
	// readsAborted is set while reads are made to fail, because the connection
	// has no request in progress.
	readsAborted bool
}

// pastDeadline makes reads fail immediately. A read that already has data still
// returns it.
var pastDeadline = time.Unix(1, 0)

// setConnState is the http.Server.ConnState hook.
func setConnState(conn net.Conn, newState http.ConnState) {
	if caller, ok := conn.(*callerConn); ok {
		caller.setConnState(newState)
	}
}

func (c *callerConn) setConnState(newState http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.connState = newState
	switch {
	case newState == http.StateIdle && c.shuttingDown:
		c.abortReads()
	case newState == http.StateActive && c.readsAborted:
		// The read that was meant to fail returned a request.
		c.readsAborted = false
		c.setReadDeadline(time.Time{})
	default:
	}
}

// shutdown closes the connection if it is idle, or else after the response to
// its current request.
func (c *callerConn) shutdown() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shuttingDown = true
	if c.connState == http.StateIdle {
		c.abortReads()
	}
}

// closeIfNew closes the connection if it has not received a request yet.
func (c *callerConn) closeIfNew() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.connState == http.StateNew {
		c.abortReads()
	}
}

// abortReads makes pending and later reads fail. The caller must hold c.mu.
func (c *callerConn) abortReads() {
	c.readsAborted = true
	c.setReadDeadline(pastDeadline)
}

func (c *callerConn) setReadDeadline(deadline time.Time) {
	// An error means that the connection is closed, which the next read
	// reports.
	_ = c.Conn.SetReadDeadline(deadline)
}

// SetReadDeadline sets the read deadline. It has no effect while reads are
// aborted, so that the HTTP server can't reset the deadline set by abortReads.
func (c *callerConn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readsAborted {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// http2PrefacePrefix starts the HTTP/2 client connection preface (RFC 9113,
// section 3.4).
const http2PrefacePrefix = "PRI "

func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.hasRead {
		c.hasRead = true
		c.detectHTTP2(p[:n])
	}
	return n, err
}

func (c *callerConn) detectHTTP2(read []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.http2Preface = strings.HasPrefix(http2PrefacePrefix, string(read[:min(len(read), len(http2PrefacePrefix))]))
}

func (c *callerConn) isHTTP2() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.http2Preface
}

// Close closes the connection and removes it from the open connections.
func (c *callerConn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(func() {
		c.remove()
		close(c.closed)
	})
	return err
}
