package control

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/coordination/sourcereading"
	"github.com/wasabiport/wasabiport/state"
)

func listOf(version uint64, names ...state.BackendServerName) state.HostList {
	list := state.HostList{Version: version}
	for _, name := range names {
		list.Registered = append(list.Registered, state.BackendServer{Name: name, Host: state.HostName(name)})
		list.Hosts = append(list.Hosts, state.Host{Name: state.HostName(name)})
	}
	return list
}

func namesOf(list state.HostList) []state.BackendServerName {
	var names []state.BackendServerName
	for _, server := range list.Registered {
		names = append(names, server.Name)
	}
	return names
}

func TestRegistrationsThatLapsedAreKeptForTheGrace(t *testing.T) {
	now := time.Unix(1000, 0)
	lapses := newLapses(2 * time.Second)
	known := listOf(7, "a", "b")
	lapses.failed()

	kept, doubtful := lapses.answered(now, known, listOf(9, "b"))
	require.True(t, doubtful)
	require.ElementsMatch(t, []state.BackendServerName{"a", "b"}, namesOf(kept))
	require.Len(t, kept.Hosts, 2)
	require.Equal(t, uint64(8), kept.Version, "older than what the source has")
	at, due := lapses.recheck()
	require.True(t, due)
	require.Equal(t, now.Add(2*time.Second), at)

	gone, _ := lapses.answered(at, kept, listOf(9, "b"))
	require.Equal(t, []state.BackendServerName{"b"}, namesOf(gone), "still missing is gone")
	require.Equal(t, uint64(9), gone.Version)
	_, due = lapses.recheck()
	require.False(t, due)
}

func TestRegistrationThatGoesWhileTheSourceAnswersIsGone(t *testing.T) {
	lapses := newLapses(2 * time.Second)
	now := time.Unix(1000, 0)
	gone, _ := lapses.answered(now, listOf(7, "a", "b"), listOf(9, "b"))
	require.Equal(t, []state.BackendServerName{"b"}, namesOf(gone))

	lapses.failed()
	known := listOf(9, "a", "b", "c")
	kept, _ := lapses.answered(now, known, listOf(10, "a", "b"))
	require.ElementsMatch(t, []state.BackendServerName{"a", "b", "c"}, namesOf(kept))
	left, _ := lapses.answered(now.Add(time.Second), kept, listOf(11, "b"))
	require.ElementsMatch(t, []state.BackendServerName{"b", "c"}, namesOf(left), "a was there when the source came back")
	back, _ := lapses.answered(now.Add(time.Second), left, listOf(12, "b", "c"))
	require.ElementsMatch(t, []state.BackendServerName{"b", "c"}, namesOf(back))
	again, _ := lapses.answered(now.Add(time.Second), back, listOf(13, "b"))
	require.Equal(t, []state.BackendServerName{"b"}, namesOf(again), "c had come back and has left")
}

func newWholePlane(name state.HostName) *Plane {
	config := Config{Self: state.Host{Name: name, Zone: "north"}, FullStateSource: true}
	return NewPlane(config, state.NewSnapshotStore(1), rand.New(rand.NewPCG(1, 2)))
}

func registeredAt(plane *Plane) int { return len(plane.snapshots.Load().Registry().Servers()) }

// TestKeptRegistrationsStayWithTheNodeThatKeepsThem has a node come back to the
// source while a backend server leaves: its peers, which know better, must not
// take the backend server up again.
func TestKeptRegistrationsStayWithTheNodeThatKeepsThem(t *testing.T) {
	now := time.Unix(1000, 0)
	plane := newWholePlane("self")
	plane.HandleHostList(now, listOf(7, "a", "b"))
	now = now.Add(5 * time.Second)
	plane.HandleHostListReadFailure(now)
	plane.HandleHostList(now, listOf(9, "b"))
	require.Equal(t, 2, registeredAt(plane), "kept here")
	require.Zero(t, plane.offer(now).HostListVersion)
	output := plane.Receive(now, "peer", HostListRequest{Have: 8})
	require.Empty(t, output.Messages)

	later := now.Add(3 * time.Second)
	plane.HandleHostList(later, listOf(9, "b"))
	require.Equal(t, 1, registeredAt(plane))
	require.Equal(t, uint64(9), plane.offer(later).HostListVersion)
}

// TestPeerThatHeardTheSourceSettlesWhatIsGone has a node that alone was turned
// away by the source come back to it.
func TestPeerThatHeardTheSourceSettlesWhatIsGone(t *testing.T) {
	now := time.Unix(1000, 0)
	plane := newWholePlane("self")
	plane.HandleHostList(now, listOf(7, "a", "b"))
	now = now.Add(5 * time.Second)
	plane.Connected(now, "peer")
	plane.HandleHostListReadFailure(now)
	output := plane.HandleHostList(now, listOf(9, "b"))
	require.Contains(t, output.Messages, Envelope{To: "peer", Message: HostListRequest{}})
	plane.Receive(now, "peer", HostList{List: listOf(8, "b")})
	read := plane.NextHostListRead(now)
	require.Equal(t, now, read.At)
	require.False(t, read.Watch)
	plane.HandleHostList(now, listOf(9, "b"))
	require.Equal(t, 1, registeredAt(plane))
}

// TestWatchEndsWhenWhatLapsedIsDue has a watch that must not outlast the grace.
func TestWatchEndsWhenWhatLapsedIsDue(t *testing.T) {
	now := time.Unix(1000, 0)
	plane := newWholePlane("self")
	plane.HandleHostList(now, listOf(7, "a", "b"))
	plane.HandleHostListReadFailure(now)
	plane.HandleHostList(now, listOf(9, "b"))
	read := plane.NextHostListRead(now)
	require.True(t, read.At.Before(now.Add(2*time.Second)))
	require.Equal(t, now.Add(2*time.Second), read.WatchUntil)
}

// TestStartingNodeOffersNoHostList has a node start when registrations may have
// lapsed: what it lacks proves nothing to its peers.
func TestStartingNodeOffersNoHostList(t *testing.T) {
	now := time.Unix(1000, 0)
	plane := newWholePlane("self")
	plane.HandleHostList(now, listOf(7, "b"))
	require.Zero(t, plane.offer(now).HostListVersion)
	later := now.Add(2 * time.Second)
	require.Equal(t, uint64(7), plane.offer(later).HostListVersion)
}

func TestPeerWithoutAHostListConfirmsNone(t *testing.T) {
	now := time.Unix(1000, 0)
	plane := newWholePlane("self")
	before := plane.NextHostListRead(now).At
	plane.Receive(now, "peer", Offer{HostListAge: time.Second})
	require.Equal(t, before, plane.NextHostListRead(now).At, "this node still has to read")
}

func TestWholeSourceThatConfirmsWhatIsKnownIsNotOld(t *testing.T) {
	tickets := []state.Ticket{{Number: 12, Baseline: true}}
	require.Equal(t, sourcereading.AnswerUnchanged, classifyTickets(tickets, 12, 12))
	require.Equal(t, sourcereading.AnswerStale, classifyTickets(tickets, 13, 13))
	require.Equal(t, sourcereading.AnswerNewer, classifyTickets(tickets, 11, 12))
}
