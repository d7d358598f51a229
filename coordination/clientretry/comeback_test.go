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

func TestRequestThatComesAgainIsCountedFromItsFirstAttempt(t *testing.T) {
	memory := clientretry.NewTracker(clientretry.Config{})
	deadline := epoch.Add(4 * time.Second)
	first := memory.Begin(epoch, request, deadline)
	require.Equal(t, epoch, first.FirstArrival)
	memory.RecordRefusal(epoch.Add(10*time.Millisecond), first)

	later := epoch.Add(time.Second)
	second := memory.Begin(later, request, deadline.Add(5*time.Millisecond))
	require.Equal(t, epoch, second.FirstArrival)
	memory.RecordRefusal(later, second)
	third := memory.Begin(later.Add(time.Second), request, deadline.Add(-5*time.Millisecond))
	require.Equal(t, epoch, third.FirstArrival, "counted from the first of all attempts")
}

func TestRequestsThatAreMerelyAlikeAreNew(t *testing.T) {
	later := epoch.Add(time.Second)
	deadline := epoch.Add(4 * time.Second)
	tests := map[string]struct {
		fingerprint state.Fingerprint
		deadline    time.Time
		now         time.Time
	}{
		"another deadline": {request, deadline.Add(200 * time.Millisecond), later},
		"another request":  {request + 1, deadline, later},
		"client has left":  {request, deadline, deadline},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			memory := clientretry.NewTracker(clientretry.Config{})
			memory.RecordRefusal(epoch, memory.Begin(epoch, request, deadline))
			require.Equal(t, test.now, memory.Begin(test.now, test.fingerprint, test.deadline).FirstArrival)
		})
	}
}

func TestEachRefusedAttemptComesAgainOnce(t *testing.T) {
	memory := clientretry.NewTracker(clientretry.Config{})
	deadline := epoch.Add(4 * time.Second)
	for range 2 {
		memory.RecordRefusal(epoch, memory.Begin(epoch, request, deadline))
	}
	later := epoch.Add(time.Second)
	require.Equal(t, epoch, memory.Begin(later, request, deadline).FirstArrival)
	require.Equal(t, later, memory.Begin(later, request, deadline).FirstArrival, "the second refusal was of the same request")
}

func TestMemoryIsBounded(t *testing.T) {
	memory := clientretry.NewTracker(clientretry.Config{MaxRequests: 64})
	deadline := epoch.Add(4 * time.Second)
	for fingerprint := range state.Fingerprint(10_000) {
		memory.RecordRefusal(epoch, memory.Begin(epoch, fingerprint, deadline))
	}
	for range 100 {
		memory.RecordRefusal(epoch, clientretry.Attempt{Fingerprint: request, Deadline: deadline, FirstArrival: epoch})
	}
	later := epoch.Add(time.Second)
	known := 0
	for fingerprint := range state.Fingerprint(10_000) {
		if memory.Begin(later, fingerprint, deadline).FirstArrival.Equal(epoch) {
			known++
		}
	}
	require.LessOrEqual(t, known, 64)
}
