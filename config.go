package wasabiport

import (
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/controlloop"
	"github.com/wasabiport/wasabiport/transport/entry"
	"github.com/wasabiport/wasabiport/transport/guard"
	"github.com/wasabiport/wasabiport/transport/network"
)

// Config holds the settings of a Node. DefaultConfig returns one with all defaults;
// the embedding program sets the fields that have none.
type Config struct {
	// Self is the host of the node: its name, availability zone, region and
	// the IP address and port on which it listens for other nodes. No
	// default.
	Self state.Host
	// CallerAddress is the IP address and port for callers. No default.
	CallerAddress string
	// OperatorAddress is the IP address and port for operators. No default.
	OperatorAddress string
	// PlatformURL is the base URL of the platform's configuration service.
	// No default.
	PlatformURL string

	// Adapter adapts the node to another platform. Default the platform that
	// docs/OPERATORS.md describes.
	Adapter Adapter

	// OfferInterval is the mean time between two choices of a random peer to
	// exchange digests with, in addition to the peers of the dissemination
	// trees, which do so all the time. A shorter interval recovers sooner from
	// failures in the trees; each choice costs a session. Default 60 s.
	OfferInterval time.Duration
	// KeySettle is the time for which a guard that has just started, or has just
	// become the owner of idempotency keys, refuses calls with a key that
	// another guard may have run. It has to be longer than a ticket takes to
	// come into force on all nodes; a shorter time serves these calls sooner
	// but may run a call twice. Default 20 s.
	KeySettle time.Duration
	// ExpectedHosts is the number of hosts that is assumed until the host list
	// is read; it spreads the initial reads of a fleet whose nodes start at the
	// same time. A smaller number lets a small fleet start sooner; a number
	// below the size of the fleet lets a restart of the whole fleet exceed the
	// platform's rate limit. Default 1,000.
	ExpectedHosts int
	// SourceRetryInterval is the delay before a source is read again after a
	// failed read. Default 1 s.
	SourceRetryInterval time.Duration
	// HandshakeTimeout is the time limit for opening a session to a peer.
	// Default 3 s.
	HandshakeTimeout time.Duration
	// RedialInterval bounds the delay before the first redial of a peer. The
	// bound doubles with each redial up to 10 s, and the delay has full jitter.
	// Default 1 s.
	RedialInterval time.Duration

	// LinkBytesPerSecond is the bandwidth of the network link of the host. Calls to its
	// backend servers whose answers occupy the link for long are then admitted at the
	// rate at which the link carries them. Default 0, which does not limit them.
	LinkBytesPerSecond int64

	// LeaveDelay is the time for which a leaving node reports that it is not
	// ready but still accepts callers, and its peers' calls to its backend
	// servers. A longer time lets slower load balancers stop sending requests
	// to it. Default 2 s.
	LeaveDelay time.Duration
	// MemoryBytes and Descriptors are the memory and the number of open
	// descriptors of the host. They bound the connections of callers and what is
	// held for them. Default 1 TiB and 1,048,576, which bound nothing in practice.
	MemoryBytes int64
	Descriptors int
	// MaxBodyBytes is the maximum size of a request body, unless the
	// configuration sets another one. Default 1 GiB.
	MaxBodyBytes int64
	// MaxHeaderBytes is the maximum size of the headers of a request. The
	// configuration may set a smaller one. Default 64 KiB.
	MaxHeaderBytes int
	// MaxHeaderFields is the maximum number of header fields of a request.
	// Default 128.
	MaxHeaderFields int
	// MaxConnectionsPerAddress is the maximum number of caller connections from
	// one IP address. A larger number allows more callers behind one proxy, a
	// smaller one keeps one address from using up all connections. Default
	// 4096.
	MaxConnectionsPerAddress int
	// StallTimeout is the time limit for a caller to read a part of its response. A
	// shorter time frees slots sooner, but disconnects more slow callers. Default
	// 10 s.
	StallTimeout time.Duration

	// Seed makes the random choices of the node reproducible. 0 means a random
	// seed. Default 0.
	Seed uint64
	// Network provides the listeners and the connections between nodes. Default
	// network.TCP.
	Network network.Network
	// HTTPClient is used for reads of the platform. Default http.DefaultClient.
	HTTPClient *http.Client
	// CertificateFile, KeyFile and AuthorityFile are PEM files for TLS
	// between nodes: the node's certificate, its key and the trusted
	// authorities. No default, unless Plaintext is set.
	CertificateFile string
	KeyFile         string
	AuthorityFile   string
	// Plaintext opens sessions between nodes without TLS: anyone who can connect
	// to the peer address can then impersonate a node. Default false.
	Plaintext bool
	// Logger receives the events of the node. Default none.
	Logger logr.Logger
}

