package guard

import (
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// applyDrainedZones makes the gate refuse calls while the availability zone of its
// backend server is drained. Drained zones that are older than those applied before have
// no effect.
func (g *gate) applyDrainedZones(now time.Time, zones state.DrainedZones) {
	drained := zones.Contains(g.server.Zone)
	before, version := g.admission.ZoneDrained()
	ending := before && !drained && version <= zones.Version()
	if ending {
		g.zoneDrainEnding()
	}
	g.admission.SetZoneDrained(now, zones.Version(), drained)
	if ending {
		// No health check is sent to a backend server of a drained zone.
		g.checkHealth()
		g.awaitGrant()
	}
}

// zoneDrainEnding is called when the drain of the zone ends, before the gate takes calls
// again. It may be called more than once for the same end. The backend server has had no
// calls for a while, so it may be cold.
func (g *gate) zoneDrainEnding() { g.assumeCold() }
