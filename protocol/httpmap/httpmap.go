// Package httpmap converts between HTTP requests or responses and calls.
package httpmap

import (
	"net/http"
	"net/textproto"
	"strings"

	"github.com/wasabiport/wasabiport/coordination/call"
)

// Names of the HTTP headers that the system uses.
const (
	// HeaderOutcome is the outcome of a call: done, not-run or may-have-run.
	HeaderOutcome = "Wasabiport-Outcome"
	// HeaderReason is the reason of a refusal.
	HeaderReason = "Wasabiport-Reason"
	// HeaderCallID is the id of a call.
	HeaderCallID = "Wasabiport-Call-Id"
	// HeaderCaller is the name of the caller on whose behalf the call is made.
	HeaderCaller = "Wasabiport-Caller"
	// HeaderTimeout is the time remaining for a call, as a duration such as
	// "250ms".
	HeaderTimeout = "Wasabiport-Timeout"
	// HeaderCold is the time until a backend server is warm, as a duration such as
	// "1500ms", in its responses to health checks.
	HeaderCold = "Wasabiport-Cold"
	// HeaderIdempotencyKey is the key of a call that must not run more than
	// once.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// internalPrefix is the prefix of the header fields that only the system sets.
const internalPrefix = "Wasabiport-"

// Range of the status codes of final responses. Those below it are informational, or invalid.
const (
	minFinalStatus = 200
	maxFinalStatus = 999
)

// IsFinalStatus reports whether a status can end an HTTP exchange.
func IsFinalStatus(status int) bool { return status >= minFinalStatus && status <= maxFinalStatus }

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

// EndToEndFields returns the end-to-end header fields: all but hop-by-hop fields
// and fields that only the system sets.
func EndToEndFields(header http.Header) []call.Field {
	listed := connectionFields(header)
	var fields []call.Field
	for name, values := range header {
		if hopByHop[name] || listed[name] || strings.HasPrefix(name, internalPrefix) {
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

// connectionFields returns the fields that the Connection header lists as
// hop-by-hop.
func connectionFields(header http.Header) map[string]bool {
	listed := make(map[string]bool)
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			listed[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return listed
}
