package control_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/wasabiport/wasabiport/coordination/control"
	"github.com/wasabiport/wasabiport/coordination/validation"
	"github.com/wasabiport/wasabiport/state"
)

// planePair is two connected planes that read a source with full configurations.
type planePair struct {
	planes map[state.HostName]*control.Plane
	// sent holds the delivered messages by type.
	sent map[string]int
}

func newPlanePair() *planePair {
	pair := &planePair{sent: make(map[string]int), planes: map[state.HostName]*control.Plane{
		"a": newFullStatePlane("a", 1),
		"b": newFullStatePlane("b", 2),
	}}
	pair.deliver("a", pair.planes["a"].Connected(start, "b"))
	pair.deliver("b", pair.planes["b"].Connected(start, "a"))
	return pair
}

// deliver delivers the messages of an output, and those that they cause.
func (p *planePair) deliver(from state.HostName, output control.Output) {
	for _, envelope := range output.Messages {
		p.sent[fmt.Sprintf("%T", envelope.Message)]++
		p.deliver(envelope.To, p.planes[envelope.To].Receive(start, from, envelope.Message))
	}
}

func (p *planePair) read(name state.HostName, ticket state.Ticket) {
	p.deliver(name, p.planes[name].HandleTickets(start, []state.Ticket{ticket}))
}

func (p *planePair) requireEqualVersions(t require.TestingT, number state.TicketNumber) {
	require.Equal(t, number, p.planes["a"].Version().Accepted)
	require.Equal(t, p.planes["a"].Version(), p.planes["b"].Version())
}

func TestPeerReceivesDifferenceInPlaceOfFullConfiguration(t *testing.T) {
	pair := newPlanePair()
	pair.read("a", fullState(3, 2000))
	pair.requireEqualVersions(t, 3)
	clear(pair.sent)
	pair.read("a", fullState(8, 2000))
	pair.requireEqualVersions(t, 8)
	require.Equal(t, map[string]int{"control.SnapshotDiff": 1}, pair.sent)
}

func TestLargeDifferenceIsRequestedOnce(t *testing.T) {
	pair := newPlanePair()
	pair.read("a", fullState(3, 1000))
	clear(pair.sent)
	pair.read("a", fullState(4, 3000))
	pair.requireEqualVersions(t, 4)
	require.Equal(t, map[string]int{
		"control.Offer": 1, "control.TicketsRequest": 1, "control.SnapshotDiff": 1,
	}, pair.sent)
}

// Guards against a node that waits for the source while a peer already has a
// version, until the source has sent it as a whole over a slow link.
func TestWatchingNodeRequestsLargeDifferenceAtOnce(t *testing.T) {
	pair := newPlanePair()
	hosts := state.HostList{Version: 1, Hosts: []state.Host{{Name: "a", Zone: "north"}, {Name: "b", Zone: "north"}}}
	for name, plane := range pair.planes {
		pair.deliver(name, plane.HandleHostList(start, hosts))
		require.True(t, plane.NextTicketsRead(start).Watch)
	}
	pair.read("a", fullState(3, 1000))
	pair.read("b", fullState(3, 1000))
	pair.read("a", fullState(4, 3000))
	pair.requireEqualVersions(t, 4)
}

func TestPeerThatMissedDifferencesReceivesThemInOne(t *testing.T) {
	pair := newPlanePair()
	pair.read("a", fullState(1, 100))
	for number := range state.TicketNumber(5) {
		pair.planes["a"].HandleTickets(start, []state.Ticket{fullState(number+2, 100)})
	}
	clear(pair.sent)
	pair.read("a", fullState(9, 100))
	pair.requireEqualVersions(t, 9)
	require.Equal(t, map[string]int{"control.SnapshotDiff": 2, "control.TicketsRequest": 1}, pair.sent)
}

// The peer has read a version that the sender has not, with a route that the
// difference does not remove.
func TestDifferenceThatDoesNotFitIsReplacedBySnapshot(t *testing.T) {
	pair := newPlanePair()
	pair.read("a", fullState(1, 100))
	pair.planes["b"].HandleTickets(start, []state.Ticket{fullState(2, 101)})
	clear(pair.sent)
	pair.read("a", fullState(3, 100))
	pair.requireEqualVersions(t, 3)
	require.Equal(t, 1, pair.sent["control.Snapshot"])
}

