package quarantine_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/coordination/quarantine"
	"github.com/wasabiport/wasabiport/state"
)

const (
	poison    state.Fingerprint = 1
	innocent  state.Fingerprint = 2
	unrelated state.Fingerprint = 3
)

var epoch = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func newTracker() *quarantine.Tracker { return quarantine.NewTracker(quarantine.Config{}) }

// crashTwice records two crashes with poison in flight: first together with
// innocent, then as the only request.
func crashTwice(tracker *quarantine.Tracker) []quarantine.Notice {
	first := tracker.RecordCrash(epoch, []state.Fingerprint{poison, innocent})
	return append(first, tracker.RecordCrash(epoch, []state.Fingerprint{poison})...)
}

func requireExclusive(t *testing.T, tracker *quarantine.Tracker, now time.Time, fingerprint state.Fingerprint, want bool) {
	t.Helper()
	exclusive, refusal := tracker.Check(now, fingerprint)
	require.Nil(t, refusal)
	require.Equal(t, want, exclusive)
}

func requireQuarantined(t *testing.T, tracker *quarantine.Tracker, now time.Time, fingerprint state.Fingerprint) {
	t.Helper()
	_, refusal := tracker.Check(now, fingerprint)
	require.NotNil(t, refusal)
	require.Equal(t, state.RefusedQuarantined, refusal.Reason)
	require.Equal(t, state.OutcomeNotRun, refusal.Outcome)
	require.Positive(t, refusal.RetryAfter)
}

func TestRequestsInFlightAtCrashRunExclusively(t *testing.T) {
	tracker := newTracker()
	tracker.RecordCrash(epoch, []state.Fingerprint{poison, innocent})
	requireExclusive(t, tracker, epoch, poison, true)
	requireExclusive(t, tracker, epoch, innocent, true)
	requireExclusive(t, tracker, epoch, unrelated, false)
}

func TestSuspectThatCrashesServerExclusivelyIsQuarantined(t *testing.T) {
	tracker := newTracker()
	crashTwice(tracker)
	requireQuarantined(t, tracker, epoch, poison)
	requireExclusive(t, tracker, epoch, innocent, true)
	tracker.RecordSurvival(epoch, innocent)
	requireExclusive(t, tracker, epoch, innocent, false)
}

func TestRequestInFlightAtTwoSharedCrashesIsNotQuarantined(t *testing.T) {
	tracker := newTracker()
	tracker.RecordCrash(epoch, []state.Fingerprint{poison, innocent})
	tracker.RecordCrash(epoch, []state.Fingerprint{poison, innocent})
	requireExclusive(t, tracker, epoch, innocent, true)
	tracker.RecordSurvival(epoch, innocent)
	tracker.RecordCrash(epoch, []state.Fingerprint{innocent})
	requireExclusive(t, tracker, epoch, innocent, true)
}

func TestRequestIsSuspectAfterQuarantine(t *testing.T) {
	tracker := newTracker()
	crashTwice(tracker)
	released := epoch.Add(quarantine.DefaultQuarantineDuration)
	requireQuarantined(t, tracker, released.Add(-1), poison)
	requireExclusive(t, tracker, released, poison, true)
	tracker.RecordCrash(released, []state.Fingerprint{poison})
	requireQuarantined(t, tracker, released, poison)

	tracker.RecordSurvival(released.Add(quarantine.DefaultQuarantineDuration), poison)
	requireExclusive(t, tracker, released.Add(quarantine.DefaultQuarantineDuration), poison, false)
}

func TestNoticesTransferPhases(t *testing.T) {
	guard, other, restarted := newTracker(), newTracker(), newTracker()
	notices := crashTwice(guard)
	other.Merge(epoch, notices)
	requireQuarantined(t, other, epoch, poison)
	requireExclusive(t, other, epoch, innocent, true)
	restarted.Merge(epoch, guard.Notices(epoch))
	requireQuarantined(t, restarted, epoch, poison)

	other.RecordSurvival(epoch, innocent)
	other.Merge(epoch, notices)
	requireExclusive(t, other, epoch, innocent, false)

	// Notices that circulate between guards do not extend a quarantine.
	half := epoch.Add(quarantine.DefaultQuarantineDuration / 2)
	guard.Merge(half, other.Notices(half))
	other.Merge(half, guard.Notices(half))
	requireExclusive(t, guard, epoch.Add(quarantine.DefaultQuarantineDuration), poison, true)

	forged := quarantine.Notice{Fingerprint: unrelated, Phase: quarantine.PhaseQuarantined, Remaining: 1000 * time.Hour}
	other.Merge(epoch, []quarantine.Notice{forged, {Fingerprint: unrelated, Phase: 9, Remaining: time.Hour}})
	requireExclusive(t, other, epoch.Add(quarantine.DefaultQuarantineDuration), unrelated, true)
}

// TestNoticeIsNotForwardedForever guards against notices that circulate forever.
// The remaining time in a notice does not decrease in transit, so a notice that
// returns to its sender seems to extend the phase.
func TestNoticeIsNotForwardedForever(t *testing.T) {
	guard, other := newTracker(), newTracker()
	notices := crashTwice(guard)
	const latency = 40 * time.Millisecond
	forwarded := other.Merge(epoch.Add(latency), notices)
	require.NotEmpty(t, forwarded)
	require.Empty(t, guard.Merge(epoch.Add(2*latency), forwarded))
	require.Empty(t, other.Merge(epoch.Add(3*latency), forwarded))
}

func TestRetryThatArrivesBeforeNoticeIsQuarantinedAfterSecondCrash(t *testing.T) {
	second := newTracker()
	second.MarkSuspect(epoch, poison)
	requireExclusive(t, second, epoch, poison, true)
	second.RecordCrash(epoch, []state.Fingerprint{poison})
	requireQuarantined(t, second, epoch, poison)
}

func TestFingerprintDistinguishesRequests(t *testing.T) {
	fingerprint := call.FingerprintOf("imaging", "POST", "/scans?eye=left", []byte("scan"))
	require.Equal(t, fingerprint, call.FingerprintOf("imaging", "POST", "/scans?eye=left", []byte("scan")))
	others := []state.Fingerprint{
		call.FingerprintOf("booking", "POST", "/scans?eye=left", []byte("scan")),
		call.FingerprintOf("imaging", "PUT", "/scans?eye=left", []byte("scan")),
		call.FingerprintOf("imaging", "POST", "/scans?eye=right", []byte("scan")),
		call.FingerprintOf("imaging", "POST", "/scans?eye=lef", []byte("tscan")),
	}
	require.NotContains(t, others, fingerprint)
	long := make([]byte, call.MaxFingerprintBytes)
	require.Equal(t, call.FingerprintOf("s", "POST", "/", long), call.FingerprintOf("s", "POST", "/", append(long, 1)))
}
