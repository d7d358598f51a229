package state_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/state"
)

func ticketOf(number state.TicketNumber, nameBytes int) state.Ticket {
	name := state.ServiceName(strings.Repeat("s", nameBytes))
	return state.Ticket{Number: number, Remove: state.Removals{Services: []state.ServiceName{name}}}
}

func TestTicketLogEvictsOldestEvaluatedTickets(t *testing.T) {
	const limitBytes = 64 * 1024
	log := state.NewTicketLog(limitBytes)
	for number := state.TicketNumber(1); number <= 1000; number++ {
		require.True(t, log.Add(ticketOf(number, 1000), number-1))
		require.LessOrEqual(t, log.Bytes(), limitBytes)
	}
	_, ok := log.Between(0, 1000, limitBytes)
	require.False(t, ok, "the first tickets were evicted")
	latest, ok := log.Between(990, 1000, limitBytes)
	require.True(t, ok)
	require.Len(t, latest, 10)
	require.False(t, log.Add(ticketOf(1, 1000), 1000), "an evicted ticket is not stored again")
}

func TestTicketLogKeepsUnevaluatedTickets(t *testing.T) {
	log := state.NewTicketLog(16 * 4096)
	added := 0
	for number := state.TicketNumber(2); number <= 1000; number++ {
		if log.Add(ticketOf(number, 1000), 0) {
			added++
		}
	}
	require.Less(t, added, 999, "the log is bounded")
	require.Equal(t, state.TicketNumber(2), log.FirstAfter(0))
	require.True(t, log.Add(ticketOf(1, 10), 0), "the ticket that closes the gap still fits")
	tickets, _ := log.Between(0, 1000, 1<<20)
	require.Greater(t, len(tickets), 10)
}

func TestTicketLogStoresTicketLargerThanShard(t *testing.T) {
	log := state.NewTicketLog(1600)
	require.True(t, log.Add(ticketOf(1, 10_000), 0))
	require.True(t, log.Add(ticketOf(17, 10_000), 1))
	_, ok := log.Get(1)
	require.False(t, ok)
}
