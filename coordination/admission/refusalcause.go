package admission

import "github.com/wasabiport/wasabiport/state"

// RefusalCause is the reason why a gate has refused a call for lack of capacity, in more
// detail than its state.RefusalReason.
type RefusalCause uint8

// The causes of refusals.
const (
	// CauseTooLate means that the call would be too late behind those before it.
	CauseTooLate RefusalCause = iota
	// CauseExcess means that the call was refused in favor of others, which would have
	// been too late.
	CauseExcess
	// CauseLink means that the link can't carry the answer in time.
	CauseLink
	// CauseQueueFull means that the queue of the class was full.
	CauseQueueFull
	causeCount
)

// RefusalCauses returns all causes.
func RefusalCauses() []RefusalCause {
	return []RefusalCause{CauseTooLate, CauseExcess, CauseLink, CauseQueueFull}
}

// String returns the cause as it appears in metrics.
func (c RefusalCause) String() string {
	switch c {
	case CauseTooLate:
		return "too-late"
	case CauseExcess:
		return "excess"
	case CauseLink:
		return "link"
	case CauseQueueFull:
		return "queue-full"
	default:
		return "invalid"
	}
}

// RefusalCounts is the number of refused calls by class and cause.
type RefusalCounts [state.ClassCount][causeCount]uint64
