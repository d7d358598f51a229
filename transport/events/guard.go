package events

import "github.com/wasabiport/wasabiport/state"

// BackendServerCrashed is logged when a backend server is assumed to have
// crashed while it ran calls.
type BackendServerCrashed struct {
	BackendServer state.BackendServerName `event:"backend_server"`
	Suspects      int                     `event:"suspects"`
}

// Kind returns the description of the event.
func (BackendServerCrashed) Kind() Kind {
	return Kind{501, LevelError, "backend-server-crashed", "The backend server failed while it ran the suspects, one of which may be the cause."}
}

// RequestQuarantined is logged when requests with a fingerprint are quarantined
// because they have crashed backend servers.
type RequestQuarantined struct {
	Fingerprint state.Fingerprint `event:"fingerprint"`
}

// Kind returns the description of the event.
func (RequestQuarantined) Kind() Kind {
	return Kind{502, LevelError, "request-quarantined", "Requests with this fingerprint have crashed backend servers and are refused from now on."}
}
