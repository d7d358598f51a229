package fleetstatus

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// Outcome is the verdict on a ticket as far as a node knows it.
type Outcome uint8

// The outcomes of a ticket.
const (
	// OutcomeUnknown is for tickets that this node has not judged or does
	// not hold any more.
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

// TicketStatus says where a ticket stands across the fleet.
type TicketStatus struct {
	Number  state.TicketNumber
	Outcome Outcome
	// Errors are the reasons of a rejection. Every node that judges the
	// ticket finds the same.
	Errors []state.ValidationError
	Zones  []ZoneStatus
	// UnseenZones are the availability zones without a recent report.
	UnseenZones []state.AvailabilityZone
}

// ZoneStatus says where a ticket stands in one availability zone.
type ZoneStatus struct {
	Zone state.AvailabilityZone
	// Hosts is the number of hosts that take part.
	Hosts int
	// InForce counts hosts where an accepted ticket, or a later one on top
	// of it, is in force.
	InForce int
	// Rejected counts hosts that have rejected the ticket.
	Rejected int
	// Evaluated counts hosts that have judged a ticket whose outcome this node
	// does not know.
	Evaluated int
	// Behind counts hosts that have not judged the ticket yet.
	Behind int
	// Unreported counts hosts of which no recent report is known.
	Unreported int
	// Diverged counts hosts with another configuration than this node after
	// the same ticket.
	Diverged int
	// Age is the age of the oldest report that was counted.
	Age time.Duration
}

// TicketQuery is what is asked about one ticket.
type TicketQuery struct {
	Number  state.TicketNumber
	Outcome Outcome
	Errors  []state.ValidationError
	// Local is how far the asked node has come.
	Local state.Version
	// Hosts is the number of hosts that take part, by availability zone.
	Hosts map[state.AvailabilityZone]int
}

// TicketStatus answers a question from the reports that are known.
func (c *Collector) TicketStatus(now time.Time, question TicketQuery) TicketStatus {
	status := TicketStatus{Number: question.Number, Outcome: question.Outcome, Errors: question.Errors}
	reports := make(map[state.AvailabilityZone]ZoneReport)
	for _, report := range c.Zones(now) {
		reports[report.Zone] = report
	}
	for _, zone := range slices.SortedFunc(maps.Keys(question.Hosts), cmp.Compare[state.AvailabilityZone]) {
		report, known := reports[zone]
		if !known || report.Age > c.retention {
			status.UnseenZones = append(status.UnseenZones, zone)
		}
		status.Zones = append(status.Zones, zoneStatus(zone, report, question))
	}
	return status
}

func zoneStatus(zone state.AvailabilityZone, report ZoneReport, question TicketQuery) ZoneStatus {
	status := ZoneStatus{Zone: zone, Hosts: question.Hosts[zone], Age: report.Age}
	heard := 0
	for _, count := range report.Counts {
		status.add(count, question)
		status.Age = max(status.Age, report.Age+count.Age)
		heard += count.Hosts
	}
	status.Unreported = max(0, status.Hosts-heard)
	return status
}

func (s *ZoneStatus) add(count VersionCount, question TicketQuery) {
	if count.Version.Evaluated == question.Local.Evaluated && count.Version.Digest != question.Local.Digest {
		s.Diverged += count.Hosts
	}
	switch {
	case count.Version.Evaluated < question.Number:
		s.Behind += count.Hosts
	case question.Outcome == OutcomeAccepted:
		s.InForce += count.Hosts
	case question.Outcome == OutcomeRejected:
		s.Rejected += count.Hosts
	default:
		s.Evaluated += count.Hosts
	}
}
