package admission_test

import (
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/state"
)

func TestManyThreadsNeverExceedTheSlots(t *testing.T) {
	const threads, callsEach = 40, 200
	gate := newGate()
	var running, most, answered atomic.Int64
	var group sync.WaitGroup
	for i := range threads {
		group.Go(func() {
			class := state.PriorityClass(i % state.ClassCount)
			for range callsEach {
				pass := gate.Request(epoch, headOf(class, callerName(i)))
				<-pass.Decided()
				if pass.Refusal() != nil {
					continue
				}
				now := running.Add(1)
				for seen := most.Load(); now > seen && !most.CompareAndSwap(seen, now); seen = most.Load() {
				}
				answered.Add(1)
				running.Add(-1)
				gate.Release(epoch, pass)
			}
		})
	}
	group.Wait()
	require.LessOrEqual(t, most.Load(), int64(slots))
	require.Equal(t, int64(threads*callsEach), answered.Load(), "the queues hold all threads")
	require.Zero(t, gate.Load().Running)
	require.Zero(t, gate.Load().Waiting)
}
