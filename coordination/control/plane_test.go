package control_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/wasabiport/wasabiport/coordination/control"
	"github.com/wasabiport/wasabiport/state"
)

var start = time.Unix(1_700_000_000, 0)

func newPlane(seed uint64) (*control.Plane, *state.SnapshotStore) {
	snapshots := state.NewSnapshotStore(4)
	config := control.Config{Self: state.Host{Name: "self", Zone: "north"}, Incarnation: 1}
	return control.NewPlane(config, snapshots, rand.New(rand.NewPCG(seed, 1))), snapshots
}

// ticketOf returns a ticket that, depending on its number, sets one service
// with a backend server and a route, removes an earlier one, or is invalid.
func ticketOf(number state.TicketNumber) state.Ticket {
	name := fmt.Sprintf("service-%d", number%5)
	ticket := state.Ticket{Number: number, Baseline: number%17 == 0}
	switch number % 7 {
	case 3:
		ticket.Remove = state.Removals{
			Routes:         []state.RouteName{state.RouteName(name)},
			Services:       []state.ServiceName{state.ServiceName(name)},
			BackendServers: []state.BackendServerName{state.BackendServerName(name)},
		}
		ticket.Baseline = false
	case 5:
		ticket.Set.Routes = []state.Route{{Name: "orphan", Service: "none", Match: state.Match{PathPrefix: "/"}, Timeout: time.Second}}
	default:
		ticket.Set = state.Resources{
			Services: []state.Service{{Name: state.ServiceName(name)}},
			BackendServers: []state.BackendServer{{
				Name: state.BackendServerName(name), Service: state.ServiceName(name), Host: "host", Zone: "north",
				Address: fmt.Sprintf("10.0.0.%d:80", number%200), Slots: 6, Connections: 100,
			}},
			Routes: []state.Route{{
				Name: state.RouteName(name), Service: state.ServiceName(name),
				Match: state.Match{PathPrefix: "/" + name}, Timeout: time.Second,
			}},
		}
	}
	return ticket
}

func inOrder(count state.TicketNumber) *state.Snapshot {
	plane, snapshots := newPlane(1)
	for number := state.TicketNumber(1); number <= count; number++ {
		plane.HandleTickets(start, []state.Ticket{ticketOf(number)})
	}
	return snapshots.Load()
}

// TestAnyDeliveryOrderYieldsSameDigest delivers tickets in any order, in
// batches and repeatedly, from the source and from peers, mixed with the
// snapshots of other nodes. It guards against a configuration that depends on
// the order of delivery.
func TestAnyDeliveryOrderYieldsSameDigest(t *testing.T) {
	const count = 40
	want := inOrder(count)
	rapid.Check(t, func(t *rapid.T) {
		plane, snapshots := newPlane(1)
		var order []state.TicketNumber
		for number := state.TicketNumber(1); number <= count; number++ {
			order = append(order, number)
		}
		order = append(rapid.Permutation(order).Draw(t, "order"), rapid.Permutation(order).Draw(t, "again")...)
		newest := state.TicketNumber(0)
		for len(order) > 0 {
			size := rapid.IntRange(1, min(5, len(order))).Draw(t, "batch")
			var batch []state.Ticket
			for _, number := range order[:size] {
				batch = append(batch, ticketOf(number))
			}
			order = order[size:]
			switch rapid.IntRange(0, 5).Draw(t, "from") {
			case 0:
				plane.HandleTickets(start, batch)
			case 1:
				other := inOrder(rapid.SampledFrom(batch).Draw(t, "snapshot").Number)
				plane.Receive(start, "other", control.Snapshot{Snapshot: other, Digest: other.Digest()})
				plane.Receive(start, "peer", control.Tickets{Tickets: batch})
			default:
				plane.Receive(start, "peer", control.Tickets{Tickets: batch})
			}
			now := snapshots.Load()
			require.GreaterOrEqual(t, now.Evaluated(), newest, "the version never decreases")
			newest = now.Evaluated()
			requireRoutesServed(t, now)
		}
		require.Equal(t, want.Version(), snapshots.Load().Version())
	})
}

func requireRoutesServed(t require.TestingT, snapshot *state.Snapshot) {
	for _, route := range snapshot.Resources().Routes {
		require.NotEmpty(t, snapshot.BackendServersOf(route.Service), route.Name)
	}
}

func TestGapBlocksEvaluationAndIsReported(t *testing.T) {
	plane, _ := newPlane(1)
	plane.Connected(start, "peer")
	plane.HandleTickets(start, []state.Ticket{ticketOf(1)})
	output := plane.Receive(start, "peer", control.Tickets{Tickets: []state.Ticket{ticketOf(4), ticketOf(3)}})
	require.Empty(t, output.Verdicts)
	require.Contains(t, output.Events, control.TicketGap{Evaluated: 1, Next: 3})
	require.Contains(t, output.Messages, control.Envelope{To: "peer", Message: control.TicketsRequest{After: 1}})
	later := start.Add(time.Hour)
	plane.Tick(later)
	require.Equal(t, state.TicketNumber(1), plane.Version().Evaluated, "a missing ticket is never skipped")
	output = plane.Receive(later, "peer", control.Tickets{Tickets: []state.Ticket{ticketOf(2)}})
	require.Len(t, output.Verdicts, 3)
	require.Equal(t, state.TicketNumber(4), plane.Version().Evaluated)
}

