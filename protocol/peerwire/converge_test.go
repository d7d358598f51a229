package peerwire_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/coordination/control"
	"github.com/wasabiport/wasabiport/state"
)

// The configuration, storms and bound of the grown permits site.
const (
	initialRoutes = 1120
	addedRoutes   = 1480
	convergeBound = 2500 * time.Millisecond
	stormInterval = 280 * time.Millisecond
)

// The hosts of the grown permits site: two of each availability zone are fast. Slow
// hosts took 934 ms for 512 KB when each evaluation compared all routes with each
// other, and at most 278 ms since then.
var (
	slowHost    = hostSpeed{linkBytesPerSecond: 7_000_000 / 8, processorBytesPerSecond: 1_800_000}
	slowestHost = hostSpeed{linkBytesPerSecond: 7_000_000 / 8, processorBytesPerSecond: 550_000}
	fastHost    = hostSpeed{linkBytesPerSecond: 140_000_000 / 8, processorBytesPerSecond: 3_000_000}
)

const fastHostsPerZone = 2

// newSlowFleet returns a converged fleet of three availability zones. All hosts but
// a few have the given speed.
func newSlowFleet(t *testing.T, seed uint64, hostsPerZone int, speed hostSpeed) *simulation {
	sim := newSeededSimulation(t, seed, 3, hostsPerZone)
	sim.useFullStateSource()
	for i, n := range sim.nodes {
		n.setSpeed(speed)
		if i%hostsPerZone < fastHostsPerZone {
			n.setSpeed(fastHost)
		}
	}
	sim.source.publishBaseline(initialRoutes)
	sim.startAll()
	sim.runUntil(10*time.Second, sim.allReady)
	sim.run(3 * time.Second)
	return sim
}

// Guards against versions that are late because slow hosts transfer and evaluate
// each of them as a whole while the next ones are already published.
func TestStormOfLargeConfigurationsIsInForceInTimeOnSlowHosts(t *testing.T) {
	const versions = 8
	sim := newSlowFleet(t, 7, 12, slowestHost)
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

// soakSeeds returns the number of seeds of a soak: one, or as many as the
// environment variable SOAK_SEEDS says for a run by hand.
func soakSeeds() int {
	if seeds, err := strconv.Atoi(os.Getenv("SOAK_SEEDS")); err == nil {
		return seeds
	}
	return 1
}

// contactTime is how long a host must have been without a disruption for the bound
// on its configuration to hold.
const contactTime = 3 * time.Second

// disruptions kills, freezes and cuts off hosts of a simulation.
type disruptions struct {
	sim    *simulation
	random *rand.Rand
	// calmSince is when the latest disruption of each host ended.
	calmSince map[state.HostName]time.Time
	// withoutSource are the hosts that can't read from the source.
	withoutSource map[state.HostName]bool
	cutZone       state.AvailabilityZone
}

func newDisruptions(sim *simulation, seed uint64) *disruptions {
	d := &disruptions{
		sim: sim, random: rand.New(rand.NewPCG(seed, 11)),
		calmSince:     make(map[state.HostName]time.Time),
		withoutSource: make(map[state.HostName]bool),
	}
	sim.source.reachable = func(host state.Host) bool { return !d.withoutSource[host.Name] }
	return d
}

// isCalm reports whether a host has had no disruption for contactTime.
func (d *disruptions) isCalm(n *node) bool {
	return d.sim.now.Sub(d.calmSince[n.host.Name]) >= contactTime
}

// strike begins a disruption of one host or of one availability zone. It ends
// between one and four seconds later.
func (d *disruptions) strike() {
	n := d.sim.nodes[d.random.IntN(len(d.sim.nodes))]
	if !n.up || n.paused || d.withoutSource[n.host.Name] {
		return
	}
	duration := time.Second + time.Duration(d.random.Int64N(int64(3*time.Second)))
	end := d.sim.now.Add(duration)
	switch d.random.IntN(4) {
	case 0:
		d.calmSince[n.host.Name] = end
		d.sim.stop(n)
		d.sim.at(end, func() { d.sim.start(n) })
	case 1:
		d.calmSince[n.host.Name] = end
		d.sim.pause(n)
		d.sim.at(end, func() { d.sim.resume(n) })
	case 2:
		d.calmSince[n.host.Name] = end
		d.withoutSource[n.host.Name] = true
		d.sim.at(end, func() { delete(d.withoutSource, n.host.Name) })
	case 3:
		d.cutOff(n.host.Zone, end)
	}
}

// cutOff separates an availability zone from the others, but not from the source.
func (d *disruptions) cutOff(zone state.AvailabilityZone, end time.Time) {
	if d.cutZone != "" {
		return
	}
	d.cutZone = zone
	d.sim.partition(isolateZone(zone))
	d.sim.at(end, func() {
		d.cutZone = ""
		d.sim.partition(func(_, _ state.Host) bool { return false })
	})
}

// TestStormIsInForceInTimeBesideDisruptions publishes versions one after another
// while hosts are killed, freeze and lose the source, and availability zones are
// cut off. The bound holds for hosts that have been calm for a while.
func TestStormIsInForceInTimeBesideDisruptions(t *testing.T) {
	for seed := range soakSeeds() {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			sim := newSlowFleet(t, uint64(seed), 10, slowHost)
			disruptions := newDisruptions(sim, uint64(seed))
			previous := make(map[state.HostName]control.Version)
			routes := initialRoutes
			for range 60 {
				if disruptions.random.IntN(3) == 0 {
					disruptions.strike()
				}
				if disruptions.random.IntN(15) == 0 {
					routes = initialRoutes + disruptions.random.IntN(addedRoutes)
				}
				number := sim.source.publishBaseline(routes)
				sim.after(convergeBound, func() { requireInForce(t, disruptions, number) })
				sim.run(stormInterval)
				requireNoRevert(t, sim, previous)
			}
			sim.run(2 * convergeBound)
		})
	}
}

func requireInForce(t *testing.T, disruptions *disruptions, number state.TicketNumber) {
	for _, n := range disruptions.sim.nodes {
		if n.up && !n.paused && disruptions.isCalm(n) {
			require.GreaterOrEqual(t, n.plane.Version().Accepted, number, "%s", n.host.Name)
		}
	}
}

// requireNoRevert fails if a node has an older version than before in the same
// incarnation.
func requireNoRevert(t *testing.T, sim *simulation, previous map[state.HostName]control.Version) {
	for _, n := range sim.nodes {
		key := state.HostName(fmt.Sprintf("%s/%d", n.host.Name, n.generation))
		require.GreaterOrEqual(t, n.plane.Version().Evaluated, previous[key].Evaluated)
		previous[key] = n.plane.Version()
	}
}
