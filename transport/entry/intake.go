package entry

import (
	"net"

	"github.com/wasabiport/wasabiport/coordination/intake"
	"github.com/wasabiport/wasabiport/state"
)

// IntakeObserver records connections that are closed or refused because of a limit. It
// must be safe for concurrent use.
type IntakeObserver interface {
	// ConnectionClosed is called when the connection is closed or refused.
	ConnectionClosed(remote net.Addr, cause intake.Cause)
}

// intakeConfig is what the connections of a server have in common.
type intakeConfig struct {
	// tracker decides which connections are admitted and which are closed.
	tracker *intake.Tracker
	// limits returns the limits in force.
	limits func() state.RequestLimits
	// observer is nil if nothing is recorded.
	observer IntakeObserver
}

func (c *intakeConfig) observe(conn net.Conn, cause intake.Cause) {
	if c.observer != nil {
		c.observer.ConnectionClosed(conn.RemoteAddr(), cause)
	}
}

// count counts a connection that is closed because of its own head.
func (c *intakeConfig) count(conn net.Conn, cause intake.Cause) {
	c.tracker.Count(cause)
	c.observe(conn, cause)
}

// close closes connections that were evicted.
func (c *intakeConfig) close(evicted []intake.Eviction) {
	for _, eviction := range evicted {
		if conn, ok := eviction.Conn.(net.Conn); ok {
			c.observe(conn, eviction.Cause)
		}
		// An error means that the connection is closed already.
		_ = eviction.Conn.Close()
	}
}
