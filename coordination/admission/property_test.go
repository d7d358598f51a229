package admission_test

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/wasabiport/wasabiport/coordination/admission"
	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/state"
)

// gateModel is the reference model: the waiting and running reservations
// without any order.
type gateModel struct {
	gate      *admission.Gate
	slots     int
	draining  bool
	now       time.Time
	waiting   []*admission.Reservation
	running   []*admission.Reservation
	exclusive map[*admission.Reservation]bool
}

func (m *gateModel) request(t *rapid.T) {
	head := call.Head{
		Class:    state.PriorityClass(rapid.IntRange(0, state.ClassCount-1).Draw(t, "class")),
		Caller:   rapid.SampledFrom([]state.CallerName{"a", "b", "c"}).Draw(t, "caller"),
		Deadline: m.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "deadline")) * time.Millisecond),
	}
	if rapid.Bool().Draw(t, "early soft deadline") {
		head.SoftDeadline = m.now.Add(head.Deadline.Sub(m.now) / 2)
	}
	request := m.gate.Request
	exclusive := rapid.IntRange(0, 9).Draw(t, "exclusive") == 0
	if exclusive {
		request = m.gate.RequestExclusive
	}
	reservation := request(m.now, head)
	m.exclusive[reservation] = exclusive
	m.waiting = append(m.waiting, reservation)
}

func (m *gateModel) release(t *rapid.T) {
	if len(m.running) == 0 {
		t.Skip("no running call")
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(t, "reservation")
	result := rapid.SampledFrom([]admission.Result{
		admission.ResultSuccess, admission.ResultShed, admission.ResultAborted,
	}).Draw(t, "result")
	m.gate.ReleaseWithResult(m.now, m.running[i], result)
	m.running = slices.Delete(m.running, i, i+1)
}

func (m *gateModel) cancel(t *rapid.T) {
	if len(m.waiting) == 0 {
		t.Skip("no waiting call")
	}
	i := rapid.IntRange(0, len(m.waiting)-1).Draw(t, "reservation")
	require.False(t, m.gate.Cancel(m.now, m.waiting[i]))
	m.waiting = slices.Delete(m.waiting, i, i+1)
}

func (m *gateModel) tick(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
	m.gate.Tick(m.now)
}

func (m *gateModel) configure(t *rapid.T) {
	server := testServer
	server.Slots = rapid.IntRange(0, slots).Draw(t, "slots")
	m.slots = server.Slots
	m.gate.Configure(m.now, server, testService)
}

func (m *gateModel) drain(t *rapid.T) {
	if rapid.IntRange(0, 19).Draw(t, "drain") > 0 {
		t.Skip("drain rarely")
	}
	m.draining = true
	m.gate.Drain(m.now)
}

// moveDecided removes the decided reservations from the waiting ones, and calls started
// for each that was granted.
func (m *gateModel) moveDecided(started func()) {
	m.waiting = slices.DeleteFunc(m.waiting, func(reservation *admission.Reservation) bool {
		if !decided(reservation) {
			return false
		}
		if granted(reservation) {
			m.running = append(m.running, reservation)
			started()
		}
		return true
	})
}

// check moves the decided reservations and compares the gate with the model.
func (m *gateModel) check(t *rapid.T) {
	before := len(m.running)
	m.moveDecided(func() {})
	hint := m.gate.Load()
	require.Equal(t, len(m.waiting), hint.Waiting, "a reservation was lost")
	require.Equal(t, len(m.running), hint.Running)
	if len(m.running) > before {
		require.LessOrEqual(t, len(m.running), m.slots, "more calls than slots")
	}
	exclusiveRuns := slices.ContainsFunc(m.running, func(reservation *admission.Reservation) bool { return m.exclusive[reservation] })
	exclusiveWaits := slices.ContainsFunc(m.waiting, func(reservation *admission.Reservation) bool { return m.exclusive[reservation] })
	if exclusiveRuns {
		require.Len(t, m.running, 1, "an exclusive call runs at the same time as others")
	}
	if !exclusiveRuns && !exclusiveWaits && hint.Running < hint.Slots {
		require.Zero(t, hint.Waiting, "a slot is free while calls wait")
	}
	require.Equal(t, m.draining && len(m.running) == 0, isClosed(m.gate.Drained()))
}

func TestGateMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := admission.DefaultConfig()
		config.LongCallThreshold = time.Hour
		m := &gateModel{
			gate:      admission.NewGateWithConfig(config, testServer, testService),
			slots:     slots,
			now:       epoch,
			exclusive: make(map[*admission.Reservation]bool),
		}
		t.Repeat(map[string]func(*rapid.T){
			"request":   m.request,
			"release":   m.release,
			"cancel":    m.cancel,
			"tick":      m.tick,
			"configure": m.configure,
			"drain":     m.drain,
			"":          m.check,
		})
	})
}

func TestFloorsHoldUnderAnyDemand(t *testing.T) {
	const length = 5 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		var loads []load
		for _, class := range state.Classes() {
			scaled := ordinary[class]
			scaled.service = time.Duration(rapid.IntRange(20, 200).Draw(t, "service ms")) * time.Millisecond
			scaled.perSec = slots / scaled.service.Seconds() * rapid.SampledFrom([]float64{0, 0.1, 2}).Draw(t, "demand")
			scaled.deadline = length
			scaled.target = length
			if scaled.perSec > 0 {
				loads = append(loads, scaled)
			}
		}
		outcomes := simulate(gateServer{newGate()}, rapid.Uint64().Draw(t, "seed"), length, loads...)
		for _, load := range loads {
			if load.perSec*load.service.Seconds() <= slots {
				continue // the class does not have waiting calls at all times
			}
			floor := testService.Floors[load.class] * slots * length.Seconds()
			// The first calls find the slots taken, and the last one does not
			// finish before the end.
			allowance := 0.05*floor + 3*load.service.Seconds()
			require.GreaterOrEqual(t, outcomes[load.class].slotTime.Seconds(), floor-allowance, load.class)
		}
	})
}

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"seed": "1", "nofailfile": "true"} {
		if err := flag.Set("rapid."+name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
