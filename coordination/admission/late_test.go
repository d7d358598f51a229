package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/coordination/admission"
	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/state"
)

// headWithSoftDeadline returns a call of class with the given soft deadline.
func headWithSoftDeadline(class state.PriorityClass, softDeadline time.Time) call.Head {
	head := headOf(class, "a")
	head.SoftDeadline = softDeadline
	return head
}

func TestLateCallYieldsToCallsInTime(t *testing.T) {
	gate := newGate()
	recordServiceTime(gate, state.ClassCritical, 100*time.Millisecond)
	running := fill(t, gate, epoch)
	late := gate.Request(epoch, headWithSoftDeadline(state.ClassCritical, epoch.Add(-time.Second)))
	justLate := gate.Request(epoch, headWithSoftDeadline(state.ClassCritical, epoch.Add(50*time.Millisecond)))
	inTime := gate.Request(epoch, headWithSoftDeadline(state.ClassCritical, epoch.Add(time.Second)))
	for i, next := range []*admission.Reservation{inTime, late, justLate} {
		require.False(t, decided(next))
		gate.Release(epoch, running[i])
		require.True(t, granted(next), "grant %d", i)
	}
}

func TestOccupancyCountsByClass(t *testing.T) {
	gate := newGate()
	fill(t, gate, epoch)
	gate.Request(epoch, headWithSoftDeadline(state.ClassCritical, epoch.Add(time.Second)))
	gate.Request(epoch, headWithSoftDeadline(state.ClassCritical, epoch.Add(-time.Second)))
	gate.Request(epoch, headWithSoftDeadline(state.ClassNormal, epoch.Add(time.Second)))
	occupancy := gate.Occupancy()
	require.Equal(t, [state.ClassCount]int{state.ClassHigh: slots}, occupancy.Running)
	require.Equal(t, [state.ClassCount]int{state.ClassCritical: 2, state.ClassNormal: 1}, occupancy.Waiting)
	require.Equal(t, slots, occupancy.Slots)
}

func TestLateUrgentCallPrecedesLessUrgentCalls(t *testing.T) {
	gate := newGate()
	running := fill(t, gate, epoch)
	background := gate.Request(epoch, headWithSoftDeadline(state.ClassBackground, epoch.Add(time.Second)))
	late := gate.Request(epoch, headWithSoftDeadline(state.ClassCritical, epoch.Add(-time.Second)))
	gate.Release(epoch, running[0])
	require.True(t, granted(late))
	require.False(t, decided(background))
}

// TestCallThatBecomesLateInQueueYields covers a call that can no longer meet
// its soft deadline after waiting, while its class is not overloaded.
func TestCallThatBecomesLateInQueueYields(t *testing.T) {
	gate := newGate()
	recordServiceTime(gate, state.ClassCritical, 100*time.Millisecond)
	running := fill(t, gate, epoch)
	first := gate.Request(epoch, headWithSoftDeadline(state.ClassCritical, epoch.Add(250*time.Millisecond)))
	require.False(t, decided(first))
	now := epoch.Add(180 * time.Millisecond)
	gate.Tick(now)
	require.False(t, decided(first), "the call waits on as a late call")
	second := gate.Request(now, headWithSoftDeadline(state.ClassCritical, now.Add(time.Second)))
	gate.Release(now, running[0])
	require.True(t, granted(second))
	gate.Release(now, running[1])
	require.True(t, granted(first))
}

// TestCallLikelyInTimePrecedesLateCalls covers service times that vary so much
// that some calls are late even when they start immediately.
func TestCallLikelyInTimePrecedesLateCalls(t *testing.T) {
	gate := newGate()
	for range 200 {
		for _, service := range []time.Duration{100 * time.Millisecond, 700 * time.Millisecond} {
			gate.Release(epoch.Add(service), gate.Request(epoch, headOf(state.ClassCritical, "sample")))
		}
	}
	running := fill(t, gate, epoch)
	late := gate.Request(epoch, headWithSoftDeadline(state.ClassCritical, epoch.Add(-time.Second)))
	likely := gate.Request(epoch, headWithSoftDeadline(state.ClassCritical, epoch.Add(600*time.Millisecond)))
	require.False(t, decided(late))
	require.False(t, decided(likely))
	gate.Release(epoch, running[0])
	require.True(t, granted(likely))
	require.False(t, decided(late))
}
