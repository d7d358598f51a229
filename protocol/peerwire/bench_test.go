package peerwire_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// BenchmarkFleet reports what a fleet of planes exchanges in virtual time, at
// more than the design size's rate of changes: one ticket a minute and one
// restart in two minutes.
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
	x := newExchange(b, 9, hostsPerZone)
	x.source.file()
	x.startAll()
	ready := x.runUntil(time.Minute, func() bool { return x.allAt(1)() && x.allReady() })
	b.ReportMetric(ready.Seconds(), "cold-start-s")
	b.ReportMetric(float64(x.source.peak(start)), "cold-start-peak-reads/s")
	x.run(30 * time.Second)

	bytes, reads, began := x.bytes, x.source.total, x.now
	for _, n := range x.nodes {
		n.bytes = 0
	}
	slowest := time.Duration(0)
	for range 2 {
		slowest = max(slowest, x.runUntil(time.Minute, x.allAt(x.source.file())))
		x.run(30 * time.Second)
		x.restart(x.nodes[len(x.nodes)/2])
		x.run(30 * time.Second)
	}
	seconds := x.now.Sub(began).Seconds()
	busiest := 0
	for _, n := range x.nodes {
		busiest = max(busiest, n.bytes)
	}
	b.ReportMetric(float64(x.bytes-bytes)/seconds/float64(len(x.nodes)), "B/s/node")
	b.ReportMetric(float64(busiest)/seconds, "B/s/busiest")
	b.ReportMetric(float64(x.source.total-reads)/seconds, "reads/s")
	b.ReportMetric(float64(slowest.Milliseconds()), "converge-ms")

	began = x.now
	for i, n := range x.nodes {
		if i%2 == 0 {
			x.stop(n)
			x.start(n)
		}
	}
	back := x.runUntil(time.Minute, x.allReady)
	b.ReportMetric(back.Seconds(), "half-restarted-s")
	b.ReportMetric(float64(x.source.peak(began)), "half-restarted-peak-reads/s")
}

// restart has a node leave, go and come back, with the host list telling so
// later each time.
func (x *exchange) restart(n *node) {
	setPhase := func(phase state.HostPhase) func() {
		return func() {
			x.source.setList(func(hosts []state.Host) []state.Host {
				for i := range hosts {
					if hosts[i].Name == n.host.Name {
						hosts[i].Phase = phase
					}
				}
				return hosts
			})
		}
	}
	x.carryOut(n, n.plane.Leave(x.now))
	x.after(5*time.Second, setPhase(state.HostLeaving))
	x.after(6*time.Second, func() { x.stop(n) })
	x.after(8*time.Second, func() { x.start(n) })
	x.after(15*time.Second, setPhase(state.HostLive))
}
