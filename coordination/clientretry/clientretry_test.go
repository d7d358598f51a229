package clientretry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/coordination/clientretry"
	"github.com/wasabiport/wasabiport/state"
)

var epoch = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

const request = state.Fingerprint(7)

func TestRetryKeepsFirstArrival(t *testing.T) {
	tracker := clientretry.NewTracker(clientretry.Config{})
	deadline := epoch.Add(4 * time.Second)
	first := tracker.Begin(epoch, request, deadline)
	require.Equal(t, epoch, first.FirstArrival)
	tracker.RecordRefusal(epoch.Add(10*time.Millisecond), first)

	later := epoch.Add(time.Second)
	second := tracker.Begin(later, request, deadline.Add(5*time.Millisecond))
	require.Equal(t, epoch, second.FirstArrival)
	tracker.RecordRefusal(later, second)
	third := tracker.Begin(later.Add(time.Second), request, deadline.Add(-5*time.Millisecond))
	require.Equal(t, epoch, third.FirstArrival, "the first arrival is that of the first of all attempts")
}

func TestRequestThatIsNoRetryIsNew(t *testing.T) {
	later := epoch.Add(time.Second)
	deadline := epoch.Add(4 * time.Second)
	tests := map[string]struct {
		fingerprint state.Fingerprint
		deadline    time.Time
		now         time.Time
	}{
		"another deadline":    {request, deadline.Add(200 * time.Millisecond), later},
		"another request":     {request + 1, deadline, later},
		"client has given up": {request, deadline, deadline},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tracker := clientretry.NewTracker(clientretry.Config{})
			tracker.RecordRefusal(epoch, tracker.Begin(epoch, request, deadline))
			require.Equal(t, test.now, tracker.Begin(test.now, test.fingerprint, test.deadline).FirstArrival)
		})
	}
}

func TestRefusedAttemptIsMatchedOnce(t *testing.T) {
	tracker := clientretry.NewTracker(clientretry.Config{})
	deadline := epoch.Add(4 * time.Second)
	for range 2 {
		tracker.RecordRefusal(epoch, tracker.Begin(epoch, request, deadline))
	}
	later := epoch.Add(time.Second)
	require.Equal(t, epoch, tracker.Begin(later, request, deadline).FirstArrival)
	require.Equal(t, later, tracker.Begin(later, request, deadline).FirstArrival, "both refusals were of the same request")
}

func TestTrackerLimitsNumberOfRequests(t *testing.T) {
	tracker := clientretry.NewTracker(clientretry.Config{MaxRequests: 64})
	deadline := epoch.Add(4 * time.Second)
	for fingerprint := range state.Fingerprint(10_000) {
		tracker.RecordRefusal(epoch, tracker.Begin(epoch, fingerprint, deadline))
	}
	for range 100 {
		tracker.RecordRefusal(epoch, clientretry.Attempt{Fingerprint: request, Deadline: deadline, FirstArrival: epoch})
	}
	later := epoch.Add(time.Second)
	remembered := 0
	for fingerprint := range state.Fingerprint(10_000) {
		if tracker.Begin(later, fingerprint, deadline).FirstArrival.Equal(epoch) {
			remembered++
		}
	}
	require.LessOrEqual(t, remembered, 64)
}
