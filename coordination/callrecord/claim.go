package callrecord

import (
	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/coordination/keyowner"
	"github.com/wasabiport/wasabiport/state"
)

// ClaimKind is the way to proceed with a call.
type ClaimKind uint8

// The kinds of Claim.
const (
	// ClaimRun means that the call is new and may run. The holder must
	// complete the claim with Records.Finish or Records.Fail, exactly once.
	ClaimRun ClaimKind = iota
	// ClaimWait means that the same call is in flight: wait for Claim.Done,
	// then call Records.Result.
	ClaimWait
	// ClaimReplay means that the call has completed and that Claim.Reply is
	// the recorded reply.
	ClaimReplay
	// ClaimRefused means that the call must not run, for the reason given in
	// Claim.Refusal.
	ClaimRefused
)

// Reply is a recorded reply.
type Reply struct {
	Head call.ReplyHead
	Body []byte
	// Trailers are the trailer fields that follow the body.
	Trailers []call.Field
}

// Claim is the result of Records.Begin.
type Claim struct {
	Kind ClaimKind
	// Done is closed when the call in flight completes. Set for ClaimWait.
	Done <-chan struct{}
	// Reply is the recorded reply, with the call ID of the resend. It must
	// not be modified. Set for ClaimReplay.
	Reply *Reply
	// Refusal is set for ClaimRefused.
	Refusal *state.Refusal

	id     state.CallID
	key    keyowner.Key
	record *record
}

// Recording buffers the reply of a call for its record. A body that exceeds
// Config.MaxReplyBytes is discarded.
type Recording struct {
	reply    Reply
	maxBytes int
	tooLarge bool
}

// NewRecording returns a recording of the reply with the given head.
func (r *Records) NewRecording(head call.ReplyHead) *Recording {
	return &Recording{reply: Reply{Head: head}, maxBytes: r.config.MaxReplyBytes}
}

// Append appends a chunk of the body. It copies the chunk.
func (r *Recording) Append(chunk []byte) {
	if r.tooLarge {
		return
	}
	if len(r.reply.Body)+len(chunk) > r.maxBytes {
		r.tooLarge = true
		r.reply.Body = nil
		return
	}
	r.reply.Body = append(r.reply.Body, chunk...)
}

// SetTrailers sets the trailer fields.
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
