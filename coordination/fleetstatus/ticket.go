package fleetstatus

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// Outcome is the verdict on a ticket, if the node has it.
type Outcome uint8

// The outcomes of a ticket.
const (
	// OutcomeUnknown is for tickets that this node has not evaluated or whose
	// verdict it no longer stores.
	OutcomeUnknown Outcome = iota
	OutcomeAccepted
	OutcomeRejected
)

// String returns the outcome as it appears in reports.
func (o Outcome) String() string {
	switch o {
	case OutcomeAccepted:
		return "accepted"
	case OutcomeRejected:
		return "rejected"
	default:
		return "unknown"
	}
}

// TicketStatus is the status of a ticket across the fleet.
type TicketStatus struct {
	Number  state.TicketNumber
	Outcome Outcome
	// Errors are the reasons of a rejection. Every node that evaluates the
	// ticket finds the same errors.
	Errors []state.ValidationError
	Zones  []ZoneStatus
	// UnseenZones are the availability zones without a recent report.
	UnseenZones []state.AvailabilityZone
}

// ZoneStatus is the status of a ticket in one availability zone.
type ZoneStatus struct {
	Zone state.AvailabilityZone
	// Hosts is the number of hosts that take part.
	Hosts int
	// InForce counts hosts whose configuration includes the accepted ticket.
	InForce int
	// Rejected counts hosts that have rejected the ticket.
	Rejected int
	// Evaluated counts hosts that have evaluated a ticket whose outcome is
	// unknown to this node.
	Evaluated int
	// Behind counts hosts that have not evaluated the ticket yet.
	Behind int
	// Unreported counts hosts without a recent report.
	Unreported int
	// Diverged counts hosts that have a different configuration than this node
	// after evaluating the same tickets.
	Diverged int
	// Age is the age of the oldest report that was counted.
	Age time.Duration
}

// TicketQuery is a query for the status of one ticket.
type TicketQuery struct {
	Number  state.TicketNumber
	Outcome Outcome
	Errors  []state.ValidationError
	// Local is the version of the node that answers the query.
	Local state.Version
	// Hosts is the number of hosts that take part, by availability zone.
	Hosts map[state.AvailabilityZone]int
}

// TicketStatus returns the status of a ticket according to the stored reports.
func (c *Collector) TicketStatus(now time.Time, query TicketQuery) TicketStatus {
	status := TicketStatus{Number: query.Number, Outcome: query.Outcome, Errors: query.Errors}
	reports := make(map[state.AvailabilityZone]ZoneReport)
	for _, report := range c.Zones(now) {
		reports[report.Zone] = report
	}
	for _, zone := range slices.SortedFunc(maps.Keys(query.Hosts), cmp.Compare[state.AvailabilityZone]) {
		report, known := reports[zone]
		if !known || report.Age > c.retention {
			status.UnseenZones = append(status.UnseenZones, zone)
		}
		status.Zones = append(status.Zones, zoneStatus(zone, report, query))
	}
	return status
}

func zoneStatus(zone state.AvailabilityZone, report ZoneReport, query TicketQuery) ZoneStatus {
	status := ZoneStatus{Zone: zone, Hosts: query.Hosts[zone], Age: report.Age}
	reported := 0
	for _, count := range report.Counts {
		status.add(count, query)
		status.Age = max(status.Age, report.Age+count.Age)
		reported += count.Hosts
	}
	status.Unreported = max(0, status.Hosts-reported)
	return status
}

func (s *ZoneStatus) add(count VersionCount, query TicketQuery) {
	if count.Version.Evaluated == query.Local.Evaluated && count.Version.Digest != query.Local.Digest {
		s.Diverged += count.Hosts
	}
	switch {
	case count.Version.Evaluated < query.Number:
		s.Behind += count.Hosts
	case query.Outcome == OutcomeAccepted:
		s.InForce += count.Hosts
	case query.Outcome == OutcomeRejected:
		s.Rejected += count.Hosts
	default:
		s.Evaluated += count.Hosts
	}
}
