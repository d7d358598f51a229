package admission_test

import (
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/state"
)

func TestConcurrentRequestsNeverExceedSlots(t *testing.T) {
	const goroutines, callsEach = 40, 200
	gate := newGate()
	var running, peak, answered atomic.Int64
	var group sync.WaitGroup
	for i := range goroutines {
		group.Go(func() {
			class := state.PriorityClass(i % state.ClassCount)
			for range callsEach {
				reservation := gate.Request(epoch, headOf(class, callerName(i)))
				<-reservation.Decided()
				if reservation.Refusal() != nil {
					continue
				}
				now := running.Add(1)
				for seen := peak.Load(); now > seen && !peak.CompareAndSwap(seen, now); seen = peak.Load() {
				}
				answered.Add(1)
				running.Add(-1)
				gate.Release(epoch, reservation)
			}
		})
	}
	group.Wait()
	require.LessOrEqual(t, peak.Load(), int64(slots))
	require.Equal(t, int64(goroutines*callsEach), answered.Load(), "a call was refused although the queues have room for all goroutines")
	require.Zero(t, gate.Load().Running)
	require.Zero(t, gate.Load().Waiting)
}
