package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/coordination/admission"
	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/state"
)

func headOf(class state.PriorityClass, caller state.CallerName) call.Head {
	return call.Head{Class: class, Caller: caller, Deadline: epoch.Add(time.Hour)}
}

func decided(pass *admission.Reservation) bool { return gateTicket{pass}.decided() }

func granted(pass *admission.Reservation) bool { return decided(pass) && pass.Refusal() == nil }

// fill takes all slots that are free.
func fill(t *testing.T, gate *admission.Gate, now time.Time) []*admission.Reservation {
	t.Helper()
	var running []*admission.Reservation
	for free := gate.Load().Slots - gate.Load().Running; free > 0; free-- {
		pass := gate.Request(now, headOf(state.ClassHigh, "filler"))
		require.True(t, granted(pass))
		running = append(running, pass)
	}
	return running
}

// teach lets the gate see calls of class that take service.
func teach(gate *admission.Gate, class state.PriorityClass, service time.Duration) {
	for range 1000 {
		gate.Release(epoch.Add(service), gate.Request(epoch, headOf(class, "teacher")))
	}
}

func requireRefused(t *testing.T, pass *admission.Reservation, reason state.RefusalReason) {
	t.Helper()
	require.True(t, decided(pass))
	require.NotNil(t, pass.Refusal())
	require.Equal(t, reason, pass.Refusal().Reason)
	require.Equal(t, state.OutcomeNotRun, pass.Refusal().Outcome)
}

func TestMostUrgentCallRunsNext(t *testing.T) {
	gate := newGate()
	running := fill(t, gate, epoch)
	background := gate.Request(epoch, headOf(state.ClassBackground, "a"))
	critical := gate.Request(epoch, headOf(state.ClassCritical, "b"))
	gate.Release(epoch, running[0])
	require.True(t, granted(critical))
	require.False(t, decided(background))
	require.True(t, gate.Cancel(epoch, critical))
	require.True(t, granted(background))
}

func TestCallersOfAClassTakeTurns(t *testing.T) {
	gate := newGate()
	running := fill(t, gate, epoch)
	var greedy []*admission.Reservation
	for range 10 {
		greedy = append(greedy, gate.Request(epoch, headOf(state.ClassNormal, "greedy")))
	}
	modest := gate.Request(epoch, headOf(state.ClassNormal, "modest"))
	gate.Release(epoch, running[0])
	gate.Release(epoch, running[1])
	require.True(t, granted(greedy[0]))
	require.True(t, granted(modest))
	require.False(t, decided(greedy[1]))
}

func TestFullQueueMakesRoomForACallerWithFewerCalls(t *testing.T) {
	gate := newGate()
	fill(t, gate, epoch)
	background := gate.Request(epoch, headOf(state.ClassBackground, "greedy"))
	var greedy []*admission.Reservation
	for range testService.QueueLimits[state.ClassNormal] {
		greedy = append(greedy, gate.Request(epoch, headOf(state.ClassNormal, "greedy")))
	}
	requireRefused(t, gate.Request(epoch, headOf(state.ClassNormal, "greedy")), state.RefusedQueueFull)
	modest := gate.Request(epoch, headOf(state.ClassNormal, "modest"))
	require.False(t, decided(modest))
	requireRefused(t, greedy[len(greedy)-1], state.RefusedQueueFull)
	require.False(t, decided(background), "a full queue takes nothing from other classes")
}

func TestPassIsRefusedWhenItsDeadlineComes(t *testing.T) {
	gate := newGate()
	fill(t, gate, epoch)
	head := headOf(state.ClassNormal, "a")
	head.Deadline = epoch.Add(time.Second)
	pass := gate.Request(epoch, head)
	gate.Tick(head.Deadline.Add(-1))
	require.False(t, decided(pass))
	gate.Tick(head.Deadline)
	requireRefused(t, pass, state.RefusedDeadline)
	requireRefused(t, gate.Request(head.Deadline, head), state.RefusedDeadline)
}

