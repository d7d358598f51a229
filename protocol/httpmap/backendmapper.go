package httpmap

import (
	"net/http"
	"time"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/state"
)

// IsShed reports whether a backend server has shed the request because of
// overload: status 429, or status 503 with a Retry-After header.
func IsShed(status int, header http.Header) bool {
	switch status {
	case http.StatusTooManyRequests:
		return true
	case http.StatusServiceUnavailable:
		return header.Get("Retry-After") != ""
	default:
		return false
	}
}

// BackendMapper maps calls to HTTP requests to backend servers and assesses
// their responses, with the header names of this package.
type BackendMapper struct{}

// SetHeader sets the header fields that the system adds to a request.
func (BackendMapper) SetHeader(header http.Header, head call.Head, remaining time.Duration) {
	header.Set(HeaderCallID, string(head.ID))
	header.Set(HeaderCaller, string(head.Caller))
	header.Set(HeaderTimeout, FormatTimeout(remaining))
}

// Classify returns what a response of a backend server means for the call.
func (BackendMapper) Classify(_ call.Head, response *http.Response) call.ResponseAssessment {
	return call.ResponseAssessment{Shed: IsShed(response.StatusCode, response.Header)}
}

// SetHealthHeader adds nothing: the address identifies the backend server.
func (BackendMapper) SetHealthHeader(http.Header, state.BackendServerName) {}

// Health returns what a response to a health check says. A backend server that does not
// say that it is cold is warm.
func (BackendMapper) Health(response *http.Response) (call.ServerHealth, bool) {
	stated := response.Header.Get(HeaderCold)
	if stated == "" {
		return call.ServerHealth{}, response.StatusCode < http.StatusInternalServerError
	}
	cold, err := time.ParseDuration(stated)
	return call.ServerHealth{Cold: cold}, err == nil && cold >= 0
}

// FormatTimeout returns the value of HeaderTimeout in whole milliseconds, at
// least one.
func FormatTimeout(remaining time.Duration) string {
	return max(remaining, time.Millisecond).Truncate(time.Millisecond).String()
}

// ParseTimeout parses HeaderTimeout. It returns false if the header is absent or
// not a positive duration.
func ParseTimeout(header http.Header) (time.Duration, bool) {
	remaining, err := time.ParseDuration(header.Get(HeaderTimeout))
	return remaining, err == nil && remaining > 0
}
