// Package validation judges change tickets. Evaluate is a pure function, so that
// every node that judges the same tickets in the same order reaches the same
// configuration without asking any other node.
package validation

import "github.com/wasabiport/wasabiport/state"

// Evaluate returns the configuration after ticket and the verdict on it. A
// rejected ticket leaves the resources as they were and only moves the number
// of the latest judged ticket forward. The number of ticket must follow the
// latest ticket that before has judged, unless ticket is a baseline. The
// verdict on a baseline does not depend on before.
func Evaluate(before *state.Snapshot, ticket state.Ticket) (*state.Snapshot, state.Verdict) {
	base := before
	if ticket.Baseline {
		base = state.EmptySnapshot()
	}
	faults := &faultList{}
	checkTicket(faults, ticket)
	if resourceCount(ticket) > MaxResources {
		return before.WithEvaluated(ticket.Number), state.Verdict{Number: ticket.Number, Errors: faults.list()}
	}
	after := apply(base, ticket)
	checkChange(faults, base, after, ticket)
	verdict := state.Verdict{Number: ticket.Number, Errors: faults.list()}
	if !verdict.Accepted() {
		return before.WithEvaluated(ticket.Number), verdict
	}
	return after, verdict
}

func apply(before *state.Snapshot, ticket state.Ticket) *state.Snapshot {
	builder := state.NewSnapshotBuilder(before)
	builder.Remove(ticket.Remove)
	builder.Set(ticket.Set)
	return builder.Build(ticket.Number, ticket.Number)
}

// CheckSnapshot returns the faults of a whole configuration that another node
// has sent, so that an inconsistent one is never put in force.
func CheckSnapshot(snapshot *state.Snapshot) []state.ValidationError {
	ticket := state.Ticket{Number: 1, Baseline: true, Set: snapshot.Resources()}
	_, verdict := Evaluate(state.EmptySnapshot(), ticket)
	return verdict.Errors
}
