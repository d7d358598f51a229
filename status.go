package wasabiport

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/wasabiport/wasabiport/coordination/fleetstatus"
	"github.com/wasabiport/wasabiport/state"
)

// TicketStatus returns the status of a ticket across the fleet, from the reports that
// this node has received.
func (n *Node) TicketStatus(number state.TicketNumber) fleetstatus.TicketStatus {
	return n.plane.Status(time.Now(), number)
}

// Registry returns the metrics registry of the node, so that an embedding program
// can serve it or register its own metrics.
func (n *Node) Registry() *prometheus.Registry { return n.registry }
