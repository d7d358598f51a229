package entry

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// callerConn is a connection of a caller that can be shut down without losing a
// request that arrives at the same moment. http.Server.Shutdown can't do this:
// it drops HTTP/1 requests that are read while it runs.
type callerConn struct {
	net.Conn
	// inbound reads from the connection.
	inbound *inbound
	// pipeline runs requests that follow each other.
	pipeline *pipeline
	// stallTimeout is how long a write may block. 0 sets no limit.
	stallTimeout time.Duration
	closeOnce    sync.Once
	// remove removes the connection from callerConns.
	remove func()
	closed chan struct{}

	mu        sync.Mutex
	connState http.ConnState
	// idleSince is the time of the end of the previous request, or zero.
	idleSince time.Time
	// deadline is the read deadline that was set last. It is zero if there is none.
	deadline time.Time
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
	if newState == http.StateIdle {
		c.idleSince = time.Now()
	}
	c.inbound.enter(newState)
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
	c.deadline = deadline
	if c.readsAborted {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// limitHead sets the deadline for reading a head in place of the one of the HTTP server.
// It returns false, and sets none, while the HTTP server reads in order to notice that
// the caller has left.
func (c *callerConn) limitHead(deadline time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.connState == http.StateActive {
		return false
	}
	if !c.readsAborted {
		c.setReadDeadline(deadline)
	}
	return true
}

// isActive reports whether the HTTP server handles a request of the connection.
func (c *callerConn) isActive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.connState == http.StateActive
}

// idleTime returns the time of the end of the previous request, or opened if there was
// none.
func (c *callerConn) idleTime(opened time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idleSince.IsZero() {
		return opened
	}
	return c.idleSince
}

// limitBody sets the deadline for reading a part of a body. It returns false, and sets
// none, if there is one.
func (c *callerConn) limitBody(deadline time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.deadline.IsZero() || c.readsAborted {
		return false
	}
	c.setReadDeadline(deadline)
	return true
}

// Read reads requests as inbound delivers them.
func (c *callerConn) Read(p []byte) (int, error) { return c.inbound.read(p) }

// Write fails if the caller does not read for stallTimeout. The deadline also covers
// refusals, which are written without one.
func (c *callerConn) Write(p []byte) (int, error) {
	if c.stallTimeout > 0 {
		// An error means that the connection is closed, which Write reports.
		_ = c.SetWriteDeadline(time.Now().Add(c.stallTimeout))
	}
	c.inbound.tracked.Write(time.Now())
	defer c.inbound.tracked.Write(time.Time{})
	return c.Conn.Write(p)
}

func (c *callerConn) setHTTP2() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.http2Preface = true
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
		c.pipeline.close()
		c.remove()
		close(c.closed)
	})
	return err
}
