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

// Config holds the settings of a Node. DefaultConfig returns one with all
// defaults; an embedding program sets the fields without default.
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

	// Adapter says how the node meets a platform of another form. Default the
	// form of docs/OPERATORS.md.
	Adapter Adapter

	// OfferInterval is the mean time between two choices of a random peer to
	// exchange digests with, besides the peers of the trees, which do so all
	// the time. A shorter one heals unlucky trees sooner and costs a session
	// each. Default 60 s.
	OfferInterval time.Duration
	// KeySettle is how long a guard that has just come up, or has become the
	// owner of keys, refuses keyed calls that another guard may have run. It
	// has to be longer than a ticket takes to be in force everywhere; a
	// shorter one serves sooner and may run a call twice. Default 20 s.
	KeySettle time.Duration
	// ExpectedHosts is the number of hosts that is assumed until the host
	// list is known; it spreads the first reads of a fleet that starts at
	// once. A smaller one lets a small fleet start sooner; one below the size
	// of the fleet lets a restart of everything exceed the platform's rate.
	// Default 1,000.
	ExpectedHosts int
	// SourceRetryInterval is the time after which a source that failed is
	// read again. Default 1 s.
	SourceRetryInterval time.Duration
	// HandshakeTimeout bounds the time to open a session to a peer. Default
	// 3 s.
	HandshakeTimeout time.Duration
	// RedialInterval bounds the delay before a peer is dialed again for the
	// first time; it doubles up to 10 s and has full jitter. Default 1 s.
	RedialInterval time.Duration

	// LeaveDelay is the time for which a leaving node goes on as before, but
	// that it reports itself not ready: it accepts callers, and the calls of its
	// peers for its backend servers. A longer time lets slower load balancers
	// turn away. Default 2 s.
	LeaveDelay time.Duration
	// MaxBodyBytes bounds the body of a request. Default 1 GiB.
	MaxBodyBytes int64
	// MaxHeaderBytes bounds the headers of a request. Default 64 KiB.
	MaxHeaderBytes int
	// MaxHeaderFields bounds the number of header fields of a request.
	// Default 128.
	MaxHeaderFields int
	// MaxConnectionsPerAddress bounds the connections of callers from one IP
	// address. A larger number helps callers behind one proxy, a smaller one
	// keeps one address from taking all. Default 4096.
	MaxConnectionsPerAddress int
	// StallTimeout is how long a caller may take to read a part of its answer.
	// A shorter time frees slots sooner and cuts slower callers off. Default
	// 10 s.
	StallTimeout time.Duration

	// Seed makes the random choices of the node repeatable. 0 takes a random
	// seed. Default 0.
	Seed uint64
	// Network carries the sessions between nodes. Default network.TCP.
	Network network.Network
	// HTTPClient reads the platform. Default http.DefaultClient.
	HTTPClient *http.Client
	// CertificateFile, KeyFile and AuthorityFile are PEM files for TLS
	// between nodes: the node's certificate, its key and the trusted
	// authorities. No default, unless Plaintext is set.
	CertificateFile string
	KeyFile         string
	AuthorityFile   string
	// Plaintext opens sessions between nodes without TLS: anyone who reaches
	// the peer address can then pass for a node. Default false.
	Plaintext bool
	// Logger takes the events of the node. Default none.
	Logger logr.Logger
}

// Adapter holds what a program supplies that embeds a node on a platform of
// another form. The zero value of each field keeps the default.
type Adapter struct {
	// Source reads the platform in place of PlatformURL. Default nil.
	Source controlloop.Source
	// FullStateSource states that Source holds only the newest full configuration,
	// as baseline tickets whose numbers may have gaps. Default false.
	FullStateSource bool
	// ReadersPerZone is the number of hosts of an availability zone that watch
	// the platform, besides the roots of its trees. Default 0.
	ReadersPerZone int
	// TicketWatchPause and HostListWatchPause are the times between two
	// watches of the platform that brought nothing. A longer one saves reads
	// and learns of changes later. Default 1 s each.
	TicketWatchPause   time.Duration
	HostListWatchPause time.Duration
	// SourceFallbackRate is the number of reads a second that all nodes that
	// do not watch the platform may make together. Default 200.
	SourceFallbackRate float64
	// MaxSourceRetryInterval bounds the delay between reads of a platform that
	// keeps failing. Default 30 s.
	MaxSourceRetryInterval time.Duration
	// CallerMapper maps the HTTP of callers, and BackendMapper that of backend
	// servers. Default the header names of package httpmap.
	CallerMapper  entry.CallerMapper
	BackendMapper guard.BackendMapper
	// ConfirmCrashes says that a backend server that has crashed refuses
	// connections for a while. The guard then takes a lost connection for a
	// crash only when the next one is refused. Default false.
	ConfirmCrashes bool
	// DroppedLogLines returns how many lines of the logger were lost, for the
	// metrics. Default nil, which counts none.
	DroppedLogLines func() int64
	// RetryShare is the number of retries that each call earns, and RetrySlack
	// the number that all nodes together may save up for a service. With
	// RetrySlack, only retries after an attempt that has reached a backend
	// server count. Default 0.1 and none: each node saves up 100.
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
		MaxBodyBytes:             1 << 30,
		MaxHeaderBytes:           64 << 10,
		MaxHeaderFields:          128,
		MaxConnectionsPerAddress: 4096,
		StallTimeout:             10 * time.Second,
		Network:                  network.TCP{},
		HTTPClient:               http.DefaultClient,
	}
}
