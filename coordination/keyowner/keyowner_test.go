package keyowner_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/coordination/keyowner"
	"github.com/wasabiport/wasabiport/state"
)

const retention = 10 * time.Minute

var (
	epoch   = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	servers = []state.BackendServerName{"booking-1", "booking-2", "booking-3", "booking-4"}
)

func keyNumber(i int) keyowner.Key { return keyowner.Key{Caller: "clinic-7", Value: fmt.Sprint(i)} }

func without(removed state.BackendServerName) []state.BackendServerName {
	return slices.DeleteFunc(slices.Clone(servers), func(name state.BackendServerName) bool { return name == removed })
}

func TestOrderMovesOnlyKeysOfRemovedServer(t *testing.T) {
	owned := make(map[state.BackendServerName]int)
	for i := range 1000 {
		order := keyowner.Order(servers, keyNumber(i))
		owned[order[0]]++
		rest := keyowner.Order(without(order[3]), keyNumber(i))
		require.Equal(t, order[:3], rest)
		require.Equal(t, order[1:], keyowner.Order(without(order[0]), keyNumber(i)))
	}
	for _, server := range servers {
		require.InDelta(t, 250, owned[server], 75, server)
	}
}

func TestOwnedSince(t *testing.T) {
	order := keyowner.Order(servers, keyNumber(1))
	first, second := order[0], order[1]
	serving := keyowner.Membership{Servers: servers, Serving: true}
	removed := keyowner.Membership{Servers: without(first), Serving: true}
	draining := keyowner.Membership{Servers: servers}
	at := func(minutes int) time.Time { return epoch.Add(time.Duration(minutes) * time.Minute) }
	tests := map[string]struct {
		self    state.BackendServerName
		changes []keyowner.Membership // one a minute
		since   time.Time
		lost    bool
	}{
		"always the owner":                   {self: first, changes: []keyowner.Membership{serving}, since: at(0)},
		"owner after a removal":              {self: second, changes: []keyowner.Membership{serving, removed}, since: at(1)},
		"asked after a server that declined": {self: second, changes: []keyowner.Membership{serving}, since: at(0)},
		"owner again after it declined": {
			self: first, changes: []keyowner.Membership{serving, draining, serving}, since: at(2),
		},
		"a removal that was reverted": {
			self: first, changes: []keyowner.Membership{serving, removed, serving}, since: at(2),
		},
		"still the owner while it declines": {
			self: first, changes: []keyowner.Membership{serving, draining}, since: at(0),
		},
		"removed": {self: first, changes: []keyowner.Membership{serving, removed}, lost: true},
		"not affected by a removal": {
			self: order[2], changes: []keyowner.Membership{serving, {Servers: without(order[3]), Serving: true}}, since: at(0),
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			history := keyowner.NewHistory(retention)
			for i, membership := range test.changes {
				history.Observe(at(i), test.self, membership)
			}
			since, owned := history.OwnedSince(keyowner.Query{Self: test.self, Key: keyNumber(1)})
			require.Equal(t, !test.lost, owned)
			require.Equal(t, test.since, since)
		})
	}
}

func TestOwnedSinceRequiresSameMembershipAtEntryNode(t *testing.T) {
	history := keyowner.NewHistory(retention)
	observe := func(ticket state.TicketNumber, servers []state.BackendServerName) {
		history.Observe(epoch, servers[0], keyowner.Membership{Ticket: ticket, Servers: servers, Serving: true})
	}
	observe(1, servers[:1])
	observe(2, servers)
	observe(3, servers) // a ticket that changes something else
	for ticket, same := range map[state.TicketNumber]bool{1: false, 2: true, 3: true, 4: false} {
		query := keyowner.Query{Self: servers[0], Ticket: ticket, Key: keyNumber(1)}
		_, owned := history.OwnedSince(query)
		require.Equal(t, same, owned, ticket)
	}
}

func TestObserveSnapshotRecordsRemovalOfBackendServer(t *testing.T) {
	const host = "host-1"
	snapshot := func(ticket state.TicketNumber, servers ...state.BackendServer) *state.Snapshot {
		builder := state.NewSnapshotBuilder(nil)
		builder.Set(state.Resources{BackendServers: servers})
		return builder.Build(ticket, ticket)
	}
	local := state.BackendServer{Name: "booking-1", Service: "booking", Host: host}
	other := state.BackendServer{Name: "booking-2", Service: "booking", Host: "host-2"}
	query := func(ticket state.TicketNumber) keyowner.Query {
		return keyowner.Query{Self: local.Name, Ticket: ticket, Key: keyNumber(1)}
	}
	history := keyowner.NewHistory(retention)
	history.ObserveSnapshot(epoch, snapshot(1, local), host, false, time.Minute)
	since, owned := history.OwnedSince(query(1))
	require.True(t, owned)
	require.Equal(t, epoch.Add(-time.Minute), since)

	history.ObserveSnapshot(epoch, snapshot(2, other), host, false, 0)
	_, owned = history.OwnedSince(query(2))
	require.False(t, owned)

	back := epoch.Add(time.Second)
	history.ObserveSnapshot(back, snapshot(3, local), host, false, 0)
	since, owned = history.OwnedSince(query(3))
	require.True(t, owned)
	require.Equal(t, back, since)
}
