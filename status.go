package wasabiport

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/wasabiport/wasabiport/coordination/fleetstatus"
	"github.com/wasabiport/wasabiport/state"
)

// TicketStatus returns where a ticket stands across the fleet, as far as this
// node has heard.
func (n *Node) TicketStatus(number state.TicketNumber) fleetstatus.TicketStatus {
	return n.plane.Status(time.Now(), number)
}

// Registry returns the metrics of the node, so that an embedding program can
// serve them or add its own.
func (n *Node) Registry() *prometheus.Registry { return n.registry }
