// Package boundedserver bounds what the clients of an HTTP server other than the one for
// callers can use: connections, heads and times.
package boundedserver

import (
	"net"
	"net/http"
	"time"

	"github.com/wasabiport/wasabiport/coordination/intake"
	"github.com/wasabiport/wasabiport/state"
)

const (
	// maxConnections is the maximum number of open connections: several probes, scrapes
	// and operators at the same time.
	maxConnections = 16
	// maxHeaderBytes is the maximum size of a head. The parsed form of short fields takes
	// 50 times as much.
	maxHeaderBytes = 4 << 10
	headerTimeout  = 2 * time.Second
	// readTimeout bounds the time for a request with its body, which is ignored.
	readTimeout = 5 * time.Second
	// writeTimeout bounds the time for a response. The metrics of a node take a few
	// milliseconds.
	writeTimeout = 30 * time.Second
	idleTimeout  = 30 * time.Second
)

// New returns a server with bounds. If too many connections are open, it closes the one
// that has been idle or without a complete head for longest.
func New(handler http.Handler) *http.Server {
	connections := &connections{
		tracker: intake.NewTracker(intake.Config{MaxConnections: maxConnections}),
		open:    state.NewShardedMap[net.Conn, *intake.Conn](state.DefaultShardCount),
	}
	return &http.Server{
		Handler:           handler,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		ConnState:         connections.setState,
	}
}

// connections tracks the connections of a server.
type connections struct {
	tracker *intake.Tracker
	open    *state.ShardedMap[net.Conn, *intake.Conn]
}

// setState is the http.Server.ConnState hook.
func (c *connections) setState(conn net.Conn, newState http.ConnState) {
	now := time.Now()
	switch newState {
	case http.StateNew:
		c.add(now, conn)
	case http.StateActive:
		c.enter(now, conn, intake.PhaseRunning)
	case http.StateIdle:
		c.enter(now, conn, intake.PhaseIdle)
	case http.StateHijacked, http.StateClosed:
		if tracked, ok := c.open.Get(conn); ok {
			tracked.Close()
			c.open.Delete(conn)
		}
	}
}

// add tracks a connection. add closes the connection if it is not admitted; the HTTP server then ends it.
func (c *connections) add(now time.Time, conn net.Conn) {
	tracked, evicted := c.tracker.Open(now, conn)
	for _, eviction := range evicted {
		_ = eviction.Conn.Close()
	}
	if tracked == nil {
		_ = conn.Close()
		return
	}
	c.open.Set(conn, tracked)
}

func (c *connections) enter(now time.Time, conn net.Conn, phase intake.Phase) {
	if tracked, ok := c.open.Get(conn); ok {
		tracked.Enter(now, phase)
	}
}
