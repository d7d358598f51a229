// Package entry serves the HTTP requests of callers: it matches a request to a
// route, picks a backend server, sends the call to the guard of that server and
// streams the response back.
package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/coordination/callerlimit"
	"github.com/wasabiport/wasabiport/coordination/clientretry"
	"github.com/wasabiport/wasabiport/coordination/latebinding"
	"github.com/wasabiport/wasabiport/coordination/picking"
	"github.com/wasabiport/wasabiport/coordination/repeats"
	"github.com/wasabiport/wasabiport/coordination/retry"
	"github.com/wasabiport/wasabiport/coordination/routing"
	"github.com/wasabiport/wasabiport/protocol/handshake"
	"github.com/wasabiport/wasabiport/protocol/httpmap"
	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/callstream"
)

// Hosts looks up hosts by name.
type Hosts interface {
	// Host returns the entry of a host, or false if the host is unknown.
	Host(name state.HostName) (state.Host, bool)
}

// Dialer opens streams to other nodes.
type Dialer interface {
	// OpenCall opens a stream for one call to the node on a host.
	OpenCall(ctx context.Context, host state.Host, lane handshake.Lane) (net.Conn, error)
}

// Readiness reports whether the node may serve callers.
type Readiness interface {
	// Ready returns false and the reason until the configuration of this node
	// is as recent as that of enough peers.
	Ready(now time.Time) (ready bool, reason string)
}

// CallerMapper maps HTTP requests of callers to calls, and replies and refusals
// back to HTTP. Its methods must be safe for concurrent use.
type CallerMapper interface {
	// Read parses a request, or returns a refusal if the request is invalid.
	Read(r *http.Request) (call.Request, *state.Refusal)
	// SetReplyHeader adds the header fields that the system sets beside those
	// of the backend server.
	SetReplyHeader(header http.Header, id state.CallID)
	// WriteRefusal writes a refusal as the response.
	WriteRefusal(w http.ResponseWriter, r *http.Request, id state.CallID, refusal *state.Refusal)
}

// Observer records calls, for instance as metrics or log lines. Its methods
// must be safe for concurrent use.
type Observer interface {
	// CallStarted is called when a request arrives.
	CallStarted()
	// CallFinished is called after the response or the refusal was written.
	CallFinished(result CallResult)
	// CallRetried is called before each attempt after the first, except after one that
	// was passed on.
	CallRetried()
	// CallPassedOn is called when a guard without a free slot has refused a call that
	// is then sent to another one.
	CallPassedOn()
}

// CallResult describes a finished call.
type CallResult struct {
	ID       state.CallID
	Route    state.RouteName
	Class    state.PriorityClass
	Caller   state.CallerName
	Duration time.Duration
	Outcome  state.Outcome
	// Reason is 0 if the call was answered. Detail explains the reason.
	Reason state.RefusalReason
	Detail string
	// Ticket is the number of the configuration that routed the call, and
	// RegistryVersion the version of the backend server registry.
	Ticket          state.TicketNumber
	RegistryVersion uint64
	// Remaining is the remaining time that the caller stated when the call
	// arrived, or 0 if it stated none.
	Remaining time.Duration
	// Attempts holds the attempts in order.
	Attempts []Attempt
	// Truncated is set when the response could not be written completely.
	Truncated bool
	// Deadline is the deadline of the call, not limited by the end of a leaving node. It is
	// zero if the call ended before it was known.
	Deadline time.Time
	// Leaving is nil unless the node was leaving when the call ended.
	Leaving *LeavingEnd
	// refusedAt is zero unless the call was refused.
	refusedAt time.Time
}

// Attempt describes one attempt to run a call at a backend server.
type Attempt struct {
	BackendServer state.BackendServerName
	Duration      time.Duration
	// Refusal is nil if the backend server replied.
	Refusal *state.Refusal
}

