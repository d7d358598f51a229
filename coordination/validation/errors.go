package validation

import (
	"fmt"

	"github.com/wasabiport/wasabiport/state"
)

// maxErrors is the maximum number of errors in a verdict.
const maxErrors = 64

// maxQuotedBytes is the length to which names in a reason are truncated.
const maxQuotedBytes = 64

// errorList collects the validation errors of a ticket in the order in which they
// are found.
type errorList struct {
	errors  []state.ValidationError
	omitted int
	// unreadable holds the paths of values that could not be decoded. Further
	// errors with these paths result from the decoding errors and are not
	// reported.
	unreadable map[string]bool
}

func (l *errorList) add(path, format string, arguments ...any) {
	if l.unreadable[path] {
		return
	}
	if len(l.errors) >= maxErrors {
		l.omitted++
		return
	}
	l.errors = append(l.errors, state.ValidationError{Path: path, Reason: fmt.Sprintf(format, arguments...)})
}

// addMalformed adds the errors found while decoding the ticket.
func (l *errorList) addMalformed(malformed []state.ValidationError) {
	unreadable := make(map[string]bool, len(malformed))
	for _, err := range malformed {
		l.add(err.Path, "%s", err.Reason)
		unreadable[err.Path] = true
	}
	l.unreadable = unreadable
}

// list returns the errors. If there were more than maxErrors, the last element
// states how many were omitted.
func (l *errorList) list() []state.ValidationError {
	if l.omitted == 0 {
		return l.errors
	}
	reason := fmt.Sprintf("%d more faults are not listed", l.omitted)
	return append(l.errors, state.ValidationError{Path: "ticket", Reason: reason})
}

// quote returns text in quotes, truncated to maxQuotedBytes.
func quote[T ~string](text T) string {
	if len(text) <= maxQuotedBytes {
		return fmt.Sprintf("%q", string(text))
	}
	return fmt.Sprintf("%q...", string(text[:maxQuotedBytes]))
}

// indexedPath returns the path of an element of a list, such as "set.routes[2]".
func indexedPath(list string, index int) string { return fmt.Sprintf("%s[%d]", list, index) }