// Adapter holds the settings with which an embedding program adapts a node to another
// platform. The zero value of each field keeps the default.
type Adapter struct {
	// Source reads the platform instead of a client for PlatformURL. Default nil.
	Source controlloop.Source
	// FullStateSource is true if Source holds only the newest full configuration,
	// as baseline tickets whose numbers may have gaps. Default false.
	FullStateSource bool
	// TicketWatchPause and HostListWatchPause are the times between a watch of
	// the platform that returned no change and the next one. A longer pause saves
	// reads but delays changes. Default 1 s each.
	TicketWatchPause   time.Duration
	HostListWatchPause time.Duration
	// HostListFallbackAfter is the age of the host list at which a node that does
	// not watch the platform reads it itself, and HostListFallbackSpread the
	// maximum random delay of the read, during which another node may read in its
	// place. Shorter times notice sooner that the nodes that watch are lost, and
	// cost more reads. Default 60 s, and a delay that keeps to SourceFallbackRate.
	HostListFallbackAfter  time.Duration
	HostListFallbackSpread time.Duration
	// FallbackRetryInterval and MaxFallbackRetryInterval are the shortest and the
	// longest delay after failed reads of a node that does not watch the platform
	// and has peers. Default the delays of the nodes that watch.
	FallbackRetryInterval    time.Duration
	MaxFallbackRetryInterval time.Duration
	// SourceFallbackRate is the total number of reads per second of all nodes
	// that do not watch the platform. Default 200.
	SourceFallbackRate float64
	// MaxSourceRetryInterval is the maximum delay between reads of a platform that
	// keeps failing. Default 30 s.
	MaxSourceRetryInterval time.Duration
	// CallerMapper maps the HTTP of callers, and BackendMapper that of backend
	// servers. Default the header names of package httpmap.
	CallerMapper  entry.CallerMapper
	BackendMapper guard.BackendMapper
	// ConfirmCrashes is true if a backend server refuses connections for a while
	// after a crash. The guard then treats a lost connection as a crash only when
	// the next connection is refused. Default false.
	ConfirmCrashes bool
	// IgnoredValues returns the number of values of the platform, or parts of them, that
	// Source could not use. Default a function that returns 0.
	IgnoredValues func() int64
	// DroppedLogLines returns the number of log lines that the logger has
	// dropped, for the metrics. Default nil, which reports 0.
	DroppedLogLines func() int64
	// RetryShare is the number of retries that each call adds to the retry budget
	// of its service, and RetrySlack the capacity of the budget, shared by all
	// nodes. With RetrySlack, only retries after an attempt that has reached a
	// backend server are charged. Default 0.1, and a capacity of 100 on each
	// node.
	RetryShare float64
	RetrySlack float64
}

// DefaultConfig returns the settings for a fleet in a few regions.
func DefaultConfig() Config {
	return Config{
		OfferInterval:            time.Minute,
		KeySettle:                20 * time.Second,
		ExpectedHosts:            1000,
		SourceRetryInterval:      time.Second,
		HandshakeTimeout:         3 * time.Second,
		RedialInterval:           time.Second,
		LeaveDelay:               2 * time.Second,
		MemoryBytes:              1 << 40,
		Descriptors:              1 << 20,
		MaxBodyBytes:             1 << 30,
		MaxHeaderBytes:           64 << 10,
		MaxHeaderFields:          128,
		MaxConnectionsPerAddress: 4096,
		StallTimeout:             10 * time.Second,
		Network:                  network.TCP{},
		HTTPClient:               http.DefaultClient,
	}
}
