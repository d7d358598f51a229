package callrecord

import (
	"time"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/state"
)

// finish records a complete reply. It returns the change to the stored record.
func (r *record) finish(now time.Time, recording *Recording) state.Change[*record] {
	r.phase = phaseDone
	if recording.tooLarge {
		return r.retain(now, 0)
	}
	r.reply = &recording.reply
	return r.retain(now, recording.bytes())
}

// fail records that the call got no complete reply. If the call was not sent and
// the outcome of refusal is OutcomeNotRun, the record is removed and a resend may
// run. fail returns the change to the stored record.
func (r *record) fail(now time.Time, refusal *state.Refusal) state.Change[*record] {
	if r.phase == phaseClaimed && refusal.Outcome == state.OutcomeNotRun {
		r.phase = phaseNotRun
		r.refusal = refusal
		return state.Change[*record]{Kind: state.ChangeRemove}
	}
	r.phase = phaseReplyLost
	r.refusal = withMayHaveRun(refusal)
	return r.retain(now, 0)
}

// retain returns the change that keeps the record for its retention time.
func (r *record) retain(now time.Time, replyBytes int64) state.Change[*record] {
	return state.Change[*record]{
		Kind:    state.ChangePut,
		Value:   r,
		Bytes:   recordBytes + replyBytes,
		Expires: now.Add(r.retention),
	}
}

// resolveExisting resolves the claim of a call whose key already has a record.
func (c *Claim) resolveExisting(existing *record, head call.Head) {
	if existing.fingerprint != head.Fingerprint {
		c.refuse(conflictingRequest())
		return
	}
	c.resolve(existing)
}

// resolve sets the kind of the claim according to the state of the record.
func (c *Claim) resolve(existing *record) {
	switch existing.phase {
	case phaseDone:
		c.replay(existing.reply)
	case phaseNotRun, phaseReplyLost:
		c.refuse(existing.refusal)
	default:
		c.Kind = ClaimWait
		c.Done = existing.done
		c.record = existing
	}
}

func (c *Claim) replay(reply *Reply) {
	if reply == nil {
		c.refuse(replyNotKept())
		return
	}
	resent := *reply
	resent.Head.ID = c.id
	c.Kind = ClaimReplay
	c.Reply = &resent
}

func (c *Claim) refuse(refusal *state.Refusal) {
	c.Kind = ClaimRefused
	c.Refusal = refusal
	c.record = nil
}
