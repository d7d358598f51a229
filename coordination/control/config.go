package control

import (
	"time"

	"github.com/wasabiport/wasabiport/coordination/backoff"
	"github.com/wasabiport/wasabiport/coordination/dissemination"
	"github.com/wasabiport/wasabiport/coordination/membership"
	"github.com/wasabiport/wasabiport/coordination/sourcereading"
	"github.com/wasabiport/wasabiport/state"
)

// Config holds the settings of a Plane. Every field except Self and Incarnation
// has a default that replaces the zero value.
type Config struct {
	// Self is the local host.
	Self state.Host
	// Incarnation is the start time of the local node in nanoseconds since the
	// Unix epoch.
	Incarnation uint64
	// Suspects stores which requests crash backend servers. If it is nil, crash
	// notices are neither stored nor forwarded. Default nil.
	Suspects SuspectRequests
	// HeartbeatInterval is the time between two offers to each connected peer.
	// A shorter interval detects failures and missed pushes sooner and costs
	// more control traffic. Default 1 s.
	HeartbeatInterval time.Duration
	// OfferInterval is the mean time between two choices of a random peer to
	// compare digests with. A shorter interval repairs gaps left by the trees
	// sooner and opens more sessions. Default 60 s.
	OfferInterval time.Duration
	// SourceRetryInterval bounds the delay after the first failed read of the
	// source. The bound doubles with every further failure up to
	// MaxSourceRetryInterval. Default 500 ms.
	SourceRetryInterval time.Duration
	// MaxSourceRetryInterval bounds the delay between reads of a source that
	// keeps failing. Default 30 s.
	MaxSourceRetryInterval time.Duration
	// SourceFallbackRate is the total number of reads per second by all nodes
	// that are not readers, for tickets and for the host list each. Default
	// 200, a tenth of the platform's capacity.
	SourceFallbackRate float64
	// ExpectedHosts is the number of hosts that is assumed until the host list
	// is available. A smaller value lets a single node start sooner; a value
	// below the fleet size lets a thundering herd exceed SourceFallbackRate.
	// Default 1,000.
	ExpectedHosts int
	// FullStateSource is true if the source holds only the newest full state,
	// as baselines whose numbers have gaps. A node may then serve after one
	// answer, and peers send each other state only if the source does not
	// return it to one of them. Default false.
	FullStateSource bool
	// TicketWatchPause and HostListWatchPause are the pauses after a watch that
	// returned no change. Default 1 s each.
	TicketWatchPause   time.Duration
	HostListWatchPause time.Duration
	// ExpiryGrace is the time a backend server has to register again if its
	// registration is missing after an outage of the source. Default 2 s.
	ExpiryGrace time.Duration
	// FallbackAfter is the age of the state at which a node that is not a
	// reader reads the source itself. It must be longer than a watch. Default
	// 60 s.
	FallbackAfter time.Duration
	// HostListFallbackAfter is the same for the host list. It bounds how long a
	// node that has lost the readers sends calls to backend servers that have left.
	// Default FallbackAfter.
	HostListFallbackAfter time.Duration
	// HostListFallbackSpread is the maximum random delay of such a read, see
	// sourcereading.Config. Default a time that keeps to SourceFallbackRate.
	HostListFallbackSpread time.Duration
	// FallbackRetryInterval bounds the delay after the first failed read of a node
	// that is not a reader and has peers, and MaxFallbackRetryInterval the delay
	// after further ones. Default SourceRetryInterval and MaxSourceRetryInterval.
	FallbackRetryInterval    time.Duration
	MaxFallbackRetryInterval time.Duration
	// SuspicionTimeout is how long a suspect host may stay silent before it is
	// considered gone. Default 5 s.
	SuspicionTimeout time.Duration
	// StatusInterval is the time between two reports to the parent while
	// nothing changes. Default 10 s.
	StatusInterval time.Duration
	// MaxTickDelay is the largest delay of a Tick that is not treated as a
	// pause of the process. Default 2 s.
	MaxTickDelay time.Duration
	// ReadyPeers is the number of peers from which a node must have received a
	// message before it serves callers. It is capped at the number of other
	// hosts. Default 2.
	ReadyPeers int
	// ReadyTimeout is the time after which a node serves with the configuration
	// it has, even if too few peers have responded. Default 10 s.
	ReadyTimeout time.Duration
	// TicketLogBytes bounds the memory for past tickets. A node whose next
	// ticket is no longer in the log gets a snapshot. Default 8 MiB.
	TicketLogBytes int
}

