package httpmap

import (
	"net"
	"net/http"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/state"
)

// CallerMapper maps HTTP requests of callers to calls, and replies and refusals
// to HTTP responses, with the header names of this package.
type CallerMapper struct {
	// MaxHeaderFields is the maximum number of header fields of a request.
	MaxHeaderFields int
}

// Read converts the HTTP request of a caller, or returns a refusal.
func (m CallerMapper) Read(r *http.Request) (call.Request, *state.Refusal) {
	if refusal := CheckRequest(r, m.MaxHeaderFields); refusal != nil {
		return call.Request{}, refusal
	}
	remaining, _ := ParseTimeout(r.Header)
	return call.Request{
		Caller:         callerName(r),
		Remaining:      remaining,
		IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
		Method:         r.Method,
		Host:           Host(r),
		Path:           r.URL.Path,
		Target:         r.URL.RequestURI(),
		Authority:      r.Host,
		Fields:         RequestFields(r.Header),
		ContentLength:  r.ContentLength,
	}, nil
}

// SetReplyHeader sets the header fields that the system adds to the response of
// the backend server.
func (CallerMapper) SetReplyHeader(header http.Header, id state.CallID) {
	header.Set(HeaderOutcome, state.OutcomeDone.String())
	header.Set(HeaderCallID, string(id))
}

// WriteRefusal writes a refusal as the HTTP response.
func (CallerMapper) WriteRefusal(w http.ResponseWriter, _ *http.Request, id state.CallID, refusal *state.Refusal) {
	WriteRefusal(w, id, refusal)
}

// callerName returns the value of HeaderCaller, or the IP address of the client
// if the header is absent.
func callerName(r *http.Request) state.CallerName {
	if name := r.Header.Get(HeaderCaller); name != "" {
		return state.CallerName(name)
	}
	if address, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		return state.CallerName(address)
	}
	return state.CallerName(r.RemoteAddr)
}
