package guard

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/coordination/callrecord"
	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/callstream"
)

// handleKeyed runs a call that has an idempotency key, or replays the recorded
// reply of an earlier call with the same key.
func (g *Guard) handleKeyed(
	ctx context.Context,
	gate *gate,
	head call.Head,
	body io.Reader,
) (*callstream.Reply, *state.Refusal) {
	claim := g.policies.Records.Begin(time.Now(), head, gate.service)
	if claim.Kind == callrecord.ClaimWait {
		select {
		case <-claim.Done:
			claim = g.policies.Records.Result(claim)
		case <-ctx.Done():
			return nil, stillRunningRefusal(ctx.Err())
		}
	}
	switch claim.Kind {
	case callrecord.ClaimReplay:
		return replay(claim.Reply, gate.admission.Load()), nil
	case callrecord.ClaimRefused:
		return nil, claim.Refusal
	default:
		return g.runClaimed(ctx, gate, claim, head, body)
	}
}

// runClaimed runs a call and records its outcome. Once the call has a slot it
// continues even if the caller disconnects, so that a resend gets the reply.
func (g *Guard) runClaimed(
	ctx context.Context,
	gate *gate,
	claim callrecord.Claim,
	head call.Head,
	body io.Reader,
) (*callstream.Reply, *state.Refusal) {
	runCtx, cancel := context.WithDeadline(g.ctx, head.Deadline)
	beforeSend := func() { g.policies.Records.MarkSent(time.Now(), claim) }
	reply, refusal := gate.handle(ctx, runCtx, head, body, beforeSend)
	if refusal != nil {
		cancel()
		return nil, g.policies.Records.Fail(time.Now(), claim, refusal)
	}
	reply.Body = &recordedBody{
		ReadCloser: reply.Body,
		trailers:   reply.Trailers,
		records:    g.policies.Records,
		claim:      claim,
		recording:  g.policies.Records.NewRecording(reply.Head),
		cancel:     cancel,
	}
	return reply, nil
}

func stillRunningRefusal(err error) *state.Refusal {
	reason := state.RefusedCanceled
	if errors.Is(err, context.DeadlineExceeded) {
		reason = state.RefusedDeadline
	}
	return state.MayHaveRun(reason, "an earlier call with the idempotency key still runs")
}

// recordedBody records the reply of a call while it is read.
type recordedBody struct {
	io.ReadCloser
	trailers  func() []call.Field
	records   *callrecord.Records
	claim     callrecord.Claim
	recording *callrecord.Recording
	cancel    context.CancelFunc
	ended     bool
}

func (b *recordedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.recording.Append(p[:n])
	switch {
	case b.ended || err == nil:
	case errors.Is(err, io.EOF):
		b.ended = true
		b.recording.SetTrailers(b.trailers())
		b.records.Finish(time.Now(), b.claim, b.recording)
	default:
		b.ended = true
		_ = b.records.Fail(time.Now(), b.claim, state.MayHaveRun(state.RefusedBackendServerFailed,
			"the reply of the backend server was cut"))
	}
	return n, err
}

// Close reads the rest of a reply, up to what a record can hold, if the caller
// disconnected before its end.
func (b *recordedBody) Close() error {
	if !b.ended {
		// Read has already recorded an error as the outcome.
		_, _ = io.CopyN(io.Discard, b, callrecord.DefaultMaxReplyBytes+1)
	}
	if !b.ended {
		b.ended = true
		_ = b.records.Fail(time.Now(), b.claim, state.MayHaveRun(state.RefusedCanceled,
			"the caller of the earlier call went away during the reply"))
	}
	b.cancel()
	return b.ReadCloser.Close()
}
