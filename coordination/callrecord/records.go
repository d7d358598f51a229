package callrecord

import (
	"time"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/coordination/keyowner"
	"github.com/wasabiport/wasabiport/state"
)

// recordBytes is the approximate size of a record without its reply.
const recordBytes = 256

// Records holds the records of calls with an idempotency key that this node runs
// or has run. It is safe for concurrent use; records are sharded by key.
type Records struct {
	config  Config
	records *state.ExpiringMap[keyowner.Key, *record]
}

type phase uint8

const (
	// phaseClaimed means that nothing has been sent to the backend server.
	phaseClaimed phase = iota
	// phaseSent means that bytes may have reached the backend server.
	phaseSent
	// phaseNotRun means that the call failed before any byte was sent.
	phaseNotRun
	// phaseDone means that the complete reply was received.
	phaseDone
	// phaseReplyLost means that the call may have run but got no complete
	// reply.
	phaseReplyLost
)

// record is the state of one call. The lock of its shard guards it until done is
// closed; after that it is immutable.
type record struct {
	fingerprint state.Fingerprint
	retention   time.Duration
	phase       phase
	reply       *Reply
	refusal     *state.Refusal
	done        chan struct{}
}

// New returns empty records.
func New(config Config) *Records {
	config = config.withDefaults()
	return &Records{
		config: config,
		records: state.NewExpiringMap[keyowner.Key, *record](state.ExpiringMapConfig{
			Shards:    state.DefaultShardCount,
			MaxValues: config.MaxRecords,
			MaxBytes:  config.MaxBytes,
		}),
	}
}

// Begin claims the key of a call to service and returns how to proceed with it.
// Calls without a key and idempotent calls may always run and are not recorded.
func (r *Records) Begin(now time.Time, head call.Head, service state.Service) Claim {
	claim := Claim{Kind: ClaimRun, id: head.ID}
	if head.IdempotencyKey == "" || head.Idempotent {
		return claim
	}
	claim.key = keyowner.Key{Caller: head.Caller, Value: head.IdempotencyKey}
	stored := r.records.Update(now, claim.key, func(existing *record, present bool) state.Change[*record] {
		if present {
			claim.resolveExisting(existing, head)
			return state.Change[*record]{}
		}
		return r.createRecord(now, head, service, &claim)
	})
	if !stored {
		claim.refuse(notRunRecordsFull())
	}
	return claim
}

// MarkSent records that the call is about to be sent to the backend server. It
// must be called before the first byte is written. From then on, the call is never
// reported as not run.
func (r *Records) MarkSent(now time.Time, claim Claim) {
	r.updateInFlight(now, claim, func(existing *record) state.Change[*record] {
		existing.phase = phaseSent
		return state.Change[*record]{}
	})
}

// Finish completes a claim of kind ClaimRun with a complete reply and notifies
// waiting resends. It has no effect if the claim was completed before.
func (r *Records) Finish(now time.Time, claim Claim, recording *Recording) {
	r.complete(now, claim, func(existing *record) state.Change[*record] {
		return existing.finish(now, recording)
	})
}

// Fail completes a claim of kind ClaimRun without a complete reply and notifies
// waiting resends. It returns the refusal for the caller: a call that was sent may
// have run, regardless of the outcome in refusal. Fail has no effect if the claim
// was completed before.
func (r *Records) Fail(now time.Time, claim Claim, refusal *state.Refusal) *state.Refusal {
	answer := refusal
	r.complete(now, claim, func(existing *record) state.Change[*record] {
		change := existing.fail(now, refusal)
		answer = existing.refusal
		return change
	})
	return answer
}

// Result returns the result of the call that a claim of kind ClaimWait waited for,
// as a claim of kind ClaimReplay or ClaimRefused. It must not be called before
// Claim.Done is closed.
func (r *Records) Result(claim Claim) Claim {
	result := Claim{id: claim.id, key: claim.key}
	result.resolve(claim.record)
	return result
}

// Len returns the number of records that have not expired at now.
func (r *Records) Len(now time.Time) int { return r.records.Len(now) }

// createRecord creates the record of a call whose key has none, unless a call with
// the key may have run before.
func (r *Records) createRecord(
	now time.Time,
	head call.Head,
	service state.Service,
	claim *Claim,
) state.Change[*record] {
	if refusal := r.refuseIfMayHaveRun(now, head, service); refusal != nil {
		claim.refuse(refusal)
		return state.Change[*record]{}
	}
	claim.record = &record{
		fingerprint: head.Fingerprint,
		retention:   r.retentionOf(service),
		done:        make(chan struct{}),
	}
	return state.Change[*record]{Kind: state.ChangePut, Value: claim.record, Bytes: recordBytes}
}

// complete applies the final change to the record of a claim and closes its done
// channel. If there is no capacity for the reply, the record is kept without it.
func (r *Records) complete(now time.Time, claim Claim, change func(*record) state.Change[*record]) {
	completed := false
	stored := r.updateInFlight(now, claim, func(existing *record) state.Change[*record] {
		completed = true
		return change(existing)
	})
	if !completed {
		return
	}
	if !stored {
		r.records.Update(now, claim.key, func(existing *record, _ bool) state.Change[*record] {
			existing.reply = nil
			return existing.retain(now, 0)
		})
	}
	close(claim.record.done)
}

// updateInFlight applies change to the record of a claim that is not complete. It
// returns false if there is no capacity for the changed record.
func (r *Records) updateInFlight(
	now time.Time,
	claim Claim,
	change func(*record) state.Change[*record],
) bool {
	if claim.Kind != ClaimRun || claim.record == nil {
		return true
	}
	return r.records.Update(now, claim.key, func(existing *record, _ bool) state.Change[*record] {
		if existing != claim.record || existing.phase > phaseSent {
			return state.Change[*record]{}
		}
		return change(existing)
	})
}
