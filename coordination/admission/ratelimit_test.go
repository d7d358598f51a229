package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/wasabiport/wasabiport/coordination/admission"
	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/state"
)

func limitOf(perSecond float64) call.ServerReport {
	return call.ServerReport{RateLimit: call.RateLimit{Limited: true, PerSecond: perSecond}}
}

// nextGrant returns the time until the rate limit allows the next waiting call.
func nextGrant(t *testing.T, gate *admission.Gate, now time.Time) time.Duration {
	t.Helper()
	at, waiting := gate.NextGrant(now)
	require.True(t, waiting)
	return at.Sub(now)
}

func TestCallsStartAtTheReportedRateMostUrgentFirst(t *testing.T) {
	gate := newGate()
	gate.Report(epoch, 0, limitOf(2))
	require.True(t, granted(gate.Request(epoch, headOf(state.ClassNormal, "a"))))
	background := gate.Request(epoch, headOf(state.ClassBackground, "a"))
	critical := gate.Request(epoch, headOf(state.ClassCritical, "a"))
	require.Equal(t, 500*time.Millisecond, nextGrant(t, gate, epoch))
	gate.Tick(epoch.Add(499 * time.Millisecond))
	require.False(t, decided(critical))
	gate.Tick(epoch.Add(500 * time.Millisecond))
	require.True(t, granted(critical))
	require.False(t, decided(background))
	gate.Tick(epoch.Add(time.Second))
	require.True(t, granted(background))
	_, waiting := gate.NextGrant(epoch.Add(time.Second))
	require.False(t, waiting)
}

func TestEndOfRateLimitGrantsWaitingCalls(t *testing.T) {
	gate := newGate()
	gate.Report(epoch, 0, limitOf(0))
	require.True(t, granted(gate.Request(epoch, headOf(state.ClassNormal, "a"))), "only a call shows the end of the limit")
	waiting := gate.Request(epoch, headOf(state.ClassNormal, "a"))
	require.False(t, decided(waiting))
	change := gate.Report(epoch.Add(time.Second), 0, call.ServerReport{})
	require.True(t, change.RateLimitChanged)
	require.Equal(t, time.Second, change.Period)
	require.True(t, granted(waiting))
}

func TestCallThatTheRateLimitMakesTooLateIsRefusedAtOnce(t *testing.T) {
	gate := newGate()
	gate.Report(epoch, 0, limitOf(2))
	gate.Request(epoch, headOf(state.ClassNormal, "a"))
	head := headOf(state.ClassNormal, "a")
	head.Deadline = epoch.Add(499 * time.Millisecond)
	requireRefused(t, gate.Request(epoch, head), state.RefusedDeadline)
	head.Deadline = epoch.Add(501 * time.Millisecond)
	require.False(t, decided(gate.Request(epoch, head)))
}

func TestRateLimitEndsWithTheIncarnation(t *testing.T) {
	gate := newGate()
	restarted := testServer
	restarted.Incarnation = 2
	gate.Report(epoch, 0, limitOf(1))
	gate.Configure(epoch, restarted, testService)
	gate.Report(epoch, 0, limitOf(1))
	require.False(t, gate.Load().RateLimit.Limited, "a late answer of the earlier incarnation has no effect")
	require.False(t, gate.Load().Reported)
}

func TestGateThatHasNoAnswerYetAdoptsTheLimitOfEntryNodes(t *testing.T) {
	gate := newGate()
	head := headOf(state.ClassNormal, "a")
	for _, perSecond := range []float64{4, 2, 3} {
		head.RateLimit = limitOf(perSecond).RateLimit
		gate.Request(epoch, head)
	}
	require.Equal(t, limitOf(2).RateLimit, gate.Load().RateLimit)
	gate.Report(epoch, 0, limitOf(5))
	gate.Request(epoch, head)
	require.Equal(t, limitOf(5).RateLimit, gate.Load().RateLimit)
}

func TestLimitedServerOffersTheSlotsThatItCanUse(t *testing.T) {
	gate := newGate()
	recordServiceTime(gate, state.ClassNormal, 250*time.Millisecond)
	require.Equal(t, slots, gate.Load().Slots)
	gate.Report(epoch, 0, limitOf(8))
	require.Equal(t, 2, gate.Load().Slots)
}

// TestRateLimitHoldsForAnyCalls has calls of any class arrive, end and be withdrawn at
// random while the limit changes.
func TestRateLimitHoldsForAnyCalls(t *testing.T) {
	const window = 4 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		m := &gateModel{gate: newGate(), slots: slots, now: epoch, exclusive: make(map[*admission.Reservation]bool)}
		highest := rapid.Float64Range(0.2, 20).Draw(t, "limit")
		m.gate.Report(epoch, 0, limitOf(highest))
		var starts []time.Time
		t.Repeat(map[string]func(*rapid.T){
			"request": m.request,
			"release": m.release,
			"cancel":  m.cancel,
			"tick":    m.tick,
			"report": func(t *rapid.T) {
				m.gate.Report(m.now, 0, limitOf(rapid.Float64Range(0.1, highest).Draw(t, "lower limit")))
			},
			"": func(t *rapid.T) {
				m.moveDecided(func() { starts = append(starts, m.now) })
				for len(starts) > 0 && m.now.Sub(starts[0]) > window {
					starts = starts[1:]
				}
				require.LessOrEqual(t, float64(len(starts)), highest*window.Seconds()+max(1, highest/4)+1)
			},
		})
	})
}
