package entry

import (
	"context"
	"math"
	"net/http"
	"time"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/coordination/drain"
	"github.com/wasabiport/wasabiport/coordination/keyowner"
	"github.com/wasabiport/wasabiport/coordination/picking"
	"github.com/wasabiport/wasabiport/coordination/retry"
	"github.com/wasabiport/wasabiport/protocol/handshake"
	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/callstream"
)

// dispatch sends a call to one guard after another until one of them replies or
// the retry policy returns a refusal to the caller. All attempts use the same
// configuration, but the zones that are drained when they begin.
func (h *Handler) dispatch(
	contexts callContexts,
	snapshot *state.Snapshot,
	head call.Head,
	body *callstream.Body,
	callResult *CallResult,
) (*callstream.Reply, *state.Refusal) {
	var tried []state.BackendServerName
	var last *state.Refusal
	passing := passing{policy: h.policies.LateBinding, began: time.Now()}
	for attempts := 1; ; {
		snapshot = snapshot.WithDrainedZones(h.snapshots.Load().DrainedZones())
		server, refusal := h.pickNext(snapshot, &head, tried, &passing)
		if refusal != nil && last != nil {
			return nil, last
		}
		if refusal != nil {
			return nil, retry.RefusalWithoutRecord(head, refusal)
		}
		head.BackendServer = server.Name
		head.RateLimit = h.policies.Picker.RateLimitOf(server)
		sentAt := time.Now()
		result := h.send(contexts, server, head, body)
		callResult.Attempts = append(callResult.Attempts, Attempt{
			BackendServer: server.Name,
			Duration:      time.Since(sentAt),
			Refusal:       result.Refusal,
		})
		h.recordOutcome(head, result)
		passing.observe(time.Now(), head, result.Refusal)
		if result.Reply != nil {
			return result.Reply, nil
		}
		if isPassedOn(head, result.Refusal) {
			if ended := h.endPassing(contexts, head); ended != nil {
				return nil, retry.CombineRefusals(last, ended)
			}
			h.observer.CallPassedOn()
			continue
		}
		result.Refusal = retry.CombineRefusals(last, result.Refusal)
		decision := h.decide(head, result.Refusal, attempts, body)
		switch decision.Action {
		case retry.ActionReturnRefusal:
			return nil, h.withRetryAfter(decision.Refusal)
		case retry.ActionRetryOtherServer:
			tried = excludeRefused(snapshot, head, server, result.Refusal, tried)
		case retry.ActionRetrySameServer:
			if !sleep(contexts.local, decision.Delay) {
				return nil, h.finalRefusal(head, result.Refusal)
			}
		}
		if result.Refusal.ReachedBackendServer {
			head.ReachedAttempts++
			head.RepeatShare = 1
		}
		head.Suspect = decision.Suspect
		last = h.finalRefusal(head, result.Refusal)
		attempts++
		h.observer.CallRetried()
	}
}

// excludeRefused returns tried with the backend server of a refused attempt, and with the
// others of its zone if that is drained. A call with an idempotency key asks them all.
func excludeRefused(
	snapshot *state.Snapshot,
	head call.Head,
	server state.BackendServer,
	refusal *state.Refusal,
	tried []state.BackendServerName,
) []state.BackendServerName {
	tried = append(tried, server.Name)
	if !refusal.ZoneDrained || retry.RunsAtMostOnce(head) {
		return tried
	}
	return picking.ExcludeZone(snapshot, server, tried)
}

func (h *Handler) pick(
	snapshot *state.Snapshot,
	head call.Head,
	tried []state.BackendServerName,
) (state.BackendServer, *state.Refusal) {
	if !retry.RunsAtMostOnce(head) {
		return h.policies.Picker.Pick(time.Now(), snapshot, head, tried)
	}
	key := keyowner.Key{Caller: head.Caller, Value: head.IdempotencyKey}
	return h.policies.Picker.PickKeyed(snapshot, head.Service, key, tried)
}

