// Package picking selects the backend server for a call at the entry node.
//
// Observations of this node take precedence over host lists and load hints: a
// backend server that refused a call because it is draining gets no further
// calls, and one that failed is ejected for a while.
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
	DefaultRelistDelay      = 6 * time.Second
)

// slowStartMinWeight is the minimum weight of a backend server during slow
// start.
const slowStartMinWeight = 0.1

// warmingWeight is the weight of a backend server that reports that it is still
// warming up, and whose service does not say what it takes until then.
const warmingWeight = 0.5

// minColdSlots is the smallest number of slots of a cold backend server whose service says
// what it takes.
const minColdSlots = 0.05

// Weights in the expected latency of a call, in multiples of the service time.
const (
	// congestionPenalty is added when all slots are in use, because backend
	// servers slow down when nearly full. The penalty grows linearly from
	// congestionStart, the load per slot at which it is 0.
	congestionPenalty = 0.2
	congestionStart   = 0.5
	// failurePenalty is added for a backend server that fails all its calls.
	failurePenalty = 3
	// tieTolerance is the relative difference from the minimum cost within
	// which candidates are treated as equal.
	tieTolerance = 0.05
	// spreadTolerance is the same for services whose calls are spread by speed. It is
	// above congestionPenalty, so that a backend server counts until calls wait for it.
	spreadTolerance = 0.3
)

// failureRateWeight is the weight of a new response in the failure rate. The
// rate halves every failureRateHalfLife, because a backend server that no
// longer gets calls may have recovered.
const (
	failureRateWeight   = 1.0 / 16
	failureRateHalfLife = 3 * time.Second
)

// latencyRatioWeight is the weight of a new response in the latency ratio of a
// backend server, and maxLatencyRatio bounds the influence of a single
// response.
const (
	latencyRatioWeight = 1.0 / 16
	maxLatencyRatio    = 4
)

// minSpreadRatio bounds the weight of a backend server that answered its first calls
// unusually fast.
const minSpreadRatio = 0.1

// defaultServiceTime is assumed for routes without responses.
const defaultServiceTime = 100 * time.Millisecond

// Config holds the settings of a Picker.
type Config struct {
	// Host is the host of this node.
	Host state.HostName
	// Zone is the availability zone of this node.
	Zone state.AvailabilityZone
	// Region is the region of this node.
	Region state.Region
	// Regions provides the regions of hosts. If it is nil, all other
	// availability zones count as being in the same region.
	Regions HostRegions
	// HintHalfLife is the time after which the weight of a load hint halves. A
	// longer half-life trusts older hints more. Default 1 second.
	HintHalfLife time.Duration
	// ZoneDelay is how much longer a call may take in the local availability
	// zone before another zone is preferred, and ZoneDelayPerKiB the same per
	// KiB of request and response body. Higher values reduce traffic between
	// availability zones and balance load less evenly. Default 2 ms and 4 ms.
	ZoneDelay       time.Duration
	ZoneDelayPerKiB time.Duration
	// RegionDelay is added to ZoneDelay for other regions. Default 50 ms.
	RegionDelay time.Duration
	// BaseEjectionTime is the upper bound of the ejection time after a first
	// failure. The bound doubles with each consecutive failure, and the
	// ejection time is drawn uniformly from 0 to the bound. Default 200 ms.
	BaseEjectionTime time.Duration
	// MaxEjectionTime is the upper bound of any ejection time. Default 30
	// seconds.
	MaxEjectionTime time.Duration
	// DrainRetention is how long a backend server that was observed draining
	// gets no calls, unless its host was observed to leave and return or its
	// node to restart. Default 1 minute.
	DrainRetention time.Duration
	// RelistDelay is how long a backend server gets no calls that had unregistered
	// before the platform returned from a copy in which it is registered. It should be
	// longer than a registration takes to expire. Default 6 seconds.
	RelistDelay time.Duration
	// SpreadFrom is the number of backend servers of a service from which calls are
	// spread over them in proportion to their speeds, instead of picking the one with the
	// lowest cost. That evens out the load, but answers take longer on average, as slow
	// backend servers get their share also while fast ones have free slots. Default 0,
	// which never spreads them.
	SpreadFrom int
}

// HostPhases provides the phases of the hosts of backend servers.
type HostPhases interface {
	// PhaseOf returns the phase of a host.
	PhaseOf(host state.HostName) state.HostPhase
	// StartSeenAt returns when this node first received a host update with the
	// current incarnation of the host, or the zero time if it has not received
	// one.
	StartSeenAt(host state.HostName) time.Time
}

// HostRegions provides the regions of the hosts of backend servers.
type HostRegions interface {
	// RegionOf returns the region of a host, or false if it is unknown.
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
	if c.RelistDelay == 0 {
		c.RelistDelay = DefaultRelistDelay
	}
	return c
}
