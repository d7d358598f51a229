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
	// settled is a time at which no key can be older than the records.
	settled = started.Add(retention)
	service = state.Service{Name: "booking", RecordRetention: retention}
)

func newRecords() *callrecord.Records {
	return callrecord.New(callrecord.Config{Started: started, MaxReplyBytes: 16})
}

func payment(key string) call.Head {
	return call.Head{ID: "call-1", Caller: "clinic-7", IdempotencyKey: key, Fingerprint: 1}
}

func resend(head call.Head) call.Head {
	head.ID = "call-2"
	return head
}

// keyMadeAt returns a UUIDv7 that carries made.
func keyMadeAt(made time.Time) string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(made.UnixMilli())<<16)
	id[6] |= 0x70
	id[8] |= 0x80
	return id.String()
}

func TestResendOfADoneCallGetsTheRecordedReply(t *testing.T) {
	records := newRecords()
	head := payment("k")
	claim := records.Begin(settled, head, service)
	require.Equal(t, callrecord.ClaimRun, claim.Kind)
	records.MarkSent(settled, claim)
	recording := records.NewRecording(call.ReplyHead{ID: head.ID, Status: 201})
	recording.Append([]byte("booked"))
	records.Finish(settled, claim, recording)

	again := records.Begin(settled.Add(retention-1), resend(head), service)
	require.Equal(t, callrecord.ClaimReplay, again.Kind)
	require.Equal(t, 201, again.Reply.Head.Status)
	require.Equal(t, "booked", string(again.Reply.Body))
	require.Equal(t, state.CallID("call-2"), again.Reply.Head.ID)
}

func TestResendWaitsForTheCallInFlight(t *testing.T) {
	outcomes := map[string]struct {
		sent    bool
		end     func(*callrecord.Records, callrecord.Claim)
		kind    callrecord.ClaimKind
		outcome state.Outcome
	}{
		"done": {sent: true, kind: callrecord.ClaimReplay, end: func(r *callrecord.Records, c callrecord.Claim) {
			r.Finish(settled, c, r.NewRecording(call.ReplyHead{Status: 200}))
		}},
		"failed before it was sent": {kind: callrecord.ClaimRefused, outcome: state.OutcomeNotRun, end: fail},
		"failed after it was sent": {
			sent: true, kind: callrecord.ClaimRefused, outcome: state.OutcomeMayHaveRun, end: fail,
		},
	}
	for name, test := range outcomes {
		t.Run(name, func(t *testing.T) {
			records := newRecords()
			claim := records.Begin(settled, payment("k"), service)
			if test.sent {
				records.MarkSent(settled, claim)
			}
			waiter := records.Begin(settled, resend(payment("k")), service)
			require.Equal(t, callrecord.ClaimWait, waiter.Kind)
			require.NotPanics(t, func() {
				test.end(records, claim)
				test.end(records, claim)
			}, "a late second end is dropped")
			<-waiter.Done
			result := records.Result(waiter)
			require.Equal(t, test.kind, result.Kind)
			if result.Refusal != nil {
				require.Equal(t, test.outcome, result.Refusal.Outcome)
			}
		})
	}
}

// fail reports a refusal as "not run", which is untrue for a call that was
// sent.
func fail(records *callrecord.Records, claim callrecord.Claim) {
	records.Fail(settled, claim, state.NotRun(state.RefusedBackendServerFailed, "connection reset"))
}

func TestCallThatWasNotSentMayRunAgain(t *testing.T) {
	records := newRecords()
	claim := records.Begin(settled, payment("k"), service)
	fail(records, claim)
	require.Equal(t, callrecord.ClaimRun, records.Begin(settled, resend(payment("k")), service).Kind)
}

func TestCallThatWasSentNeverRunsAgain(t *testing.T) {
	records := newRecords()
	claim := records.Begin(settled, payment("k"), service)
	records.MarkSent(settled, claim)
	fail(records, claim)
	again := records.Begin(settled.Add(retention-1), resend(payment("k")), service)
	require.Equal(t, callrecord.ClaimRefused, again.Kind)
	require.Equal(t, state.OutcomeMayHaveRun, again.Refusal.Outcome)
}

