package httpmap

import (
	"net/http"
	"time"
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
