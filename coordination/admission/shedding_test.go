package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/coordination/admission"
)

// shedRounds keeps calls waiting at the gate, runs rounds of as many calls as
// the gate grants, and returns how many ran concurrently in the last round. sheds
// returns whether the backend server sheds a call, given the serial number of
// the call and the number of calls granted before it in the round.
func shedRounds(gate *admission.Gate, from time.Time, rounds int, sheds func(serial, grantedBefore int) bool) (last int, now time.Time) {
	now = from
	serial := 0
	for range rounds {
		now = now.Add(200 * time.Millisecond)
		var running []*admission.Reservation
		for range slots {
			reservation := gate.Request(now, headAt(now))
			if granted(reservation) {
				running = append(running, reservation)
				continue
			}
			gate.Cancel(now, reservation)
		}
		last = len(running)
		for grantedBefore, reservation := range running {
			serial++
			result := admission.ResultSuccess
			if sheds(serial, grantedBefore) {
				result = admission.ResultShed
			}
			gate.ReleaseWithResult(now.Add(50*time.Millisecond), reservation, result)
		}
	}
	return last, now
}

func TestLoadIndependentSheddingKeepsSlotsInUse(t *testing.T) {
	gate := newGate()
	everyOther := func(serial, _ int) bool { return serial%2 == 0 }
	last, now := shedRounds(gate, epoch, 40, everyOther)
	require.Equal(t, slots, last, "shedding that does not depend on the load must not reduce the slots in use")

	last, now = shedRounds(gate, now, 40, func(int, int) bool { return false })
	require.Equal(t, slots, last)

	last, _ = shedRounds(gate, now, 40, func(_, grantedBefore int) bool { return grantedBefore >= slots/2 })
	require.LessOrEqual(t, last, slots/2+1, "the limit must follow a backend server that sheds calls beyond half of its slots")
}

func TestSheddingAllCallsKeepsLimitReduced(t *testing.T) {
	gate := newGate()
	last, _ := shedRounds(gate, epoch, 60, func(int, int) bool { return true })
	require.Less(t, last, slots/2)
}