// Config holds the settings of a Handler.
type Config struct {
	// LocalHost is the host of this node.
	LocalHost state.HostName
	// MaxBodyBytes is the maximum size of a request body, unless the configuration sets
	// another one. No default.
	MaxBodyBytes int64
	// StallTimeout is how long a write of a part of the response may block on a
	// slow caller. A shorter timeout frees slots sooner but disconnects slower
	// callers. No default.
	StallTimeout time.Duration
}

// Policies are the components of package coordination that a Handler consults.
type Policies struct {
	Picker  *picking.Picker
	Retries *retry.Policy
	// LateBinding decides which calls are passed on by guards without a free slot.
	LateBinding *latebinding.Policy
	Budget      *retry.Budget
	// Repeats attributes calls to the runs in progress on this host.
	Repeats      *repeats.Tracker
	CallerLimits *callerlimit.Limits
	// ClientRetries recognizes requests that a client sends again after a
	// refusal.
	ClientRetries *clientretry.Tracker
}

// Handler is the http.Handler that serves callers.
type Handler struct {
	config     Config
	mapper     CallerMapper
	policies   Policies
	snapshots  *state.SnapshotStore
	hosts      Hosts
	readiness  Readiness
	dialer     Dialer
	localGuard callstream.Handler
	observer   Observer
	calls      callCounts
	// queueCtx ends when a leaving node withdraws the calls that still wait for
	// a slot.
	queueCtx        context.Context
	withdrawWaiting context.CancelFunc
	// callsCtx ends shortly before a leaving node. All calls without an answer are
	// canceled then.
	callsCtx    context.Context
	cancelCalls context.CancelFunc
}

// NewHandler returns a handler that runs calls for backend servers on its own
// host with the local guard, and sends all others through dialer.
func NewHandler(
	config Config,
	mapper CallerMapper,
	policies Policies,
	snapshots *state.SnapshotStore,
	hosts Hosts,
	readiness Readiness,
	dialer Dialer,
	localGuard callstream.Handler,
	observer Observer,
) *Handler {
	queueCtx, withdrawWaiting := context.WithCancel(context.Background())
	callsCtx, cancelCalls := context.WithCancel(context.Background())
	return &Handler{
		queueCtx:        queueCtx,
		withdrawWaiting: withdrawWaiting,
		callsCtx:        callsCtx,
		cancelCalls:     cancelCalls,
		config:          config,
		mapper:          mapper,
		policies:        policies,
		snapshots:       snapshots,
		hosts:           hosts,
		readiness:       readiness,
		dialer:          dialer,
		localGuard:      localGuard,
		observer:        observer,
	}
}