// Guards against a difference that was damaged on its way, or comes from a faulty
// peer, and is put in force.
func TestDifferenceThatDoesNotMatchItsDigestIsNotApplied(t *testing.T) {
	before, after := inForce(t, fullState(1, 3)), inForce(t, fullState(2, 4))
	damages := map[string]func(*state.SnapshotDiff){
		"changed": func(d *state.SnapshotDiff) { d.Set.Routes[0].Timeout++ },
		"missing": func(d *state.SnapshotDiff) { d.Set.Routes = d.Set.Routes[1:] },
		"removed": func(d *state.SnapshotDiff) { d.Remove.Routes = append(d.Remove.Routes, "route-2") },
		"number":  func(d *state.SnapshotDiff) { d.Version.Evaluated++ },
	}
	for name, damage := range damages {
		t.Run(name, func(t *testing.T) {
			plane := newFullStatePlane("a", 1)
			plane.HandleTickets(start, []state.Ticket{fullState(1, 3)})
			plane.Connected(start, "b")
			diff := state.Diff(before, after)
			damage(&diff)
			output := plane.Receive(start, "b", control.SnapshotDiff{Diff: diff})
			require.Equal(t, before.Version(), plane.Version())
			require.Equal(t, []control.Envelope{{To: "b", Message: control.TicketsRequest{After: 1, Whole: true}}}, output.Messages)
		})
	}
}

// A faulty peer may send an inconsistent configuration with its true digest.
func TestInconsistentDifferenceIsRejected(t *testing.T) {
	plane := newFullStatePlane("a", 1)
	plane.HandleTickets(start, []state.Ticket{fullState(1, 3)})
	before := inForce(t, fullState(1, 3))
	builder := state.NewSnapshotBuilder(before)
	builder.Set(state.Resources{Routes: []state.Route{{Name: "orphan", Service: "none", Timeout: 1, Match: state.Match{PathPrefix: "/"}}}})
	diff := state.Diff(before, builder.Build(2, 2))
	output := plane.Receive(start, "b", control.SnapshotDiff{Diff: diff})
	require.Equal(t, before.Version(), plane.Version())
	require.IsType(t, control.SnapshotRejected{}, output.Events[0])
}

// inForce returns the configuration that a ticket leads to.
func inForce(t *testing.T, ticket state.Ticket) *state.Snapshot {
	after, verdict := validation.Evaluate(state.EmptySnapshot(), ticket)
	require.True(t, verdict.Accepted())
	return after
}

func TestNodeOfEarlierReleaseReceivesSnapshots(t *testing.T) {
	plane := newFullStatePlane("a", 1)
	plane.HandleTickets(start, []state.Ticket{fullState(1, 100)})
	plane.Connected(start, "old")
	old := control.Offer{Version: plane.Version(), Incarnation: 1, Heartbeat: 1}
	plane.Receive(start, "old", old)
	output := plane.HandleTickets(start, []state.Ticket{fullState(2, 100)})
	require.Len(t, output.Messages, 1)
	require.IsType(t, control.Offer{}, output.Messages[0].Message)
	output = plane.Receive(start, "old", control.TicketsRequest{After: 1})
	require.Len(t, output.Messages, 1)
	require.IsType(t, control.Snapshot{}, output.Messages[0].Message)
}

// TestDifferencesInAnyOrderLeadToTheNewestVersion reads versions at two planes,
// some at both, and loses messages.
func TestDifferencesInAnyOrderLeadToTheNewestVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pair := newPlanePair()
		names := []state.HostName{"a", "b"}
		last := state.TicketNumber(30)
		for number := state.TicketNumber(1); number <= last; number++ {
			ticket := fullState(number, rapid.IntRange(1, 5).Draw(t, "routes"))
			for _, name := range names {
				before := pair.planes[name].Version().Evaluated
				switch rapid.IntRange(0, 3).Draw(t, "step") {
				case 0:
					pair.read(name, ticket)
				case 1:
					pair.planes[name].HandleTickets(start, []state.Ticket{ticket})
				default:
				}
				require.GreaterOrEqual(t, pair.planes[name].Version().Evaluated, before)
			}
		}
		pair.read("a", fullState(last+1, 3))
		pair.requireEqualVersions(t, last+1)
	})
}
