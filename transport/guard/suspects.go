package guard

import (
	"time"

	"github.com/wasabiport/wasabiport/coordination/admission"
	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/coordination/quarantine"
	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/events"
)

// request asks for a slot, for a suspect one that it has alone.
func (g *gate) request(head call.Head) (pass *admission.Pass, alone bool, refusal *state.Refusal) {
	now := time.Now()
	if head.Suspect {
		g.suspects.Suspect(now, head.Fingerprint)
	}
	alone, refusal = g.suspects.Check(now, head.Fingerprint)
	switch {
	case refusal != nil:
		return nil, false, refusal
	case alone:
		return g.admission.RequestAlone(now, head), true, nil
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
	fingerprints := g.inFlight.broken(id)
	if len(fingerprints) == 0 {
		return
	}
	notices := g.suspects.Crashed(time.Now(), fingerprints)
	events.Log(g.logger, events.BackendServerCrashed{BackendServer: g.server.Name, Suspects: len(fingerprints)})
	g.zone.TellZone(notices)
	for _, notice := range notices {
		if notice.Phase == quarantine.PhaseQuarantined {
			events.Log(g.logger, events.RequestQuarantined{Fingerprint: notice.Fingerprint})
		}
	}
}
