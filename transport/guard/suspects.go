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

// request asks for a slot, for a suspect one that it has alone.
func (g *gate) request(head call.Head) (pass *admission.Reservation, alone bool, refusal *state.Refusal) {
	now := time.Now()
	if head.Suspect {
		g.suspects.MarkSuspect(now, head.Fingerprint)
	}
	alone, refusal = g.suspects.Check(now, head.Fingerprint)
	switch {
	case refusal != nil:
		return nil, false, refusal
	case alone:
		return g.admission.RequestExclusive(now, head), true, nil
	default:
		return g.admission.Request(now, head), false, nil
	}
}

// recheck refuses a call whose like became a suspect while it waited.
func (g *gate) recheck(head call.Head, alone bool) *state.Refusal {
	suspect, refusal := g.suspects.Check(time.Now(), head.Fingerprint)
	if refusal != nil || !suspect || alone {
		return refusal
	}
	return state.NotRun(state.RefusedQueueFull, "a request like this one may have crashed the backend server")
}

// crashed notes that the backend server broke off while it had a call.
func (g *gate) crashed(id state.CallID) {
	if g.probe == nil {
		g.suspect(g.inFlight.broken(id))
		return
	}
	if candidates := g.inFlight.all(); g.probe.begin() {
		g.probe.threads.Go(func() {
			defer g.probe.end()
			if g.probe.refused(g.server.Address) {
				g.inFlight.clear()
				g.suspect(candidates)
			}
		})
	}
}

// suspect tells the other guards of the requests that a backend server had when it
// crashed.
func (g *gate) suspect(fingerprints []state.Fingerprint) {
	if len(fingerprints) == 0 {
		return
	}
	notices := g.suspects.RecordCrash(time.Now(), fingerprints)
	events.Log(g.logger, events.BackendServerCrashed{BackendServer: g.server.Name, Suspects: len(fingerprints)})
	g.others.NotifyGuards(notices)
	for _, notice := range notices {
		if notice.Phase == quarantine.PhaseQuarantined {
			events.Log(g.logger, events.RequestQuarantined{Fingerprint: notice.Fingerprint})
		}
	}
}

// probeTimeout is how long a backend server may take to accept the connection
// that shows that it has not crashed.
const probeTimeout = 500 * time.Millisecond

// crashProbe tells a backend server that has crashed from one that has lost a
// connection, by whether it accepts another.
type crashProbe struct {
	ctx     context.Context
	network network.Network
	threads *sync.WaitGroup
	running atomic.Bool
}

// begin reports whether a probe may start: one runs at a time.
func (p *crashProbe) begin() bool { return p.running.CompareAndSwap(false, true) }

func (p *crashProbe) end() { p.running.Store(false) }

// refused reports whether the backend server accepts no connection.
func (p *crashProbe) refused(address string) bool {
	ctx, cancel := context.WithTimeout(p.ctx, probeTimeout)
	defer cancel()
	conn, err := p.network.Dial(ctx, address)
	if err != nil {
		return p.ctx.Err() == nil
	}
	_ = conn.Close()
	return false
}
