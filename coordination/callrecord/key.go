package callrecord

import (
	"time"

	"github.com/google/uuid"

	"github.com/wasabiport/wasabiport/state"
)

const uuidVersionWithTime = 7

// refuseOldKey refuses a key without a record when a call with it may have run
// before: under a predecessor of this node, whose records are lost, or so long
// ago that its record is forgotten.
func (r *Records) refuseOldKey(now time.Time, key string, retention time.Duration) *state.Refusal {
	made, ok := keyTime(key)
	if ok && !made.After(now.Add(r.config.ClockSkew)) {
		return r.refuseKeyMade(now, made, retention)
	}
	if now.Before(r.config.Started.Add(retention)) {
		refusal := mayHaveRunBeforeStart()
		refusal.RetryAfter = r.config.Started.Add(retention).Sub(now)
		return refusal
	}
	return nil
}

func (r *Records) refuseKeyMade(now, made time.Time, retention time.Duration) *state.Refusal {
	if !made.After(r.config.Started.Add(r.config.ClockSkew)) {
		return mayHaveRunBeforeStart()
	}
	if !now.Before(made.Add(retention - r.config.ClockSkew)) {
		return mayHaveRunForgotten()
	}
	return nil
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
