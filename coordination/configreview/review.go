// Package configreview reviews a ticket before it is filed: the errors for which nodes
// would reject it, entries of the resulting configuration that no call can use, limits
// that contradict each other, and what differs from the configuration before.
package configreview

import (
	"fmt"

	"github.com/wasabiport/wasabiport/coordination/validation"
	"github.com/wasabiport/wasabiport/state"
)

// Kind is the kind of a finding.
type Kind string

// The kinds of findings.
const (
	// KindError is a reason for which nodes reject the ticket, or leave out or replace a
	// part of it.
	KindError Kind = "error"
	// KindUnused marks an entry that no call can match or reach.
	KindUnused Kind = "unused"
	// KindConflict marks limits that contradict each other.
	KindConflict Kind = "conflict"
)

// Finding is one result of a review.
type Finding struct {
	Kind Kind
	// Path is the location in the ticket for an error, such as "set.routes[2].service",
	// and otherwise in the configuration, such as "routes.status.timeout".
	Path string
	// Detail names the resource and describes what is wrong with it.
	Detail string
}

// Report is the result of a review.
type Report struct {
	Findings []Finding
	// Changes holds what the ticket changes, sorted by resource and name.
	Changes []Change
}

// Rejected reports whether nodes would reject the ticket or parts of it.
func (r Report) Rejected() bool {
	for _, finding := range r.Findings {
		if finding.Kind == KindError {
			return true
		}
	}
	return false
}

// Review reviews a ticket against the configuration before it. A ticket that nodes would
// reject is reviewed as if it were accepted, so that all findings are reported at once.
func Review(before *state.Snapshot, ticket state.Ticket) Report {
	findings := &findingList{}
	_, verdict := validation.Evaluate(before, ticket)
	for _, err := range verdict.Errors {
		findings.add(KindError, err.Path, "%s", err.Reason)
	}
	after := apply(before, ticket)
	resources := after.Resources()
	findUnusedRoutes(findings, after, resources.Routes)
	findUnusedServices(findings, resources)
	findRouteConflicts(findings, after, resources.Routes)
	findServiceConflicts(findings, resources)
	return Report{Findings: findings.list, Changes: compare(before.Resources(), resources)}
}

// apply returns the configuration that a ticket leads to if it is accepted.
func apply(before *state.Snapshot, ticket state.Ticket) *state.Snapshot {
	base := before
	if ticket.Baseline {
		base = nil
	}
	builder := state.NewSnapshotBuilder(base)
	builder.Remove(ticket.Remove)
	builder.Set(ticket.Set)
	return builder.Build(ticket.Number, ticket.Number)
}

// findingList collects findings in the order in which they are found.
type findingList struct{ list []Finding }

func (l *findingList) add(kind Kind, path, format string, arguments ...any) {
	l.list = append(l.list, Finding{Kind: kind, Path: path, Detail: fmt.Sprintf(format, arguments...)})
}
