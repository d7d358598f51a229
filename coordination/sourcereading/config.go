package sourcereading

import (
	"time"

	"github.com/wasabiport/wasabiport/coordination/backoff"
)

// Config holds the settings of a Scheduler.
type Config struct {
	// FallbackRate is the total number of reads per second by all nodes while
	// none of them receives recent state from peers. A larger rate helps
	// isolated nodes sooner and puts more load on the source.
	FallbackRate float64
	// ExpectedHosts is the number of hosts that is assumed until the host list
	// is available. If it is below the size of the fleet, a simultaneous start
	// of all nodes exceeds FallbackRate.
	ExpectedHosts int
	// FallbackAfter is the age of the state after which a node that is not a
	// reader reads the source itself.
	FallbackAfter time.Duration
	// FallbackSpread is the maximum random delay of such a read. The first node
	// that reads confirms the state of its peers, which then need not read. 0
	// means a time by which all nodes together keep to FallbackRate.
	FallbackSpread time.Duration
	// StartDelay is added to the delay of the first read, to let peers deliver the
	// state first.
	StartDelay time.Duration
	// WatchPause is the pause after a watch that returned no change.
	WatchPause time.Duration
	// BusyPause is the pause after a watch that returned a change.
	BusyPause time.Duration
	// Retry sets the backoff after failed reads.
	Retry backoff.Policy
	// FallbackRetry sets the backoff after failed reads of a node that is not a
	// reader and has peers. The zero value means Retry.
	FallbackRetry backoff.Policy
}
