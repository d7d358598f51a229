package peerwire_test

import (
	"fmt"
	"time"

	"github.com/wasabiport/wasabiport/coordination/control"
	"github.com/wasabiport/wasabiport/state"
)

// link is a resource of a host that bytes pass one after another: a direction of
// its network link, or its processor.
type link struct {
	// bytesPerSecond is the rate; 0 means unlimited.
	bytesPerSecond int
	freeAt         time.Time
}

// transfer returns when size bytes that are ready at a time have passed the link.
func (l *link) transfer(at time.Time, size int) time.Time {
	if l.bytesPerSecond == 0 {
		return at
	}
	if l.freeAt.After(at) {
		at = l.freeAt
	}
	l.freeAt = at.Add(time.Duration(size) * time.Second / time.Duration(l.bytesPerSecond))
	return l.freeAt
}

// hostSpeed is the speed of a host.
type hostSpeed struct {
	// linkBytesPerSecond is the rate of each direction of the network link.
	linkBytesPerSecond int
	// processorBytesPerSecond is how much configuration, in the form in which it
	// arrives, the host decodes and evaluates.
	processorBytesPerSecond int
}

func (n *node) setSpeed(speed hostSpeed) {
	n.uplink = link{bytesPerSecond: speed.linkBytesPerSecond}
	n.downlink = link{bytesPerSecond: speed.linkBytesPerSecond}
	n.processor = link{bytesPerSecond: speed.processorBytesPerSecond}
}

// useFullStateSource makes the source hold only the newest full configuration.
func (sim *simulation) useFullStateSource() {
	sim.source.fullState = true
	sim.configure = func(config *control.Config) {
		config.FullStateSource = true
		config.TicketWatchPause = 10 * time.Millisecond
		config.SourceFallbackRate = 2000
	}
}

// publishBaseline publishes a full configuration as the next ticket and returns
// its number. One of its routes differs from those of the ticket before.
func (s *source) publishBaseline(routes int) state.TicketNumber {
	number := state.TicketNumber(len(s.tickets) + 1)
	service := state.DefaultService("desk")
	service.SelfRegistered = true
	ticket := state.Ticket{Number: number, Baseline: true, Set: state.Resources{Services: []state.Service{service}}}
	for i := range routes {
		ticket.Set.Routes = append(ticket.Set.Routes, state.Route{
			Name:    state.RouteName(fmt.Sprintf("r-%07d", i)),
			Match:   state.Match{Host: "desk.example", PathPrefix: fmt.Sprintf("/pufi%04d/", i)},
			Service: service.Name, Timeout: time.Second, LatencyTarget: time.Second, Idempotent: true, MaxAttempts: 2,
		})
	}
	ticket.Set.Routes[0].Match.PathPrefix = fmt.Sprintf("/version%d/", number)
	s.tickets = append(s.tickets, ticket)
	s.notify()
	return number
}

// bytesPerSourceRoute is the size of a route in an answer of the source.
const bytesPerSourceRoute = 230

func sourceBytes(tickets []state.Ticket) int {
	size := 0
	for _, ticket := range tickets {
		size += bytesPerSourceRoute * len(ticket.Set.Routes)
	}
	return size
}
