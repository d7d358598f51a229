package httpmap

import (
	"fmt"
	"math"
	"net/http"
	"strconv"

	"github.com/wasabiport/wasabiport/state"
)

// StatusCode returns the HTTP status code for a refusal.
func StatusCode(refusal *state.Refusal) int {
	switch refusal.Reason {
	case state.RefusedNoRoute:
		return http.StatusNotFound
	case state.RefusedBadRequest:
		return http.StatusBadRequest
	case state.RefusedUnsupported:
		return http.StatusNotImplemented
	case state.RefusedTooLarge:
		return http.StatusRequestEntityTooLarge
	case state.RefusedConflict:
		return http.StatusConflict
	case state.RefusedCallerLimit:
		return http.StatusTooManyRequests
	case state.RefusedDeadline:
		return http.StatusGatewayTimeout
	case state.RefusedBackendServerFailed:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}

// WriteRefusal writes a refusal as the HTTP response.
func WriteRefusal(w http.ResponseWriter, id state.CallID, refusal *state.Refusal) {
	header := w.Header()
	header.Set(HeaderOutcome, refusal.Outcome.String())
	header.Set(HeaderReason, refusal.Reason.String())
	header.Set(HeaderCallID, string(id))
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Cache-Control", "no-store")
	if refusal.RetryAfter > 0 {
		seconds := math.Ceil(refusal.RetryAfter.Seconds())
		header.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(StatusCode(refusal))
	// A write error means that the caller has disconnected; there is nobody to
	// report it to.
	_, _ = fmt.Fprintf(w, "%s (%s, %s)\n", refusal.Detail, refusal.Reason, refusal.Outcome)
}
