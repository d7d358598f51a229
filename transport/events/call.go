package events

import (
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// CallEnded is logged for a call that was refused, failed, got a truncated answer
// or took several attempts.
type CallEnded struct {
	Call  state.CallID        `event:"call"`
	Route state.RouteName     `event:"route"`
	Class state.PriorityClass `event:"class"`
	// Ticket is the configuration that the call used, and RegistryVersion the
	// version of the backend server registry. The ages are the times since
	// the source last confirmed them, or "never".
	Ticket          state.TicketNumber `event:"ticket"`
	TicketAge       string             `event:"ticket_age"`
	RegistryVersion uint64             `event:"registry"`
	RegistryAge     string             `event:"registry_age"`
	// Remaining is the time until the caller's deadline when the call
	// arrived, as given by the caller.
	Remaining time.Duration `event:"left"`
	Duration  time.Duration `event:"took"`
	Outcome   string        `event:"outcome"`
	Reason    string        `event:"reason"`
	Detail    string        `event:"detail"`
	// Attempts lists the attempts, each with its backend server, duration and
	// outcome.
	Attempts string `event:"attempts"`
	// LeavingArrived and LeavingEnded are the times from the beginning of the node's
	// leaving to the arrival and to the end of the call, nil if the node was not leaving.
	// LeavingArrived is negative for a call that arrived before.
	LeavingArrived *time.Duration `event:"leaving_arrived"`
	LeavingEnded   *time.Duration `event:"leaving_ended"`
	// LeavingResult is how the call ended at the leaving node, empty if the node was not
	// leaving.
	LeavingResult string `event:"leaving_result"`
	// Suppressed is the number of lines of this kind that the rate limit
	// suppressed since the previous one.
	Suppressed int64 `event:"left_out"`
}

// Kind returns the description of the event.
func (CallEnded) Kind() Kind {
	return Kind{510, LevelInfo, "call-ended", "A call was refused, failed, was cut off or took several attempts, not counting those refused as busy. The fields leaving_* are empty unless the node was leaving when the call ended: how long after it began to leave the call arrived (negative: before) and ended, and its result, as in wasabiport_leaving_calls_total. At most 100 lines per second, beside those with the result broken_off; left_out counts the others."}
}

// GuardRefused is logged by a guard that refused a call or lost its answer.
type GuardRefused struct {
	Call          state.CallID            `event:"call"`
	BackendServer state.BackendServerName `event:"backend_server"`
	Class         state.PriorityClass     `event:"class"`
	// Remaining is the time until the deadline when the call arrived, and
	// UntilSoftDeadline the time until the soft deadline, by which its users
	// want the answer. The latter is negative if the soft deadline has passed,
	// and 0 if there is none.
	Remaining         time.Duration `event:"left"`
	UntilSoftDeadline time.Duration `event:"wanted"`
	// Duration is the time that the call spent at the guard.
	Duration time.Duration `event:"took"`
	Outcome  string        `event:"outcome"`
	Reason   string        `event:"reason"`
	Detail   string        `event:"detail"`
	// Running, Waiting and Slots are the state of the gate when the call
	// arrived.
	Running int `event:"running"`
	Waiting int `event:"waiting"`
	Slots   int `event:"slots"`
	// LeavingArrived and LeavingEnded are the times from the beginning of the node's
	// leaving to the arrival and to the end of the call, nil if the node was not leaving.
	// LeavingArrived is negative for a call that arrived before.
	LeavingArrived *time.Duration `event:"leaving_arrived"`
	LeavingEnded   *time.Duration `event:"leaving_ended"`
	// BrokenOff is set if this node is leaving and has ended the call, which its backend
	// server may have had.
	BrokenOff bool `event:"broken_off"`
	// Suppressed is the number of lines of this kind that the rate limit
	// suppressed since the previous one.
	Suppressed int64 `event:"left_out"`
}

// Kind returns the description of the event.
func (GuardRefused) Kind() Kind {
	return Kind{511, LevelInfo, "guard-refused", "The guard of a backend server refused a call, except as busy, or lost its answer. The fields leaving_* are empty unless the node was leaving: how long after it began to leave the call arrived (negative: before) and ended. broken_off is true if this node has ended the call, as it was leaving. At most 20 lines per second, beside those with broken_off; left_out counts the others."}
}

// CallerConnectionClosed is logged when a connection of a caller is closed or refused
// because of a limit.
type CallerConnectionClosed struct {
	Remote string `event:"remote"`
	// Cause is that of wasabiport_caller_connections_closed_total.
	Cause   string `event:"cause"`
	LeftOut int64  `event:"left_out"`
}

// Kind returns the description of the event.
func (CallerConnectionClosed) Kind() Kind {
	return Kind{520, LevelInfo, "caller-connection-closed", "A connection of a caller was closed or refused, as it exceeded a limit or as the limits of all connections were reached. The causes are those of wasabiport_caller_connections_closed_total. At most one line per second; left_out counts the others."}
}
