package control_test

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/coordination/control"
	"github.com/wasabiport/wasabiport/state"
)

// TestConcurrentTicketEvaluation delivers the same tickets from several
// goroutines in different orders while other goroutines read snapshots. It
// guards against races that skip a ticket or replace a snapshot with an older
// one.
func TestConcurrentTicketEvaluation(t *testing.T) {
	const count, deliverers, readers = 100, 6, 3
	plane, snapshots := newPlane(1)
	delivered := make(chan struct{})
	var delivering, reading sync.WaitGroup
	for deliverer := range deliverers {
		delivering.Go(func() {
			random := rand.New(rand.NewPCG(uint64(deliverer), 5))
			peer := state.HostName(rune('a' + deliverer))
			plane.Connected(start, peer)
			for _, i := range random.Perm(count) {
				ticket := ticketOf(state.TicketNumber(i + 1))
				plane.Receive(start, peer, control.Tickets{Tickets: []state.Ticket{ticket}})
				plane.Receive(start, peer, control.Offer{Incarnation: 1, Heartbeat: uint64(i)})
				plane.Tick(start.Add(time.Duration(i) * time.Millisecond))
				plane.WantedPeers()
			}
			plane.Disconnected(start, peer)
		})
	}
	seen := make([]state.TicketNumber, readers)
	backwards := make([]bool, readers)
	for reader := range readers {
		reading.Go(func() {
			for {
				snapshot, changed := snapshots.Watch()
				backwards[reader] = backwards[reader] || snapshot.Evaluated() < seen[reader]
				seen[reader] = max(snapshots.Load().Evaluated(), snapshot.Evaluated())
				select {
				case <-changed:
				case <-delivered:
					return
				}
			}
		})
	}
	delivering.Wait()
	close(delivered)
	reading.Wait()
	require.NotContains(t, backwards, true)
	require.Equal(t, inOrder(count).Version(), snapshots.Load().Version())
}
