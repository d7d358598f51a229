package control

import (
	"slices"
	"time"

	"github.com/wasabiport/wasabiport/coordination/fleetstatus"
	"github.com/wasabiport/wasabiport/state"
)

// statusTree is the index of the tree along which reports are merged.
const statusTree = 0

// Status returns the status of a ticket across the fleet, according to the
// reports received by the local node.
func (p *Plane) Status(now time.Time, number state.TicketNumber) fleetstatus.TicketStatus {
	local := p.Version()
	query := fleetstatus.TicketQuery{Number: number, Local: local, Hosts: p.hostsPerZone()}
	if verdict, known := p.log.Verdict(number); known {
		query.Outcome = fleetstatus.OutcomeRejected
		query.Errors = verdict.Errors
		if verdict.Accepted() {
			query.Outcome = fleetstatus.OutcomeAccepted
		}
	}
	if number != 0 && number == local.Accepted {
		query.Outcome = fleetstatus.OutcomeAccepted
	}
	return p.status.TicketStatus(now, query)
}

// reportStatus reports the versions of the subtree to the parent and the
// reports of the availability zones to the children: either only those that
// have changed, or all. A root creates the report of its availability zone and
// sends it to the other roots.
func (p *Plane) reportStatus(now time.Time, output *Output, all bool) {
	p.status.RetainZones(p.hostsPerZone())
	counts := p.status.Subtree(now, p.Version())
	parent := p.links.Parent(statusTree)
	switch {
	case parent == "":
		p.status.RecordZone(now, fleetstatus.ZoneReport{Zone: p.config.Self.Zone, Counts: counts})
	case p.peers.isConnected(parent):
		output.send(parent, SubtreeStatus{Counts: counts})
	}
	zones := p.status.ChangedZones(now)
	if all {
		zones = p.status.Zones(now)
	}
	if len(zones) == 0 {
		return
	}
	topology := p.links.Topology()
	for _, name := range slices.Concat(topology.RootPeers, topology.Children) {
		if p.peers.isConnected(name) {
			output.send(name, FleetStatus{Zones: zones})
		}
	}
}

func (p *Plane) recordSubtreeStatus(now time.Time, from state.HostName, message SubtreeStatus) {
	if p.status.RecordSubtree(now, from, message.Counts) {
		p.schedule.expediteStatus(now)
	}
}

func (p *Plane) recordFleetStatus(now time.Time, message FleetStatus) {
	changed := false
	for _, report := range message.Zones {
		if p.status.RecordZone(now, report) {
			changed = true
		}
	}
	if changed {
		p.schedule.expediteStatus(now)
	}
}
