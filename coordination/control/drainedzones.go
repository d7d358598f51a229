package control

import (
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// HandleDrainedZones processes the drained availability zones that a read of the tickets
// has returned with them. It is called before HandleTickets, so that the node does not
// count the answer as its first without the zones.
func (p *Plane) HandleDrainedZones(now time.Time, zones state.DrainedZones) Output {
	output := p.detectPause(now)
	p.applyDrainedZones(&output, "", zones)
	return output
}

// DrainedZones returns the drained availability zones.
func (p *Plane) DrainedZones() state.DrainedZones { return p.snapshots.Load().DrainedZones() }

// applyDrainedZones puts drained zones in force if they are newer, and pushes them to
// the peers if they differ. Peers that have the same zones take over the later version
// from offers.
func (p *Plane) applyDrainedZones(output *Output, from state.HostName, zones state.DrainedZones) {
	before, swapped := p.snapshots.SwapDrainedZones(zones)
	if !swapped || before.SameZones(zones) {
		return
	}
	reportDrainedZones(output, from, before, zones)
	for _, name := range p.peers.names() {
		if name != from && p.peers.acceptsDrainedZones(name) {
			output.send(name, DrainedZones{Zones: zones})
		}
	}
}

func reportDrainedZones(output *Output, from state.HostName, before, after state.DrainedZones) {
	for _, zone := range after.Zones() {
		if !before.Contains(zone) {
			output.report(ZoneDrained{Zone: zone, Version: after.Version(), From: from})
		}
	}
	for _, zone := range before.Zones() {
		if !after.Contains(zone) {
			output.report(ZoneDrainEnded{Zone: zone, Version: after.Version(), From: from})
		}
	}
}

// compareDrainedZones sends the drained zones to a peer that has an older version of
// them, and takes over the version of a peer that has the same zones. A peer that is
// ahead sends its zones on the next offer of this node.
func (p *Plane) compareDrainedZones(output *Output, from state.HostName, offer Offer) {
	if !offer.AcceptsDrainedZones {
		return
	}
	local := p.DrainedZones()
	switch same := offer.DrainedZonesDigest == local.Digest(); {
	case same && offer.DrainedZonesVersion > local.Version():
		p.snapshots.ConfirmDrainedZones(offer.DrainedZonesVersion, offer.DrainedZonesDigest)
	case !same && offer.DrainedZonesVersion < local.Version():
		output.send(from, DrainedZones{Zones: local})
	default:
	}
}
