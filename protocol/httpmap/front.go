package httpmap

import (
	"net"
	"net/http"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/state"
)

// Front maps callers' requests, and the answers to them, by the system's own
// header names.
type Front struct {
	// MaxHeaderFields bounds the header fields of a request.
	MaxHeaderFields int
}

// Read returns the request of a caller, or refuses it.
func (f Front) Read(r *http.Request) (call.Request, *state.Refusal) {
	if refusal := CheckRequest(r, f.MaxHeaderFields); refusal != nil {
		return call.Request{}, refusal
	}
	remaining, _ := ParseTimeout(r.Header)
	return call.Request{
		Caller:         callerOf(r),
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

// SetReplyHeader sets the fields of an answer beside those of the backend
// server.
func (Front) SetReplyHeader(header http.Header, id state.CallID) {
	header.Set(HeaderOutcome, state.OutcomeDone.String())
	header.Set(HeaderCallID, string(id))
}

// WriteRefusal answers a request with a refusal.
func (Front) WriteRefusal(w http.ResponseWriter, _ *http.Request, id state.CallID, refusal *state.Refusal) {
	WriteRefusal(w, id, refusal)
}

// callerOf returns the caller that the request names, or else its IP address.
func callerOf(r *http.Request) state.CallerName {
	if name := r.Header.Get(HeaderCaller); name != "" {
		return state.CallerName(name)
	}
	if address, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		return state.CallerName(address)
	}
	return state.CallerName(r.RemoteAddr)
}
