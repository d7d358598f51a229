package state

import (
	"fmt"
	"time"
)

// Outcome is the execution status of a call. It determines whether the caller can
// safely retry the call.
type Outcome uint8

// The outcomes of a call.
const (
	// OutcomeDone means that the backend server returned a complete response.
	OutcomeDone Outcome = iota
	// OutcomeNotRun means that no backend server has started the call.
	OutcomeNotRun
	// OutcomeMayHaveRun means that a backend server may have executed the call,
	// in part or completely.
	OutcomeMayHaveRun
)

// String returns the outcome as it appears in response headers and metrics.
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

// RefusalReason is the reason why a call got no response from a backend server.
type RefusalReason uint8

// The reasons for a refusal.
const (
	// RefusedNoRoute means that no route matches the request.
	RefusedNoRoute RefusalReason = iota + 1
	// RefusedNoBackendServer means that no backend server of the service is
	// available.
	RefusedNoBackendServer
	// RefusedQueueFull means that the queue for the call's priority class is
	// full.
	RefusedQueueFull
	// RefusedDeadline means that the deadline has passed or cannot be met.
	RefusedDeadline
	// RefusedCallerLimit means that the caller exceeds its rate limit or its
	// share of the calls in flight.
	RefusedCallerLimit
	// RefusedDraining means that the backend server or the node is draining.
	RefusedDraining
	// RefusedQuarantined means that requests like this one have crashed
	// backend servers.
	RefusedQuarantined
	// RefusedNotReady means that the node is not ready to serve calls, for
	// example because it has no configuration yet.
	RefusedNotReady
	// RefusedBehind means that the configuration of the guard is older than that
	// of the entry node, or that the two disagree on the owner of an idempotency
	// key.
	RefusedBehind
	// RefusedUnreachable means that the entry node could not reach the guard or
	// lost the connection to it during the call.
	RefusedUnreachable
	// RefusedBackendServerFailed means that the backend server failed while
	// the call was in flight.
	RefusedBackendServerFailed
	// RefusedConflict means that the idempotency key was used for a different
	// request, or for a call whose record or reply is no longer available.
	RefusedConflict
	// RefusedShed means that the backend server rejected the call to shed load.
	RefusedShed
	// RefusedBadRequest means that the request is invalid or exceeds a limit.
	RefusedBadRequest
	// RefusedCanceled means that the caller canceled the call or disconnected.
	RefusedCanceled
	// RefusedUnsupported means that the request uses an HTTP feature that is not
	// supported.
	RefusedUnsupported
	// RefusedTooLarge means that the request body exceeds the size limit.
	RefusedTooLarge
	// RefusedRetryBudget means that the attempt is a repeat, and that the retry
	// budget does not cover the calls that it would make to other services.
	RefusedRetryBudget
	// RefusedUnresolvedRoute means that the configuration has a route for the request,
	// but that the destination of the route could not be read.
	RefusedUnresolvedRoute
	// RefusedBusy means that the backend server had no free slot for a call that its
	// entry node can send to another one. It is never returned to a caller.
	RefusedBusy
)

var refusalReasonNames = map[RefusalReason]string{
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
	RefusedRetryBudget:         "retry-budget",
	RefusedUnresolvedRoute:     "unresolved-route",
	RefusedBusy:                "busy",
}

// String returns the reason as it appears in headers and metrics.
func (r RefusalReason) String() string {
	if name, ok := refusalReasonNames[r]; ok {
		return name
	}
	return "unknown"
}

// Refusal is the result of a call that got no response from a backend server.
type Refusal struct {
	Reason RefusalReason
	// Outcome is OutcomeNotRun or OutcomeMayHaveRun.
	Outcome Outcome
	// Detail is a human-readable explanation for the caller.
	Detail string
	// RetryAfter is how long the caller should wait before it retries; 0 means
	// unknown.
	RetryAfter time.Duration
	// ReachedBackendServer is true if bytes of the call have reached the backend
	// server or may have, even if it did not run the call.
	ReachedBackendServer bool
	// ZoneDrained is true if the backend server took no calls because its
	// availability zone is drained. It takes calls again once that ends.
	ZoneDrained bool
}

// Error implements the error interface.
func (r *Refusal) Error() string {
	return fmt.Sprintf("call refused (%s, %s): %s", r.Reason, r.Outcome, r.Detail)
}

// NotRun returns the refusal of a call that no backend server has started.
func NotRun(reason RefusalReason, detail string) *Refusal {
	return &Refusal{Reason: reason, Outcome: OutcomeNotRun, Detail: detail}
}

// NotRunZoneDrained returns the refusal of a call to a backend server in a drained
// availability zone.
func NotRunZoneDrained() *Refusal {
	refusal := NotRun(RefusedDraining, "the availability zone of the backend server is drained")
	refusal.ZoneDrained = true
	return refusal
}

// MayHaveRun returns the refusal of a call that a backend server may have run. As far
// as is known, the call has reached it.
func MayHaveRun(reason RefusalReason, detail string) *Refusal {
	return &Refusal{Reason: reason, Outcome: OutcomeMayHaveRun, Detail: detail, ReachedBackendServer: true}
}
