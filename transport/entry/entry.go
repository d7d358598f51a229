// Package entry serves callers over HTTP: it finds the route of a request,
// picks a backend server, sends the call to its guard and streams the answer.
package entry

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/coordination/callerlimit"
	"github.com/wasabiport/wasabiport/coordination/clientretry"
	"github.com/wasabiport/wasabiport/coordination/picking"
	"github.com/wasabiport/wasabiport/coordination/retry"
	"github.com/wasabiport/wasabiport/coordination/routing"
	"github.com/wasabiport/wasabiport/protocol/handshake"
	"github.com/wasabiport/wasabiport/protocol/httpmap"
	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/callstream"
)

// Hosts finds the node of a host.
type Hosts interface {
	// Host returns what is known of a host.
	Host(name state.HostName) (state.Host, bool)
}

// Dialer opens streams for calls.
type Dialer interface {
	// OpenCall opens a stream to the node of a host.
	OpenCall(ctx context.Context, host state.Host, lane handshake.Lane) (net.Conn, error)
}

// Readiness tells whether the node may serve callers.
type Readiness interface {
	// Ready returns false, with what the node waits for, until its
	// configuration is as far as that of enough peers.
	Ready(now time.Time) (ready bool, waitsFor string)
}

// CallerMapper maps the HTTP of callers to calls and back. Its methods are called by
// many threads.
type CallerMapper interface {
	// Read returns the request of a caller, or refuses it.
	Read(r *http.Request) (call.Request, *state.Refusal)
	// SetReplyHeader sets the fields of an answer beside those of the
	// backend server.
	SetReplyHeader(header http.Header, id state.CallID)
	// WriteRefusal answers a request with a refusal.
	WriteRefusal(w http.ResponseWriter, r *http.Request, id state.CallID, refusal *state.Refusal)
}

// Observer is told how calls end. Its methods are called by many threads.
type Observer interface {
	// CallStarted counts a call that has come.
	CallStarted()
	// CallFinished counts a call whose answer, or refusal, has been written.
	CallFinished(ended CallResult)
	// CallRetried counts one more attempt of a call.
	CallRetried()
}

// CallFinished describes the end of a call.
type CallResult struct {
	ID       state.CallID
	Route    state.RouteName
	Class    state.PriorityClass
	Caller   state.CallerName
	Duration time.Duration
	Outcome  state.Outcome
	// Reason is 0 when the call was answered. Detail says more.
	Reason state.RefusalReason
	Detail string
	// Ticket is the number of the configuration that the call went by, and
	// RegistryVersion the version of the backend servers.
	Ticket          state.TicketNumber
	RegistryVersion uint64
	// Remaining is the time that the caller said it had left when the call came; 0
	// when it did not say.
	Remaining time.Duration
	// Attempts are what became of the attempts, in order.
	Attempts []Attempt
	// Truncated says that the answer could not be given whole.
	Truncated bool
}

// Attempt describes one attempt of a call at a backend server.
type Attempt struct {
	BackendServer state.BackendServerName
	Duration      time.Duration
	// Refusal is nil when the attempt was answered.
	Refusal *state.Refusal
}

// Config holds the settings of a Handler.
type Config struct {
	// LocalHost is the host of this node.
	LocalHost state.HostName
	// MaxBodyBytes bounds the body of a request. No default.
	MaxBodyBytes int64
	// StallTimeout is how long a caller may take to read a part of its
	// answer. A shorter time frees slots sooner and cuts slower callers off.
	// No default.
	StallTimeout time.Duration
}

// Policies are the parts that decide on calls.
type Policies struct {
	Picker       *picking.Picker
	Retries      *retry.Policy
	Budget       *retry.Budget
	CallerLimits *callerlimit.Limits
	// ClientRetries recognizes requests that come again.
	ClientRetries *clientretry.Tracker
}

// Handler is the http.Handler for callers.
type Handler struct {
	config    Config
	front     CallerMapper
	decisions Policies
	snapshots *state.SnapshotStore
	hosts     Hosts
	readiness Readiness
	dialer    Dialer
	local     callstream.Handler
	observer  Observer
	// leaveBy is nil until Leave, and then the time at which all calls have to
	// have their answers.
	leaveBy atomic.Pointer[time.Time]
	// wanted ends when a leaving node withdraws the calls that wait for a slot.
	wanted   context.Context
	withdraw context.CancelFunc
	// ended ends with the time to answer the calls of a leaving node.
	ended context.Context
	end   context.CancelFunc
}

