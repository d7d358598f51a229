package control

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/state"
)

func listOf(version uint64, names ...state.BackendServerName) state.HostList {
	list := state.HostList{Version: version}
	for _, name := range names {
		list.Registered = append(list.Registered, state.BackendServer{Name: name})
		list.Hosts = append(list.Hosts, state.Host{Name: state.HostName(name)})
	}
	return list
}

func TestRegistrationsThatLapsedAreKeptForTheGrace(t *testing.T) {
	now := time.Unix(1000, 0)
	lapses := newLapses(2 * time.Second)
	known := listOf(7, "a", "b")
	lapses.failed()

	kept := lapses.answered(now, known, listOf(9, "b"))
	require.Len(t, kept.Registered, 2)
	require.Len(t, kept.Hosts, 2)
	require.Equal(t, uint64(9), kept.Version)
	at, due := lapses.recheckAt()
	require.True(t, due)
	require.Equal(t, now.Add(2*time.Second), at)

	gone := lapses.answered(at, kept, listOf(10, "b"))
	require.Len(t, gone.Registered, 1, "still missing is gone")
	_, due = lapses.recheckAt()
	require.False(t, due)
}

func TestRegistrationThatGoesWhileTheSourceAnswersIsGone(t *testing.T) {
	lapses := newLapses(2 * time.Second)
	gone := lapses.answered(time.Unix(1000, 0), listOf(7, "a", "b"), listOf(9, "b"))
	require.Len(t, gone.Registered, 1)
}

// TestKeptRegistrationsStayWithTheNodeThatKeepsThem has a node come back to the
// source while a backend server leaves: its peers, which know better, must not
// take the backend server up again.
func TestKeptRegistrationsStayWithTheNodeThatKeepsThem(t *testing.T) {
	now := time.Unix(1000, 0)
	config := Config{Self: state.Host{Name: "self", Zone: "north"}, WholeSource: true}
	plane := NewPlane(config, state.NewSnapshotStore(1), rand.New(rand.NewPCG(1, 2)))
	plane.HostListAnswered(now, listOf(7, "a", "b"))
	plane.HostListFailed(now)
	plane.HostListAnswered(now, listOf(9, "b"))
	require.Len(t, plane.snapshots.Load().Registry().Servers(), 2, "kept here")
	require.Zero(t, plane.offer(now).HostListVersion)
	output := plane.Receive(now, "peer", HostListRequest{Have: 8})
	require.Empty(t, output.Sends)

	later := now.Add(3 * time.Second)
	plane.HostListAnswered(later, listOf(10, "b"))
	require.Len(t, plane.snapshots.Load().Registry().Servers(), 1)
	require.Equal(t, uint64(10), plane.offer(later).HostListVersion)
}
