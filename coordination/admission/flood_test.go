package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/coordination/admission"
	"github.com/wasabiport/wasabiport/state"
)

const (
	slots        = 6
	floodSeconds = 20
	// The bounds are the targets of the flood benchmark.
	minInTarget = 0.99
	minGoodput  = 0.95
)

var (
	epoch       = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	testServer  = state.BackendServer{Name: "desk-1", Slots: slots, Connections: 100}
	testService = state.Service{
		Name:        "desk",
		Floors:      [state.ClassCount]float64{0.4, 0.2, 0.1, 0.05},
		QueueLimits: [state.ClassCount]int{50, 50, 50, 50},
	}
	// ordinary is a load of 80% of the capacity: 6 slots and 20 ms per call
	// give 300 calls per second.
	ordinary = []load{
		{class: state.ClassCritical, perSec: 60, callers: 20, service: 20 * time.Millisecond, deadline: time.Second, target: 100 * time.Millisecond},
		{class: state.ClassHigh, perSec: 90, callers: 20, service: 20 * time.Millisecond, deadline: time.Second, target: 500 * time.Millisecond},
		{class: state.ClassNormal, perSec: 60, callers: 20, service: 20 * time.Millisecond, deadline: 2 * time.Second, target: time.Second},
		{class: state.ClassBackground, perSec: 30, callers: 20, service: 20 * time.Millisecond, deadline: 5 * time.Second, target: 5 * time.Second},
	}
)

// withFlood returns the ordinary loads and a flood of one class at 5 times the
// capacity.
func withFlood(class state.PriorityClass) []load {
	flood := ordinary[class]
	flood.perSec = 5 * slots / flood.service.Seconds()
	return append([]load{flood}, ordinary...)
}

func newGate() *admission.Gate { return admission.NewGate(testServer, testService) }

func TestFloodOfBackgroundClass(t *testing.T) {
	loads := withFlood(state.ClassBackground)
	gate := simulate(gateServer{newGate()}, 1, floodSeconds*time.Second, loads...)
	baseline := simulate(&fifoServer{slots: slots, queueLimit: 200}, 1, floodSeconds*time.Second, loads...)
	report(t, "gate", gate)
	report(t, "FIFO", baseline)

	require.GreaterOrEqual(t, inTarget(gate[state.ClassCritical]), minInTarget)
	require.GreaterOrEqual(t, inTarget(gate[state.ClassHigh]), minInTarget)
	require.GreaterOrEqual(t, goodput(gate), minGoodput)
	requireFloors(t, gate, loads)
	require.Less(t, inTarget(baseline[state.ClassCritical]), minInTarget,
		"the FIFO baseline meets the target as well, so the flood is too small to distinguish the two")
}

func TestFloodOfCriticalClass(t *testing.T) {
	loads := withFlood(state.ClassCritical)
	gate := simulate(gateServer{newGate()}, 1, floodSeconds*time.Second, loads...)
	baseline := simulate(&fifoServer{slots: slots, queueLimit: 200}, 1, floodSeconds*time.Second, loads...)
	report(t, "gate", gate)
	report(t, "FIFO", baseline)

	critical := gate[state.ClassCritical]
	require.GreaterOrEqual(t, float64(critical.inTarget)/float64(critical.answered), minInTarget,
		"urgent calls that are answered must meet the latency target")
	require.GreaterOrEqual(t, goodput(gate), minGoodput)
	requireFloors(t, gate, loads)
}

func TestLongCallsDoNotBlockUrgentCalls(t *testing.T) {
	files := load{
		class: state.ClassBackground, perSec: 15, callers: 20,
		service: 2 * time.Second, deadline: 30 * time.Second, target: 30 * time.Second,
	}
	readings := load{
		class: state.ClassCritical, perSec: 100, callers: 20,
		service: 10 * time.Millisecond, deadline: time.Second, target: 100 * time.Millisecond,
	}
	gate := newGate()
	recordServiceTime(gate, files.class, files.service)
	withFreeSlots := simulate(gateServer{gate}, 1, floodSeconds*time.Second, files, readings)
	report(t, "slots kept free", withFreeSlots)
	require.GreaterOrEqual(t, inTarget(withFreeSlots[state.ClassCritical]), minInTarget)

	config := admission.DefaultConfig()
	config.LongCallThreshold = time.Hour
	gate = admission.NewGateWithConfig(config, testServer, testService)
	withoutFreeSlots := simulate(gateServer{gate}, 1, floodSeconds*time.Second, files, readings)
	report(t, "no slots kept free", withoutFreeSlots)
	require.Less(t, inTarget(withoutFreeSlots[state.ClassCritical]), minInTarget)
}

func TestGreedyCallerDoesNotStarveOthers(t *testing.T) {
	modest := ordinary[state.ClassNormal]
	modest.callers = 1000
	modest.perSec = 150 // half of the capacity
	greedy := modest
	greedy.callers = 0
	greedy.perSec = 5 * slots / greedy.service.Seconds()
	greedy.uncounted = true
	gate := simulate(gateServer{newGate()}, 1, floodSeconds*time.Second, modest, greedy)
	baseline := simulate(&fifoServer{slots: slots, queueLimit: 200}, 1, floodSeconds*time.Second, modest, greedy)
	report(t, "gate", gate)
	report(t, "FIFO", baseline)
	require.GreaterOrEqual(t, inTarget(gate[state.ClassNormal]), minInTarget)
	require.Less(t, inTarget(baseline[state.ClassNormal]), minInTarget)
}

func TestOrdinaryLoadMeetsTargets(t *testing.T) {
	for class, counts := range simulate(gateServer{newGate()}, 1, floodSeconds*time.Second, ordinary...) {
		require.GreaterOrEqual(t, inTarget(counts), minInTarget, state.PriorityClass(class))
	}
}

// requireFloors checks that each class received its floor, or all the slot time
// that it demanded.
func requireFloors(t *testing.T, outcomes [state.ClassCount]outcome, loads []load) {
	t.Helper()
	var demand [state.ClassCount]time.Duration
	for _, load := range loads {
		demand[load.class] += time.Duration(load.perSec * floodSeconds * float64(load.service))
	}
	for class, counts := range outcomes {
		floor := time.Duration(testService.Floors[class] * slots * floodSeconds * float64(time.Second))
		// Allow 2% for random arrivals and for calls still running at the end.
		require.GreaterOrEqual(t, counts.slotTime.Seconds(), 0.98*min(floor, demand[class]).Seconds(),
			state.PriorityClass(class))
	}
}

func inTarget(counts outcome) float64 { return float64(counts.inTarget) / float64(counts.offered) }

// goodput is the share of the total slot time that was spent on calls answered
// by their deadline.
func goodput(outcomes [state.ClassCount]outcome) float64 {
	var answered time.Duration
	for _, counts := range outcomes {
		if counts.answered == 0 {
			continue
		}
		inTimeShare := float64(counts.answered) / float64(counts.answered+counts.late)
		answered += time.Duration(inTimeShare * float64(counts.slotTime))
	}
	return answered.Seconds() / (slots * floodSeconds)
}

func report(t *testing.T, name string, outcomes [state.ClassCount]outcome) {
	t.Helper()
	t.Logf("%s: goodput %.4f", name, goodput(outcomes))
	for class, counts := range outcomes {
		t.Logf("%s: %-10s offered %6d in target %.4f answered %6d refused %6d late %5d slot share %.4f",
			name, state.PriorityClass(class), counts.offered, inTarget(counts), counts.answered,
			counts.refused, counts.late, counts.slotTime.Seconds()/(slots*floodSeconds))
	}
}
