package peerwire_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/coordination/control"
	"github.com/wasabiport/wasabiport/state"
)

// fallbackRate is the default of control.Config.SourceFallbackRate.
const fallbackRate = 200.0

// startConverged returns a simulation in which every node is ready and has
// evaluated the first ticket.
func startConverged(t *testing.T, zones, hostsPerZone int) *simulation {
	sim := newSimulation(t, zones, hostsPerZone)
	sim.source.publishTicket()
	sim.startAll()
	sim.runUntil(time.Minute, func() bool { return sim.allEvaluated(1)() && sim.allReady() })
	sim.run(10 * time.Second)
	return sim
}

func TestTicketsConvergeWithBoundedReadsAndSessions(t *testing.T) {
	sim := startConverged(t, 9, 5)
	reads, startedAt := sim.source.total, sim.now
	for range 3 {
		sim.runUntil(2*time.Second, sim.allEvaluated(sim.source.publishTicket()))
		sim.run(10 * time.Second)
	}
	require.Less(t, float64(sim.source.total-reads)/sim.now.Sub(startedAt).Seconds(), 50.0)
	for _, n := range sim.nodes {
		require.Less(t, len(n.sessions), 40, n.host.Name)
	}
	version := sim.nodes[0].plane.Version()
	require.True(t, sim.onAllNodes(func(n *node) bool { return n.plane.Version() == version }))
}

func TestLeavePropagatesToAllNodes(t *testing.T) {
	sim := startConverged(t, 3, 10)
	leaving := sim.nodes[7]
	sim.applyOutput(leaving, leaving.plane.Leave(sim.now))
	sim.runUntil(2*time.Second, func() bool {
		return sim.onAllNodes(func(n *node) bool { return n.plane.PhaseOf(leaving.host.Name) == state.HostLeaving })
	})
}

func TestDeadHostBecomesGoneAndPausedHostRecovers(t *testing.T) {
	sim := startConverged(t, 3, 10)
	dead, paused := sim.nodes[5], sim.nodes[15]
	sim.stop(dead)
	sim.pause(paused)
	sim.run(3 * time.Second)
	require.True(t, sim.onAllNodes(func(n *node) bool { return n.plane.PhaseOf(paused.host.Name) == state.HostLive }),
		"a pause of 3 s must not count as a failure")
	number := sim.source.publishTicket()
	sim.runUntil(30*time.Second, func() bool {
		return sim.onAllNodes(func(n *node) bool {
			return n == paused || n.plane.PhaseOf(dead.host.Name) == state.HostGone && n.plane.PhaseOf(paused.host.Name) == state.HostGone
		})
	})
	sim.resume(paused)
	sim.runUntil(5*time.Second, func() bool {
		return sim.allEvaluated(number)() && sim.allReady() &&
			sim.onAllNodes(func(n *node) bool { return n.plane.PhaseOf(paused.host.Name) == state.HostLive })
	})
	for _, n := range sim.nodes {
		if n.up && n != paused {
			require.NotEqual(t, state.HostGone, paused.plane.PhaseOf(n.host.Name), "the resumed node must not declare other hosts gone")
		}
	}
}

func isolateZone(zone state.AvailabilityZone) func(a, b state.Host) bool {
	return func(a, b state.Host) bool { return (a.Zone == zone) != (b.Zone == zone) }
}

func TestZoneWithoutPlatformAccessReceivesTicketsFromPeers(t *testing.T) {
	sim := startConverged(t, 3, 10)
	sim.source.reachable = func(host state.Host) bool { return host.Zone != "zone-1" }
	sim.run(time.Minute)
	startedAt, reads := sim.now, sim.source.total
	number := sim.source.publishTicket()
	sim.runUntil(2*time.Second, sim.allEvaluated(number))
	sim.run(time.Minute)
	require.Less(t, float64(sim.source.total-reads)/sim.now.Sub(startedAt).Seconds(), 50.0)
}

