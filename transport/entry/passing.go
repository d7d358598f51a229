package entry

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/coordination/latebinding"
	"github.com/wasabiport/wasabiport/state"
)

// passing records how a call was passed on by guards without a free slot.
type passing struct {
	policy *latebinding.Policy
	began  time.Time
	// busy holds the backend servers whose guards refused the call as busy.
	busy []state.BackendServerName
}

// pickNext picks the backend server of the next attempt and sets head.MayPassOn. While
// the call may be passed on, those that were busy are not tried again. The last attempt
// may go to any of them, because their load hints are fresh.
func (h *Handler) pickNext(
	snapshot *state.Snapshot,
	head *call.Head,
	tried []state.BackendServerName,
	passing *passing,
) (state.BackendServer, *state.Refusal) {
	servers := len(snapshot.BackendServersOf(head.Service))
	head.MayPassOn = passing.policy.MayPassOn(time.Now(), *head, servers, len(passing.busy))
	if !head.MayPassOn {
		return h.pick(snapshot, *head, tried)
	}
	server, refusal := h.pick(snapshot, *head, slices.Concat(passing.busy, tried))
	if refusal == nil {
		return server, nil
	}
	head.MayPassOn = false
	return h.pick(snapshot, *head, tried)
}

// isPassedOn reports whether a refusal only means that the call goes to another guard.
func isPassedOn(head call.Head, refusal *state.Refusal) bool {
	return head.MayPassOn && refusal.Reason == state.RefusedBusy && refusal.Outcome == state.OutcomeNotRun
}

// observe records the result of an attempt. refusal is nil if there was a reply.
func (p *passing) observe(now time.Time, head call.Head, refusal *state.Refusal) {
	switch {
	case !head.MayPassOn:
	case refusal == nil:
		p.policy.ObserveAccepted(p.began, head.Service)
	case isPassedOn(head, refusal):
		p.busy = append(p.busy, head.BackendServer)
		p.policy.ObserveBusy(now, p.began, head.Service, len(p.busy))
	default:
	}
}

// endPassing returns a refusal if a call that was passed on must not be sent again,
// because its caller has gone away, its deadline has passed or this node is leaving.
func (h *Handler) endPassing(contexts callContexts, head call.Head) *state.Refusal {
	switch err := contexts.local.Err(); {
	case errors.Is(err, context.DeadlineExceeded):
		return state.NotRun(state.RefusedDeadline, "the deadline passed before a backend server had a free slot")
	case err != nil:
		return h.withRetryAfter(state.NotRun(state.RefusedCanceled, "the call ended before a backend server had a free slot"))
	default:
		return h.admit(head)
	}
}
