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

// callerConns holds the open connections of callers.
type callerConns struct {
	// limit bounds the connections from one IP address.
	limit int
	// counts are the connections by IP address.
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

// add takes over a connection, or returns nil when its address has too many.
func (c *callerConns) add(conn net.Conn) *callerConn {
	address := ipAddress(conn.RemoteAddr())
	if !c.begin(address) {
		return nil
	}
	added := &callerConn{Conn: conn, closed: make(chan struct{})}
	added.remove = func() {
		c.end(address)
		c.open.Delete(added)
	}
	c.open.Set(added, struct{}{})
	return added
}

func (c *callerConns) begin(address string) bool {
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

func (c *callerConns) end(address string) {
	c.counts.Update(address, func(count int, _ bool) (int, bool) { return count - 1, count > 1 })
}

// newConnGrace is how long a connection on which no request has come yet is
// kept while the server ends: its first request may be on the way.
const newConnGrace = 300 * time.Millisecond

// drain ends the HTTP/1 connections without a request, and waits until those
// with one are closed after their answer. No connection may be added by now.
func (c *callerConns) drain(ctx context.Context) error {
	var conns []*callerConn
	c.open.Range(func(conn *callerConn, _ struct{}) bool {
		if !conn.http2() {
			conns = append(conns, conn)
		}
		return true
	})
	for _, conn := range conns {
		conn.finish()
	}
	timer := time.AfterFunc(newConnGrace, func() {
		for _, conn := range conns {
			conn.endIfNew()
		}
	})
	defer timer.Stop()
	for _, conn := range conns {
		select {
		case <-conn.closed:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for the calls of callers")
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

// callerConn is a connection of a caller. It can be ended without losing a
// request that arrives at the same moment. The shutdown of the HTTP server
// can't: it drops requests that are read while it goes on.
type callerConn struct {
	net.Conn
	closeOnce sync.Once
	// remove takes the connection out of the open ones.
	remove func()
	closed chan struct{}

	// started says that something was read. Only the thread that reads uses it.
	started bool

	mu    sync.Mutex
	phase http.ConnState
	// preface says that what was read first was the beginning of HTTP/2.
	preface bool
	// finishing says that the connection is to end once it has no request.
	finishing bool
	// ending says that reads are made to fail, as there is no request.
	ending bool
}

// longAgo is a deadline that makes reads fail at once. A read that has data
// already still returns it.
var longAgo = time.Unix(1, 0)

// setPhase follows the phases of a connection.
func setPhase(conn net.Conn, phase http.ConnState) {
	if caller, ok := conn.(*callerConn); ok {
		caller.setPhase(phase)
	}
}

func (c *callerConn) setPhase(phase http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = phase
	switch {
	case phase == http.StateIdle && c.finishing:
		c.endReads()
	case phase == http.StateActive && c.ending:
		// The read that was to fail has brought a request.
		c.ending = false
		c.setReadDeadline(time.Time{})
	default:
	}
}

// finish ends the connection, now or after the answer to its request.
func (c *callerConn) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finishing = true
	if c.phase == http.StateIdle {
		c.endReads()
	}
}

// endIfNew ends the connection when no request has come yet.
func (c *callerConn) endIfNew() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == http.StateNew {
		c.endReads()
	}
}

// endReads must be called with the lock held.
func (c *callerConn) endReads() {
	c.ending = true
	c.setReadDeadline(longAgo)
}

func (c *callerConn) setReadDeadline(deadline time.Time) {
	// An error means that the connection is gone, which the next read shows.
	_ = c.Conn.SetReadDeadline(deadline)
}

// SetReadDeadline sets the deadline of reads, unless the connection is ending.
func (c *callerConn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// http2Preface is how a connection with HTTP/2 begins.
const http2Preface = "PRI "

func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.started {
		c.started = true
		c.notePreface(p[:n])
	}
	return n, err
}

func (c *callerConn) notePreface(read []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.preface = strings.HasPrefix(http2Preface, string(read[:min(len(read), len(http2Preface))]))
}

func (c *callerConn) http2() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.preface
}

// Close closes the connection.
func (c *callerConn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(func() {
		c.remove()
		close(c.closed)
	})
	return err
}
