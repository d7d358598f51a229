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
	"github.com/wasabiport/wasabiport/coordination/drain"
	"github.com/wasabiport/wasabiport/coordination/quarantine"
	"github.com/wasabiport/wasabiport/coordination/repeats"
	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/callstream"
	"github.com/wasabiport/wasabiport/transport/events"
)

// gate runs the calls of one backend server.
type gate struct {
	mapper    BackendMapper
	admission *admission.Gate
	server    state.BackendServer
	service   state.Service
	transport *http.Transport
	// replaced is set when another backend server was found at the address. All
	// gates of one incarnation of the backend server share it.
	replaced *atomic.Bool
	suspects *quarantine.Tracker
	inFlight *inFlight
	// peerCalls counts the calls of other nodes.
	peerCalls *drain.PeerCalls
	repeats   *repeats.Tracker
	// probe distinguishes crashes from lost connections. If it is nil, every
	// lost connection counts as a crash.
	probe    *crashProbe
	notifier PeerNotifier
	logger   logr.Logger
	// reportLimiter bounds the log lines on rate limits.
	reportLimiter *events.LineLimiter
	// link is the link of the host, or nil if it is not limited.
	link *admission.Link
	// ticks wakes the calls that wait for the rate limit or the link.
	ticks *tickTimer
	// health runs health checks, and healthTicks wakes those that are due later.
	health      *healthChecks
	healthTicks *tickTimer
}

// handle waits for a slot and runs the call. The call leaves the queue when
// waitCtx ends, and is canceled when runCtx ends. beforeSend is called before
// its first byte is written to the backend server.
func (g *gate) handle(
	waitCtx, runCtx context.Context,
	head call.Head,
	body io.Reader,
	beforeSend func(),
) (*callstream.Reply, *state.Refusal) {
	if g.replaced.Load() {
		return nil, state.NotRun(state.RefusedDraining, "another backend server was found at the address")
	}
	if head.ReachedAttempts > 0 {
		if refusal := g.repeats.Admit(time.Now(), g.server.Name); refusal != nil {
			return nil, refusal
		}
	}
	_, head.Local = body.(callstream.LocalBody)
	reservation, exclusive, refusal := g.reserve(head)
	if refusal != nil {
		return nil, refusal
	}
	if refusal := g.awaitSlot(waitCtx, reservation, body); refusal != nil {
		return nil, refusal
	}
	release := func(result admission.Result) {
		g.inFlight.remove(head.ID)
		if exclusive && (result == admission.ResultSuccess || result == admission.ResultFailed) {
			g.suspects.RecordSurvival(time.Now(), head.Fingerprint)
		}
		g.admission.ReleaseWithResult(time.Now(), reservation, result)
		g.awaitGrant()
	}
	if refusal := g.recheckSuspect(head, exclusive); refusal != nil {
		release(admission.ResultAborted)
		return nil, refusal
	}
	if confirmer, ok := body.(callstream.StartConfirmer); ok {
		if err := confirmer.ConfirmStart(); err != nil {
			release(admission.ResultAborted)
			return nil, state.NotRun(state.RefusedCanceled, "the entry node has not confirmed the start of the call")
		}
	}
	if drained, _ := g.admission.ZoneDrained(); drained {
		// The zone was drained while the entry node confirmed the start.
		release(admission.ResultAborted)
		return nil, state.NotRunZoneDrained()
	}
	release = g.beginRun(head, body, release)
	began := time.Now()
	reply, refusal := g.run(runCtx, head, body, beforeSend, release)
	if refusal != nil {
		release(admission.ResultAborted)
		return nil, refusal
	}
	g.measure(runCtx, head, reservation, reply)
	reply.Head.ServiceTime = time.Since(began)
	reply.Head.Load = g.admission.Load()
	return reply, nil
}

// beginRun records that a call runs. It returns release with the end of that added.
func (g *gate) beginRun(head call.Head, body io.Reader, release func(admission.Result)) func(admission.Result) {
	g.inFlight.add(head.ID, head.Fingerprint)
	endPeerCall := g.beginPeerCall(body)
	endRun := g.repeats.Begin(repeats.Run{BackendServer: g.server.Name, Deadline: head.Deadline, RepeatShare: head.RepeatShare})
	return func(result admission.Result) {
		endPeerCall()
		endRun()
		release(result)
	}
}

