package wasabiport

import (
	"time"

	"github.com/wasabiport/wasabiport/coordination/fleetstatus"
	"github.com/wasabiport/wasabiport/state"
)

// TicketStatus returns where a ticket stands across the fleet, as far as this
// node has heard.
func (n *Node) TicketStatus(number state.TicketNumber) fleetstatus.TicketStatus {
	return n.plane.Status(time.Now(), number)
}