func (c Config) withDefaults() Config {
	setDefault(&c.HeartbeatInterval, time.Second)
	setDefault(&c.OfferInterval, time.Minute)
	setDefault(&c.SourceRetryInterval, 500*time.Millisecond)
	setDefault(&c.MaxSourceRetryInterval, 30*time.Second)
	setDefault(&c.SourceFallbackRate, 200)
	setDefault(&c.ExpectedHosts, 1000)
	setDefault(&c.TicketWatchPause, time.Second)
	setDefault(&c.HostListWatchPause, time.Second)
	setDefault(&c.ExpiryGrace, 2*time.Second)
	setDefault(&c.FallbackAfter, time.Minute)
	setDefault(&c.HostListFallbackAfter, c.FallbackAfter)
	setDefault(&c.FallbackRetryInterval, c.SourceRetryInterval)
	setDefault(&c.MaxFallbackRetryInterval, c.MaxSourceRetryInterval)
	setDefault(&c.SuspicionTimeout, 5*time.Second)
	setDefault(&c.StatusInterval, 10*time.Second)
	setDefault(&c.MaxTickDelay, 2*time.Second)
	setDefault(&c.ReadyPeers, 2)
	setDefault(&c.ReadyTimeout, 10*time.Second)
	setDefault(&c.TicketLogBytes, 8<<20)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// missedHeartbeats is the number of heartbeats that a peer may miss before it
// is considered silent.
const missedHeartbeats = 4

func (c Config) silenceTimeout() time.Duration { return missedHeartbeats * c.HeartbeatInterval }

func (c Config) membership() membership.Config {
	return membership.Config{
		Self:             c.Self,
		Incarnation:      c.Incarnation,
		SilenceTimeout:   c.silenceTimeout(),
		SuspicionTimeout: c.SuspicionTimeout,
	}
}

func (c Config) links() dissemination.Config {
	return dissemination.Config{
		SilenceTimeout:     c.silenceTimeout(),
		HoldDown:           backoff.Policy{Base: 30 * time.Second, Max: 10 * time.Minute},
		PassiveOpenTimeout: c.HeartbeatInterval / 2,
		RandomPeerInterval: c.OfferInterval,
		IsolatedInterval:   5 * c.HeartbeatInterval,
	}
}

// fullStateStartDelay is the time that a started node gives its peers to send the
// configuration before it reads a source of full configurations.
const fullStateStartDelay = 1500 * time.Millisecond

func (c Config) ticketReading() sourcereading.Config {
	config := c.sourceReading()
	config.WatchPause = c.TicketWatchPause
	config.FallbackAfter = c.FallbackAfter
	if c.FullStateSource {
		config.StartDelay = fullStateStartDelay
	}
	return config
}

func (c Config) hostListReading() sourcereading.Config {
	config := c.sourceReading()
	config.WatchPause = c.HostListWatchPause
	config.FallbackAfter = c.HostListFallbackAfter
	config.FallbackSpread = c.HostListFallbackSpread
	return config
}

func (c Config) sourceReading() sourcereading.Config {
	return sourcereading.Config{
		FallbackRate:  c.SourceFallbackRate,
		ExpectedHosts: c.ExpectedHosts,
		BusyPause:     200 * time.Millisecond,
		Retry:         backoff.Policy{Base: c.SourceRetryInterval, Max: c.MaxSourceRetryInterval},
		FallbackRetry: backoff.Policy{Base: c.FallbackRetryInterval, Max: c.MaxFallbackRetryInterval},
	}
}
