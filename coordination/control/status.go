package control

import (
	"slices"
	"time"

	"github.com/wasabiport/wasabiport/coordination/fleetstatus"
	"github.com/wasabiport/wasabiport/state"
)

// statusTree is the tree along which reports are merged.
const statusTree = 0

// Status returns where a ticket stands across the fleet, as far as this node
// has heard.
func (p *Plane) Status(now time.Time, number state.TicketNumber) fleetstatus.TicketStatus {
	own := p.Version()
	question := fleetstatus.TicketQuery{Number: number, Local: own, Hosts: p.zonesOfHosts()}
	if verdict, known := p.log.Verdict(number); known {
		question.Outcome = fleetstatus.OutcomeRejected
		question.Errors = verdict.Errors
		if verdict.Accepted() {
			question.Outcome = fleetstatus.OutcomeAccepted
		}
	}
	if number != 0 && number == own.Accepted {
		question.Outcome = fleetstatus.OutcomeAccepted
	}
	return p.status.TicketStatus(now, question)
}

// reportStatus tells the parent how far the subtree has come, and the children
// how far the availability zones have: only those that have changed, or all
// of them. The root makes the report of its availability zone and shares it
// with the other roots.
func (p *Plane) reportStatus(now time.Time, output *Output, all bool) {
	p.status.RetainZones(p.zonesOfHosts())
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

func (p *Plane) takeSubtreeStatus(now time.Time, from state.HostName, message SubtreeStatus) {
	if p.status.RecordSubtree(now, from, message.Counts) {
		p.schedule.hastenStatus(now)
	}
}

func (p *Plane) takeFleetStatus(now time.Time, message FleetStatus) {
	changed := false
	for _, report := range message.Zones {
		if p.status.RecordZone(now, report) {
			changed = true
		}
	}
	if changed {
		p.schedule.hastenStatus(now)
	}
}
