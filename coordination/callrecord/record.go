package callrecord

import (
	"time"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/state"
)

func (r *record) finish(now time.Time, recording *Recording) state.Change[*record] {
	r.phase = phaseDone
	if recording.tooLarge {
		return r.keepFor(now, 0)
	}
	r.reply = &recording.reply
	return r.keepFor(now, recording.bytes())
}

func (r *record) fail(now time.Time, refusal *state.Refusal) state.Change[*record] {
	if r.phase == phaseClaimed && refusal.Outcome == state.OutcomeNotRun {
		r.phase = phaseNotRun
		r.refusal = refusal
		return state.Change[*record]{Kind: state.ChangeRemove}
	}
	r.phase = phaseUnknown
	r.refusal = mayHaveRun(refusal)
	return r.keepFor(now, 0)
}

func (r *record) keepFor(now time.Time, replyBytes int64) state.Change[*record] {
	return state.Change[*record]{
		Kind:    state.ChangePut,
		Value:   r,
		Bytes:   recordBytes + replyBytes,
		Expires: now.Add(r.retention),
	}
}

func (c *Claim) meet(held *record, head call.Head) {
	if held.fingerprint != head.Fingerprint {
		c.refuse(conflictingRequest())
		return
	}
	c.settle(held)
}

func (c *Claim) settle(held *record) {
	switch held.phase {
	case phaseDone:
		c.replay(held.reply)
	case phaseNotRun, phaseUnknown:
		c.refuse(held.refusal)
	default:
		c.Kind = ClaimWait
		c.Done = held.done
		c.record = held
	}
}

func (c *Claim) replay(reply *Reply) {
	if reply == nil {
		c.refuse(replyNotKept())
		return
	}
	own := *reply
	own.Head.ID = c.id
	c.Kind = ClaimReplay
	c.Reply = &own
}

func (c *Claim) refuse(refusal *state.Refusal) {
	c.Kind = ClaimRefused
	c.Refusal = refusal
	c.record = nil
}
