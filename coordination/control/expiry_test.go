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

func TestExpiredRegistrationsAreRetainedForGracePeriod(t *testing.T) {
	now := time.Unix(1000, 0)
	expired := newExpiredServers(2 * time.Second)
	known := listOf(7, "a", "b")
	expired.recordReadFailure(now)

	retained, uncertain := expired.reconcile(now, known, listOf(9, "b"))
	require.True(t, uncertain)
	require.ElementsMatch(t, []state.BackendServerName{"a", "b"}, namesOf(retained))
	require.Len(t, retained.Hosts, 2)
	require.Equal(t, uint64(8), retained.Version, "lower than the version of the source")
	at, due := expired.recheckTime()
	require.True(t, due)
	require.Equal(t, now.Add(2*time.Second), at)

	afterGrace, _ := expired.reconcile(at, retained, listOf(9, "b"))
	require.Equal(t, []state.BackendServerName{"b"}, namesOf(afterGrace), "still missing after the grace period")
	require.Equal(t, uint64(9), afterGrace.Version)
	_, due = expired.recheckTime()
	require.False(t, due)
}

func TestRemovalWhileSourceAnswersIsAppliedAtOnce(t *testing.T) {
	expired := newExpiredServers(2 * time.Second)
	now := time.Unix(1000, 0)
	remaining, _ := expired.reconcile(now, listOf(7, "a", "b"), listOf(9, "b"))
	require.Equal(t, []state.BackendServerName{"b"}, namesOf(remaining))

	expired.recordReadFailure(now)
	known := listOf(9, "a", "b", "c")
	retained, _ := expired.reconcile(now, known, listOf(10, "a", "b"))
	require.ElementsMatch(t, []state.BackendServerName{"a", "b", "c"}, namesOf(retained))
	afterRemoval, _ := expired.reconcile(now.Add(time.Second), retained, listOf(11, "b"))
	require.ElementsMatch(t, []state.BackendServerName{"b", "c"}, namesOf(afterRemoval), "a was listed when the source answered again")
	afterReturn, _ := expired.reconcile(now.Add(time.Second), afterRemoval, listOf(12, "b", "c"))
	require.ElementsMatch(t, []state.BackendServerName{"b", "c"}, namesOf(afterReturn))
	afterSecondRemoval, _ := expired.reconcile(now.Add(time.Second), afterReturn, listOf(13, "b"))
	require.Equal(t, []state.BackendServerName{"b"}, namesOf(afterSecondRemoval), "c registered again and then unregistered")
}

func newFullStatePlane(name state.HostName) *Plane {
	config := Config{Self: state.Host{Name: name, Zone: "north"}, FullStateSource: true}
	return NewPlane(config, state.NewSnapshotStore(1), rand.New(rand.NewPCG(1, 2)))
}

func registeredCount(plane *Plane) int { return len(plane.snapshots.Load().Registry().Servers()) }

// TestRetainedRegistrationsAreNotSentToPeers reads the source after an outage
// during which a backend server has unregistered. The node still retains the
// server, but peers with a correct list must not get it back from this node.
func TestRetainedRegistrationsAreNotSentToPeers(t *testing.T) {
	now := time.Unix(1000, 0)
	plane := newFullStatePlane("self")
	plane.HandleHostList(now, listOf(7, "a", "b"))
	now = now.Add(5 * time.Second)
	plane.HandleHostListReadFailure(now)
	plane.HandleHostList(now, listOf(9, "b"))
	require.Equal(t, 2, registeredCount(plane), "retained locally")
	require.Zero(t, plane.offer(now).HostListVersion)
	output := plane.Receive(now, "peer", HostListRequest{Have: 8})
	require.Empty(t, output.Messages)

	later := now.Add(3 * time.Second)
	plane.HandleHostList(later, listOf(9, "b"))
	require.Equal(t, 1, registeredCount(plane))
	require.Equal(t, uint64(9), plane.offer(later).HostListVersion)
}

// TestPeerListEndsRetention covers an outage of the source that only the local
// node has seen. The list of a peer shows which backend servers are gone, and
// the node must read the source again at once.
func TestPeerListEndsRetention(t *testing.T) {
	now := time.Unix(1000, 0)
	plane := newFullStatePlane("self")
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
	require.Equal(t, 1, registeredCount(plane))
}

