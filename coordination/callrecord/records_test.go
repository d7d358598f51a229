package callrecord_test

import (
	"encoding/binary"
	"strconv"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/coordination/callrecord"
	"github.com/wasabiport/wasabiport/coordination/keyowner"
	"github.com/wasabiport/wasabiport/state"
)

const retention = 10 * time.Minute

var (
	started = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	// recordsComplete is the time from which even keys without a timestamp are
	// accepted: all calls from before the start are older than the retention.
	recordsComplete = started.Add(retention)
	service         = state.Service{Name: "booking", RecordRetention: retention}
)

func newRecords() *callrecord.Records {
	return callrecord.New(callrecord.Config{Started: started, MaxReplyBytes: 16})
}

func bookingCall(key string) call.Head {
	return call.Head{ID: "call-1", Caller: "clinic-7", IdempotencyKey: key, Fingerprint: 1}
}

// resend returns the call as the caller sends it again, with a new call ID.
func resend(head call.Head) call.Head {
	head.ID = "call-2"
	return head
}

// keyCreatedAt returns a UUIDv7 key with the timestamp createdAt.
func keyCreatedAt(createdAt time.Time) string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(createdAt.UnixMilli())<<16)
	id[6] |= 0x70
	id[8] |= 0x80
	return id.String()
}

func TestResendOfCompletedCallReplaysReply(t *testing.T) {
	records := newRecords()
	head := bookingCall("k")
	claim := records.Begin(recordsComplete, head, service)
	require.Equal(t, callrecord.ClaimRun, claim.Kind)
	records.MarkSent(recordsComplete, claim)
	recording := records.NewRecording(call.ReplyHead{ID: head.ID, Status: 201})
	recording.Append([]byte("booked"))
	records.Finish(recordsComplete, claim, recording)

	again := records.Begin(recordsComplete.Add(retention-1), resend(head), service)
	require.Equal(t, callrecord.ClaimReplay, again.Kind)
	require.Equal(t, 201, again.Reply.Head.Status)
	require.Equal(t, "booked", string(again.Reply.Body))
	require.Equal(t, state.CallID("call-2"), again.Reply.Head.ID)
}

func TestResendWaitsForCallInFlight(t *testing.T) {
	outcomes := map[string]struct {
		sent    bool
		end     func(*callrecord.Records, callrecord.Claim)
		kind    callrecord.ClaimKind
		outcome state.Outcome
	}{
		"done": {sent: true, kind: callrecord.ClaimReplay, end: func(r *callrecord.Records, c callrecord.Claim) {
			r.Finish(recordsComplete, c, r.NewRecording(call.ReplyHead{Status: 200}))
		}},
		"failed before it was sent": {kind: callrecord.ClaimRefused, outcome: state.OutcomeNotRun, end: fail},
		"failed after it was sent": {
			sent: true, kind: callrecord.ClaimRefused, outcome: state.OutcomeMayHaveRun, end: fail,
		},
	}
	for name, test := range outcomes {
		t.Run(name, func(t *testing.T) {
			records := newRecords()
			claim := records.Begin(recordsComplete, bookingCall("k"), service)
			if test.sent {
				records.MarkSent(recordsComplete, claim)
			}
			waiter := records.Begin(recordsComplete, resend(bookingCall("k")), service)
			require.Equal(t, callrecord.ClaimWait, waiter.Kind)
			require.NotPanics(t, func() {
				test.end(records, claim)
				test.end(records, claim)
			}, "completing a claim again has no effect")
			<-waiter.Done
			result := records.Result(waiter)
			require.Equal(t, test.kind, result.Kind)
			if result.Refusal != nil {
				require.Equal(t, test.outcome, result.Refusal.Outcome)
			}
		})
	}
}

// fail completes claim with OutcomeNotRun, which is wrong for a call that was
// sent.
func fail(records *callrecord.Records, claim callrecord.Claim) {
	records.Fail(recordsComplete, claim, state.NotRun(state.RefusedBackendServerFailed, "connection reset"))
}

func TestUnsentCallMayRunAgain(t *testing.T) {
	records := newRecords()
	claim := records.Begin(recordsComplete, bookingCall("k"), service)
	fail(records, claim)
	require.Equal(t, callrecord.ClaimRun, records.Begin(recordsComplete, resend(bookingCall("k")), service).Kind)
}

func TestSentCallNeverRunsAgain(t *testing.T) {
	records := newRecords()
	claim := records.Begin(recordsComplete, bookingCall("k"), service)
	records.MarkSent(recordsComplete, claim)
	fail(records, claim)
	again := records.Begin(recordsComplete.Add(retention-1), resend(bookingCall("k")), service)
	require.Equal(t, callrecord.ClaimRefused, again.Kind)
	require.Equal(t, state.OutcomeMayHaveRun, again.Refusal.Outcome)
}

func TestBeginRefusesUnrecordedKeysThatMayHaveRun(t *testing.T) {
	const skew = callrecord.DefaultClockSkew
	tests := map[string]struct {
		now     time.Time
		key     string
		refused bool
	}{
		"opaque key soon after the start":     {now: started.Add(time.Second), key: "k", refused: true},
		"opaque key after the retention time": {now: recordsComplete, key: "k"},
		"key created before the start":        {now: recordsComplete, key: keyCreatedAt(started.Add(-time.Second)), refused: true},
		"key within the clock skew":           {now: recordsComplete, key: keyCreatedAt(started.Add(skew)), refused: true},
		"key created after the start": {
			now: started.Add(skew + 2*time.Second), key: keyCreatedAt(started.Add(skew + time.Second)),
		},
		"key whose record has expired": {
			now: recordsComplete.Add(time.Hour), key: keyCreatedAt(recordsComplete.Add(time.Hour - retention)), refused: true,
		},
		"key from the future soon after the start": {
			now: started.Add(time.Second), key: keyCreatedAt(started.Add(time.Hour)), refused: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			claim := newRecords().Begin(test.now, bookingCall(test.key), service)
			if !test.refused {
				require.Equal(t, callrecord.ClaimRun, claim.Kind)
				return
			}
			require.Equal(t, callrecord.ClaimRefused, claim.Kind)
			require.Equal(t, state.OutcomeMayHaveRun, claim.Refusal.Outcome)
		})
	}
}

