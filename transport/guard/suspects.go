package guard

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wasabiport/wasabiport/coordination/admission"
	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/coordination/quarantine"
	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/events"
	"github.com/wasabiport/wasabiport/transport/network"
)

// reserve requests a slot, or exclusive use of the backend server if the
// request is suspected of crashing backend servers.
func (g *gate) reserve(head call.Head) (reservation *admission.Reservation, exclusive bool, refusal *state.Refusal) {
	now := time.Now()
	if head.Suspect {
		g.suspects.MarkSuspect(now, head.Fingerprint)
	}
	exclusive, refusal = g.suspects.Check(now, head.Fingerprint)
	switch {
	case refusal != nil:
		return nil, false, refusal
	case exclusive:
		return g.admission.RequestExclusive(now, head), true, nil
	default:
		return g.admission.Request(now, head), false, nil
	}
}

// recheckSuspect refuses a call if requests with its fingerprint became suspect
// while it waited.
func (g *gate) recheckSuspect(head call.Head, exclusive bool) *state.Refusal {
	suspect, refusal := g.suspects.Check(time.Now(), head.Fingerprint)
	if refusal != nil || !suspect || exclusive {
		return refusal
	}
	return state.NotRun(state.RefusedQueueFull, "a request like this one may have crashed the backend server")
}

// handleLostConnection handles a connection that broke during a call. Without a
// probe it counts as a crash. Otherwise a probe runs in the background, at most
// one at a time per backend server.
func (g *gate) handleLostConnection(id state.CallID) {
	if g.probe == nil {
		g.reportCrash(g.inFlight.removeAllIfPresent(id))
		return
	}
	if candidates := g.inFlight.fingerprints(); g.probe.tryStart() {
		g.probe.goroutines.Go(func() {
			defer g.probe.finish()
			if g.probe.refusesConnections(g.server.Address) {
				g.inFlight.clear()
				g.reportCrash(candidates)
			}
		})
	}
}

// reportCrash marks the requests that were in flight at a crash as suspects and
// notifies the other guards.
func (g *gate) reportCrash(fingerprints []state.Fingerprint) {
	if len(fingerprints) == 0 {
		return
	}
	notices := g.suspects.RecordCrash(time.Now(), fingerprints)
	events.Log(g.logger, events.BackendServerCrashed{BackendServer: g.server.Name, Suspects: len(fingerprints)})
	g.notifier.NotifyGuards(notices)
	for _, notice := range notices {
		if notice.Phase == quarantine.PhaseQuarantined {
			events.Log(g.logger, events.RequestQuarantined{Fingerprint: notice.Fingerprint})
		}
	}
}

// probeTimeout is how long a backend server may take to accept a connection
// before it is considered crashed.
const probeTimeout = 500 * time.Millisecond

// crashProbe distinguishes a crashed backend server from a lost connection by
// whether the server still accepts connections.
type crashProbe struct {
	ctx        context.Context
	network    network.Network
	goroutines *sync.WaitGroup
	running    atomic.Bool
}

// tryStart marks the probe as running. It returns false if one already runs.
func (p *crashProbe) tryStart() bool { return p.running.CompareAndSwap(false, true) }

func (p *crashProbe) finish() { p.running.Store(false) }

// refusesConnections reports whether the backend server accepts no connections.
func (p *crashProbe) refusesConnections(address string) bool {
	ctx, cancel := context.WithTimeout(p.ctx, probeTimeout)
	defer cancel()
	conn, err := p.network.Dial(ctx, address)
	if err != nil {
		return p.ctx.Err() == nil
	}
	_ = conn.Close()
	return false
}
