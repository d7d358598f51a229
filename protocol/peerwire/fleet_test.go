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

// settled returns an exchange whose nodes all know the first ticket.
func settled(t *testing.T, zones, hostsPerZone int) *exchange {
	x := newExchange(t, zones, hostsPerZone)
	x.source.file()
	x.startAll()
	x.runUntil(time.Minute, func() bool { return x.allAt(1)() && x.allReady() })
	x.run(10 * time.Second)
	return x
}

func TestFleetReachesEveryTicketWithFewReadsAndSessions(t *testing.T) {
	x := settled(t, 9, 5)
	reads, began := x.source.total, x.now
	for range 3 {
		x.runUntil(2*time.Second, x.allAt(x.source.file()))
		x.run(10 * time.Second)
	}
	require.Less(t, float64(x.source.total-reads)/x.now.Sub(began).Seconds(), 50.0)
	for _, n := range x.nodes {
		require.Less(t, len(n.sessions), 40, n.host.Name)
	}
	head := x.nodes[0].plane.Version()
	require.True(t, x.all(func(n *node) bool { return n.plane.Version() == head }))
}

func TestLeaveIsHeardInTheWholeFleet(t *testing.T) {
	x := settled(t, 3, 10)
	leaving := x.nodes[7]
	x.carryOut(leaving, leaving.plane.Leave(x.now))
	x.runUntil(2*time.Second, func() bool {
		return x.all(func(n *node) bool { return n.plane.PhaseOf(leaving.host.Name) == state.HostLeaving })
	})
}

func TestDeadHostIsGoneAndPausedHostComesBack(t *testing.T) {
	x := settled(t, 3, 10)
	dead, paused := x.nodes[5], x.nodes[15]
	x.stop(dead)
	x.pause(paused)
	x.run(3 * time.Second)
	require.True(t, x.all(func(n *node) bool { return n.plane.PhaseOf(paused.host.Name) == state.HostLive }),
		"a short silence is no failure")
	number := x.source.file()
	x.runUntil(30*time.Second, func() bool {
		return x.all(func(n *node) bool {
			return n == paused || n.plane.PhaseOf(dead.host.Name) == state.HostGone && n.plane.PhaseOf(paused.host.Name) == state.HostGone
		})
	})
	x.resume(paused)
	x.runUntil(5*time.Second, func() bool {
		return x.allAt(number)() && x.allReady() &&
			x.all(func(n *node) bool { return n.plane.PhaseOf(paused.host.Name) == state.HostLive })
	})
	for _, n := range x.nodes {
		if n.up && n != paused {
			require.NotEqual(t, state.HostGone, paused.plane.PhaseOf(n.host.Name), "the woken node accuses nobody")
		}
	}
}

func zoneCutOff(zone state.AvailabilityZone) func(a, b state.Host) bool {
	return func(a, b state.Host) bool { return (a.Zone == zone) != (b.Zone == zone) }
}

func TestZoneCutOffFromPlatformOnlyStillGetsTickets(t *testing.T) {
	x := settled(t, 3, 10)
	x.source.reachable = func(host state.Host) bool { return host.Zone != "zone-1" }
	x.run(time.Minute)
	began, reads := x.now, x.source.total
	number := x.source.file()
	x.runUntil(2*time.Second, x.allAt(number))
	x.run(time.Minute)
	require.Less(t, float64(x.source.total-reads)/x.now.Sub(began).Seconds(), 50.0)
}

