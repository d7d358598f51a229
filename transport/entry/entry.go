// Package entry serves callers over HTTP: it finds the route of a request,
// picks a backend server, sends the call to its guard and streams the answer.
package entry

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/coordination/picking"
	"github.com/wasabiport/wasabiport/coordination/routing"
	"github.com/wasabiport/wasabiport/protocol/handshake"
	"github.com/wasabiport/wasabiport/protocol/httpmap"
	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/callstream"
)

// Readiness tells whether the node may serve callers.
type Readiness interface {
	// Ready returns false, with what the node waits for, until its
	// configuration is as far as that of enough peers.
	Ready(now time.Time) (ready bool, waitsFor string)
}

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

// Handler is the http.Handler for callers.
type Handler struct {
	self      state.HostName
	snapshots *state.SnapshotStore
	picker    *picking.Picker
	hosts     Hosts
	readiness Readiness
	dialer    Dialer
	local     callstream.Handler
}

// NewHandler returns a handler that runs calls for backend servers on host
// self with the local guard, and all others over dialer.
func NewHandler(
	self state.HostName,
	snapshots *state.SnapshotStore,
	picker *picking.Picker,
	hosts Hosts,
	readiness Readiness,
	dialer Dialer,
	local callstream.Handler,
) *Handler {
	return &Handler{
		self:      self,
		snapshots: snapshots,
		picker:    picker,
		hosts:     hosts,
		readiness: readiness,
		dialer:    dialer,
		local:     local,
	}
}

// defaultTimeout bounds a call when its route sets no timeout.
const defaultTimeout = 30 * time.Second

// ServeHTTP serves one call.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := state.CallID(uuid.NewString())
	if ready, waitsFor := h.readiness.Ready(time.Now()); !ready {
		httpmap.WriteRefusal(w, id, state.NotRun(state.RefusedNotReady, "the node is not ready: "+waitsFor))
		return
	}
	snapshot := h.snapshots.Load()
	route, ok := routing.Match(snapshot, hostOf(r), r.URL.Path, r.Method)
	if !ok {
		httpmap.WriteRefusal(w, id, state.NotRun(state.RefusedNoRoute, "no route matches the request"))
		return
	}
	body, err := readBody(r)
	if err != nil {
		httpmap.WriteRefusal(w, id, state.NotRun(state.RefusedBadRequest, "the request body could not be read"))
		return
	}
	head := newHead(id, snapshot, route, r)
	ctx, cancel := context.WithDeadline(r.Context(), head.Deadline)
	defer cancel()
	reply, refusal := h.dispatch(ctx, snapshot, route, head, body)
	if refusal != nil {
		httpmap.WriteRefusal(w, id, refusal)
		return
	}
	writeReply(w, reply)
}

// maxAttempts bounds the guards that are asked for one call.
const maxAttempts = 3

// dispatch asks guards one after the other until one answers or refuses a
// call that may have run.
func (h *Handler) dispatch(
	ctx context.Context,
	snapshot *state.Snapshot,
	route state.Route,
	head call.Head,
	body callstream.Body,
) (*callstream.Reply, *state.Refusal) {
	var tried []state.BackendServerName
	var last *state.Refusal
	for range maxAttempts {
		server, refusal := h.picker.Pick(time.Now(), snapshot, route.Service, tried)
		if refusal != nil && last != nil {
			return nil, last
		}
		if refusal != nil {
			return nil, refusal
		}
		head.BackendServer = server.Name
		answer := h.ask(ctx, server, head, body)
		if answer.Load.BackendServer != "" {
			h.picker.Observe(time.Now(), answer.Load)
		}
		if answer.Reply != nil {
			return answer.Reply, nil
		}
		if answer.Refusal.Outcome != state.OutcomeNotRun || ctx.Err() != nil {
			return nil, answer.Refusal
		}
		tried = append(tried, server.Name)
		last = answer.Refusal
	}
	return nil, last
}

// ask sends a call to the guard of one backend server.
func (h *Handler) ask(
	ctx context.Context,
	server state.BackendServer,
	head call.Head,
	body callstream.Body,
) callstream.Answer {
	if server.Host == h.self {
		reply, refusal := h.local.Handle(ctx, head, body.Reader())
		if refusal != nil {
			return callstream.Answer{Refusal: refusal, Load: h.local.Load(server.Name)}
		}
		return callstream.Answer{Reply: reply, Load: reply.Head.Load}
	}
	host, ok := h.hosts.Host(server.Host)
	if !ok {
		return callstream.Answer{Refusal: state.NotRun(state.RefusedUnreachable, "the host of the backend server is not known")}
	}
	stream, err := h.dialer.OpenCall(ctx, host, handshake.LaneOf(head.Class))
	if err != nil {
		return callstream.Answer{Refusal: state.NotRun(state.RefusedUnreachable, "the guard can't be reached")}
	}
	return callstream.Do(ctx, stream, head, body)
}

func newHead(id state.CallID, snapshot *state.Snapshot, route state.Route, r *http.Request) call.Head {
	timeout := route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if given, err := time.ParseDuration(r.Header.Get(httpmap.HeaderTimeout)); err == nil && given > 0 {
		timeout = min(timeout, given)
	}
	return call.Head{
		ID:             id,
		Ticket:         snapshot.Accepted(),
		Route:          route.Name,
		Class:          route.Class,
		Caller:         state.CallerName(r.Header.Get(httpmap.HeaderCaller)),
		Deadline:       time.Now().Add(timeout),
		IdempotencyKey: r.Header.Get(httpmap.HeaderIdempotencyKey),
		Idempotent:     route.Idempotent,
		Method:         r.Method,
		Target:         r.URL.RequestURI(),
		Authority:      r.Host,
		Fields:         httpmap.Fields(r.Header),
		ContentLength:  r.ContentLength,
	}
}

// hostOf returns the host that a request names, lower case and without port.
func hostOf(r *http.Request) string {
	host := r.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
