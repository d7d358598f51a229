package peerwire_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// BenchmarkFleet reports convergence times, traffic and source reads of a fleet
// of control planes in virtual time. Changes are more frequent than at the
// design size, which has one ticket per minute and one restart every two minutes.
func BenchmarkFleet(b *testing.B) {
	for _, hostsPerZone := range []int{3, 11, 37, 111} {
		b.Run(fmt.Sprintf("%d hosts", 9*hostsPerZone), func(b *testing.B) {
			for b.Loop() {
				benchFleet(b, hostsPerZone)
			}
		})
	}
}

func benchFleet(b *testing.B, hostsPerZone int) {
	sim := newSimulation(b, 9, hostsPerZone)
	sim.source.publishTicket()
	sim.startAll()
	ready := sim.runUntil(time.Minute, func() bool { return sim.allEvaluated(1)() && sim.allReady() })
	b.ReportMetric(ready.Seconds(), "cold-start-s")
	b.ReportMetric(float64(sim.source.peak(start)), "cold-start-peak-reads/s")
	sim.run(30 * time.Second)

	bytes, reads, startedAt := sim.bytes, sim.source.total, sim.now
	for _, n := range sim.nodes {
		n.bytes = 0
	}
	slowest := time.Duration(0)
	for range 2 {
		slowest = max(slowest, sim.runUntil(time.Minute, sim.allEvaluated(sim.source.publishTicket())))
		sim.run(30 * time.Second)
		sim.restart(sim.nodes[len(sim.nodes)/2])
		sim.run(30 * time.Second)
	}
	seconds := sim.now.Sub(startedAt).Seconds()
	busiest := 0
	for _, n := range sim.nodes {
		busiest = max(busiest, n.bytes)
	}
	b.ReportMetric(float64(sim.bytes-bytes)/seconds/float64(len(sim.nodes)), "B/s/node")
	b.ReportMetric(float64(busiest)/seconds, "B/s/busiest")
	b.ReportMetric(float64(sim.source.total-reads)/seconds, "reads/s")
	b.ReportMetric(float64(slowest.Milliseconds()), "converge-ms")

	startedAt = sim.now
	for i, n := range sim.nodes {
		if i%2 == 0 {
			sim.stop(n)
			sim.start(n)
		}
	}
	back := sim.runUntil(time.Minute, sim.allReady)
	b.ReportMetric(back.Seconds(), "half-restarted-s")
	b.ReportMetric(float64(sim.source.peak(startedAt)), "half-restarted-peak-reads/s")
}

// restart restarts a node gracefully. The host list reports each step with a
// delay: the node leaves at 0 s, stops at 6 s and starts at 8 s, while the list
// shows it as leaving from 5 s on and as live from 15 s on.
func (sim *simulation) restart(n *node) {
	setPhase := func(phase state.HostPhase) func() {
		return func() {
			sim.source.publishHostList(func(hosts []state.Host) []state.Host {
				for i := range hosts {
					if hosts[i].Name == n.host.Name {
						hosts[i].Phase = phase
					}
				}
				return hosts
			})
		}
	}
	sim.applyOutput(n, n.plane.Leave(sim.now))
	sim.after(5*time.Second, setPhase(state.HostLeaving))
	sim.after(6*time.Second, func() { sim.stop(n) })
	sim.after(8*time.Second, func() { sim.start(n) })
	sim.after(15*time.Second, setPhase(state.HostLive))
}
