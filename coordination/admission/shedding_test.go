package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/coordination/admission"
)

// shedRounds has a gate that always has waiting calls run some rounds of as
// many calls as it grants, and returns the largest number of them at once in
// the last round. sheds says of a call whether the backend server declines it,
// by the number of the call and by how many run beside it.
func shedRounds(gate *admission.Gate, from time.Time, rounds int, sheds func(serial, beside int) bool) (last int, now time.Time) {
	now = from
	serial := 0
	for range rounds {
		now = now.Add(200 * time.Millisecond)
		var running []*admission.Reservation
		for range slots {
			pass := gate.Request(now, headOfAt(now))
			if granted(pass) {
				running = append(running, pass)
				continue
			}
			gate.Cancel(now, pass)
		}
		last = len(running)
		for beside, pass := range running {
			serial++
			result := admission.ResultSuccess
			if sheds(serial, beside) {
				result = admission.ResultShed
			}
			gate.ReleaseWithResult(now.Add(50*time.Millisecond), pass, result)
		}
	}
	return last, now
}

func TestShedsThatDoNotDependOnTheLoadLeaveTheSlotsInUse(t *testing.T) {
	gate := newGate()
	everyOther := func(serial, _ int) bool { return serial%2 == 0 }
	last, now := shedRounds(gate, epoch, 40, everyOther)
	require.Equal(t, slots, last, "half of the calls are answered whatever the load")

	last, now = shedRounds(gate, now, 40, func(int, int) bool { return false })
	require.Equal(t, slots, last)

	last, _ = shedRounds(gate, now, 40, func(_, beside int) bool { return beside >= slots/2 })
	require.LessOrEqual(t, last, slots/2+1, "the backend server sheds what goes beyond half of its slots")
}

func TestBackendServerThatShedsAllKeepsAReducedLimit(t *testing.T) {
	gate := newGate()
	last, _ := shedRounds(gate, epoch, 60, func(int, int) bool { return true })
	require.Less(t, last, slots/2)
}
