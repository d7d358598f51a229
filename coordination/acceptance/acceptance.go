// Package acceptance judges change tickets. Judge is a pure function, so that
// every node that judges the same tickets in the same order reaches the same
// configuration without asking any other node.
package acceptance

import "github.com/wasabiport/wasabiport/state"

// Judge returns the configuration after ticket and the verdict on it. A
// rejected ticket leaves the resources as they were and only moves the number
// of the latest judged ticket forward. The number of ticket must follow the
// latest ticket that before has judged, unless ticket is a baseline.
func Judge(before *state.Snapshot, ticket state.Ticket) (*state.Snapshot, state.Verdict) {
	verdict := state.Verdict{Number: ticket.Number, Faults: CheckTicket(ticket)}
	if !verdict.Accepted() {
		return before.WithJudged(ticket.Number), verdict
	}
	after := apply(before, ticket)
	verdict.Faults = checkReferences(after)
	if !verdict.Accepted() {
		return before.WithJudged(ticket.Number), verdict
	}
	return after, verdict
}

func apply(before *state.Snapshot, ticket state.Ticket) *state.Snapshot {
	if ticket.Baseline {
		before = nil
	}
	builder := state.NewSnapshotBuilder(before)
	builder.Remove(ticket.Remove)
	builder.Set(ticket.Set)
	return builder.Build(ticket.Number, ticket.Number)
}
