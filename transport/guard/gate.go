package guard

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/wasabiport/wasabiport/coordination/admission"
	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/coordination/quarantine"
	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/callstream"
)

// gate is the guard's part for one backend server.
type gate struct {
	back      BackendMapper
	admission *admission.Gate
	server    state.BackendServer
	service   state.Service
	transport *http.Transport
	// gone is set when another backend server was found at the address. It is
	// shared by all settings of one life of the backend server.
	gone     *atomic.Bool
	suspects *quarantine.Tracker
	inFlight *inFlight
	// probe tells crashes from lost connections; nil takes both for crashes.
	probe  *crashProbe
	others PeerNotifier
	logger logr.Logger
}

// handle runs a call once it has a slot. The call gives up its place in the
// queue when waitCtx ends, and is cancelled when runCtx ends. beforeSend is
// called before its first byte is written to the backend server.
func (g *gate) handle(
	waitCtx, runCtx context.Context,
	head call.Head,
	body io.Reader,
	beforeSend func(),
) (*callstream.Reply, *state.Refusal) {
	if g.gone.Load() {
		return nil, state.NotRun(state.RefusedDraining, "another backend server was found at the address")
	}
	pass, alone, refusal := g.request(head)
	if refusal != nil {
		return nil, refusal
	}
	if refusal := g.await(waitCtx, pass, body); refusal != nil {
		return nil, refusal
	}
	release := func(result admission.Result) {
		g.inFlight.remove(head.ID)
		if alone && (result == admission.ResultSuccess || result == admission.ResultFailed) {
			g.suspects.RecordSurvival(time.Now(), head.Fingerprint)
		}
		g.admission.ReleaseWithResult(time.Now(), pass, result)
	}
	if refusal := g.recheck(head, alone); refusal != nil {
		release(admission.ResultAborted)
		return nil, refusal
	}
	if confirmed, ok := body.(callstream.StartConfirmer); ok {
		if err := confirmed.ConfirmStart(); err != nil {
			release(admission.ResultAborted)
			return nil, state.NotRun(state.RefusedCanceled, "the entry node has not confirmed the start of the call")
		}
	}
	g.inFlight.add(head.ID, head.Fingerprint)
	began := time.Now()
	reply, refusal := g.run(runCtx, head, body, beforeSend, release)
	if refusal != nil {
		release(admission.ResultAborted)
		return nil, refusal
	}
	reply.Head.ServiceTime = time.Since(began)
	reply.Head.Load = g.admission.Load()
	return reply, nil
}

// await waits until the pass is granted, or returns why it is not.
func (g *gate) await(ctx context.Context, pass *admission.Reservation, body io.Reader) *state.Refusal {
	select {
	case <-pass.Decided():
		return pass.Refusal()
	default:
	}
	if confirmed, ok := body.(callstream.StartConfirmer); ok {
		// A stream that is lost ends ctx.
		_ = confirmed.NotifyQueued()
	}
	var withdrawn <-chan struct{}
	if withdrawable, ok := body.(callstream.Withdrawable); ok {
		withdrawn = withdrawable.Withdrawn()
	}
	select {
	case <-pass.Decided():
		return pass.Refusal()
	case <-withdrawn:
		g.admission.Cancel(time.Now(), pass)
		return state.NotRun(state.RefusedCanceled, "the entry node has withdrawn the call while it waited for a slot")
	case <-ctx.Done():
		g.admission.Cancel(time.Now(), pass)
		return abandoned(ctx.Err())
	}
}

func abandoned(err error) *state.Refusal {
	if errors.Is(err, context.DeadlineExceeded) {
		return state.NotRun(state.RefusedDeadline, "the deadline passed while the call waited for a slot")
	}
	return state.NotRun(state.RefusedCanceled, "the caller went away while the call waited for a slot")
}

// gate returns the gate of a call's backend server.
func (g *Guard) gate(head call.Head) (*gate, *state.Refusal) {
	snapshot := g.snapshots.Load()
	server, ok := snapshot.BackendServer(head.BackendServer)
	service, _ := snapshot.Service(server.Service)
	if snapshot.Accepted() < head.Ticket && !service.SelfRegistered {
		return nil, state.NotRun(state.RefusedBehind, "the guard has an older configuration than the entry node")
	}
	if !ok || server.Host != g.host {
		return nil, state.NotRun(state.RefusedNoBackendServer, "the backend server is not on this host")
	}
	gate := g.configured(server, service)
	if g.leaving.Load() {
		// Leave may have missed a gate that is new. The call is not refused
		// here, as there may be a record of it.
		gate.admission.Drain(time.Now())
	}
	return gate, nil
}

// configured returns the gate of a backend server with the settings in force.
func (g *Guard) configured(server state.BackendServer, service state.Service) *gate {
	if current, ok := g.gates.Get(server.Name); ok && current.server == server && current.service == service {
		return current
	}
	var current, replaced *gate
	g.gates.Update(server.Name, func(existing *gate, present bool) (*gate, bool) {
		switch {
		case !present:
			current = g.newGate(server, service)
		case existing.server == server && existing.service == service:
			current = existing
		default:
			replaced = existing
			current = g.changed(existing, server, service)
		}
		return current, true
	})
	if replaced == nil {
		return current
	}
	current.admission.Configure(time.Now(), server, service)
	if replaced.transport != current.transport {
		replaced.transport.CloseIdleConnections()
	}
	return current
}

func (g *Guard) newGate(server state.BackendServer, service state.Service) *gate {
	var probe *crashProbe
	if g.decisions.ConfirmCrashes {
		probe = &crashProbe{ctx: g.ctx, network: g.network, threads: &g.probes}
	}
	return &gate{
		probe:     probe,
		back:      g.back,
		admission: admission.NewGate(server, service),
		server:    server,
		service:   service,
		transport: g.newTransport(server),
		gone:      new(atomic.Bool),
		suspects:  g.decisions.Suspects,
		inFlight:  newInFlight(),
		others:    g.others,
		logger:    g.logger,
	}
}

// changed returns a gate with new settings that shares the slots in use.
func (g *Guard) changed(old *gate, server state.BackendServer, service state.Service) *gate {
	next := *old
	next.server = server
	next.service = service
	if server.Address != old.server.Address || server.Incarnation != old.server.Incarnation {
		next.gone = new(atomic.Bool)
	}
	if server.Address != old.server.Address || server.Connections != old.server.Connections {
		next.transport = g.newTransport(server)
	}
	return &next
}