// TestPeerConfirmationEndsOutage covers a node that was refused by the source, then
// received the list from peers, and later reads the source itself. A backend server
// that has left since must not be kept for the grace period.
func TestPeerConfirmationEndsOutage(t *testing.T) {
	now := time.Unix(1000, 0)
	plane := newFullStatePlane("self")
	list := listOf(7, "a", "b")
	plane.HandleHostList(now, list)
	now = now.Add(5 * time.Second)
	plane.Connected(now, "peer")
	plane.HandleHostListReadFailure(now)
	now = now.Add(5 * time.Second)
	plane.Receive(now, "peer", Offer{HostListVersion: 8, HostListDigest: list.Digest(), HostListAge: time.Second})
	now = now.Add(5 * time.Second)
	plane.HandleHostList(now, listOf(9, "b"))
	require.Equal(t, 1, registeredCount(plane))
}

// TestSameListOfLaterVersionIsNotTransferred covers the list of a node that has read
// the source later and found nothing else. It guards against a transfer of the whole
// list to each node whenever one starts.
func TestSameListOfLaterVersionIsNotTransferred(t *testing.T) {
	now := time.Unix(1000, 0)
	plane := newFullStatePlane("self")
	list := listOf(7, "a", "b")
	plane.HandleHostList(now, list)
	plane.Connected(now, "peer")
	now = now.Add(5 * time.Second)
	offer := Offer{HostListVersion: 9, HostListDigest: list.Digest(), HostListAge: time.Second}
	output := plane.Receive(now, "peer", offer)
	for _, message := range output.Messages {
		_, requested := message.Message.(HostListRequest)
		require.False(t, requested)
	}
	require.Equal(t, uint64(9), plane.offer(now).HostListVersion, "the local list is valid as of the later version")
	age, known := plane.HostListStaleness(now)
	require.True(t, known)
	require.Equal(t, time.Second, age)
}

// TestChangesOfRegistrationsArePushed guards against whole lists that go from node
// to node for each change of one backend server.
func TestChangesOfRegistrationsArePushed(t *testing.T) {
	now := time.Unix(1000, 0)
	reader, other := newFullStatePlane("reader"), newFullStatePlane("other")
	for _, plane := range []*Plane{reader, other} {
		plane.HandleHostList(now, listOf(7, "a", "b", "c"))
		plane.Connected(now, "reader")
		plane.Connected(now, "other")
	}
	now = now.Add(5 * time.Second)
	output := reader.HandleHostList(now, listOf(9, "a", "c"))
	var pushed []Message
	for _, message := range output.Messages {
		if message.To == "other" {
			pushed = append(pushed, message.Message)
		}
	}
	require.Len(t, pushed, 1)
	require.IsType(t, HostListChanges{}, pushed[0])
	other.Receive(now, "reader", pushed[0])
	require.Equal(t, 2, registeredCount(other))
}

// TestWatchEndsAtRegistrationRecheck checks that a watch ends with the grace
// period. A longer watch would keep unregistered backend servers in force.
func TestWatchEndsAtRegistrationRecheck(t *testing.T) {
	now := time.Unix(1000, 0)
	plane := newFullStatePlane("b")
	plane.HandleHostList(now, listOf(7, "a", "b"))
	plane.HandleHostListReadFailure(now)
	plane.HandleHostList(now, listOf(9, "b"))
	read := plane.NextHostListRead(now)
	require.True(t, read.At.Before(now.Add(2*time.Second)))
	require.Equal(t, now.Add(2*time.Second), read.WatchUntil)
}

// TestStartingNodeOffersNoHostList starts a node while registrations may have
// expired. Its list may be incomplete, so it must not be offered to peers
// before the grace period ends.
func TestStartingNodeOffersNoHostList(t *testing.T) {
	now := time.Unix(1000, 0)
	plane := newFullStatePlane("self")
	plane.HandleHostList(now, listOf(7, "b"))
	require.Zero(t, plane.offer(now).HostListVersion)
	later := now.Add(2 * time.Second)
	require.Equal(t, uint64(7), plane.offer(later).HostListVersion)
}

func TestPeerWithoutHostListConfirmsNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	plane := newFullStatePlane("self")
	before := plane.NextHostListRead(now).At
	plane.Receive(now, "peer", Offer{HostListAge: time.Second})
	require.Equal(t, before, plane.NextHostListRead(now).At, "the offer confirms nothing, so the next read is not postponed")
}

func TestUnchangedFullStateAnswerIsNotStale(t *testing.T) {
	tickets := []state.Ticket{{Number: 12, Baseline: true}}
	require.Equal(t, sourcereading.AnswerUnchanged, classifyTickets(tickets, 12, 12))
	require.Equal(t, sourcereading.AnswerStale, classifyTickets(tickets, 13, 13))
	require.Equal(t, sourcereading.AnswerNewer, classifyTickets(tickets, 11, 12))
}
