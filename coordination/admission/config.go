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
	DefaultLongCall       = 250 * time.Millisecond
	DefaultSlowTolerance  = 3.0
	DefaultShedDecrease   = 0.7
	DefaultSlowDecrease   = 0.9
	DefaultColdShare      = 0.1
	DefaultAloneInterval  = time.Second
	DefaultStandingAfter  = 200 * time.Millisecond
	DefaultMinAdjustEvery = 100 * time.Millisecond
)

// Config holds the settings of a Gate.
type Config struct {
	// LongCall is the mean service time from which the calls of a class count
	// as long. Long calls leave slots free for more urgent classes, within the
	// floors of those, as a slot once taken is not given up for a long time. A
	// shorter time keeps urgent calls faster and leaves more slots idle.
	// Default 250 ms.
	LongCall time.Duration
	// SlowTolerance is the ratio of recent to usual service time from which
	// the backend server counts as slow. Default 3.
	SlowTolerance float64
	// ShedDecrease is what the limit is multiplied by when the backend server
	// sheds a call. Default 0.7.
	ShedDecrease float64
	// SlowDecrease is what the limit is multiplied by when the backend server
	// is slow. Default 0.9.
	SlowDecrease float64
	// MinAdjustEvery is the shortest time between two decreases. Default
	// 100 ms.
	MinAdjustEvery time.Duration
	// ColdShare is the share of the slots that is used right after a cold
	// start. Default 0.1.
	ColdShare float64
	// AloneInterval is the shortest time between two calls that run alone
	// while others wait. A longer time costs less capacity and keeps suspects
	// waiting. Default 1 second.
	AloneInterval time.Duration
	// StandingAfter is how long calls of a class have to wait without a break
	// until the class counts as overloaded. From then on its calls are refused
	// when they can't be answered by the time they are wanted. A longer time
	// answers more calls late in place of refusing them. Default 200 ms.
	StandingAfter time.Duration
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		LongCall:       DefaultLongCall,
		SlowTolerance:  DefaultSlowTolerance,
		ShedDecrease:   DefaultShedDecrease,
		SlowDecrease:   DefaultSlowDecrease,
		MinAdjustEvery: DefaultMinAdjustEvery,
		ColdShare:      DefaultColdShare,
		AloneInterval:  DefaultAloneInterval,
		StandingAfter:  DefaultStandingAfter,
	}
}