func TestIsolatedZoneCatchesUpAfterPartitionHeals(t *testing.T) {
	sim := startConverged(t, 3, 10)
	sim.partition(isolateZone("zone-1"))
	sim.source.reachable = func(host state.Host) bool { return host.Zone != "zone-1" }
	first := sim.source.publishTicket()
	sim.run(3 * time.Minute)
	for _, n := range sim.nodes {
		behind := n.host.Zone == "zone-1"
		require.Equal(t, behind, n.plane.Version().Evaluated < first, n.host.Name)
		ready, reason := n.plane.Ready(sim.now)
		require.True(t, ready, "%s must stay ready: %s", n.host.Name, reason)
		for _, other := range sim.nodes {
			require.NotEqual(t, state.HostGone, n.plane.PhaseOf(other.host.Name), "a partition must not mark a host as gone")
		}
		if behind {
			age, known := n.plane.Staleness(sim.now)
			require.True(t, known)
			require.Greater(t, age, 2*time.Minute)
		}
	}
	seen := sim.nodes[0].plane.Status(sim.now, first)
	require.Equal(t, []state.AvailabilityZone{"zone-1"}, seen.UnseenZones)

	sim.partition(func(_, _ state.Host) bool { return false })
	sim.runUntil(5*time.Second, sim.allEvaluated(first))
	sim.source.reachable = func(state.Host) bool { return true }
	sim.run(time.Minute)
	for _, n := range sim.nodes {
		status := n.plane.Status(sim.now, first)
		require.Empty(t, status.UnseenZones)
		for _, zone := range status.Zones {
			require.Equal(t, 10, zone.Hosts)
			require.Equal(t, 10, zone.InForce, "status of %[2]s as seen by %[1]s", n.host.Name, zone.Zone)
		}
	}
}

func TestRestartWithStaleSourceNeverServesOlderVersion(t *testing.T) {
	sim := startConverged(t, 3, 8)
	number := sim.source.publishTicket()
	sim.runUntil(5*time.Second, sim.allEvaluated(number))
	sim.source.visibleTickets = 1
	restarted := sim.nodes[3]
	sim.stop(restarted)
	sim.run(time.Second)
	sim.start(restarted)
	sim.runUntil(10*time.Second, func() bool {
		ready, _ := restarted.plane.Ready(sim.now)
		return ready
	})
	require.Equal(t, number, restarted.plane.Version().Evaluated)
}

func TestFlappingHostDoesNotReshapeTrees(t *testing.T) {
	sim := startConverged(t, 1, 25)
	flapping := sim.nodes[9]
	for range 4 {
		sim.stop(flapping)
		sim.run(20 * time.Second)
		sim.start(flapping)
		sim.run(20 * time.Second)
	}
	replaced := 0
	for _, n := range sim.nodes {
		for _, event := range n.events {
			if _, ok := event.(control.ParentReplaced); ok && n != flapping {
				replaced++
			}
		}
	}
	require.Less(t, replaced, 3*12, "most restarts of the flapping host must not replace a parent")
}

func TestReadRateIsBoundedWhenSourceFails(t *testing.T) {
	tests := []struct {
		name string
		fail func(sim *simulation)
	}{
		{"down", func(sim *simulation) { sim.source.reachable = func(state.Host) bool { return false } }},
		{"returns fewer tickets than before", func(sim *simulation) { sim.source.visibleTickets = 1 }},
		{"returns old tickets again", func(sim *simulation) { sim.source.visibleTickets, sim.source.ignoresPosition = 1, true }},
		{"has a gap in the ticket numbers", func(sim *simulation) {
			sim.source.publishTicket()
			sim.source.oldestRetained = len(sim.source.tickets) + 2
			sim.source.publishTicket()
			sim.source.publishTicket()
		}},
		{"alternately up and down", func(sim *simulation) {
			sim.source.reachable = func(state.Host) bool { return sim.now.Unix()%2 == 0 }
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sim := startConverged(t, 3, 10)
			sim.runUntil(5*time.Second, sim.allEvaluated(sim.source.publishTicket()))
			startedAt, reads := sim.now, sim.source.total
			test.fail(sim)
			sim.run(2 * time.Minute)
			rate := float64(sim.source.total-reads) / sim.now.Sub(startedAt).Seconds()
			require.Less(t, rate, 2*fallbackRate)
			require.Less(t, sim.source.peak(startedAt), 500, "peak must stay below a quarter of the read budget")
			require.True(t, sim.allReady(), "all nodes must stay ready")
		})
	}
}

func TestColdStartFromBaselineNeedsNoEarlierTickets(t *testing.T) {
	sim := newSimulation(t, 3, 8)
	for range 30 {
		sim.source.publishTicket()
	}
	baseline := changeTicket(31)
	baseline.Baseline = true
	sim.source.tickets = append(sim.source.tickets, baseline)
	sim.source.publishTicket()
	sim.source.oldestRetained = 31
	sim.startAll()
	sim.runUntil(time.Minute, func() bool { return sim.allEvaluated(32)() && sim.allReady() })
	for _, n := range sim.nodes {
		require.Len(t, n.snapshots.Load().Resources().Services, 2, "resources of tickets before the baseline must be absent")
	}
}
