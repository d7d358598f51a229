package callrecord

import (
	"time"

	"github.com/google/uuid"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/coordination/keyowner"
	"github.com/wasabiport/wasabiport/state"
)

const uuidVersionWithTime = 7

// refuseOldKey refuses a key without a record when a call with it may have run
// before: under a predecessor of this node, whose records are lost, under the
// node that was asked for the key before, or so long ago that its record is
// forgotten.
func (r *Records) refuseOldKey(now time.Time, head call.Head, service state.Service) *state.Refusal {
	since, owned := r.recordsSince(head)
	if !owned {
		return mayHaveRunElsewhere()
	}
	retention := r.retentionOf(service)
	made, ok := keyTime(head.IdempotencyKey)
	if ok && !made.After(now.Add(r.config.ClockSkew)) {
		return r.refuseKeyMade(now, made, since, retention)
	}
	if all := since.Add(retention); now.Before(all) {
		refusal := mayHaveRunBeforeRecords()
		refusal.RetryAfter = all.Sub(now)
		return refusal
	}
	return nil
}

func (r *Records) refuseKeyMade(now, made, since time.Time, retention time.Duration) *state.Refusal {
	if !made.After(since.Add(r.config.ClockSkew)) {
		return mayHaveRunBeforeRecords()
	}
	if !now.Before(made.Add(retention - r.config.ClockSkew)) {
		return mayHaveRunForgotten()
	}
	return nil
}

// recordsSince returns the time from which every call with the key of head has
// left its record here, or false when other nodes are asked for the key.
func (r *Records) recordsSince(head call.Head) (time.Time, bool) {
	started := r.config.Started
	if r.config.KeyOwnership == nil {
		return started, true
	}
	since, owned := r.config.KeyOwnership.Since(keyowner.Query{
		Self:   head.BackendServer,
		Ticket: head.Ticket,
		Key:    keyowner.Key{Caller: head.Caller, Value: head.IdempotencyKey},
	})
	if settled := since.Add(r.config.PropagationTime); settled.After(started) {
		return settled, owned
	}
	return started, owned
}

func (r *Records) retentionOf(service state.Service) time.Duration {
	if service.RecordRetention > 0 {
		return service.RecordRetention
	}
	return r.config.Retention
}

// keyTime returns the time that a UUIDv7 key carries, to the millisecond.
func keyTime(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != uuidVersionWithTime {
		return time.Time{}, false
	}
	seconds, nanos := id.Time().UnixTime()
	return time.Unix(seconds, nanos), true
}