func TestDeadlineThatCannotBeMetIsRefusedAtOnce(t *testing.T) {
	gate := newGate()
	teach(gate, state.ClassNormal, 100*time.Millisecond)
	fill(t, gate, epoch)
	for range 2 * slots {
		gate.Request(epoch, headOf(state.ClassNormal, "a"))
	}
	head := headOf(state.ClassNormal, "a")
	// 12 calls on 6 slots are 200 ms of work; the call itself is 100 ms.
	head.Deadline = epoch.Add(299 * time.Millisecond)
	requireRefused(t, gate.Request(epoch, head), state.RefusedDeadline)
	head.Deadline = epoch.Add(301 * time.Millisecond)
	require.False(t, decided(gate.Request(epoch, head)))
}

func TestLongCallsLeaveSlotsToUrgentClasses(t *testing.T) {
	gate := newGate()
	teach(gate, state.ClassNormal, 5*time.Second)
	var held int
	for range slots {
		if granted(gate.Request(epoch.Add(time.Minute), headOf(state.ClassNormal, "files"))) {
			held++
		}
	}
	// There were no urgent calls of late, so that the headroom is kept free.
	require.Equal(t, slots-1, held)
	require.True(t, granted(gate.Request(epoch.Add(time.Minute), headOf(state.ClassCritical, "surgeon"))))
}

func TestDrainRefusesAllButTheRunning(t *testing.T) {
	tests := map[string]func(*admission.Gate){
		"announced": func(gate *admission.Gate) { gate.Drain(epoch) },
		"by ticket": func(gate *admission.Gate) {
			leaving := testServer
			leaving.Draining = true
			gate.Configure(epoch, leaving, testService)
		},
	}
	for name, drain := range tests {
		t.Run(name, func(t *testing.T) {
			gate := newGate()
			running := fill(t, gate, epoch)
			waiting := gate.Request(epoch, headOf(state.ClassCritical, "a"))
			alone := gate.RequestExclusive(epoch, headOf(state.ClassCritical, "a"))
			drain(gate)
			requireRefused(t, waiting, state.RefusedDraining)
			requireRefused(t, alone, state.RefusedDraining)
			requireRefused(t, gate.Request(epoch, headOf(state.ClassCritical, "a")), state.RefusedDraining)
			require.True(t, gate.Load().Draining)
			for _, pass := range running {
				require.False(t, isClosed(gate.Drained()))
				gate.Release(epoch, pass)
				gate.Release(epoch, pass)
			}
			require.True(t, isClosed(gate.Drained()))
			require.Zero(t, gate.Load().Running)
		})
	}
}

func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

func TestSlowStartRampsTheSlots(t *testing.T) {
	service := testService
	service.SlowStart = 10 * time.Second
	gate := admission.NewGate(testServer, service)
	gate.BeginSlowStart(epoch)
	require.Len(t, fill(t, gate, epoch), 1)
	waiting := gate.Request(epoch, headOf(state.ClassHigh, "a"))
	gate.Tick(epoch.Add(service.SlowStart / 2))
	require.True(t, granted(waiting))
	require.Equal(t, slots/2, gate.Load().Slots)
	gate.Tick(epoch.Add(service.SlowStart))
	require.Equal(t, slots, gate.Load().Slots)
}

func TestLimitFollowsTheBackendServer(t *testing.T) {
	trouble := map[string]func(gate *admission.Gate, now time.Time, pass *admission.Reservation){
		"sheds": func(gate *admission.Gate, now time.Time, pass *admission.Reservation) {
			gate.ReleaseWithResult(now, pass, admission.ResultShed)
		},
		"slows down": func(gate *admission.Gate, now time.Time, pass *admission.Reservation) {
			gate.Release(now.Add(10*time.Second), pass)
		},
	}
	for name, end := range trouble {
		t.Run(name, func(t *testing.T) {
			gate := newGate()
			teach(gate, state.ClassHigh, 10*time.Millisecond)
			now := epoch
			for range 30 {
				now = now.Add(20 * time.Second)
				end(gate, now, gate.Request(now, headOfAt(now)))
			}
			reduced := gate.Load().Slots
			require.Less(t, reduced, slots)
			require.GreaterOrEqual(t, reduced, 1)
			for range 2000 {
				now = now.Add(20 * time.Second)
				gate.Release(now.Add(10*time.Millisecond), gate.Request(now, headOfAt(now)))
			}
			require.Equal(t, slots, gate.Load().Slots)
		})
	}
}

