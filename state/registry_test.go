package state_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/state"
)

func selfRegisteredSnapshot(number state.TicketNumber) *state.Snapshot {
	builder := state.NewSnapshotBuilder(nil)
	builder.Set(state.Resources{Services: []state.Service{{Name: "desk", SelfRegistered: true, Connections: 110}}})
	return builder.Build(number, number)
}

func TestSwapKeepsRegistry(t *testing.T) {
	store := state.NewSnapshotStore(2)
	require.True(t, store.SwapRegistry(state.NewRegistry(7, []state.BackendServer{{Name: "a", Service: "desk"}})))
	require.True(t, store.Swap(selfRegisteredSnapshot(3)))
	require.True(t, store.Swap(selfRegisteredSnapshot(9)), "a baseline may skip ticket numbers")

	require.Len(t, store.Load().BackendServersOf("desk"), 1)
	server, ok := store.Load().BackendServer("a")
	require.True(t, ok)
	require.Equal(t, 110, server.Connections)
}

func TestSwapRegistryRejectsOlderVersions(t *testing.T) {
	store := state.NewSnapshotStore(2)
	require.True(t, store.Swap(selfRegisteredSnapshot(3)))
	require.True(t, store.SwapRegistry(state.NewRegistry(7, []state.BackendServer{{Name: "a", Service: "desk"}})))
	require.False(t, store.SwapRegistry(state.NewRegistry(7, nil)))
	require.False(t, store.SwapRegistry(state.NewRegistry(6, nil)))
	require.Len(t, store.Load().BackendServersOf("desk"), 1)
}

func TestRegisteredServerOfUnknownServiceIsIgnored(t *testing.T) {
	store := state.NewSnapshotStore(2)
	require.True(t, store.Swap(selfRegisteredSnapshot(3)))
	require.True(t, store.SwapRegistry(state.NewRegistry(7, []state.BackendServer{{Name: "a", Service: "other"}})))
	_, ok := store.Load().BackendServer("a")
	require.False(t, ok)
	require.Empty(t, store.Load().BackendServersOf("other"))
}
