package entry

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiport/wasabiport/coordination/intake"
	"github.com/wasabiport/wasabiport/state"
)

// callerConns tracks the open connections of callers, and limits them per IP address
// and in total.
type callerConns struct {
	intake *intakeConfig
	early  *earlyRequests
	// stallTimeout is how long a write may block.
	stallTimeout time.Duration
	// limit is the maximum number of open connections per IP address.
	limit int
	// counts holds the number of open connections per IP address.
	counts *state.ShardedMap[string, int]
	open   *state.ShardedMap[*callerConn, struct{}]
}

func newCallerConns(config ServerConfig) *callerConns {
	return &callerConns{
		intake:       &intakeConfig{tracker: config.Intake, limits: config.Limits, observer: config.Observer},
		early:        &earlyRequests{},
		stallTimeout: config.StallTimeout,

		limit:  config.MaxConnectionsPerAddress,
		counts: state.NewShardedMap[string, int](state.DefaultShardCount),
		open:   state.NewShardedMap[*callerConn, struct{}](state.DefaultShardCount),
	}
}

// add registers a connection. It returns nil when the remote address already has the
// maximum number of connections, or when too many connections are open and none of them
// can be closed in its place; the connection is not closed then.
func (c *callerConns) add(conn net.Conn) *callerConn {
	address := ipAddress(conn.RemoteAddr())
	if !c.reserve(address) {
		return nil
	}
	added := &callerConn{Conn: conn, stallTimeout: c.stallTimeout, closed: make(chan struct{})}
	added.pipeline = newPipeline(added, c.early)
	tracked, evicted := c.intake.tracker.Open(time.Now(), added)
	c.intake.close(evicted)
	if tracked == nil {
		c.intake.observe(conn, intake.CauseNotAdmitted)
		c.unreserve(address)
		return nil
	}
	added.inbound = newInbound(added, tracked, c.intake)
	added.remove = func() {
		tracked.Close()
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
