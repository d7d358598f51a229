package sourcereading

import "time"

// Answer classifies the result of a read.
type Answer uint8

// The kinds of answers.
const (
	// AnswerUnchanged has nothing newer.
	AnswerUnchanged Answer = iota
	// AnswerNewer has a newer state.
	AnswerNewer
	// AnswerStale has only unusable data, such as values older than requested.
	// The next read is delayed as after a failure.
	AnswerStale
)

// Reason is the reason for a read.
type Reason string

// The reasons for a read.
const (
	// ReasonStart means that the state has never been confirmed.
	ReasonStart Reason = "start"
	// ReasonWatch means that this node is a reader.
	ReasonWatch Reason = "watch"
	// ReasonFallback means that no peer has confirmed the state recently.
	ReasonFallback Reason = "fallback"
	// ReasonRetry means that the read before has failed.
	ReasonRetry Reason = "retry"
	// ReasonRecheck means that expired registrations have to be read again.
	ReasonRecheck Reason = "recheck"
)

// Query is a read of the host list.
type Query struct {
	// After is the version of the list that the node has.
	After uint64
	// Wait is the maximum time for which the source may hold the read until there
	// is a newer list.
	Wait time.Duration
	// MayBeStale allows an answer that is some seconds old.
	MayBeStale bool
}

// Read is the time and kind of the next read.
type Read struct {
	At time.Time
	// Watch asks the source to hold the read until there is a change.
	Watch  bool
	Reason Reason
}
