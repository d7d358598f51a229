package control_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/coordination/control"
	"github.com/wasabiport/wasabiport/state"
)

const benchPeers = 12

// benchPlane returns a plane with hosts in its host list, one evaluated ticket
// and benchPeers connected peers.
func benchPlane(b *testing.B, hosts int) (*control.Plane, []state.HostName) {
	plane, _ := newPlane(1)
	list := state.HostList{Version: 1, Hosts: []state.Host{{Name: "self", Zone: "north"}}}
	for i := range hosts - 1 {
		zone := state.AvailabilityZone(fmt.Sprintf("zone-%d", i%9))
		list.Hosts = append(list.Hosts, state.Host{Name: state.HostName(fmt.Sprintf("host-%d", i)), Zone: zone})
	}
	plane.HandleHostList(start, list)
	plane.HandleTickets(start, []state.Ticket{ticketOf(1)})
	var peers []state.HostName
	for i := range benchPeers {
		peers = append(peers, list.Hosts[i+1].Name)
		plane.Connected(start, peers[i])
	}
	plane.Tick(start)
	require.Equal(b, state.TicketNumber(1), plane.Version().Evaluated)
	return plane, peers
}

// BenchmarkSecond measures one second of a node without changes: one heartbeat
// and one offer from each peer, each followed by Tick and WantedPeers.
func BenchmarkSecond(b *testing.B) {
	for _, hosts := range []int{1000, 10_000} {
		b.Run(fmt.Sprintf("%d hosts", hosts), func(b *testing.B) {
			plane, peers := benchPlane(b, hosts)
			now, heartbeat := start, uint64(0)
			for b.Loop() {
				now = now.Add(time.Second)
				heartbeat++
				for _, peer := range peers {
					plane.Receive(now, peer, control.Offer{Version: plane.Version(), Incarnation: 1, Heartbeat: heartbeat})
					plane.Tick(now)
					plane.WantedPeers()
				}
			}
		})
	}
}

// BenchmarkMemory reports the heap size of a plane.
func BenchmarkMemory(b *testing.B) {
	for _, hosts := range []int{1000, 10_000} {
		b.Run(fmt.Sprintf("%d hosts", hosts), func(b *testing.B) {
			const planes = 8
			for b.Loop() {
				before := heapBytes()
				var kept []*control.Plane
				for range planes {
					plane, _ := benchPlane(b, hosts)
					kept = append(kept, plane)
				}
				b.ReportMetric(float64(heapBytes()-before)/planes/1e6, "MB/plane")
				runtime.KeepAlive(kept)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
