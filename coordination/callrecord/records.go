package callrecord

import (
	"time"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/coordination/keyowner"
	"github.com/wasabiport/wasabiport/state"
)

// recordBytes is what a record counts for beside its reply, in bytes.
const recordBytes = 256

// Records holds the calls with an idempotency key that this node runs or has
// run. It is safe for use by many threads; records are in shards by key.
type Records struct {
	config  Config
	records *state.ExpiringMap[keyowner.Key, *record]
}

type phase uint8

const (
	// phaseClaimed means that no byte has reached the backend server.
	phaseClaimed phase = iota
	// phaseSent means that bytes may have reached the backend server.
	phaseSent
	// phaseNotRun means that the call ended before any byte was sent.
	phaseNotRun
	// phaseDone means that the whole reply has come.
	phaseDone
	// phaseUnknown means that the call was sent and its reply was lost.
	phaseUnknown
)

// record is guarded by the lock of its shard until done is closed, and does
// not change afterwards.
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

// Begin says whether a call to service may run. Calls without a key, and
// idempotent calls, always may and leave no record.
func (r *Records) Begin(now time.Time, head call.Head, service state.Service) Claim {
	claim := Claim{Kind: ClaimRun, id: head.ID}
	if head.IdempotencyKey == "" || head.Idempotent {
		return claim
	}
	claim.key = keyowner.Key{Caller: head.Caller, Value: head.IdempotencyKey}
	stored := r.records.Update(now, claim.key, func(held *record, present bool) state.Change[*record] {
		if present {
			claim.meet(held, head)
			return state.Change[*record]{}
		}
		return r.beginNew(now, head, service, &claim)
	})
	if !stored {
		claim.refuse(notRunRecordsFull())
	}
	return claim
}

// MarkSent marks that bytes of the call are about to reach the backend server. It
// must be called before the first byte is written. From then on the call is
// never reported as not run.
func (r *Records) MarkSent(now time.Time, claim Claim) {
	r.changeInFlight(now, claim, func(held *record) state.Change[*record] {
		held.phase = phaseSent
		return state.Change[*record]{}
	})
}

// Finish records the whole reply of a claim of kind ClaimRun and wakes those
// that wait for it. It does nothing when the claim has ended before.
func (r *Records) Finish(now time.Time, claim Claim, recording *Recording) {
	r.end(now, claim, func(held *record) state.Change[*record] {
		return held.finish(now, recording)
	})
}

// Fail records that a claim of kind ClaimRun got no whole reply, wakes those
// that wait for it and returns the refusal that is true for the call: one that
// was sent may have run, whatever refusal says. It does nothing when the claim
// has ended before.
func (r *Records) Fail(now time.Time, claim Claim, refusal *state.Refusal) *state.Refusal {
	answer := refusal
	r.end(now, claim, func(held *record) state.Change[*record] {
		change := held.fail(now, refusal)
		answer = held.refusal
		return change
	})
	return answer
}

// Result returns what became of the call that a claim of kind ClaimWait waited
// for: a claim of kind ClaimReplay or ClaimRefused. It must not be called
// before Done is closed.
func (r *Records) Result(claim Claim) Claim {
	result := Claim{id: claim.id, key: claim.key}
	result.settle(claim.record)
	return result
}

// Len returns the number of calls on record.
func (r *Records) Len(now time.Time) int { return r.records.Len(now) }

func (r *Records) beginNew(
	now time.Time,
	head call.Head,
	service state.Service,
	claim *Claim,
) state.Change[*record] {
	if refusal := r.refuseOldKey(now, head, service); refusal != nil {
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

// end ends the record of a claim. When there is no room for the reply, the
// record keeps only that the call is done.
func (r *Records) end(now time.Time, claim Claim, change func(*record) state.Change[*record]) {
	ended := false
	stored := r.changeInFlight(now, claim, func(held *record) state.Change[*record] {
		ended = true
		return change(held)
	})
	if !ended {
		return
	}
	if !stored {
		r.records.Update(now, claim.key, func(held *record, _ bool) state.Change[*record] {
			held.reply = nil
			return held.keepFor(now, 0)
		})
	}
	close(claim.record.done)
}

// changeInFlight changes the record of a claim that has not ended. It returns
// false when there was no room for the change.
func (r *Records) changeInFlight(
	now time.Time,
	claim Claim,
	change func(*record) state.Change[*record],
) bool {
	if claim.Kind != ClaimRun || claim.record == nil {
		return true
	}
	return r.records.Update(now, claim.key, func(held *record, _ bool) state.Change[*record] {
		if held != claim.record || held.phase > phaseSent {
			return state.Change[*record]{}
		}
		return change(held)
	})
}
