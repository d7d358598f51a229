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
	DefaultHintHalfLife     = time.Second
	DefaultZoneDelay        = 2 * time.Millisecond
	DefaultZoneDelayPerKiB  = 4 * time.Millisecond
	DefaultRegionDelay      = 50 * time.Millisecond
	DefaultBaseEjectionTime = 200 * time.Millisecond
	DefaultMaxEjectionTime  = 30 * time.Second
	DefaultDrainRetention   = time.Minute
)

// coldWeight is the weight of a backend server that has just come back.
const coldWeight = 0.1

// slowWeight is the weight of a backend server that says itself that it is
// still slow after its start.
const slowWeight = 0.5

// Weights in the time that a call is expected to take, in service times.
const (
	// loadWeight is what all slots in use add, as backend servers slow down when
	// they are nearly full. It begins when they are half full.
	loadWeight = 0.2
	halfFull   = 0.5
	// failureWeight is what a backend server adds that fails all its calls.
	failureWeight = 3
	// tieShare is the share of the least cost within which candidates count as
	// equal.
	tieShare = 0.05
)

// failingWeight is the weight of a new answer in the share of failures, and
// failingHalfLife the time in which the share fades to half: one that gets no
// calls any more may be well again.
const (
	failingWeight   = 1.0 / 16
	failingHalfLife = 3 * time.Second
)

// paceWeight is the weight of a new answer in the pace of a backend server, and
// maxPace bounds what a single one can say.
const (
	paceWeight = 1.0 / 16
	maxPace    = 4
)

// defaultServiceTime is assumed on a route without answers yet.
const defaultServiceTime = 100 * time.Millisecond

// Config holds the settings of a Picker.
type Config struct {
	// Zone is the availability zone of this node.
	Zone state.AvailabilityZone
	// Region is the region of this node.
	Region state.Region
	// Regions tells the region of a host. Without it, all other availability
	// zones count as near.
	Regions HostRegions
	// HintHalfLife is the time in which a load hint loses half of its weight.
	// A longer time trusts older hints. Default 1 second.
	HintHalfLife time.Duration
	// ZoneDelay is how much longer a call may take in the own availability zone
	// before another one is preferred, ZoneDelayPerKiB the same for each KiB
	// of its bodies. Longer ones save traffic between availability zones and
	// balance less. Default 2 ms and 4 ms.
	ZoneDelay       time.Duration
	ZoneDelayPerKiB time.Duration
	// RegionDelay is the same for another region, beside ZoneDelay. Default
	// 50 ms.
	RegionDelay time.Duration
	// BaseEjectionTime bounds the time for which a backend server is left out
	// after a first failure. The bound doubles with each failure in a row, and
	// the time is drawn evenly from 0 to the bound. Default 200 ms.
	BaseEjectionTime time.Duration
	// MaxEjectionTime bounds the time for which a backend server is left out.
	// Default 30 seconds.
	MaxEjectionTime time.Duration
	// DrainRetention is how long a backend server that was seen draining gets no
	// calls, unless its host was seen to leave and to come back, or its node to
	// have started again. Default 1 minute.
	DrainRetention time.Duration
}

// HostPhases tells what is known of the hosts of backend servers.
type HostPhases interface {
	// PhaseOf returns the phase of a host.
	PhaseOf(host state.HostName) state.HostPhase
	// StartSeenAt returns when this node first heard of the present run of the
	// host's node; zero when it has not.
	StartSeenAt(host state.HostName) time.Time
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
	if c.ZoneDelay == 0 {
		c.ZoneDelay = DefaultZoneDelay
	}
	if c.ZoneDelayPerKiB == 0 {
		c.ZoneDelayPerKiB = DefaultZoneDelayPerKiB
	}
	if c.RegionDelay == 0 {
		c.RegionDelay = DefaultRegionDelay
	}
	if c.BaseEjectionTime == 0 {
		c.BaseEjectionTime = DefaultBaseEjectionTime
	}
	if c.MaxEjectionTime == 0 {
		c.MaxEjectionTime = DefaultMaxEjectionTime
	}
	if c.DrainRetention == 0 {
		c.DrainRetention = DefaultDrainRetention
	}
	return c
}
