package events

import (
	"time"

	"github.com/wasabiport/wasabiport/state"
)

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

// BackendServerRateLimited is logged when a backend server sets, changes or ends the
// number of calls per second that it takes from all nodes together.
type BackendServerRateLimited struct {
	BackendServer state.BackendServerName `event:"backend_server"`
	Limited       bool                    `event:"limited"`
	// PerSecond is the limit in calls per second, 0 when it has ended, and Before
	// the previous one, 0 when there was none.
	PerSecond float64 `event:"per_second"`
	Before    float64 `event:"before"`
	// Started is the number of calls that the backend server got in Period, the time
	// since the last change.
	Started int           `event:"started"`
	Period  time.Duration `event:"period"`
	// Suppressed is the number of lines of this kind that the rate limit
	// suppressed since the previous one.
	Suppressed int64 `event:"left_out"`
}

// Kind returns the description of the event.
func (BackendServerRateLimited) Kind() Kind {
	return Kind{503, LevelInfo, "backend-server-rate-limited", "The backend server has set, changed or ended the number of calls per second that it takes from all nodes together. Started is the number of calls that it got in the period since the last change. At most one line per second; left_out counts the others."}
}

// BackendServerCold is logged when a guard limits its calls to a backend server because
// that is cold or not known to be warm, and when that has changed.
type BackendServerCold struct {
	BackendServer state.BackendServerName `event:"backend_server"`
	// Limited is set while the limit is in force, and Assumed if the backend server is not
	// known to be warm. Left is the stated time until it is warm, if any.
	Limited   bool          `event:"limited"`
	Assumed   bool          `event:"assumed"`
	Left      time.Duration `event:"left"`
	PerSecond float64       `event:"per_second"`
	// Suppressed is the number of lines on what backend servers report that the rate
	// limit suppressed since the previous one.
	Suppressed int64 `event:"left_out"`
}

// Kind returns the description of the event.
func (BackendServerCold) Kind() Kind {
	return Kind{505, LevelInfo, "backend-server-cold", "The guard limits its calls to the backend server to per_second, because it is cold for the time left, or assumed to be cold until a health check shows whether it is; or what the guard knows of that has changed, and limited is false if it is warm. No line is written when a stated time is over. At most one line per second together with event 503; left_out counts the others."}
}

// BackendServerLeaving is logged when a backend server first reports in an answer
// that it is about to exit.
type BackendServerLeaving struct {
	BackendServer state.BackendServerName `event:"backend_server"`
}

// Kind returns the description of the event.
func (BackendServerLeaving) Kind() Kind {
	return Kind{504, LevelInfo, "backend-server-leaving", "The backend server has reported in an answer that it is about to exit."}
}
