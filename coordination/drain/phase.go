package drain

import "time"

// Phase is how far the leaving of a node has come.
type Phase uint8

// The phases, in order.
const (
	// PhaseServing means that the node is not leaving.
	PhaseServing Phase = iota
	// PhaseTaking means that the node is leaving and takes all calls of callers.
	PhaseTaking
	// PhaseRefusing means that calls that could run at ReplyBy are refused, and that none
	// waits for a slot.
	PhaseRefusing
	// PhaseEnding means that the time of the last reply has passed.
	PhaseEnding
)

// Phase returns the phase of a leaving node.
func (s Schedule) Phase(now time.Time) Phase {
	switch {
	case !s.Bounded() || now.Before(s.WithdrawAt):
		return PhaseTaking
	case now.Before(s.ReplyBy):
		return PhaseRefusing
	default:
		return PhaseEnding
	}
}