func TestKeyReuseForDifferentRequestIsConflict(t *testing.T) {
	records := newRecords()
	records.Begin(recordsComplete, bookingCall("k"), service)
	other := bookingCall("k")
	other.Fingerprint = 2
	claim := records.Begin(recordsComplete, other, service)
	require.Equal(t, callrecord.ClaimRefused, claim.Kind)
	require.Equal(t, state.RefusedConflict, claim.Refusal.Reason)

	other.Caller = "clinic-8"
	require.Equal(t, callrecord.ClaimRun, records.Begin(recordsComplete, other, service).Kind,
		"keys are scoped to a caller")
}

func TestResendAfterTooLargeReplyIsRefusedAsMayHaveRun(t *testing.T) {
	records := newRecords()
	claim := records.Begin(recordsComplete, bookingCall("k"), service)
	records.MarkSent(recordsComplete, claim)
	recording := records.NewRecording(call.ReplyHead{Status: 200})
	recording.Append(make([]byte, 10))
	recording.Append(make([]byte, 10))
	records.Finish(recordsComplete, claim, recording)
	again := records.Begin(recordsComplete, resend(bookingCall("k")), service)
	require.Equal(t, callrecord.ClaimRefused, again.Kind)
	require.Equal(t, state.OutcomeMayHaveRun, again.Refusal.Outcome)
}

func TestFullRecordsRefuseNewKeysAndEvictNone(t *testing.T) {
	records := callrecord.New(callrecord.Config{Started: started, MaxRecords: 1})
	var refusals int
	claims := make(map[string]callrecord.Claim)
	for _, key := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m", "n"} {
		claim := records.Begin(recordsComplete, bookingCall(key), service)
		if claim.Kind == callrecord.ClaimRefused {
			require.Equal(t, state.OutcomeNotRun, claim.Refusal.Outcome)
			refusals++
			continue
		}
		claims[key] = claim
		records.MarkSent(recordsComplete, claim)
		fail(records, claim)
	}
	// Each shard holds at least one record, regardless of MaxRecords.
	require.LessOrEqual(t, len(claims), state.DefaultShardCount)
	for key := range claims {
		require.Equal(t, callrecord.ClaimRefused, records.Begin(recordsComplete, resend(bookingCall(key)), service).Kind)
	}
	require.Equal(t, len(claims), records.Len(recordsComplete))
	require.Zero(t, records.Len(recordsComplete.Add(retention)))
	require.Equal(t, 14, refusals+len(claims))
}

// ownership reports that all keys have been owned since the given time, or that
// none is owned if the time is zero.
type ownership struct{ since time.Time }

func (o ownership) OwnedSince(keyowner.Query) (time.Time, bool) { return o.since, !o.since.IsZero() }

func TestBeginRefusesKeysFromBeforeTakeover(t *testing.T) {
	const margin = callrecord.DefaultPropagationTime + callrecord.DefaultClockSkew
	takenOver := recordsComplete
	tests := map[string]struct {
		owned     ownership
		createdAt time.Time
		kind      callrecord.ClaimKind
	}{
		"created before the takeover": {owned: ownership{takenOver}, createdAt: takenOver.Add(-time.Second), kind: callrecord.ClaimRefused},
		"created while nodes may have the old configuration": {
			owned: ownership{takenOver}, createdAt: takenOver.Add(margin - time.Millisecond), kind: callrecord.ClaimRefused,
		},
		"created later":                {owned: ownership{takenOver}, createdAt: takenOver.Add(margin + time.Millisecond), kind: callrecord.ClaimRun},
		"not owned":                    {createdAt: takenOver.Add(time.Hour), kind: callrecord.ClaimRefused},
		"owned since before the start": {owned: ownership{started.Add(-time.Hour)}, createdAt: started.Add(time.Minute), kind: callrecord.ClaimRun},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			records := callrecord.New(callrecord.Config{Started: started, KeyOwnership: test.owned})
			claim := records.Begin(test.createdAt.Add(time.Second), bookingCall(keyCreatedAt(test.createdAt)), service)
			require.Equal(t, test.kind, claim.Kind)
			if test.kind == callrecord.ClaimRefused {
				require.Equal(t, state.OutcomeMayHaveRun, claim.Refusal.Outcome)
			}
		})
	}
}

func BenchmarkBeginSentFinish(b *testing.B) {
	records := callrecord.New(callrecord.Config{Started: started, MaxRecords: 1 << 20, MaxBytes: 1 << 30})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		// At 1000 calls per second, the records of one retention time are held.
		now := recordsComplete.Add(time.Duration(i) * time.Millisecond)
		claim := records.Begin(now, bookingCall(strconv.Itoa(i)), service)
		records.MarkSent(now, claim)
		recording := records.NewRecording(call.ReplyHead{Status: 201})
		recording.Append([]byte("booked"))
		records.Finish(now, claim, recording)
	}
}
