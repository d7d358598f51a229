package peerwire_test

import (
	"fmt"
	"time"

	"github.com/wasabiport/wasabiport/coordination/control"
	"github.com/wasabiport/wasabiport/state"
)

// The values that are read from the source.
const (
	readTickets = iota
	readHosts
)

// source stands in for the platform: tickets and the host list, which can be
// read and watched.
type source struct {
	x       *exchange
	tickets []state.Ticket
	list    state.HostList
	// reachable says which hosts get answers.
	reachable func(host state.Host) bool
	// visible bounds the tickets that are shown, when it is not 0.
	visible int
	// repeating has the source show its tickets whatever was asked for.
	repeating bool
	// oldest is the number of the first ticket that is still kept.
	oldest  int
	waiting []*watch
	// reads counts calls by the second in which they were made.
	reads map[int64]int
	total int
}

type watch struct {
	answer func()
	done   bool
}

func newSource(x *exchange) *source {
	return &source{x: x, reachable: func(state.Host) bool { return true }, reads: make(map[int64]int)}
}

// peak returns the largest number of reads in one second since a time.
func (s *source) peak(since time.Time) int {
	peak := 0
	for second, reads := range s.reads {
		if second >= since.Unix() {
			peak = max(peak, reads)
		}
	}
	return peak
}

// file publishes the next ticket.
func (s *source) file() state.TicketNumber {
	number := state.TicketNumber(len(s.tickets) + 1)
	s.tickets = append(s.tickets, changeTicket(number))
	s.notify()
	return number
}

// changeTicket is a usual change: one backend server gets a new address.
func changeTicket(number state.TicketNumber) state.Ticket {
	service := state.ServiceName(fmt.Sprintf("service-%d", number%10))
	return state.Ticket{Number: number, Set: state.Resources{
		Services: []state.Service{{Name: service}},
		BackendServers: []state.BackendServer{{
			Name: state.BackendServerName(service), Service: service, Host: "host", Zone: "zone-0",
			Address: fmt.Sprintf("10.1.0.%d:80", number%250), Slots: 6, Connections: 100,
		}},
		Routes: []state.Route{{
			Name: state.RouteName(service), Service: service,
			Match: state.Match{PathPrefix: "/" + string(service)}, Timeout: time.Second,
		}},
	}}
}

// setList publishes a change of the host list.
func (s *source) setList(change func(hosts []state.Host) []state.Host) {
	s.list = state.HostList{Version: s.list.Version + 1, Hosts: change(append([]state.Host(nil), s.list.Hosts...))}
	s.notify()
}

func (s *source) notify() {
	waiting := s.waiting
	s.waiting = nil
	for _, w := range waiting {
		w.answer()
	}
}

func (s *source) after(number state.TicketNumber) []state.Ticket {
	shown := s.tickets
	if s.visible > 0 {
		shown = shown[:min(s.visible, len(shown))]
	}
	first := max(int(number), s.oldest-1)
	if s.repeating {
		first = 0
	}
	return shown[min(first, len(shown)):]
}

// read makes the reads of a node that are due.
func (x *exchange) read(n *node) {
	tickets := n.plane.NextTicketsRead(x.now)
	x.readOne(n, readTickets, tickets.At, tickets.Watch,
		func() bool { return len(x.source.after(tickets.After)) > 0 },
		func() control.Output { return n.plane.HandleTickets(x.now, x.source.after(tickets.After)) },
		func() control.Output { return n.plane.HandleTicketsReadFailure(x.now) })
	hosts := n.plane.NextHostListRead(x.now)
	x.readOne(n, readHosts, hosts.At, hosts.Watch,
		func() bool { return x.source.list.Version > hosts.After },
		func() control.Output { return n.plane.HandleHostList(x.now, x.source.list) },
		func() control.Output { return n.plane.HandleHostListReadFailure(x.now) })
}

func (x *exchange) readOne(
	n *node, kind int, at time.Time, watching bool,
	hasNews func() bool, answered, failed func() control.Output,
) {
	if n.reading[kind] {
		return
	}
	if at.After(x.now) {
		x.wake(n, at)
		return
	}
	s := x.source
	s.reads[x.now.Unix()]++
	s.total++
	n.reading[kind] = true
	life := n.life
	finish := func(output func() control.Output) {
		x.after(hopDelay, func() {
			if n.life != life {
				return
			}
			x.act(n, func() {
				n.reading[kind] = false
				x.carryOut(n, output())
			})
		})
	}
	if !s.reachable(n.host) {
		finish(failed)
		return
	}
	if hasNews() || !watching {
		finish(answered)
		return
	}
	w := &watch{}
	w.answer = func() {
		if w.done {
			return
		}
		w.done = true
		if !s.reachable(n.host) {
			finish(failed)
			return
		}
		finish(answered)
	}
	s.waiting = append(s.waiting, w)
	x.after(watchWait, w.answer)
}