// awaitSlot waits until the reservation is granted. Otherwise it returns the
// reason as a refusal.
func (g *gate) awaitSlot(ctx context.Context, reservation *admission.Reservation, body io.Reader) *state.Refusal {
	select {
	case <-reservation.Decided():
		return reservation.Refusal()
	default:
	}
	g.awaitGrant()
	if confirmer, ok := body.(callstream.StartConfirmer); ok {
		// The error can be ignored: ctx ends when the stream is lost.
		_ = confirmer.NotifyQueued()
	}
	var withdrawn <-chan struct{}
	if withdrawable, ok := body.(callstream.Withdrawable); ok {
		withdrawn = withdrawable.Withdrawn()
	}
	select {
	case <-reservation.Decided():
		return reservation.Refusal()
	case <-withdrawn:
		g.admission.Cancel(time.Now(), reservation)
		return state.NotRun(state.RefusedCanceled, "the entry node has withdrawn the call while it waited for a slot")
	case <-ctx.Done():
		g.admission.Cancel(time.Now(), reservation)
		return waitRefusal(ctx.Err())
	}
}

func waitRefusal(err error) *state.Refusal {
	if errors.Is(err, context.DeadlineExceeded) {
		return state.NotRun(state.RefusedDeadline, "the deadline passed while the call waited for a slot")
	}
	return state.NotRun(state.RefusedCanceled, "the caller went away while the call waited for a slot")
}

// lookupGate returns the gate of the backend server of a call.
func (g *Guard) lookupGate(head call.Head) (*gate, *state.Refusal) {
	snapshot := g.snapshots.Load()
	server, ok := snapshot.BackendServer(head.BackendServer)
	service, _ := snapshot.Service(server.Service)
	if snapshot.Accepted() < head.Ticket && !service.SelfRegistered {
		return nil, state.NotRun(state.RefusedBehind, "the guard has an older configuration than the entry node")
	}
	if !ok || server.Host != g.host {
		return nil, state.NotRun(state.RefusedNoBackendServer, "the backend server is not on this host")
	}
	gate := g.configuredGate(server, service)
	// Watch may have missed a gate that was created concurrently. The call is not
	// refused here, because there may be a record of it.
	gate.applyDrainedZones(time.Now(), snapshot.DrainedZones())
	if g.draining.Load() {
		// Drain may have missed it in the same way.
		gate.admission.Drain(time.Now())
	}
	return gate, nil
}

// configuredGate returns the gate of a backend server, created or updated to
// the given settings.
func (g *Guard) configuredGate(server state.BackendServer, service state.Service) *gate {
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
			current = g.reconfigured(existing, server, service)
		}
		return current, true
	})
	if replaced == nil {
		current.checkHealth()
		return current
	}
	now := time.Now()
	before := current.admission.Coldness(now)
	current.admission.Configure(now, server, service)
	current.logColdness(now, before)
	current.checkHealth()
	if replaced.transport != current.transport {
		replaced.transport.CloseIdleConnections()
	}
	return current
}

func (g *Guard) newGate(server state.BackendServer, service state.Service) *gate {
	var probe *crashProbe
	if g.policies.ConfirmCrashes {
		probe = &crashProbe{ctx: g.ctx, network: g.network, goroutines: &g.probes}
	}
	admissionConfig := admission.DefaultConfig()
	admissionConfig.Link = g.policies.Link
	created := &gate{
		probe:         probe,
		mapper:        g.mapper,
		admission:     admission.NewGateWithConfig(admissionConfig, server, service),
		link:          g.policies.Link,
		server:        server,
		service:       service,
		transport:     g.newTransport(server),
		replaced:      new(atomic.Bool),
		suspects:      g.policies.Suspects,
		inFlight:      newInFlight(),
		peerCalls:     g.peerCalls,
		repeats:       g.policies.Repeats,
		notifier:      g.notifier,
		logger:        g.logger,
		reportLimiter: g.reportLimiter,
		ticks:         &tickTimer{},
		health:        g.health,
		healthTicks:   &tickTimer{},
	}
	now := time.Now()
	created.admission.Begin(now, g.started)
	created.logColdness(now, admission.Coldness{})
	return created
}

// reconfigured returns a copy of a gate with new settings that shares the
// admission state.
func (g *Guard) reconfigured(old *gate, server state.BackendServer, service state.Service) *gate {
	next := *old
	next.server = server
	next.service = service
	if server.Address != old.server.Address || server.Incarnation != old.server.Incarnation {
		next.replaced = new(atomic.Bool)
	}
	if server.Address != old.server.Address || server.Connections != old.server.Connections {
		next.transport = g.newTransport(server)
	}
	return &next
}
