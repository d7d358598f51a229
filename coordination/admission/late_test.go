package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/coordination/admission"
	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/state"
)

// wantedAt returns a call of class whose users want the answer at a time.
func wantedAt(class state.PriorityClass, wanted time.Time) call.Head {
	head := headOf(class, "a")
	head.SoftDeadline = wanted
	return head
}

func TestCallThatCanOnlyBeLateYieldsToThoseThatCanBeInTime(t *testing.T) {
	gate := newGate()
	teach(gate, state.ClassCritical, 100*time.Millisecond)
	running := fill(t, gate, epoch)
	late := gate.Request(epoch, wantedAt(state.ClassCritical, epoch.Add(-time.Second)))
	justLate := gate.Request(epoch, wantedAt(state.ClassCritical, epoch.Add(50*time.Millisecond)))
	inTime := gate.Request(epoch, wantedAt(state.ClassCritical, epoch.Add(time.Second)))
	for i, next := range []*admission.Reservation{inTime, late, justLate} {
		require.False(t, decided(next))
		gate.Release(epoch, running[i])
		require.True(t, granted(next), "grant %d", i)
	}
}

func TestOccupancyCountsByClass(t *testing.T) {
	gate := newGate()
	fill(t, gate, epoch)
	gate.Request(epoch, wantedAt(state.ClassCritical, epoch.Add(time.Second)))
	gate.Request(epoch, wantedAt(state.ClassCritical, epoch.Add(-time.Second)))
	gate.Request(epoch, wantedAt(state.ClassNormal, epoch.Add(time.Second)))
	occupancy := gate.Occupancy()
	require.Equal(t, [state.ClassCount]int{state.ClassHigh: slots}, occupancy.Running)
	require.Equal(t, [state.ClassCount]int{state.ClassCritical: 2, state.ClassNormal: 1}, occupancy.Waiting)
	require.Equal(t, slots, occupancy.Slots)
}

func TestUrgentCallThatIsLateGoesBeforeLessUrgentOnes(t *testing.T) {
	gate := newGate()
	running := fill(t, gate, epoch)
	background := gate.Request(epoch, wantedAt(state.ClassBackground, epoch.Add(time.Second)))
	late := gate.Request(epoch, wantedAt(state.ClassCritical, epoch.Add(-time.Second)))
	gate.Release(epoch, running[0])
	require.True(t, granted(late))
	require.False(t, decided(background))
}

// TestCallThatWaitedUntilItIsLateYields has a call wait for so long that it can
// only be late, while the class is not overloaded.
func TestCallThatWaitedUntilItIsLateYields(t *testing.T) {
	gate := newGate()
	teach(gate, state.ClassCritical, 100*time.Millisecond)
	running := fill(t, gate, epoch)
	first := gate.Request(epoch, wantedAt(state.ClassCritical, epoch.Add(250*time.Millisecond)))
	require.False(t, decided(first))
	now := epoch.Add(180 * time.Millisecond)
	gate.Tick(now)
	require.False(t, decided(first), "it may be late")
	second := gate.Request(now, wantedAt(state.ClassCritical, now.Add(time.Second)))
	gate.Release(now, running[0])
	require.True(t, granted(second))
	gate.Release(now, running[1])
	require.True(t, granted(first))
}

// TestCallThatIsInTimeMoreOftenThanNotGoesBeforeLateOnes has calls run for such
// different times that some are late even when they start at once.
func TestCallThatIsInTimeMoreOftenThanNotGoesBeforeLateOnes(t *testing.T) {
	gate := newGate()
	for range 200 {
		for _, service := range []time.Duration{100 * time.Millisecond, 700 * time.Millisecond} {
			gate.Release(epoch.Add(service), gate.Request(epoch, headOf(state.ClassCritical, "teacher")))
		}
	}
	running := fill(t, gate, epoch)
	late := gate.Request(epoch, wantedAt(state.ClassCritical, epoch.Add(-time.Second)))
	likely := gate.Request(epoch, wantedAt(state.ClassCritical, epoch.Add(600*time.Millisecond)))
	require.False(t, decided(late))
	require.False(t, decided(likely))
	gate.Release(epoch, running[0])
	require.True(t, granted(likely))
	require.False(t, decided(late))
}
