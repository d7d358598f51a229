package state

import (
	"fmt"
	"time"
)

// Outcome tells a caller what happened to its call.
type Outcome uint8

// The outcomes of a call.
const (
	// OutcomeDone means that the backend server gave the whole answer.
	OutcomeDone Outcome = iota
	// OutcomeNotRun means that no backend server has started the call.
	OutcomeNotRun
	// OutcomeMayHaveRun means that a backend server may have run the call.
	OutcomeMayHaveRun
)

// String returns the value of the outcome header.
func (o Outcome) String() string {
	switch o {
	case OutcomeDone:
		return "done"
	case OutcomeNotRun:
		return "not-run"
	case OutcomeMayHaveRun:
		return "may-have-run"
	default:
		return "invalid"
	}
}

// RefusalReason says why a call got no answer from a backend server.
type RefusalReason uint8

// The reasons for a refusal.
const (
	// RefusedNoRoute means that no route matches the request.
	RefusedNoRoute RefusalReason = iota + 1
	// RefusedNoBackendServer means that no backend server can be picked.
	RefusedNoBackendServer
	// RefusedQueueFull means that the queue of the call's class is full.
	RefusedQueueFull
	// RefusedDeadline means that the deadline passed, or can't be met.
	RefusedDeadline
	// RefusedCallerLimit means that the caller has used up its share.
	RefusedCallerLimit
	// RefusedDraining means that the backend server or node is leaving.
	RefusedDraining
	// RefusedQuarantined means that requests like this one have crashed
	// backend servers.
	RefusedQuarantined
	// RefusedNotReady means that the node does not know the configuration.
	RefusedNotReady
	// RefusedBehind means that the guard has an older configuration.
	RefusedBehind
	// RefusedUnreachable means that the guard could not be reached.
	RefusedUnreachable
	// RefusedBackendServerFailed means that the backend server failed while
	// it had the call.
	RefusedBackendServerFailed
	// RefusedConflict means that the idempotency key belongs to another
	// request, or to a call whose record is lost.
	RefusedConflict
	// RefusedShed means that the backend server itself declined the call.
	RefusedShed
	// RefusedBadRequest means that the request breaks a limit or a rule.
	RefusedBadRequest
	// RefusedCanceled means that the caller went away.
	RefusedCanceled
	// RefusedUnsupported means that the request asks for a feature of HTTP
	// that calls don't have.
	RefusedUnsupported
	// RefusedTooLarge means that the request body exceeds the limit.
	RefusedTooLarge
)

var refusalNames = map[RefusalReason]string{
	RefusedNoRoute:             "no-route",
	RefusedNoBackendServer:     "no-backend-server",
	RefusedQueueFull:           "queue-full",
	RefusedDeadline:            "deadline",
	RefusedCallerLimit:         "caller-limit",
	RefusedDraining:            "draining",
	RefusedQuarantined:         "quarantined",
	RefusedNotReady:            "not-ready",
	RefusedBehind:              "behind",
	RefusedUnreachable:         "unreachable",
	RefusedBackendServerFailed: "backend-server-failed",
	RefusedConflict:            "conflict",
	RefusedShed:                "shed",
	RefusedBadRequest:          "bad-request",
	RefusedCanceled:            "canceled",
	RefusedUnsupported:         "unsupported",
	RefusedTooLarge:            "too-large",
}

// String returns the reason as it appears in headers and metrics.
func (r RefusalReason) String() string {
	if name, ok := refusalNames[r]; ok {
		return name
	}
	return "unknown"
}

// Refusal is the answer to a call that got none from a backend server.
type Refusal struct {
	Reason RefusalReason
	// Outcome is OutcomeNotRun or OutcomeMayHaveRun.
	Outcome Outcome
	// Detail is a sentence for the caller.
	Detail string
	// RetryAfter is when to try again; 0 means that nothing is known.
	RetryAfter time.Duration
	// ReachedBackendServer says that bytes of the call have reached the backend server,
	// even if it did not run the call.
	ReachedBackendServer bool
}

// Error makes a Refusal usable as an error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("call refused (%s, %s): %s", r.Reason, r.Outcome, r.Detail)
}

// NotRun returns a refusal of a call that no backend server has started.
func NotRun(reason RefusalReason, detail string) *Refusal {
	return &Refusal{Reason: reason, Outcome: OutcomeNotRun, Detail: detail}
}

// MayHaveRun returns a refusal of a call that a backend server may have run.
func MayHaveRun(reason RefusalReason, detail string) *Refusal {
	return &Refusal{Reason: reason, Outcome: OutcomeMayHaveRun, Detail: detail}
}
