// Package admission decides at the guard of a backend server which calls run,
// which wait and which are refused.
//
// Calls run most urgent class first. Each class has a floor: a share of the
// slots that it gets while it has work, however much more urgent work there
// is. A floor that is not used goes to the other classes. Within a class,
// callers take turns.
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
	// LongCallThreshold is the mean service time from which the calls of a class count
	// as long. Long calls leave slots free for more urgent classes, within the
	// floors of those, as a slot once taken is not given up for a long time. A
	// shorter time keeps urgent calls faster and leaves more slots idle.
	// Default 250 ms.
	LongCallThreshold time.Duration
	// SlowTolerance is the ratio of recent to usual service time from which
	// the backend server counts as slow. Default 3.
	SlowTolerance float64
	// ShedDecreaseFactor is what the limit is multiplied by when the backend server
	// sheds a call. Default 0.7.
	ShedDecreaseFactor float64
	// SlowDecreaseFactor is what the limit is multiplied by when the backend server
	// is slow. Default 0.9.
	SlowDecreaseFactor float64
	// MinDecreaseInterval is the shortest time between two decreases. Default
	// 100 ms.
	MinDecreaseInterval time.Duration
	// SlowStartInitialShare is the share of the slots that is used right after a cold
	// start. Default 0.1.
	SlowStartInitialShare float64
	// ExclusiveInterval is the shortest time between two calls that run alone
	// while others wait. A longer time costs less capacity and keeps suspects
	// waiting. Default 1 second.
	ExclusiveInterval time.Duration
	// StandingQueueInterval is how long calls of a class have to wait without a break
	// until the class counts as overloaded. From then on its calls are refused
	// when they can't be answered by the time they are wanted. A longer time
	// answers more calls late in place of refusing them. Default 200 ms.
	StandingQueueInterval time.Duration
}

// DefaultConfig returns the defaults.
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