// Watch tells the picker of changes of the configuration until ctx ends.
func (h *Handler) Watch(ctx context.Context) {
	for {
		snapshot, changed := h.snapshots.Watch()
		h.policies.Picker.ObserveSnapshot(time.Now(), snapshot)
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// guardReplyGrace is how much longer an entry node waits than the guard, so
// that the more specific refusal of the guard arrives first.
const guardReplyGrace = 50 * time.Millisecond

// callContexts bound the two ways of running a call.
type callContexts struct {
	// local bounds calls to the guard of this node. It ends at the deadline of
	// the call.
	local context.Context
	// remote bounds calls to other nodes. It ends guardReplyGrace later, as the
	// remote guard enforces the deadline itself.
	remote context.Context
}

// ServeHTTP implements http.Handler. Each request is one call, which may have been started
// before its turn on the connection.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	pipeline := pipelineOf(r)
	if pipeline == nil {
		h.serveCall(w, r)
		return
	}
	defer pipeline.end()
	if early := pipeline.begin(r); early != nil {
		early.relay(w, r, h)
		return
	}
	h.serveCall(w, r)
}

func (h *Handler) serveCall(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	result := CallResult{ID: state.CallID(uuid.NewString()), Class: state.ClassBackground}
	h.observer.CallStarted()
	arrived := h.calls.arrive(started)
	defer func() {
		result.Duration = time.Since(started)
		h.calls.end(r, arrived, &result)
		h.observer.CallFinished(result)
	}()
	if refusal := h.serve(w, r, arrived, &result); refusal != nil {
		result.refusedAt = time.Now()
		result.Outcome = refusal.Outcome
		result.Reason = refusal.Reason
		refusal = h.calls.explain(r, result, refusal)
		result.Detail = refusal.Detail
		h.closeAfterReply(w, r)
		h.mapper.WriteRefusal(w, r, result.ID, refusal)
	}
}

// serve writes the reply to a call, or returns the refusal to respond with.
func (h *Handler) serve(w http.ResponseWriter, r *http.Request, arrived arrival, result *CallResult) *state.Refusal {
	request, refusal := h.mapper.Read(r)
	if request.ID != "" {
		result.ID = request.ID
	}
	if refusal != nil {
		return refusal
	}
	release, held := holdRequest(r)
	if !held {
		return state.NotRun(state.RefusedQueueFull, "the node has no memory for the request")
	}
	defer release()
	if ready, reason := h.readiness.Ready(time.Now()); !ready {
		// The route is not known, so the call counts as not idempotent.
		head := call.Head{IdempotencyKey: request.IdempotencyKey}
		return retry.RefusalWithoutRecord(head, state.NotRun(state.RefusedNotReady, "the node is not ready: "+reason))
	}
	snapshot := h.snapshots.Load()
	result.Ticket, result.RegistryVersion, result.Remaining = snapshot.Accepted(), snapshot.Registry().Version(), request.Remaining
	route, ok := routing.Match(snapshot, request.Host, request.Path, request.Method)
	if !ok {
		return state.NotRun(state.RefusedNoRoute, "no route matches the request")
	}
	if !h.recordRoute(r, route) {
		return state.NotRun(state.RefusedCanceled, "the caller has left before the turn of the call")
	}
	service := routing.PickService(route, h.policies.Picker.RandomFloat64())
	arrivedAt := time.Now()
	head := newHead(arrivedAt, result.ID, snapshot.Accepted(), route, service, request)
	result.Route, result.Class, result.Caller = head.Route, head.Class, head.Caller
	if service == state.UnresolvedService {
		return state.NotRun(state.RefusedUnresolvedRoute, "the destination of the route could not be read")
	}
	if refusal := h.policies.CallerLimits.Begin(time.Now(), head.Caller, route); refusal != nil {
		return retry.RefusalWithoutRecord(head, refusal)
	}
	defer h.policies.CallerLimits.End(head.Caller)

	result.Deadline = head.Deadline
	head.Deadline = h.capDeadline(head.Deadline)
	if refusal := h.admit(head); refusal != nil {
		return refusal
	}
	remote, cancel := context.WithDeadline(r.Context(), head.Deadline.Add(guardReplyGrace))
	defer cancel()
	keepUntilEnd := context.AfterFunc(h.callsCtx, cancel)
	defer keepUntilEnd()
	local, cancelLocal := context.WithDeadline(remote, head.Deadline)
	defer cancelLocal()
	controller := http.NewResponseController(w)
	body, refusal := h.receiveBody(controller, r, head, cancel)
	if refusal != nil {
		return refusal
	}
	defer body.release(controller)
	arrived.take()
	head.Fingerprint = httpmap.Fingerprint(r, body.Prefix)
	attempt := h.applyClientRetry(&head, request)
	head.RepeatShare = h.recordCall(arrivedAt, head.Service, request)
	reply, refusal := h.dispatch(callContexts{local: local, remote: remote}, snapshot, head, &body.Body, result)
	if refusal != nil {
		h.policies.ClientRetries.RecordRefusal(time.Now(), attempt)
		return refusal
	}
	if err := h.holdIfFollowed(r, reply); err != nil {
		return state.MayHaveRun(state.RefusedBackendServerFailed, "the answer was cut before any of it was passed on")
	}
	keepUntilEnd()
	// writeReply panics to make the HTTP server abort the connection; the
	// deferred CallFinished then reports a truncated response.
	result.Truncated = true
	h.closeAfterReply(w, r)
	h.writeReply(w, controller, reply)
	result.Truncated = false
	return nil
}
