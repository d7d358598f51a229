package guard

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/wasabiport/wasabiport/coordination/admission"
	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/events"
)

// healthTimeout is how long a backend server may take to answer a health check. It is
// longer than the answers of a backend server under load, because a repeated check costs
// it as much as a call.
const healthTimeout = 2 * time.Second

// AssumeCold records that the backend servers of this host are not known to be warm, for
// example because nothing was sent to them for a while.
func (g *Guard) AssumeCold() {
	snapshot := g.snapshots.Load()
	for _, server := range append(snapshot.Registry().Servers(), snapshot.ServersOnHost(g.host)...) {
		server, ok := snapshot.BackendServer(server.Name)
		service, _ := snapshot.Service(server.Service)
		if ok && server.Host == g.host && service.LimitsCold() {
			g.configuredGate(server, service).assumeCold()
		}
	}
}

// assumeColdOf is AssumeCold for a backend server whose gate may have been replaced.
func (g *Guard) assumeColdOf(name state.BackendServerName) {
	if gate, ok := g.gates.Get(name); ok && g.ctx.Err() == nil {
		gate.assumeCold()
	}
}

// assumeCold records that the backend server is not known to be warm, and lets a health
// check find out.
func (g *gate) assumeCold() {
	if !g.service.LimitsCold() {
		return
	}
	now := time.Now()
	before := g.admission.Coldness(now)
	g.admission.AssumeCold(now)
	g.logColdness(now, before)
	g.checkHealth()
	g.awaitGrant()
}

// checkHealth begins the health check that is due, if any, or waits until one is due.
func (g *gate) checkHealth() {
	if current, ok := g.health.gates.Get(g.server.Name); ok {
		g = current
	}
	if !g.service.LimitsCold() {
		return
	}
	now := time.Now()
	check, due, next := g.admission.BeginHealthCheck(now)
	switch {
	case due:
		g.health.run(func() {
			g.runHealthCheck(check)
			g.checkHealth()
		})
	case !next.IsZero():
		g.healthTicks.schedule(now, next, g.checkHealth)
	}
}

// runHealthCheck asks the backend server once whether it is cold.
func (g *gate) runHealthCheck(check admission.HealthCheck) {
	health, answered := g.requestHealth()
	now := time.Now()
	before := g.admission.Coldness(now)
	g.admission.EndHealthCheck(now, check, answered, now.Add(health.Cold))
	g.logColdness(now, before)
	g.awaitGrant()
}

// healthChecks runs the health checks of a guard until it is shut down.
type healthChecks struct {
	ctx        context.Context
	gates      *state.ShardedMap[state.BackendServerName, *gate]
	mu         sync.Mutex
	closed     bool
	goroutines sync.WaitGroup
}

// run runs a check in a goroutine of its own, unless the guard is shut down.
func (h *healthChecks) run(check func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.closed {
		h.goroutines.Go(check)
	}
}

// close waits for the running checks, whose context has ended.
func (h *healthChecks) close() {
	h.mu.Lock()
	h.closed = true
	h.mu.Unlock()
	h.goroutines.Wait()
}

// requestHealth sends a health check and returns the answer. It returns false if the
// backend server has given none, or one that is not valid.
func (g *gate) requestHealth() (call.ServerHealth, bool) {
	ctx, cancelTimeout := context.WithTimeout(g.health.ctx, healthTimeout)
	defer cancelTimeout()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	delivery := &delivery{cancel: cancel, beforeSend: func() {}}
	url := "http://" + g.server.Address + g.service.HealthPath
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, delivery.trace()), http.MethodGet, url, http.NoBody)
	if err != nil {
		return call.ServerHealth{}, false
	}
	g.mapper.SetHealthHeader(request.Header, g.server.Name)
	response, err := g.transport.RoundTrip(request)
	if err != nil {
		return call.ServerHealth{}, false
	}
	if checkHead(response) != nil {
		delivery.discard(response, true)
		return call.ServerHealth{}, false
	}
	health, ok := g.mapper.Health(response)
	delivery.discard(response, false)
	return health, ok
}

// logColdness logs a change of what is known of the backend server, within the limit on
// log lines.
func (g *gate) logColdness(now time.Time, before admission.Coldness) {
	after := g.admission.Coldness(now)
	if after == before {
		return
	}
	suppressed, ok := g.reportLimiter.Allow(now)
	if !ok {
		return
	}
	var left time.Duration
	if after.Until.After(now) {
		left = after.Until.Sub(now)
	}
	events.Log(g.logger, events.BackendServerCold{
		BackendServer: g.server.Name,
		Limited:       after.Limited,
		Assumed:       after.Assumed,
		Left:          left.Round(time.Millisecond),
		PerSecond:     g.service.ColdPerSecond,
		Suppressed:    suppressed,
	})
}
