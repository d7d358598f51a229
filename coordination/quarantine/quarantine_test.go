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
	poison   state.Fingerprint = 1
	innocent state.Fingerprint = 2
	stranger state.Fingerprint = 3
)

var epoch = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func newSuspects() *quarantine.Tracker { return quarantine.NewTracker(quarantine.Config{}) }

// crashTwice lets poison crash a backend server with innocent in flight, and
// then alone.
func crashTwice(suspects *quarantine.Tracker) []quarantine.Notice {
	first := suspects.RecordCrash(epoch, []state.Fingerprint{poison, innocent})
	return append(first, suspects.RecordCrash(epoch, []state.Fingerprint{poison})...)
}

func requireAlone(t *testing.T, suspects *quarantine.Tracker, now time.Time, fingerprint state.Fingerprint, want bool) {
	t.Helper()
	alone, refusal := suspects.Check(now, fingerprint)
	require.Nil(t, refusal)
	require.Equal(t, want, alone)
}

func requireQuarantined(t *testing.T, suspects *quarantine.Tracker, now time.Time, fingerprint state.Fingerprint) {
	t.Helper()
	_, refusal := suspects.Check(now, fingerprint)
	require.NotNil(t, refusal)
	require.Equal(t, state.RefusedQuarantined, refusal.Reason)
	require.Equal(t, state.OutcomeNotRun, refusal.Outcome)
	require.Positive(t, refusal.RetryAfter)
}

func TestRequestsInFlightAtACrashRunAlone(t *testing.T) {
	suspects := newSuspects()
	suspects.RecordCrash(epoch, []state.Fingerprint{poison, innocent})
	requireAlone(t, suspects, epoch, poison, true)
	requireAlone(t, suspects, epoch, innocent, true)
	requireAlone(t, suspects, epoch, stranger, false)
}

func TestSecondCrashAloneQuarantines(t *testing.T) {
	suspects := newSuspects()
	crashTwice(suspects)
	requireQuarantined(t, suspects, epoch, poison)
	requireAlone(t, suspects, epoch, innocent, true)
	suspects.RecordSurvival(epoch, innocent)
	requireAlone(t, suspects, epoch, innocent, false)
}

func TestInnocentInFlightAtTwoCrashesIsNotQuarantined(t *testing.T) {
	suspects := newSuspects()
	suspects.RecordCrash(epoch, []state.Fingerprint{poison, innocent})
	suspects.RecordCrash(epoch, []state.Fingerprint{poison, innocent})
	requireAlone(t, suspects, epoch, innocent, true)
	suspects.RecordSurvival(epoch, innocent)
	suspects.RecordCrash(epoch, []state.Fingerprint{innocent})
	requireAlone(t, suspects, epoch, innocent, true)
}

func TestQuarantineEndsInProbation(t *testing.T) {
	suspects := newSuspects()
	crashTwice(suspects)
	released := epoch.Add(quarantine.DefaultQuarantineDuration)
	requireQuarantined(t, suspects, released.Add(-1), poison)
	requireAlone(t, suspects, released, poison, true)
	suspects.RecordCrash(released, []state.Fingerprint{poison})
	requireQuarantined(t, suspects, released, poison)

	suspects.RecordSurvival(released.Add(quarantine.DefaultQuarantineDuration), poison)
	requireAlone(t, suspects, released.Add(quarantine.DefaultQuarantineDuration), poison, false)
}

func TestNoticesReachTheOtherGuards(t *testing.T) {
	guard, other, late := newSuspects(), newSuspects(), newSuspects()
	notices := crashTwice(guard)
	other.Merge(epoch, notices)
	requireQuarantined(t, other, epoch, poison)
	requireAlone(t, other, epoch, innocent, true)
	late.Merge(epoch, guard.Notices(epoch))
	requireQuarantined(t, late, epoch, poison)

	other.RecordSurvival(epoch, innocent)
	other.Merge(epoch, notices)
	requireAlone(t, other, epoch, innocent, false)

	// Notices that go round between guards don't prolong a quarantine.
	half := epoch.Add(quarantine.DefaultQuarantineDuration / 2)
	guard.Merge(half, other.Notices(half))
	other.Merge(half, guard.Notices(half))
	requireAlone(t, guard, epoch.Add(quarantine.DefaultQuarantineDuration), poison, true)

	forged := quarantine.Notice{Fingerprint: stranger, Phase: quarantine.PhaseQuarantined, Remaining: 1000 * time.Hour}
	other.Merge(epoch, []quarantine.Notice{forged, {Fingerprint: stranger, Phase: 9, Remaining: time.Hour}})
	requireAlone(t, other, epoch.Add(quarantine.DefaultQuarantineDuration), stranger, true)
}

// TestNoticeThatGoesRoundEnds has a notice come back to the guard it came from.
func TestNoticeThatGoesRoundEnds(t *testing.T) {
	guard, other := newSuspects(), newSuspects()
	notices := crashTwice(guard)
	const way = 40 * time.Millisecond
	passedOn := other.Merge(epoch.Add(way), notices)
	require.NotEmpty(t, passedOn)
	require.Empty(t, guard.Merge(epoch.Add(2*way), passedOn))
	require.Empty(t, other.Merge(epoch.Add(3*way), passedOn))
}

func TestRetryThatOvertakesTheNoticeIsQuarantinedAtItsSecondCrash(t *testing.T) {
	second := newSuspects()
	second.MarkSuspect(epoch, poison)
	requireAlone(t, second, epoch, poison, true)
	second.RecordCrash(epoch, []state.Fingerprint{poison})
	requireQuarantined(t, second, epoch, poison)
}

func TestFingerprintTellsRequestsApart(t *testing.T) {
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
