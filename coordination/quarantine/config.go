// Package quarantine detects requests that crash backend servers and stops them
// from doing so repeatedly.
//
// Requests that are in flight when a backend server crashes become suspects. A
// suspect runs exclusively, without other requests on the same backend server: if
// the backend server survives, the request is cleared; if it crashes again, the
// request is quarantined. Guards exchange their findings as notices.
package quarantine

import "time"

// Defaults of Config.
const (
	DefaultSuspectRetention   = 10 * time.Minute
	DefaultQuarantineDuration = 10 * time.Minute
	DefaultMaxFingerprints    = 4096
)

// maxNotices is the maximum number of notices in one message.
const maxNotices = 256

// minExtension is the minimum time by which a notice must extend a phase to be
// applied and forwarded. The remaining time in a notice does not decrease in
// transit. Without this threshold, a notice that returns to its sender would seem
// to extend the phase, and would circulate forever.
const minExtension = 10 * time.Second

// Config holds the settings of a Tracker.
type Config struct {
	// SuspectRetention is how long a suspect is remembered after its last crash.
	// It also applies to cleared requests. Default 10 minutes.
	SuspectRetention time.Duration
	// QuarantineDuration is how long a quarantined request is refused. After
	// that, it is a suspect again. Default 10 minutes.
	QuarantineDuration time.Duration
	// MaxFingerprints is the maximum number of requests that are tracked.
	// Default 4096.
	MaxFingerprints int
}

func (c Config) withDefaults() Config {
	if c.SuspectRetention == 0 {
		c.SuspectRetention = DefaultSuspectRetention
	}
	if c.QuarantineDuration == 0 {
		c.QuarantineDuration = DefaultQuarantineDuration
	}
	if c.MaxFingerprints == 0 {
		c.MaxFingerprints = DefaultMaxFingerprints
	}
	return c
}
