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

// gateModel is the reference: the passes that wait and run, without any order.
type gateModel struct {
	gate     *admission.Gate
	slots    int
	draining bool
	now      time.Time
	waiting  []*admission.Reservation
	running  []*admission.Reservation
	alone    map[*admission.Reservation]bool
}

func (m *gateModel) request(t *rapid.T) {
	head := call.Head{
		Class:    state.PriorityClass(rapid.IntRange(0, state.ClassCount-1).Draw(t, "class")),
		Caller:   rapid.SampledFrom([]state.CallerName{"a", "b", "c"}).Draw(t, "caller"),
		Deadline: m.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "deadline")) * time.Millisecond),
	}
	if rapid.Bool().Draw(t, "wanted early") {
		head.SoftDeadline = m.now.Add(head.Deadline.Sub(m.now) / 2)
	}
	pass := m.gate.Request
	alone := rapid.IntRange(0, 9).Draw(t, "alone") == 0
	if alone {
		pass = m.gate.RequestExclusive
	}
	made := pass(m.now, head)
	m.alone[made] = alone
	m.waiting = append(m.waiting, made)
}

func (m *gateModel) release(t *rapid.T) {
	if len(m.running) == 0 {
		t.Skip("nothing runs")
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(t, "pass")
	result := rapid.SampledFrom([]admission.Result{
		admission.ResultSuccess, admission.ResultShed, admission.ResultAborted,
	}).Draw(t, "result")
	m.gate.ReleaseWithResult(m.now, m.running[i], result)
	m.running = slices.Delete(m.running, i, i+1)
}

func (m *gateModel) abandon(t *rapid.T) {
	if len(m.waiting) == 0 {
		t.Skip("nothing waits")
	}
	i := rapid.IntRange(0, len(m.waiting)-1).Draw(t, "pass")
	require.False(t, m.gate.Cancel(m.now, m.waiting[i]))
	m.waiting = slices.Delete(m.waiting, i, i+1)
}

func (m *gateModel) advance(t *rapid.T) {
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
		t.Skip("seldom")
	}
	m.draining = true
	m.gate.Drain(m.now)
}

// check moves the passes that were decided and compares the gate with the
// model.
func (m *gateModel) check(t *rapid.T) {
	before := len(m.running)
	m.waiting = slices.DeleteFunc(m.waiting, func(pass *admission.Reservation) bool {
		if !decided(pass) {
			return false
		}
		if granted(pass) {
			m.running = append(m.running, pass)
		}
		return true
	})
	hint := m.gate.Load()
	require.Equal(t, len(m.waiting), hint.Waiting, "a pass was lost")
	require.Equal(t, len(m.running), hint.Running)
	if len(m.running) > before {
		require.LessOrEqual(t, len(m.running), m.slots, "more calls than slots")
	}
	aloneRuns := slices.ContainsFunc(m.running, func(pass *admission.Reservation) bool { return m.alone[pass] })
	aloneWaits := slices.ContainsFunc(m.waiting, func(pass *admission.Reservation) bool { return m.alone[pass] })
	if aloneRuns {
		require.Len(t, m.running, 1, "a suspect runs with others")
	}
	if !aloneRuns && !aloneWaits && hint.Running < hint.Slots {
		require.Zero(t, hint.Waiting, "a slot is free while calls wait")
	}
	require.Equal(t, m.draining && len(m.running) == 0, isClosed(m.gate.Drained()))
}

func TestGateKeepsToItsModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := admission.DefaultConfig()
		config.LongCallThreshold = time.Hour
		m := &gateModel{
			gate:  admission.NewGateWithConfig(config, testServer, testService),
			slots: slots,
			now:   epoch,
			alone: make(map[*admission.Reservation]bool),
		}
		t.Repeat(map[string]func(*rapid.T){
			"request":   m.request,
			"release":   m.release,
			"abandon":   m.abandon,
			"advance":   m.advance,
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
			own := ordinary[class]
			own.service = time.Duration(rapid.IntRange(20, 200).Draw(t, "service ms")) * time.Millisecond
			own.perSec = slots / own.service.Seconds() * rapid.SampledFrom([]float64{0, 0.1, 2}).Draw(t, "demand")
			own.deadline = length
			own.target = length
			if own.perSec > 0 {
				loads = append(loads, own)
			}
		}
		outcomes := simulate(gateServer{newGate()}, rapid.Uint64().Draw(t, "seed"), length, loads...)
		for _, load := range loads {
			if load.perSec*load.service.Seconds() <= slots {
				continue // the class does not have work at all times
			}
			floor := testService.Floors[load.class] * slots * length.Seconds()
			// The first calls find the slots taken, and the last is cut off.
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
