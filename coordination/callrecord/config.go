// Package callrecord makes a guard run each call with an idempotency key at most
// once. It records the result of a call for a retention time. A resend of the call
// gets the recorded reply, waits for the call in flight, or is refused with an
// outcome that shows whether the call may have run.
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

// KeyOwnership reports which backend server owns an idempotency key, that is,
// which one receives the calls with the key.
type KeyOwnership interface {
	// OwnedSince returns the time since which the querying backend server has
	// owned the key. The zero time means that it has always owned the key.
	// OwnedSince returns false if the backend server does not own the key.
	OwnedSince(query keyowner.Query) (time.Time, bool)
}

// Config holds the settings of Records.
type Config struct {
	// KeyOwnership reports the keys that this node took over from another node,
	// whose records it does not have. Nil means that this node has always owned
	// all keys. Default nil.
	KeyOwnership KeyOwnership
	// Started is the time since which this node has kept records. A key that
	// may be older is refused, as an earlier process may have run its call.
	Started time.Time
	// MaxRecords is the maximum number of records. When the limit is reached,
	// new calls with a key are refused; records are never evicted early.
	// Default 65536.
	MaxRecords int
	// MaxBytes is the maximum total size of the records, in bytes. Default 32
	// MiB.
	MaxBytes int64
	// MaxReplyBytes is the maximum size of a recorded reply body, in bytes. A
	// resend of a call with a larger reply is refused with the detail that the
	// call has completed. Default 64 KiB.
	MaxReplyBytes int
	// Retention is how long the result of a call is recorded, unless the
	// service sets a retention. A longer time recognizes later resends but
	// needs more memory. Default 10 minutes.
	Retention time.Duration
	// ClockSkew is the maximum difference between the clock of this node and
	// the clock of a caller that generates UUIDv7 keys. Keys that were generated
	// less than this after Started are refused. Default 2 seconds.
	ClockSkew time.Duration
	// PropagationTime is the time within which a configuration change reaches
	// every connected node. Keys that were generated less than this after a
	// change of the service's membership took effect here are refused, as nodes
	// with the old configuration may still run them elsewhere. A longer time
	// refuses more calls after a change; a shorter one allows a key to run twice
	// if a change takes longer to propagate. Default 20 seconds.
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
