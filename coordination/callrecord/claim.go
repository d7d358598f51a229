package callrecord

import (
	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/coordination/keyowner"
	"github.com/wasabiport/wasabiport/state"
)

// ClaimKind says what to do with a call.
type ClaimKind uint8

// The kinds of Claim.
const (
	// ClaimRun means that the call is new. The holder must end the claim
	// with Finish or Fail, exactly once.
	ClaimRun ClaimKind = iota
	// ClaimWait means that the same call is in flight: wait for Claim.Done,
	// then ask Records.Result.
	ClaimWait
	// ClaimReplay means that the call is done and Claim.Reply is its answer.
	ClaimReplay
	// ClaimRefused means that the call must not run, for Claim.Refusal.
	ClaimRefused
)

// Reply is an answer as it is recorded.
type Reply struct {
	Head call.ReplyHead
	Body []byte
	// Trailers are the fields after the body.
	Trailers []call.Field
}

// Claim is the outcome of Records.Begin.
type Claim struct {
	Kind ClaimKind
	// Done is closed when the call in flight has ended. Set for ClaimWait.
	Done <-chan struct{}
	// Reply is the recorded answer, with the call ID of the resend. It must
	// not be changed. Set for ClaimReplay.
	Reply *Reply
	// Refusal is set for ClaimRefused.
	Refusal *state.Refusal

	id     state.CallID
	key    keyowner.Key
	record *record
}

// Recording collects the reply of a call for its record, in bounded memory.
type Recording struct {
	reply    Reply
	maxBytes int
	tooLarge bool
}

// NewRecording returns a recording for the reply with the given head.
func (r *Records) NewRecording(head call.ReplyHead) *Recording {
	return &Recording{reply: Reply{Head: head}, maxBytes: r.config.MaxReplyBytes}
}

// Append adds a part of the body. It copies body.
func (r *Recording) Append(body []byte) {
	if r.tooLarge {
		return
	}
	if len(r.reply.Body)+len(body) > r.maxBytes {
		r.tooLarge = true
		r.reply.Body = nil
		return
	}
	r.reply.Body = append(r.reply.Body, body...)
}

// SetTrailers sets the fields after the body.
func (r *Recording) SetTrailers(trailers []call.Field) { r.reply.Trailers = trailers }

func (r *Recording) bytes() int64 {
	total := len(r.reply.Body)
	for _, fields := range [][]call.Field{r.reply.Head.Fields, r.reply.Trailers} {
		for _, field := range fields {
			total += len(field.Name) + len(field.Value)
		}
	}
	return int64(total)
}
