// Package callrecord makes a guard run each call with an idempotency key at
// most once. It keeps what became of a call for a stated time, so that a
// resend gets the recorded answer, waits for the call in flight, or is refused
// truthfully.
package callrecord

import (
	"time"

	"github.com/wasabiport/wasabiport/coordination/keyowner"
)

// Defaults of Config.
const (
	DefaultMaxRecords      = 65_536
	DefaultMaxBytes        = 32 << 20
	DefaultMaxReplyBytes   = 64 << 10
	DefaultRetention       = 10 * time.Minute
	DefaultClockSkew       = 2 * time.Second
	DefaultPropagationTime = 20 * time.Second
)

// KeyOwnership tells since when this node has been the one to ask for a key.
type KeyOwnership interface {
	// Since returns the time from which the backend server that asks has been
	// asked for the key, or the zero time when it has been all along. It
	// returns false when it is not asked for the key.
	Since(query keyowner.Query) (time.Time, bool)
}

// Config holds the settings of Records.
type Config struct {
	// KeyOwnership tells which keys this node has taken over from another one,
	// whose records it does not have. Without it, none.
	KeyOwnership KeyOwnership
	// Started is the time from which this node keeps records. A key that may
	// be older could have run under a predecessor and is refused.
	Started time.Time
	// MaxRecords bounds the calls on record. When the records are full, new
	// calls with a key are refused; no record is forgotten early. Default
	// 65536.
	MaxRecords int
	// MaxBytes bounds the recorded replies, in bytes. Default 32 MiB.
	MaxBytes int64
	// MaxReplyBytes bounds one recorded reply body, in bytes. A resend of a
	// call with a larger reply learns that the call is done, without the
	// reply. Default 64 KiB.
	MaxReplyBytes int
	// Retention is how long an outcome is kept. A longer time recognizes
	// later resends and costs memory. Default 10 minutes.
	Retention time.Duration
	// ClockSkew bounds the difference between the clock of a caller that
	// makes UUIDv7 keys and the clock of this node. Keys that are newer than
	// Started by less than this are refused. Default 2 seconds.
	ClockSkew time.Duration
	// PropagationTime is the time within which a change of the configuration reaches
	// every node that is in contact. Keys are refused when they were made less
	// than this after the membership of the service came into force here, as
	// nodes that are behind may still run them elsewhere. A longer time
	// refuses more calls after a change, and a shorter one lets a key run
	// twice when a change takes longer. Default 20 seconds.
	PropagationTime time.Duration
}

func (c Config) withDefaults() Config {
	if c.MaxRecords == 0 {
		c.MaxRecords = DefaultMaxRecords
	}
	if c.MaxBytes == 0 {
		c.MaxBytes = DefaultMaxBytes
	}
	if c.MaxReplyBytes == 0 {
		c.MaxReplyBytes = DefaultMaxReplyBytes
	}
	if c.Retention == 0 {
		c.Retention = DefaultRetention
	}
	if c.ClockSkew == 0 {
		c.ClockSkew = DefaultClockSkew
	}
	if c.PropagationTime == 0 {
		c.PropagationTime = DefaultPropagationTime
	}
	return c
}
