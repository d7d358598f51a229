// Package picking chooses the backend server for a call at the entry node.
//
// What this node has seen itself goes before what lists and hints say: a
// backend server that refused a call as draining gets no more of them, and one
// that failed is left out for a while.
package picking

import (
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// Defaults of Config.
const (
	DefaultHintHalfLife  = time.Second
	DefaultMaxSpillShare = 0.5
	DefaultBasePushOut   = 200 * time.Millisecond
	DefaultMaxPushOut    = 30 * time.Second
	DefaultDrainMemory   = time.Minute
)

// coldWeight is the weight of a backend server that has just come back.
const coldWeight = 0.1

// slowWeight is the weight of a backend server that says itself that it is
// still slow after its start.
const slowWeight = 0.5

// Config holds the settings of a Picker.
type Config struct {
	// Zone is the availability zone of this node.
	Zone state.AvailabilityZone
	// Region is the region of this node.
	Region state.Region
	// Regions tells the region of a host. Without it, all other availability
	// zones count as equally far.
	Regions HostRegions
	// HintHalfLife is the time in which a load hint loses half of its weight.
	// A longer time trusts older hints. Default 1 second.
	HintHalfLife time.Duration
	// MaxSpillShare bounds the share of the calls that leave the availability
	// zone while it has backend servers that can take calls. Default 0.5.
	MaxSpillShare float64
	// BasePushOut bounds the time for which a backend server is left out
	// after a first failure. The bound doubles with each failure in a row, and
	// the time is drawn evenly from 0 to the bound. Default 200 ms.
	BasePushOut time.Duration
	// MaxPushOut bounds the time for which a backend server is left out.
	// Default 30 seconds.
	MaxPushOut time.Duration
	// DrainMemory is how long a backend server that was seen draining gets no
	// calls, unless its host was seen to leave and to come back. Default 1
	// minute.
	DrainMemory time.Duration
}

// HostPhases tells what is known of the hosts of backend servers.
type HostPhases interface {
	// PhaseOf returns the phase of a host.
	PhaseOf(host state.HostName) state.HostPhase
}

// HostRegions tells where the hosts of backend servers are.
type HostRegions interface {
	// RegionOf returns the region of a host, or false when it is not known.
	RegionOf(host state.HostName) (state.Region, bool)
}

func (c Config) withDefaults() Config {
	if c.HintHalfLife == 0 {
		c.HintHalfLife = DefaultHintHalfLife
	}
	if c.MaxSpillShare == 0 {
		c.MaxSpillShare = DefaultMaxSpillShare
	}
	if c.BasePushOut == 0 {
		c.BasePushOut = DefaultBasePushOut
	}
	if c.MaxPushOut == 0 {
		c.MaxPushOut = DefaultMaxPushOut
	}
	if c.DrainMemory == 0 {
		c.DrainMemory = DefaultDrainMemory
	}
	return c
}
