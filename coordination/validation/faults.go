package validation

import (
	"fmt"

	"github.com/wasabiport/wasabiport/state"
)

// maxFaults bounds the faults that one verdict lists.
const maxFaults = 64

// maxQuotedBytes bounds the part of a name that a reason repeats.
const maxQuotedBytes = 64

// faultList collects the faults of one ticket in the order of its fields.
type faultList struct {
	faults  []state.ValidationError
	omitted int
	// unreadable holds the places of values that could not be read. Other
	// faults there only follow from that.
	unreadable map[string]bool
}

func (l *faultList) add(path, format string, arguments ...any) {
	if l.unreadable[path] {
		return
	}
	if len(l.faults) >= maxFaults {
		l.omitted++
		return
	}
	l.faults = append(l.faults, state.ValidationError{Path: path, Reason: fmt.Sprintf(format, arguments...)})
}

// addMalformed adds the faults found when the ticket was decoded.
func (l *faultList) addMalformed(faults []state.ValidationError) {
	unreadable := make(map[string]bool, len(faults))
	for _, fault := range faults {
		l.add(fault.Path, "%s", fault.Reason)
		unreadable[fault.Path] = true
	}
	l.unreadable = unreadable
}

// list returns the faults; the last one counts those that did not fit.
func (l *faultList) list() []state.ValidationError {
	if l.omitted == 0 {
		return l.faults
	}
	reason := fmt.Sprintf("%d more faults are not listed", l.omitted)
	return append(l.faults, state.ValidationError{Path: "ticket", Reason: reason})
}

// quote returns text for a reason, cut to maxQuotedBytes.
func quote[T ~string](text T) string {
	if len(text) <= maxQuotedBytes {
		return fmt.Sprintf("%q", string(text))
	}
	return fmt.Sprintf("%q...", string(text[:maxQuotedBytes]))
}

func element(list string, index int) string { return fmt.Sprintf("%s[%d]", list, index) }
