// Package callrecord makes a guard run each call with an idempotency key at
// most once. It keeps what became of a call for a stated time, so that a
// resend gets the recorded answer, waits for the call in flight, or is refused
// truthfully.
package callrecord

import (
	"time"

	"github.com/wasabiport/wasabiport/coordination/keyowner"
	"github.com/wasabiport/wasabiport/state"
)

// Defaults of Config.
const (
	DefaultMaxRecords    = 65_536
	DefaultMaxBytes      = 32 << 20
	DefaultMaxReplyBytes = 64 << 10
	DefaultRetention     = 10 * time.Minute
	DefaultClockSkew     = 2 * time.Second
)

// Owners tells since when this node has been the one to ask for a key.
type Owners interface {
	// Since returns the time from which the backend server self has been
	// asked for key, or the zero time when it has been all along.
	Since(service state.ServiceName, self state.BackendServerName, key keyowner.Key) time.Time
}

// Config holds the settings of Records.
type Config struct {
	// Owners tells which keys this node has taken over from another one,
	// whose records it does not have. Without it, none.
	Owners Owners
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
	return c
}