// NewHandler returns a handler that runs calls for backend servers on its own
// host with the local guard, and all others over dialer.
func NewHandler(
	config Config,
	front CallerMapper,
	decisions Policies,
	snapshots *state.SnapshotStore,
	hosts Hosts,
	readiness Readiness,
	dialer Dialer,
	local callstream.Handler,
	observer Observer,
) *Handler {
	wanted, withdraw := context.WithCancel(context.Background())
	ended, end := context.WithCancel(context.Background())
	return &Handler{
		wanted:    wanted,
		withdraw:  withdraw,
		ended:     ended,
		end:       end,
		config:    config,
		front:     front,
		decisions: decisions,
		snapshots: snapshots,
		hosts:     hosts,
		readiness: readiness,
		dialer:    dialer,
		local:     local,
		observer:  observer,
	}
}

// Watch follows the configuration until ctx ends, and forgets what was seen of
// backend servers and routes that are gone.
func (h *Handler) Watch(ctx context.Context) {
	for {
		snapshot, changed := h.snapshots.Watch()
		h.decisions.Picker.Prune(snapshot)
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// answerGrace is how much longer an entry node waits than the guard, so that
// the guard's answer, which tells more, comes first.
const answerGrace = 50 * time.Millisecond

// waits are how long the parts of a call are waited for.
type waits struct {
	// local bounds the work of the guard on this node.
	local context.Context
	// remote bounds the wait for another node, whose guard has the same time
	// as the local one.
	remote context.Context
}

// ServeHTTP serves one call.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	ended := CallResult{ID: state.CallID(uuid.NewString()), Class: state.ClassBackground}
	h.observer.CallStarted()
	defer func() {
		ended.Duration = time.Since(started)
		h.observer.CallFinished(ended)
	}()
	if refusal := h.serve(w, r, &ended); refusal != nil {
		ended.Outcome = refusal.Outcome
		ended.Reason = refusal.Reason
		ended.Detail = refusal.Detail
		h.endConnection(w, r)
		h.front.WriteRefusal(w, r, ended.ID, refusal)
	}
}

// serve answers a call, or returns the refusal to answer it with.
func (h *Handler) serve(w http.ResponseWriter, r *http.Request, ended *CallResult) *state.Refusal {
	request, refusal := h.front.Read(r)
	if request.ID != "" {
		ended.ID = request.ID
	}
	if refusal != nil {
		return refusal
	}
	if ready, waitsFor := h.readiness.Ready(time.Now()); !ready {
		return state.NotRun(state.RefusedNotReady, "the node is not ready: "+waitsFor)
	}
	snapshot := h.snapshots.Load()
	ended.Ticket, ended.RegistryVersion, ended.Remaining = snapshot.Accepted(), snapshot.Registry().Version(), request.Remaining
	route, ok := routing.Match(snapshot, request.Host, request.Path, request.Method)
	if !ok {
		return state.NotRun(state.RefusedNoRoute, "no route matches the request")
	}
	service := routing.PickService(route, h.decisions.Picker.RandomFloat64())
	head := newHead(time.Now(), ended.ID, snapshot.Accepted(), route, service, request)
	ended.Route, ended.Class, ended.Caller = head.Route, head.Class, head.Caller
	if refusal := h.decisions.CallerLimits.Begin(time.Now(), head.Caller, route); refusal != nil {
		return retry.RefusalWithoutRecord(head, refusal)
	}
	defer h.decisions.CallerLimits.End(head.Caller)

	head.Deadline = h.bounded(head.Deadline)
	remote, cancel := context.WithDeadline(r.Context(), head.Deadline.Add(answerGrace))
	defer cancel()
	defer context.AfterFunc(h.ended, cancel)()
	local, cancelLocal := context.WithDeadline(remote, head.Deadline)
	defer cancelLocal()
	controller := http.NewResponseController(w)
	body, refusal := h.readBody(controller, r, head.Deadline)
	if refusal != nil {
		return refusal
	}
	defer body.release(controller)
	head.Fingerprint = httpmap.Fingerprint(r, body.Prefix)
	attempt := h.beginAttempt(&head, request)
	reply, refusal := h.dispatch(waits{local: local, remote: remote}, snapshot, head, &body.Body, ended)
	if refusal != nil {
		h.decisions.ClientRetries.RecordRefusal(time.Now(), attempt)
		return refusal
	}
	// A panic of writeReply tells the server to break the connection.
	ended.Truncated = true
	h.endConnection(w, r)
	h.writeReply(w, controller, reply)
	ended.Truncated = false
	return nil
}
