package fleetstatus_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/coordination/fleetstatus"
	"github.com/wasabiport/wasabiport/state"
)

var start = time.Unix(1_700_000_000, 0)

func version(evaluated state.TicketNumber) state.Version {
	return state.Version{Evaluated: evaluated, Accepted: evaluated, Digest: state.Digest(evaluated)}
}

func hostsIn(counts []fleetstatus.VersionCount) int {
	total := 0
	for _, count := range counts {
		total += count.Hosts
	}
	return total
}

func TestSubtreeCountsAreBoundedAndNeverAhead(t *testing.T) {
	collector := fleetstatus.NewCollector(30 * time.Second)
	for i := range 100 {
		child := state.HostName(rune('0' + i))
		collector.RecordSubtree(start, child, []fleetstatus.VersionCount{{Version: version(state.TicketNumber(i + 1)), Hosts: 1}})
	}
	counts := collector.Subtree(start.Add(time.Second), version(100))
	require.LessOrEqual(t, len(counts), 16)
	require.Equal(t, 101, hostsIn(counts))
	require.Equal(t, version(1), counts[len(counts)-1].Version, "folded counts use the lowest version")
	require.Equal(t, 1, hostsIn(collector.Subtree(start.Add(time.Minute), version(100))), "old reports expire")
}

func TestTicketStatusByZone(t *testing.T) {
	collector := fleetstatus.NewCollector(30 * time.Second)
	diverged := version(9)
	diverged.Digest++
	collector.RecordZone(start, fleetstatus.ZoneReport{Zone: "north", Counts: []fleetstatus.VersionCount{
		{Version: version(9), Hosts: 4, Age: 3 * time.Second}, {Version: diverged, Hosts: 1}, {Version: version(6), Hosts: 2},
	}})
	collector.RecordZone(start, fleetstatus.ZoneReport{Zone: "south", Age: time.Minute, Counts: []fleetstatus.VersionCount{{Version: version(6), Hosts: 3}}})
	collector.RecordZone(start, fleetstatus.ZoneReport{Zone: "north", Age: time.Second}) // ignored: overtaken in transit by the stored report
	errs := []state.ValidationError{{Path: "set.routes[0].service", Reason: "missing"}}
	query := fleetstatus.TicketQuery{
		Number: 7, Outcome: fleetstatus.OutcomeRejected, Errors: errs, Local: version(9),
		Hosts: map[state.AvailabilityZone]int{"north": 8, "south": 3, "west": 5},
	}
	status := collector.TicketStatus(start.Add(time.Second), query)
	require.Equal(t, errs, status.Errors)
	require.Equal(t, []state.AvailabilityZone{"south", "west"}, status.UnseenZones)
	require.Equal(t, []fleetstatus.ZoneStatus{
		{Zone: "north", Hosts: 8, Rejected: 5, Behind: 2, Unreported: 1, Diverged: 1, Age: 4 * time.Second},
		{Zone: "south", Hosts: 3, Behind: 3, Age: 61 * time.Second},
		{Zone: "west", Hosts: 5, Unreported: 5},
	}, status.Zones)
}
