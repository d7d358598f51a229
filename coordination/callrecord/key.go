package callrecord

import (
	"time"

	"github.com/google/uuid"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/coordination/keyowner"
	"github.com/wasabiport/wasabiport/state"
)

// uuidVersion7 is the UUID version that starts with a timestamp.
const uuidVersion7 = 7

// refuseIfMayHaveRun refuses a key without a record if a call with the key may
// have run before: in an earlier process on this node, whose records are lost, on
// the node that owned the key before, or so long ago that its record has expired.
// Keys without a timestamp are refused until every call from before the records
// is older than the retention time.
func (r *Records) refuseIfMayHaveRun(now time.Time, head call.Head, service state.Service) *state.Refusal {
	since, owned := r.recordsSince(head)
	if !owned {
		return mayHaveRunElsewhere()
	}
	retention := r.retentionOf(service)
	createdAt, ok := keyTime(head.IdempotencyKey)
	if ok && !createdAt.After(now.Add(r.config.ClockSkew)) {
		return r.refuseByKeyTime(now, createdAt, since, retention)
	}
	if completeAt := since.Add(retention); now.Before(completeAt) {
		refusal := mayHaveRunBeforeRecords()
		refusal.RetryAfter = completeAt.Sub(now)
		return refusal
	}
	return nil
}

func (r *Records) refuseByKeyTime(now, createdAt, since time.Time, retention time.Duration) *state.Refusal {
	if !createdAt.After(since.Add(r.config.ClockSkew)) {
		return mayHaveRunBeforeRecords()
	}
	if !now.Before(createdAt.Add(retention - r.config.ClockSkew)) {
		return mayHaveRunRecordExpired()
	}
	return nil
}

// recordsSince returns the time since which this node has a record of every call
// with the key of head, or false if another node owns the key.
func (r *Records) recordsSince(head call.Head) (time.Time, bool) {
	started := r.config.Started
	if r.config.KeyOwnership == nil {
		return started, true
	}
	since, owned := r.config.KeyOwnership.OwnedSince(keyowner.Query{
		Self:   head.BackendServer,
		Ticket: head.Ticket,
		Key:    keyowner.Key{Caller: head.Caller, Value: head.IdempotencyKey},
	})
	if propagated := since.Add(r.config.PropagationTime); propagated.After(started) {
		return propagated, owned
	}
	return started, owned
}

func (r *Records) retentionOf(service state.Service) time.Duration {
	if service.RecordRetention > 0 {
		return service.RecordRetention
	}
	return r.config.Retention
}

// keyTime returns the creation time of a UUIDv7 key, which has millisecond
// precision. It returns false for other keys.
func keyTime(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != uuidVersion7 {
		return time.Time{}, false
	}
	seconds, nanos := id.Time().UnixTime()
	return time.Unix(seconds, nanos), true
}
