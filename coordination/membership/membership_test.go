package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/wasabiport/wasabiport/coordination/membership"
	"github.com/wasabiport/wasabiport/state"
)

var start = time.Unix(1_700_000_000, 0)

func newTable(hosts ...state.Host) *membership.Table {
	table := membership.NewTable(membership.Config{
		Self: state.Host{Name: "self", Zone: "north"}, Incarnation: 5,
		SilenceTimeout: 4 * time.Second, SuspicionTimeout: 5 * time.Second,
	})
	table.ApplyList(start, state.HostList{Version: 1, Hosts: hosts})
	return table
}

func hostUpdate(phase state.HostPhase, incarnation, heartbeat uint64) membership.HostUpdate {
	return membership.HostUpdate{Host: "other", Incarnation: incarnation, Heartbeat: heartbeat, Phase: phase}
}

// TestUpdateOrderDoesNotChangePhase merges every triple of updates in every
// order. Messages between nodes may overtake each other, and all nodes must
// still arrive at the same phase.
func TestUpdateOrderDoesNotChangePhase(t *testing.T) {
	var all []membership.HostUpdate
	for _, phase := range []state.HostPhase{state.HostLive, state.HostSuspect, state.HostLeaving, state.HostGone} {
		for heartbeat := range uint64(2) {
			all = append(all, hostUpdate(phase, 1, heartbeat))
		}
	}
	all = append(all, hostUpdate(state.HostLive, 2, 0))
	merge := func(updates ...membership.HostUpdate) state.HostPhase {
		table := newTable(state.Host{Name: "other", Zone: "north"})
		for _, update := range updates {
			table.Merge(start, []membership.HostUpdate{update})
		}
		return table.PhaseOf("other")
	}
	for _, a := range all {
		for _, b := range all {
			for _, c := range all {
				want := merge(a, b, c)
				require.Equal(t, want, merge(b, c, a), "%v %v %v", a, b, c)
				require.Equal(t, want, merge(c, b, a), "%v %v %v", a, b, c)
			}
		}
	}
}

func TestPhaseFromListAndUpdates(t *testing.T) {
	leaving := state.Host{Name: "other", Zone: "north", Phase: state.HostLeaving}
	live := state.Host{Name: "other", Zone: "north"}
	tests := []struct {
		name    string
		host    state.Host
		updates []membership.HostUpdate
		want    state.HostPhase
	}{
		{"listed", live, nil, state.HostLive},
		{"listed as leaving", leaving, nil, state.HostLeaving},
		{"leave is final", live, []membership.HostUpdate{hostUpdate(state.HostLeaving, 1, 5), hostUpdate(state.HostLive, 1, 6)}, state.HostLeaving},
		{"restarted after its leave", live, []membership.HostUpdate{hostUpdate(state.HostLeaving, 1, 5), hostUpdate(state.HostLive, 2, 1)}, state.HostLive},
		{"restarted while the list lags", leaving, []membership.HostUpdate{hostUpdate(state.HostLive, 2, 1)}, state.HostLive},
		{"suspicion refuted", live, []membership.HostUpdate{hostUpdate(state.HostSuspect, 1, 5), hostUpdate(state.HostLive, 1, 6)}, state.HostLive},
		{"late heartbeat", live, []membership.HostUpdate{hostUpdate(state.HostSuspect, 1, 5), hostUpdate(state.HostLive, 1, 4)}, state.HostSuspect},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := newTable(test.host)
			for i, update := range test.updates {
				table.Merge(start.Add(time.Duration(i+1)*time.Second), []membership.HostUpdate{update})
			}
			require.Equal(t, test.want, table.PhaseOf("other"))
		})
	}
}

func TestOnlySameZoneMarksHostsGone(t *testing.T) {
	for _, zone := range []state.AvailabilityZone{"north", "south"} {
		t.Run(string(zone), func(t *testing.T) {
			table := newTable(state.Host{Name: "other", Zone: zone})
			table.MergeDirect(start, hostUpdate(state.HostLive, 1, 1))
			require.Empty(t, table.Suspect(start.Add(3*time.Second), "other"), "not silent for long enough")
			require.Len(t, table.Suspect(start.Add(4*time.Second), "other"), 1)
			require.Empty(t, table.Expire(start.Add(8*time.Second)))
			updates := table.Expire(start.Add(9 * time.Second))
			require.Equal(t, zone == "north", len(updates) == 1)
		})
	}
}

func TestWrongUpdateAboutSelfIsRefuted(t *testing.T) {
	table := newTable()
	result := table.Merge(start, []membership.HostUpdate{{Host: "self", Incarnation: 5, Heartbeat: 7, Phase: state.HostGone}})
	require.Equal(t, []membership.HostUpdate{{Host: "self", Incarnation: 5, Heartbeat: 8, Phase: state.HostLive}}, result.Updates)
}

func TestFlappingHostIsExcludedFromTrees(t *testing.T) {
	table := newTable(state.Host{Name: "other", Zone: "north"})
	now := start
	for flap := range uint64(3) {
		table.Merge(now, []membership.HostUpdate{hostUpdate(state.HostGone, flap+1, 9)})
		require.Empty(t, table.TreeHosts(now))
		now = now.Add(10 * time.Second)
		table.Merge(now, []membership.HostUpdate{hostUpdate(state.HostLive, flap+2, 1)})
		require.Equal(t, state.HostLive, table.PhaseOf("other"), "damping does not change the phase")
		require.Equal(t, flap == 0, len(table.TreeHosts(now)) == 1)
	}
	require.Len(t, table.TreeHosts(now.Add(time.Hour)), 1)
}

func TestHostListDiff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(version uint64) state.HostList {
			list := state.HostList{Version: version}
			for i := range 5 {
				if rapid.Bool().Draw(t, "present") {
					name := state.HostName(fmt.Sprintf("host-%d", i))
					phase := rapid.SampledFrom([]state.HostPhase{state.HostLive, state.HostLeaving}).Draw(t, "phase")
					list.Hosts = append(list.Hosts, state.Host{Name: name, Phase: phase})
				}
			}
			return list
		}
		first, second, third := draw(1), draw(2), draw(3)
		got, ok := membership.Apply(first, membership.Diff(first, third))
		require.True(t, ok)
		require.ElementsMatch(t, third.Hosts, got.Hosts)
		if got, ok = membership.Apply(second, membership.Diff(first, third)); ok {
			require.ElementsMatch(t, third.Hosts, got.Hosts, "applied only if the result is the same list")
		}
		_, ok = membership.Apply(third, membership.Diff(first, second))
		require.False(t, ok, "changes to an older version are rejected")
	})
}
