package control

import (
	"time"

	"github.com/wasabiport/wasabiport/coordination/backoff"
	"github.com/wasabiport/wasabiport/coordination/dissemination"
	"github.com/wasabiport/wasabiport/coordination/membership"
	"github.com/wasabiport/wasabiport/coordination/sourcereading"
	"github.com/wasabiport/wasabiport/state"
)

// Config holds the settings of a Plane. Fields other than Self and Incarnation
// take their default when they are zero.
type Config struct {
	// Self is this node's host.
	Self state.Host
	// Incarnation is the start time of the node in nanoseconds since 1970.
	Incarnation uint64
	// Suspects learns which requests crash backend servers. Nil means that
	// notices of them are neither kept nor passed on. Default nil.
	Suspects SuspectRequests
	// HeartbeatInterval is the time between two offers to each connected
	// peer. A shorter one finds failures and missed pushes sooner and costs
	// more control bytes. Default 1 s.
	HeartbeatInterval time.Duration
	// OfferInterval is the mean time between two choices of a random peer to
	// exchange digests with. A shorter one heals unlucky trees sooner and
	// costs more sessions. Default 60 s.
	OfferInterval time.Duration
	// SourceRetryInterval bounds the delay after the first failed read of
	// the source; it doubles up to MaxSourceRetryInterval. Default 500 ms.
	SourceRetryInterval time.Duration
	// MaxSourceRetryInterval bounds the delay between reads of a source that
	// keeps failing. Default 30 s.
	MaxSourceRetryInterval time.Duration
	// SourceFallbackRate is the number of reads a second that all nodes that
	// are no readers may make together, of the tickets and of the host list
	// each. Default 200, a tenth of what the platform answers.
	SourceFallbackRate float64
	// ExpectedHosts is the number of hosts that is assumed until the host
	// list is known. A smaller one lets a lone node start sooner; one that
	// is below the size of the fleet lets a herd exceed SourceFallbackRate.
	// Default 1,000.
	ExpectedHosts int
	// FullStateSource says that the source holds the newest whole configuration
	// alone: baselines, whose numbers leave some out. What one read brings is
	// then enough to go by, and peers send each other only what the source
	// withholds from one of them. Default false.
	FullStateSource bool
	// ReadersPerZone is the number of hosts of an availability zone that watch
	// the source, besides the roots of its trees. More readers hear of changes
	// first hand and cost reads. Default 0.
	ReadersPerZone int
	// TicketWatchPause and HostListWatchPause are the times between two
	// watches that brought nothing. Default 1 s each.
	TicketWatchPause   time.Duration
	HostListWatchPause time.Duration
	// ExpiryGrace is how long a backend server whose registration is missing
	// after the source was away may take to register again. Default 2 s.
	ExpiryGrace time.Duration
	// FallbackAfter is the age of the state at which a node that is no reader
	// reads the source itself. It has to be longer than a watch. Default
	// 60 s.
	FallbackAfter time.Duration
	// SuspicionTimeout is how long a suspect host may stay silent before it
	// is gone. Default 5 s.
	SuspicionTimeout time.Duration
	// StatusInterval is the time between two reports to the parent when
	// nothing changes. Default 10 s.
	StatusInterval time.Duration
	// MaxTickDelay is how late a Tick has to be for the node to take
	// itself for paused. Default 2 s.
	MaxTickDelay time.Duration
	// ReadyPeers is the number of peers that a node has to have heard before
	// it answers callers, when there are so many. Default 2.
	ReadyPeers int
	// ReadyTimeout is the time after which a node goes by what it has, when
	// it does not hear from enough peers. Default 10 s.
	ReadyTimeout time.Duration
	// TicketLogBytes bounds the memory for past tickets. A node that is
	// further behind than the log gets a snapshot. Default 8 MiB.
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
// counts as silent.
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

func (c Config) sourceReading(watchPause time.Duration) sourcereading.Config {
	return sourcereading.Config{
		FallbackRate:  c.SourceFallbackRate,
		ExpectedHosts: c.ExpectedHosts,
		FallbackAfter: c.FallbackAfter,
		WatchPause:    watchPause,
		BusyPause:     200 * time.Millisecond,
		Retry:         backoff.Policy{Base: c.SourceRetryInterval, Max: c.MaxSourceRetryInterval},
	}
}
