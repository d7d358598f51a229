// Package httpmap maps HTTP requests and answers to calls and back.
package httpmap

import (
	"net/http"
	"net/textproto"
	"strings"

	"github.com/wasabiport/wasabiport/coordination/call"
)

// Header names of the system itself.
const (
	// HeaderOutcome says what happened to a call: done, not-run or
	// may-have-run.
	HeaderOutcome = "Wasabiport-Outcome"
	// HeaderReason names the reason of a refusal.
	HeaderReason = "Wasabiport-Reason"
	// HeaderCallID carries the id of a call.
	HeaderCallID = "Wasabiport-Call-Id"
	// HeaderCaller names the caller on whose behalf a call is made.
	HeaderCaller = "Wasabiport-Caller"
	// HeaderTimeout carries the time that is left for a call, as a duration
	// such as "250ms".
	HeaderTimeout = "Wasabiport-Timeout"
	// HeaderIdempotencyKey names calls that are to run once.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// internalPrefix starts the names of all fields that only the system sets.
const internalPrefix = "Wasabiport-"

var hopByHop = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// Fields returns the header fields that go from one end to the other, without
// hop-by-hop fields and without fields that only the system sets.
func Fields(header http.Header) []call.Field {
	named := connectionFields(header)
	var fields []call.Field
	for name, values := range header {
		if hopByHop[name] || named[name] || strings.HasPrefix(name, internalPrefix) {
			continue
		}
		for _, value := range values {
			fields = append(fields, call.Field{Name: name, Value: value})
		}
	}
	return fields
}

// SetFields adds fields to a header.
func SetFields(header http.Header, fields []call.Field) {
	for _, field := range fields {
		header.Add(field.Name, field.Value)
	}
}

// connectionFields returns the fields that the Connection header declares to
// be hop-by-hop.
func connectionFields(header http.Header) map[string]bool {
	named := make(map[string]bool)
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}
