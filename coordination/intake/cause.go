package intake

// Cause is why a connection was closed or refused.
type Cause uint8

// The causes. Those up to CauseRefused are evictions of a connection in favor of others.
const (
	// CauseNew is a connection that had sent nothing.
	CauseNew Cause = iota
	// CauseHead is a connection whose request head was not complete.
	CauseHead
	// CauseBody is a connection whose request waited for a part of its body.
	CauseBody
	// CauseUnread is a connection whose client did not read a response.
	CauseUnread
	// CauseIdle is a connection between two requests.
	CauseIdle
	// CauseRefused is a connection whose client had not read a refusal.
	CauseRefused
	// CauseNotAdmitted is a new connection for which there was no room.
	CauseNotAdmitted
	// CauseNoMemory is a head or request for which there was no memory.
	CauseNoMemory
	// CauseHeadTooLarge is a head over the limit.
	CauseHeadTooLarge
	// CauseHeadTimeout is a head that was not complete in time.
	CauseHeadTimeout
	causeCount
)

// Causes returns all causes.
func Causes() []Cause {
	causes := make([]Cause, causeCount)
	for i := range causes {
		causes[i] = Cause(i)
	}
	return causes
}

// String returns the name of the cause in metrics and events.
func (c Cause) String() string {
	return [causeCount]string{
		"new", "head", "body", "unread_response", "idle", "refused",
		"not_admitted", "no_memory", "head_too_large", "head_timeout",
	}[c]
}

// causeOf returns the cause of an eviction.
func causeOf(phase Phase) Cause {
	switch phase {
	case PhaseNew:
		return CauseNew
	case PhaseHead:
		return CauseHead
	case PhaseBody:
		return CauseBody
	case PhaseIdle:
		return CauseIdle
	case PhaseRefused:
		return CauseRefused
	default:
		return CauseUnread
	}
}
