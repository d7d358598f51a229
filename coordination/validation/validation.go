// Package validation evaluates configuration tickets. Evaluate is deterministic
// and has no side effects: nodes that evaluate the same tickets in the same order
// arrive at the same configuration without coordination.
package validation

import "github.com/wasabiport/wasabiport/state"

// Evaluate validates ticket against the configuration before. It returns the
// resulting configuration and the verdict on the ticket. A rejected ticket leaves
// the resources unchanged and only advances the number of the latest evaluated
// ticket. Unless ticket is a baseline, its number must be before.Evaluated()+1. The
// verdict on a baseline does not depend on before.
func Evaluate(before *state.Snapshot, ticket state.Ticket) (*state.Snapshot, state.Verdict) {
	base := before
	if ticket.Baseline {
		base = state.EmptySnapshot()
	}
	errs := &errorList{}
	checkTicket(errs, ticket)
	if resourceCount(ticket) > MaxResources {
		return before.WithEvaluated(ticket.Number), state.Verdict{Number: ticket.Number, Errors: errs.list()}
	}
	after := apply(base, ticket)
	checkChange(errs, base, after, ticket)
	verdict := state.Verdict{Number: ticket.Number, Errors: errs.list()}
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

// CheckDiff validates a difference that was received from another node, and the
// configuration to which it leads. before is consistent. Unlike those that a ticket
// removes, resources that a difference removes need not be in before.
func CheckDiff(before, after *state.Snapshot, diff state.SnapshotDiff) []state.ValidationError {
	errs := &errorList{}
	checkTicket(errs, state.Ticket{Number: diff.Version.Evaluated, Set: diff.Set})
	checkConsistency(errs, before, after, state.Ticket{Set: diff.Set, Remove: diff.Remove})
	return errs.list()
}

// CheckSnapshot validates a complete configuration that was received from another
// node, so that an inconsistent one is never applied.
func CheckSnapshot(snapshot *state.Snapshot) []state.ValidationError {
	ticket := state.Ticket{Number: 1, Baseline: true, Set: snapshot.Resources()}
	_, verdict := Evaluate(state.EmptySnapshot(), ticket)
	return verdict.Errors
}
