package peerwire_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/state"
)

// The configuration, storms and bound of the grown permits site.
const (
	initialRoutes = 1120
	addedRoutes   = 1480
	convergeBound = 2500 * time.Millisecond
	stormInterval = 280 * time.Millisecond
)

// The hosts of the grown permits site: two of each availability zone are fast.
var (
	slowHost = hostSpeed{linkBytesPerSecond: 7_000_000 / 8, processorBytesPerSecond: 550_000}
	fastHost = hostSpeed{linkBytesPerSecond: 140_000_000 / 8, processorBytesPerSecond: 3_000_000}
)

const fastHostsPerZone = 2

// Guards against versions that are late because slow hosts transfer and evaluate
// each of them as a whole while the next ones are already published.
func TestStormOfLargeConfigurationsIsInForceInTimeOnSlowHosts(t *testing.T) {
	const (
		versions     = 8
		hostsPerZone = 12
	)
	sim := newSimulation(t, 3, hostsPerZone)
	sim.useFullStateSource(8)
	for i, n := range sim.nodes {
		n.setSpeed(slowHost)
		if i%hostsPerZone < fastHostsPerZone {
			n.setSpeed(fastHost)
		}
	}
	sim.source.publishBaseline(initialRoutes)
	sim.startAll()
	sim.runUntil(10*time.Second, sim.allReady)
	sim.run(3 * time.Second)
	publishedAt := make(map[state.TicketNumber]time.Time)
	for range versions {
		publishedAt[sim.source.publishBaseline(initialRoutes+addedRoutes)] = sim.now
		sim.run(stormInterval)
	}
	for number := range state.TicketNumber(versions) {
		number += 2
		sim.run(max(0, publishedAt[number].Add(convergeBound).Sub(sim.now)))
		for _, n := range sim.nodes {
			require.GreaterOrEqual(t, n.plane.Version().Accepted, number, "%s", n.host.Name)
		}
	}
}