func TestBeginJudgesKeysWithoutARecord(t *testing.T) {
	const skew = callrecord.DefaultClockSkew
	tests := map[string]struct {
		now     time.Time
		key     string
		refused bool
	}{
		"opaque key soon after the start":      {now: started.Add(time.Second), key: "k", refused: true},
		"opaque key when all older ones ended": {now: settled, key: "k"},
		"key made before the start":            {now: settled, key: keyMadeAt(started.Add(-time.Second)), refused: true},
		"key within the clock skew":            {now: settled, key: keyMadeAt(started.Add(skew)), refused: true},
		"key made after the start": {
			now: started.Add(skew + 2*time.Second), key: keyMadeAt(started.Add(skew + time.Second)),
		},
		"key whose record is forgotten": {
			now: settled.Add(time.Hour), key: keyMadeAt(settled.Add(time.Hour - retention)), refused: true,
		},
		"key from the future soon after the start": {
			now: started.Add(time.Second), key: keyMadeAt(started.Add(time.Hour)), refused: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			claim := newRecords().Begin(test.now, payment(test.key), service)
			if !test.refused {
				require.Equal(t, callrecord.ClaimRun, claim.Kind)
				return
			}
			require.Equal(t, callrecord.ClaimRefused, claim.Kind)
			require.Equal(t, state.OutcomeMayHaveRun, claim.Refusal.Outcome)
		})
	}
}

func TestKeyOfAnotherRequestIsAConflict(t *testing.T) {
	records := newRecords()
	records.Begin(settled, payment("k"), service)
	other := payment("k")
	other.Fingerprint = 2
	claim := records.Begin(settled, other, service)
	require.Equal(t, callrecord.ClaimRefused, claim.Kind)
	require.Equal(t, state.RefusedConflict, claim.Refusal.Reason)

	other.Caller = "clinic-8"
	require.Equal(t, callrecord.ClaimRun, records.Begin(settled, other, service).Kind,
		"callers don't share keys")
}

func TestReplyTooLargeForItsRecordIsRefusedTruthfully(t *testing.T) {
	records := newRecords()
	claim := records.Begin(settled, payment("k"), service)
	records.MarkSent(settled, claim)
	recording := records.NewRecording(call.ReplyHead{Status: 200})
	recording.Append(make([]byte, 10))
	recording.Append(make([]byte, 10))
	records.Finish(settled, claim, recording)
	again := records.Begin(settled, resend(payment("k")), service)
	require.Equal(t, callrecord.ClaimRefused, again.Kind)
	require.Equal(t, state.OutcomeMayHaveRun, again.Refusal.Outcome)
}

func TestFullRecordsRefuseNewKeysAndForgetNone(t *testing.T) {
	records := callrecord.New(callrecord.Config{Started: started, MaxRecords: 1})
	var refusals int
	claims := make(map[string]callrecord.Claim)
	for _, key := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m", "n"} {
		claim := records.Begin(settled, payment(key), service)
		if claim.Kind == callrecord.ClaimRefused {
			require.Equal(t, state.OutcomeNotRun, claim.Refusal.Outcome)
			refusals++
			continue
		}
		claims[key] = claim
		records.MarkSent(settled, claim)
		fail(records, claim)
	}
	// MaxRecords is raised to one record a shard.
	require.LessOrEqual(t, len(claims), state.DefaultShardCount)
	for key := range claims {
		require.Equal(t, callrecord.ClaimRefused, records.Begin(settled, resend(payment(key)), service).Kind)
	}
	require.Equal(t, len(claims), records.Len(settled))
	require.Zero(t, records.Len(settled.Add(retention)))
	require.Equal(t, 14, refusals+len(claims))
}

// takeover is the time from which all keys are owned.
type takeover struct{ since time.Time }

func (o takeover) Since(keyowner.Query) (time.Time, bool) { return o.since, !o.since.IsZero() }

func TestKeysThatWereTakenOver(t *testing.T) {
	const margin = callrecord.DefaultPropagationTime + callrecord.DefaultClockSkew
	taken := settled
	tests := map[string]struct {
		owners takeover
		made   time.Time
		kind   callrecord.ClaimKind
	}{
		"made before the takeover": {owners: takeover{taken}, made: taken.Add(-time.Second), kind: callrecord.ClaimRefused},
		"made while nodes may be behind": {
			owners: takeover{taken}, made: taken.Add(margin - time.Millisecond), kind: callrecord.ClaimRefused,
		},
		"made later":      {owners: takeover{taken}, made: taken.Add(margin + time.Millisecond), kind: callrecord.ClaimRun},
		"not taken over":  {made: taken.Add(time.Hour), kind: callrecord.ClaimRefused},
		"long since ours": {owners: takeover{started.Add(-time.Hour)}, made: started.Add(time.Minute), kind: callrecord.ClaimRun},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			records := callrecord.New(callrecord.Config{Started: started, KeyOwnership: test.owners})
			claim := records.Begin(test.made.Add(time.Second), payment(keyMadeAt(test.made)), service)
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
		// A retention's worth of 1000 calls a second is held.
		now := settled.Add(time.Duration(i) * time.Millisecond)
		claim := records.Begin(now, payment(strconv.Itoa(i)), service)
		records.MarkSent(now, claim)
		recording := records.NewRecording(call.ReplyHead{Status: 201})
		recording.Append([]byte("booked"))
		records.Finish(now, claim, recording)
	}
}
