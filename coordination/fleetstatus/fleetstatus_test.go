package fleetstatus_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/coordination/fleetstatus"
	"github.com/wasabiport/wasabiport/state"
)

var start = time.Unix(1_700_000_000, 0)

func head(judged state.TicketNumber) state.Head {
	return state.Head{Judged: judged, Accepted: judged, Digest: state.Digest(judged)}
}

func hostsIn(counts []fleetstatus.HeadCount) int {
	total := 0
	for _, count := range counts {
		total += count.Hosts
	}
	return total
}

func TestSubtreeIsBoundedAndNeverAhead(t *testing.T) {
	collector := fleetstatus.NewCollector(30 * time.Second)
	for i := range 100 {
		child := state.HostName(rune('0' + i))
		collector.TakeSubtree(start, child, []fleetstatus.HeadCount{{Head: head(state.TicketNumber(i + 1)), Hosts: 1}})
	}
	counts := collector.Subtree(start.Add(time.Second), head(100))
	require.LessOrEqual(t, len(counts), 16)
	require.Equal(t, 101, hostsIn(counts))
	require.Equal(t, head(1), counts[len(counts)-1].Head, "what is folded counts under the lowest head")
	require.Equal(t, 1, hostsIn(collector.Subtree(start.Add(time.Minute), head(100))), "old reports end")
}

func TestTicketStatusByZone(t *testing.T) {
	collector := fleetstatus.NewCollector(30 * time.Second)
	diverged := head(9)
	diverged.Digest++
	collector.TakeZone(start, fleetstatus.ZoneReport{Zone: "north", Counts: []fleetstatus.HeadCount{
		{Head: head(9), Hosts: 4, Age: 3 * time.Second}, {Head: diverged, Hosts: 1}, {Head: head(6), Hosts: 2},
	}})
	collector.TakeZone(start, fleetstatus.ZoneReport{Zone: "south", Age: time.Minute, Counts: []fleetstatus.HeadCount{{Head: head(6), Hosts: 3}}})
	collector.TakeZone(start, fleetstatus.ZoneReport{Zone: "north", Age: time.Second}) // older, crossed in flight
	faults := []state.Fault{{Path: "set.routes[0].service", Reason: "missing"}}
	question := fleetstatus.Question{
		Number: 7, Outcome: fleetstatus.OutcomeRejected, Faults: faults, Own: head(9),
		Hosts: map[state.AvailabilityZone]int{"north": 8, "south": 3, "west": 5},
	}
	status := collector.Ticket(start.Add(time.Second), question)
	require.Equal(t, faults, status.Faults)
	require.Equal(t, []state.AvailabilityZone{"south", "west"}, status.UnseenZones)
	require.Equal(t, []fleetstatus.ZoneStatus{
		{Zone: "north", Hosts: 8, Rejected: 5, Behind: 2, NotHeard: 1, Diverged: 1, Age: 4 * time.Second},
		{Zone: "south", Hosts: 3, Behind: 3, Age: 61 * time.Second},
		{Zone: "west", Hosts: 5, NotHeard: 5},
	}, status.Zones)
}