func TestZoneCutOffFromAllCatchesUpAfterHealing(t *testing.T) {
	x := settled(t, 3, 10)
	x.partition(zoneCutOff("zone-1"))
	x.source.reachable = func(host state.Host) bool { return host.Zone != "zone-1" }
	first := x.source.file()
	x.run(3 * time.Minute)
	for _, n := range x.nodes {
		behind := n.host.Zone == "zone-1"
		require.Equal(t, behind, n.plane.Version().Evaluated < first, n.host.Name)
		ready, reason := n.plane.Ready(x.now)
		require.True(t, ready, "%s keeps serving: %s", n.host.Name, reason)
		for _, other := range x.nodes {
			require.NotEqual(t, state.HostGone, n.plane.PhaseOf(other.host.Name), "a cut makes nobody gone")
		}
		if behind {
			age, known := n.plane.Staleness(x.now)
			require.True(t, known)
			require.Greater(t, age, 2*time.Minute)
		}
	}
	seen := x.nodes[0].plane.Status(x.now, first)
	require.Equal(t, []state.AvailabilityZone{"zone-1"}, seen.UnseenZones)

	x.partition(func(_, _ state.Host) bool { return false })
	x.runUntil(5*time.Second, x.allAt(first))
	x.source.reachable = func(state.Host) bool { return true }
	x.run(time.Minute)
	for _, n := range x.nodes {
		status := n.plane.Status(x.now, first)
		require.Empty(t, status.UnseenZones)
		for _, zone := range status.Zones {
			require.Equal(t, 10, zone.Hosts)
			require.Equal(t, 10, zone.InForce, "%s about %s", n.host.Name, zone.Zone)
		}
	}
}

func TestRestartBesideStaleSourceNeverServesOlderState(t *testing.T) {
	x := settled(t, 3, 8)
	number := x.source.file()
	x.runUntil(5*time.Second, x.allAt(number))
	x.source.visible = 1
	restarted := x.nodes[3]
	x.stop(restarted)
	x.run(time.Second)
	x.start(restarted)
	x.runUntil(10*time.Second, func() bool {
		ready, _ := restarted.plane.Ready(x.now)
		return ready
	})
	require.Equal(t, number, restarted.plane.Version().Evaluated)
}

func TestFlappingHostDoesNotMakeTreesFlap(t *testing.T) {
	x := settled(t, 1, 25)
	flapping := x.nodes[9]
	for range 4 {
		x.stop(flapping)
		x.run(20 * time.Second)
		x.start(flapping)
		x.run(20 * time.Second)
	}
	replaced := 0
	for _, n := range x.nodes {
		for _, event := range n.events {
			if _, ok := event.(control.ParentReplaced); ok && n != flapping {
				replaced++
			}
		}
	}
	require.Less(t, replaced, 3*12, "most flaps move no parent")
}

func TestSourceDownStaleOrFlappingIsNotReadBusily(t *testing.T) {
	tests := []struct {
		name string
		fail func(x *exchange)
	}{
		{"down", func(x *exchange) { x.source.reachable = func(state.Host) bool { return false } }},
		{"shows less than before", func(x *exchange) { x.source.visible = 1 }},
		{"answers old values", func(x *exchange) { x.source.visible, x.source.repeating = 1, true }},
		{"has a gap", func(x *exchange) {
			x.source.file()
			x.source.oldest = len(x.source.tickets) + 2
			x.source.file()
			x.source.file()
		}},
		{"flapping", func(x *exchange) {
			x.source.reachable = func(state.Host) bool { return x.now.Unix()%2 == 0 }
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := settled(t, 3, 10)
			x.runUntil(5*time.Second, x.allAt(x.source.file()))
			began, reads := x.now, x.source.total
			test.fail(x)
			x.run(2 * time.Minute)
			rate := float64(x.source.total-reads) / x.now.Sub(began).Seconds()
			require.Less(t, rate, 2*fallbackRate)
			require.Less(t, x.source.peak(began), 500, "a quarter of the budget")
			require.True(t, x.allReady(), "all keep serving")
		})
	}
}

func TestColdStartFromBaselineNeedsNoEarlierTickets(t *testing.T) {
	x := newExchange(t, 3, 8)
	for range 30 {
		x.source.file()
	}
	baseline := changeTicket(31)
	baseline.Baseline = true
	x.source.tickets = append(x.source.tickets, baseline)
	x.source.file()
	x.source.oldest = 31
	x.startAll()
	x.runUntil(time.Minute, func() bool { return x.allAt(32)() && x.allReady() })
	for _, n := range x.nodes {
		require.Len(t, n.snapshots.Load().Resources().Services, 2, "only what the baseline and the ticket after it set")
	}
}
