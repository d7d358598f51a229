package control_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/coordination/control"
	"github.com/wasabiport/wasabiport/coordination/validation"
	"github.com/wasabiport/wasabiport/state"
)

// fullState returns a full configuration with a number of routes. The first one
// differs between versions.
func fullState(number state.TicketNumber, routes int) state.Ticket {
	desk := state.DefaultService("desk")
	desk.SelfRegistered = true
	ticket := state.Ticket{Number: number, Baseline: true, Set: state.Resources{Services: []state.Service{desk}}}
	for i := range routes {
		ticket.Set.Routes = append(ticket.Set.Routes, state.Route{
			Name: state.RouteName(fmt.Sprintf("route-%d", i)), Service: desk.Name, Timeout: time.Second,
			Match: state.Match{Host: "desk.example", PathPrefix: fmt.Sprintf("/route-%d/", i)},
		})
	}
	ticket.Set.Routes[0].Match.PathPrefix = fmt.Sprintf("/version-%d/", number)
	return ticket
}

func newFullStatePlane(name state.HostName, seed uint64) *control.Plane {
	config := control.Config{Self: state.Host{Name: name, Zone: "north"}, Incarnation: 1, FullStateSource: true}
	return control.NewPlane(config, state.NewSnapshotStore(1), rand.New(rand.NewPCG(seed, 1)))
}

// Guards against a baseline that is evaluated once to decide whether it may skip
// earlier tickets, and again to put it in force.
func TestBaselineIsEvaluatedOnce(t *testing.T) {
	ticket := fullState(5, 500)
	once := testing.AllocsPerRun(5, func() { validation.Evaluate(state.EmptySnapshot(), ticket) })
	inForce := testing.AllocsPerRun(5, func() { newFullStatePlane("self", 1).HandleTickets(start, []state.Ticket{ticket}) })
	idle := testing.AllocsPerRun(5, func() { newFullStatePlane("self", 1) })
	require.Less(t, inForce-idle, 1.5*once)
}
