package entry

import (
	"context"
	"math"
	"net/http"
	"time"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/coordination/keyowner"
	"github.com/wasabiport/wasabiport/coordination/picking"
	"github.com/wasabiport/wasabiport/coordination/retry"
	"github.com/wasabiport/wasabiport/protocol/handshake"
	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/callstream"
)

// dispatch asks guards one after the other until one answers, or the refusal
// of one goes to the caller.
func (h *Handler) dispatch(
	waits waits,
	snapshot *state.Snapshot,
	head call.Head,
	body *callstream.Body,
	ended *CallResult,
) (*callstream.Reply, *state.Refusal) {
	h.decisions.Budget.Deposit(head.Service)
	var tried []state.BackendServerName
	var last *state.Refusal
	for attempts := 1; ; attempts++ {
		server, refusal := h.pick(snapshot, head, tried)
		if refusal != nil && last != nil {
			return nil, last
		}
		if refusal != nil {
			return nil, retry.RefusalWithoutRecord(head, refusal)
		}
		head.BackendServer = server.Name
		asked := time.Now()
		answer := h.ask(waits, server, head, body)
		ended.Attempts = append(ended.Attempts, Attempt{
			BackendServer: server.Name,
			Duration:      time.Since(asked),
			Refusal:       answer.Refusal,
		})
		h.observe(head, answer)
		if answer.Reply != nil {
			return answer.Reply, nil
		}
		answer.Refusal = retry.CombineRefusals(last, answer.Refusal)
		decision := h.decide(head, answer.Refusal, attempts, body)
		switch decision.Action {
		case retry.ActionReturnRefusal:
			return nil, h.comeBackLater(decision.Refusal)
		case retry.ActionRetryOtherServer:
			tried = append(tried, server.Name)
		case retry.ActionRetrySameServer:
			if !wait(waits.local, decision.Delay) {
				return nil, h.lastAnswer(head, answer.Refusal)
			}
		}
		if answer.Refusal.ReachedBackendServer {
			head.Arrivals++
		}
		head.Suspect = decision.Suspect
		last = h.lastAnswer(head, answer.Refusal)
		h.observer.CallRetried()
	}
}

func (h *Handler) pick(
	snapshot *state.Snapshot,
	head call.Head,
	tried []state.BackendServerName,
) (state.BackendServer, *state.Refusal) {
	if !retry.RunsAtMostOnce(head) {
		return h.decisions.Picker.Pick(time.Now(), snapshot, head, tried)
	}
	key := keyowner.Key{Caller: head.Caller, Value: head.IdempotencyKey}
	return h.decisions.Picker.PickKeyed(snapshot, head.Service, key, tried)
}

func (h *Handler) observe(head call.Head, answer callstream.Result) {
	now := time.Now()
	if answer.Load.BackendServer != "" {
		h.decisions.Picker.ObserveLoadHint(now, answer.Load)
	}
	if answer.Refusal != nil {
		h.decisions.Picker.ObserveRefusal(now, head.BackendServer, answer.Refusal)
		return
	}
	reply := answer.Reply.Head
	h.decisions.Picker.ObserveResponse(now, head, picking.Response{
		Bytes:       reply.ContentLength,
		ServiceTime: reply.ServiceTime,
		Failed:      reply.Status >= http.StatusInternalServerError,
	})
}

// decide says what follows a refusal. A body of which the guard has got a part
// can't be sent to another one.
func (h *Handler) decide(
	head call.Head,
	refusal *state.Refusal,
	attempts int,
	body *callstream.Body,
) retry.Decision {
	if body.Consumed() {
		attempts = math.MaxInt
	}
	return h.decisions.Retries.Decide(time.Now(), head, refusal, attempts)
}

// leaverComesBack is when a call that a leaving node has withdrawn may come
// again: by then its caller has turned to another node, or this one is back.
const leaverComesBack = time.Second

// comeBackLater says when to come back after a call was withdrawn.
func (h *Handler) comeBackLater(refusal *state.Refusal) *state.Refusal {
	if refusal.Reason != state.RefusedCanceled || h.wanted.Err() == nil {
		return refusal
	}
	later := *refusal
	later.RetryAfter = leaverComesBack
	return &later
}

// lastAnswer returns what the caller gets when there is no other attempt.
func (h *Handler) lastAnswer(head call.Head, refusal *state.Refusal) *state.Refusal {
	return h.decisions.Retries.Decide(time.Now(), head, refusal, math.MaxInt).Refusal
}

// openTimeout bounds the time to reach a guard for a call, before another one
// is asked. It is several round trips between regions.
const openTimeout = 400 * time.Millisecond

// ask sends a call to the guard of one backend server.
func (h *Handler) ask(
	waits waits,
	server state.BackendServer,
	head call.Head,
	body *callstream.Body,
) callstream.Result {
	if server.Host == h.config.LocalHost {
		return h.askLocal(waits.local, head, body)
	}
	host, ok := h.hosts.Host(server.Host)
	if !ok {
		return callstream.Result{Refusal: state.NotRun(state.RefusedUnreachable, "the host of the backend server is not known")}
	}
	opening, cancel := context.WithTimeout(waits.local, openTimeout)
	defer cancel()
	stream, err := h.dialer.OpenCall(opening, host, handshake.LaneOf(head.Class))
	if err != nil {
		return callstream.Result{Refusal: state.NotRun(state.RefusedUnreachable, "the guard can't be reached")}
	}
	return callstream.Do(waits.remote, h.wanted, stream, head, body)
}

func (h *Handler) askLocal(ctx context.Context, head call.Head, body *callstream.Body) callstream.Result {
	reply, refusal := h.local.Handle(ctx, head, callstream.NewLocalBody(body.Reader(), h.wanted.Done()))
	if refusal != nil {
		return callstream.Result{Refusal: refusal, Load: h.local.Load(head.BackendServer)}
	}
	return callstream.Result{Reply: reply, Load: reply.Head.Load}
}

// wait returns false when ctx ends first.
func wait(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