func (h *Handler) recordOutcome(head call.Head, result callstream.Result) {
	now := time.Now()
	if result.Load.BackendServer != "" {
		h.policies.Picker.ObserveLoadHint(now, result.Load)
	}
	if result.Refusal != nil {
		h.policies.Picker.ObserveRefusal(now, head.BackendServer, result.Load.Incarnation, result.Refusal)
		return
	}
	reply := result.Reply.Head
	h.policies.Picker.ObserveResponse(now, head, picking.Response{
		Bytes:       reply.ContentLength,
		ServiceTime: reply.ServiceTime,
		Failed:      reply.Status >= http.StatusInternalServerError,
	})
}

// decide asks the retry policy what to do after a refusal. A body that a guard
// has partly read can't be sent again, so the attempt counts as the last one. A
// leaving node begins no attempt that it would break off.
func (h *Handler) decide(
	head call.Head,
	refusal *state.Refusal,
	attempts int,
	body *callstream.Body,
) retry.Decision {
	if body.Consumed() {
		attempts = math.MaxInt
	}
	decision := h.policies.Retries.Decide(time.Now(), head, refusal, attempts)
	if decision.Action == retry.ActionReturnRefusal {
		return decision
	}
	if tooLate := h.admit(head); tooLate != nil {
		return retry.Decision{Action: retry.ActionReturnRefusal, Refusal: retry.CombineRefusals(refusal, tooLate)}
	}
	return decision
}

// withRetryAfter adds a retry delay to the refusal of a call that was withdrawn
// because this node is leaving. A call that may have run gets none.
func (h *Handler) withRetryAfter(refusal *state.Refusal) *state.Refusal {
	withdrawn := refusal.Reason == state.RefusedCanceled && refusal.Outcome == state.OutcomeNotRun
	if !withdrawn || h.queueCtx.Err() == nil {
		return refusal
	}
	return drain.Withdrawn(refusal)
}

// finalRefusal returns the refusal that the caller receives when no further
// attempt is made.
func (h *Handler) finalRefusal(head call.Head, refusal *state.Refusal) *state.Refusal {
	return h.policies.Retries.Decide(time.Now(), head, refusal, math.MaxInt).Refusal
}

// openTimeout bounds the time to open a stream to a guard before another guard
// is tried. It allows several round trips between regions.
const openTimeout = 400 * time.Millisecond

// send sends a call to the guard of a backend server, locally or over the
// network.
func (h *Handler) send(
	contexts callContexts,
	server state.BackendServer,
	head call.Head,
	body *callstream.Body,
) callstream.Result {
	if server.Host == h.config.LocalHost {
		return h.sendLocal(contexts.local, head, body)
	}
	host, ok := h.hosts.Host(server.Host)
	if !ok {
		return callstream.Result{Refusal: state.NotRun(state.RefusedUnreachable, "the host of the backend server is not known")}
	}
	openCtx, cancel := context.WithTimeout(contexts.local, openTimeout)
	defer cancel()
	stream, err := h.dialer.OpenCall(openCtx, host, handshake.LaneOf(head.Class))
	if err != nil {
		return callstream.Result{Refusal: state.NotRun(state.RefusedUnreachable, "the guard can't be reached")}
	}
	return callstream.Do(contexts.remote, h.queueCtx, stream, head, body)
}

func (h *Handler) sendLocal(ctx context.Context, head call.Head, body *callstream.Body) callstream.Result {
	reply, refusal := h.localGuard.Handle(ctx, head, callstream.NewLocalBody(body.Reader(), h.queueCtx.Done()))
	if refusal != nil {
		return callstream.Result{Refusal: refusal, Load: h.localGuard.Load(head.BackendServer)}
	}
	return callstream.Result{Reply: reply, Load: reply.Head.Load}
}

// sleep waits for the delay. It returns false if ctx ends first.
func sleep(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
