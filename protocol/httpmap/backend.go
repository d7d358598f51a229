package httpmap

import (
	"net/http"
	"time"

	"github.com/wasabiport/wasabiport/coordination/call"
)

// Shed reports whether an answer of a backend server says that it has too much
// work: status 429, or status 503 with Retry-After.
func Shed(status int, header http.Header) bool {
	switch status {
	case http.StatusTooManyRequests:
		return true
	case http.StatusServiceUnavailable:
		return header.Get("Retry-After") != ""
	default:
		return false
	}
}

// Back maps calls to requests to backend servers, and their answers back, by
// the system's own header names.
type Back struct{}

// SetHeader sets the fields of a request that the system adds.
func (Back) SetHeader(header http.Header, head call.Head, remaining time.Duration) {
	header.Set(HeaderCallID, string(head.ID))
	header.Set(HeaderCaller, string(head.Caller))
	header.Set(HeaderTimeout, FormatTimeout(remaining))
}

// Classify says what an answer of a backend server means.
func (Back) Classify(_ call.Head, response *http.Response) call.ResponseAssessment {
	return call.ResponseAssessment{Shed: Shed(response.StatusCode, response.Header)}
}

// FormatTimeout returns the value of HeaderTimeout, to the millisecond.
func FormatTimeout(remaining time.Duration) string {
	return max(remaining, time.Millisecond).Truncate(time.Millisecond).String()
}

// ParseTimeout returns the time that HeaderTimeout leaves for a call. It
// returns false when the header is absent or no positive duration.
func ParseTimeout(header http.Header) (time.Duration, bool) {
	remaining, err := time.ParseDuration(header.Get(HeaderTimeout))
	return remaining, err == nil && remaining > 0
}
