// Package admission decides at the guard of a backend server which calls run,
// which wait and which are refused.
//
// Calls run in order of priority class, most urgent first. Each class has a
// floor: a guaranteed share of the slots while it has waiting calls, regardless
// of the demand of more urgent classes. Unused shares go to the other classes.
// Within a class, the call with the least slack is next. When not all calls of a class
// can be in time, those with the most work are refused first.
package admission

import "time"

// Defaults of Config.
const (
	DefaultLongCallThreshold     = 250 * time.Millisecond
	DefaultSlowTolerance         = 3.0
	DefaultShedDecreaseFactor    = 0.7
	DefaultSlowDecreaseFactor    = 0.9
	DefaultSlowStartInitialShare = 0.1
	DefaultExclusiveInterval     = time.Second
	DefaultStandingQueueInterval = 200 * time.Millisecond
	DefaultMinDecreaseInterval   = 100 * time.Millisecond
)

// Config holds the settings of a Gate.
type Config struct {
	// LongCallThreshold is the mean service time from which the calls of a
	// class count as long. A long call holds its slot for a long time, so long
	// calls leave slots free for more urgent classes, up to the floors of those
	// classes. A lower threshold reduces the latency of urgent calls and leaves
	// more slots idle. Default 250 ms.
	LongCallThreshold time.Duration
	// SlowTolerance is the ratio of recent to long-term mean service time above
	// which the backend server counts as slow. Default 3.
	SlowTolerance float64
	// ShedDecreaseFactor is the factor applied to the limit when the backend
	// server sheds a call. Default 0.7.
	ShedDecreaseFactor float64
	// SlowDecreaseFactor is the factor applied to the limit when the backend
	// server is slow. Default 0.9.
	SlowDecreaseFactor float64
	// MinDecreaseInterval is the minimum time between two decreases of the
	// limit. Default 100 ms.
	MinDecreaseInterval time.Duration
	// SlowStartInitialShare is the share of the slots that is usable at the
	// beginning of a slow start. Default 0.1.
	SlowStartInitialShare float64
	// ExclusiveInterval is the minimum time between two exclusive calls while
	// other calls wait. A longer interval costs less capacity but delays
	// suspect calls. Default 1 second.
	ExclusiveInterval time.Duration
	// StandingQueueInterval is how long the queue of a class must be non-empty
	// without interruption before the class counts as overloaded. From then on,
	// calls are refused until all others can be answered by their soft deadline. A
	// longer interval answers more calls late instead of refusing them. Default
	// 200 ms.
	StandingQueueInterval time.Duration
	// Link is the link of the host, which the gates of the host share. Default nil,
	// which does not limit answers.
	Link *Link
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		LongCallThreshold:     DefaultLongCallThreshold,
		SlowTolerance:         DefaultSlowTolerance,
		ShedDecreaseFactor:    DefaultShedDecreaseFactor,
		SlowDecreaseFactor:    DefaultSlowDecreaseFactor,
		MinDecreaseInterval:   DefaultMinDecreaseInterval,
		SlowStartInitialShare: DefaultSlowStartInitialShare,
		ExclusiveInterval:     DefaultExclusiveInterval,
		StandingQueueInterval: DefaultStandingQueueInterval,
	}
}
