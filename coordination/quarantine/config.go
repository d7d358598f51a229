// Package quarantine recognizes requests that crash backend servers.
//
// The requests in flight at a crash become suspects. A suspect runs alone: it
// is cleared when the backend server survives it, and quarantined when it
// crashes the backend server again. Guards tell each other.
package quarantine

import "time"

// Defaults of Config.
const (
	DefaultSuspectRetention   = 10 * time.Minute
	DefaultQuarantineDuration = 10 * time.Minute
	DefaultMaxFingerprints    = 4096
)

// maxNotices bounds the notices in one message.
const maxNotices = 256

// minExtension is how much later a notice has to let a phase end to be news. The
// remaining time of a notice does not shrink on its way, so that one that goes
// round would be news to the guard it came from.
const minExtension = 10 * time.Second

// Config holds the settings of Tracker.
type Config struct {
	// SuspectRetention is how long a suspect that does not come again is remembered.
	// Default 10 minutes.
	SuspectRetention time.Duration
	// QuarantineDuration is how long a quarantined request is refused. Then it is a
	// suspect again. Default 10 minutes.
	QuarantineDuration time.Duration
	// MaxFingerprints bounds the requests that are remembered. Default 4096.
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