func TestLaggingNodeRequestsTicketsUntilCaughtUp(t *testing.T) {
	plane, _ := newPlane(1)
	plane.Connected(start, "peer")
	offer := control.Offer{Version: inOrder(6).Version(), Incarnation: 1, Heartbeat: 1}
	output := plane.Receive(start, "peer", offer)
	require.Equal(t, []control.Envelope{{To: "peer", Message: control.TicketsRequest{After: 0}}}, output.Messages)
	require.Empty(t, plane.Receive(start, "peer", offer).Messages, "one request at a time")
	var batch []state.Ticket
	for number := state.TicketNumber(1); number <= 4; number++ {
		batch = append(batch, ticketOf(number))
	}
	output = plane.Receive(start, "peer", control.Tickets{Tickets: batch})
	require.Equal(t, []control.Envelope{{To: "peer", Message: control.TicketsRequest{After: 4}}}, output.Messages)
	output = plane.Receive(start, "peer", control.Tickets{Tickets: []state.Ticket{ticketOf(5), ticketOf(6)}})
	require.Empty(t, output.Messages)
}

func TestInvalidSnapshotIsRejected(t *testing.T) {
	good := inOrder(4)
	builder := state.NewSnapshotBuilder(nil)
	builder.Set(state.Resources{Routes: ticketOf(5).Set.Routes})
	inconsistent := builder.Build(9, 9)
	tests := []struct {
		name    string
		message control.Snapshot
	}{
		{"other digest", control.Snapshot{Snapshot: good, Digest: good.Digest() + 1}},
		{"route without service", control.Snapshot{Snapshot: inconsistent, Digest: inconsistent.Digest()}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			plane, _ := newPlane(1)
			output := plane.Receive(start, "peer", test.message)
			require.Zero(t, plane.Version().Evaluated)
			require.Len(t, output.Events, 1)
			require.IsType(t, control.SnapshotRejected{}, output.Events[0])
		})
	}
}

func TestJoinerBehindTicketLogGetsSnapshot(t *testing.T) {
	plane, snapshots := newPlane(1)
	plane.Connected(start, "joiner")
	for number := state.TicketNumber(1); number <= 1000; number++ {
		plane.HandleTickets(start, []state.Ticket{ticketOf(number)})
	}
	latest := snapshots.Load()
	output := plane.Receive(start, "joiner", control.TicketsRequest{After: 0})
	require.Equal(t, []control.Envelope{{To: "joiner", Message: control.Snapshot{Snapshot: latest, Digest: latest.Digest()}}}, output.Messages)
	output = plane.Receive(start, "joiner", control.TicketsRequest{After: 998})
	require.Equal(t, []control.Envelope{
		{To: "joiner", Message: control.Tickets{Tickets: []state.Ticket{ticketOf(999), ticketOf(1000)}}},
	}, output.Messages)
}

func TestReadinessRequiresPeersOrTimeout(t *testing.T) {
	hosts := state.HostList{Version: 1}
	for i := range 5 {
		name := state.HostName(fmt.Sprintf("host-%d", i))
		hosts.Hosts = append(hosts.Hosts, state.Host{Name: name, Zone: "north"})
	}
	ready := func(plane *control.Plane, now time.Time) bool {
		ready, reason := plane.Ready(now)
		require.Equal(t, ready, reason == "")
		return ready
	}
	plane, _ := newPlane(1)
	plane.Tick(start)
	plane.HandleHostList(start, hosts)
	require.False(t, ready(plane, start), "no configuration")
	plane.HandleTickets(start, []state.Ticket{ticketOf(1)})
	require.False(t, ready(plane, start), "the source may be stale")
	for _, name := range []state.HostName{"host-0", "host-1"} {
		plane.Connected(start, name)
		plane.Receive(start, name, control.Offer{Version: state.Version{Evaluated: 2}, Incarnation: 1, Heartbeat: 1})
	}
	require.False(t, ready(plane, start), "peers have a newer version")
	plane.Receive(start, "host-0", control.Tickets{Tickets: []state.Ticket{ticketOf(2)}})
	require.True(t, ready(plane, start))

	isolated, _ := newPlane(1)
	isolated.Tick(start)
	isolated.HandleHostList(start, hosts)
	isolated.HandleTickets(start, []state.Ticket{ticketOf(1)})
	require.False(t, ready(isolated, start.Add(9*time.Second)))
	require.True(t, ready(isolated, start.Add(10*time.Second)), "the timeout has passed")
}

func TestResumedNodeWaitsForPeerBeforeServing(t *testing.T) {
	plane, _ := newPlane(1)
	hosts := state.HostList{Version: 1, Hosts: []state.Host{{Name: "self", Zone: "north"}, {Name: "peer", Zone: "north"}}}
	plane.HandleHostList(start, hosts)
	plane.Connected(start, "peer")
	plane.Receive(start, "peer", control.Offer{Incarnation: 1, Heartbeat: 1})
	plane.HandleTickets(start, []state.Ticket{ticketOf(1)})
	_, next := plane.Tick(start)
	ready, _ := plane.Ready(start)
	require.True(t, ready)

	resumed := next.Add(time.Minute)
	output, _ := plane.Tick(resumed)
	require.Contains(t, output.Events, control.Resumed{Delay: time.Minute})
	ready, reason := plane.Ready(resumed)
	require.False(t, ready, reason)
	require.Equal(t, state.HostLive, plane.PhaseOf("peer"), "the pause of the local node must not make peers suspect")
	requested := false
	for _, envelope := range output.Messages {
		offer, ok := envelope.Message.(control.Offer)
		requested = requested || ok && offer.Reply
	}
	require.True(t, requested)
	plane.Receive(resumed, "peer", control.Offer{Version: plane.Version(), Incarnation: 1, Heartbeat: 60})
	ready, reason = plane.Ready(resumed)
	require.True(t, ready, reason)
}