func headOfAt(now time.Time) call.Head {
	return call.Head{Class: state.ClassHigh, Caller: "a", Deadline: now.Add(time.Minute)}
}

func TestSuspectRunsAlone(t *testing.T) {
	gate := newGate()
	running := fill(t, gate, epoch)
	alone := gate.RequestExclusive(epoch, headOf(state.ClassHigh, "suspect"))
	second := gate.RequestExclusive(epoch, headOf(state.ClassHigh, "suspect"))
	other := gate.Request(epoch, headOf(state.ClassCritical, "a"))
	for _, pass := range running {
		require.False(t, decided(alone))
		require.False(t, decided(other))
		gate.Release(epoch, pass)
	}
	require.True(t, granted(alone))
	require.False(t, decided(other))
	gate.Release(epoch, alone)
	require.True(t, granted(other))
	require.False(t, decided(second), "a second one waits for the calls that run")
	gate.Release(epoch, other)
	require.True(t, granted(second), "nothing else waits")
}

func BenchmarkRequestRelease(b *testing.B) {
	gate := newGate()
	head := headOf(state.ClassHigh, "a")
	now := epoch
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		gate.Release(now, gate.Request(now, head))
	}
}

func BenchmarkRequestReleaseWithFullQueues(b *testing.B) {
	const callers = 1000
	service := testService
	service.Floors = [state.ClassCount]float64{}
	service.QueueLimits = [state.ClassCount]int{callers, callers, callers, callers}
	gate := admission.NewGate(testServer, service)
	var passes []*admission.Reservation // in the order in which they are granted
	for i := range slots + callers {
		passes = append(passes, gate.Request(epoch, headOf(state.ClassCritical, callerName(i%callers))))
	}
	for i := range callers {
		for class := state.ClassHigh; class.Valid(); class++ {
			gate.Request(epoch, headOf(class, callerName(i)))
		}
	}
	now := epoch
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Microsecond)
		gate.Release(now, passes[0])
		passes = append(passes[1:], gate.Request(now, headOf(state.ClassCritical, callerName(i%callers))))
	}
	require.Equal(b, slots, gate.Load().Running)
	require.Equal(b, 4*callers, gate.Load().Waiting)
}

func callerName(i int) state.CallerName { return state.CallerName(fmt.Sprintf("caller-%d", i)) }

// TestRefusedCallsComeBackLaterTheLongerAnOverloadLasts fills the queue of a
// class and has calls of it come all the time.
func TestRefusedCallsComeBackLaterTheLongerAnOverloadLasts(t *testing.T) {
	gate := newGate()
	fill(t, gate, epoch)
	refused := func(now time.Time) time.Duration {
		for {
			pass := gate.Request(now, headOf(state.ClassHigh, "a"))
			if decided(pass) {
				requireRefused(t, pass, state.RefusedQueueFull)
				return pass.Refusal().RetryAfter
			}
		}
	}
	require.Equal(t, 300*time.Millisecond, refused(epoch))
	now := epoch
	for range 15 {
		now = now.Add(100 * time.Millisecond)
		refused(now)
	}
	require.Equal(t, 1500*time.Millisecond, refused(now))
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		refused(now)
	}
	require.Equal(t, 2*time.Second, refused(now))
	require.Equal(t, 300*time.Millisecond, refused(now.Add(5*time.Second)), "the overload was over")
}
