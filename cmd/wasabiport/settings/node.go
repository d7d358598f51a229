package settings

import (
	"time"

	"github.com/wasabiport/wasabiport"
	"github.com/wasabiport/wasabiport/transport/events"
)

// defaultLeaveTimeout is longer than the longest route timeout that is expected in a
// ticket.
const defaultLeaveTimeout = 60 * time.Second

// Node holds the settings of "wasabiport node". The tags hold the name of the flag,
// the validation rule of its value, and its text in the help and in
// docs/OPERATORS.md. The environment variable of a flag is WASABIPORT_ followed by
// the flag's name in upper case with underscores.
type Node struct {
	Host            string        `flag:"host" rule:"name" usage:"name of this host, as in the platform's host list"`
	Zone            string        `flag:"zone" rule:"name" usage:"availability zone of this host"`
	Region          string        `flag:"region" rule:"name" usage:"region of the availability zone"`
	PeerAddress     string        `flag:"peer-address" rule:"ipport" usage:"IP address and port for other nodes, as in the platform's host list"`
	CallerAddress   string        `flag:"caller-address" rule:"listen" usage:"IP address and port for callers"`
	OperatorAddress string        `flag:"operator-address" rule:"listen" usage:"IP address and port for operators: metrics, health and status"`
	PlatformURL     string        `flag:"platform-url" rule:"url" usage:"base URL of the platform's configuration service"`
	LeaveTimeout    time.Duration `flag:"leave-timeout" rule:"positive" usage:"longest time for calls to finish after SIGTERM; a longer one lets slow calls end, a shorter one frees the host sooner"`

	OfferInterval       time.Duration `flag:"offer-interval" rule:"positive" usage:"mean time between two choices of a random peer to exchange digests with; shorter heals unlucky trees sooner and costs a session each"`
	KeySettle           time.Duration `flag:"key-settle" rule:"positive" usage:"how long a guard that has just come up refuses keyed calls; longer than a ticket takes to be in force everywhere, or a call may run twice"`
	ExpectedHosts       int           `flag:"expected-hosts" rule:"positive" usage:"number of hosts that is assumed until the host list is known; smaller lets a small fleet start sooner, below the size of the fleet lets a restart of everything exceed the platform's rate"`
	SourceRetryInterval time.Duration `flag:"source-retry-interval" rule:"positive" usage:"time after which a platform that failed is read again; shorter sees it come back sooner and costs reads"`
	HandshakeTimeout    time.Duration `flag:"handshake-timeout" rule:"positive" usage:"longest time to open a session to another node"`
	RedialInterval      time.Duration `flag:"redial-interval" rule:"positive" usage:"time between two tries to reach another node"`

	LinkBytesPerSecond int64 `flag:"link-bytes-per-second" rule:"count" usage:"bandwidth of this host's network link in bytes per second, at which calls with long answers are admitted; 0 does not limit them"`

	LeaveDelay               time.Duration `flag:"leave-delay" rule:"positive" usage:"time for which a leaving node still accepts callers; a longer one lets slower load balancers turn away"`
	MemoryBytes              int64         `flag:"memory-bytes" rule:"positive" usage:"memory of the host; an eighth of it is for connections of callers, and as much for their heads and bodies"`
	Descriptors              int           `flag:"descriptors" rule:"positive" usage:"open descriptors of the host; half of them, without 200 for files, is for connections of callers"`
	MaxBodyBytes             int64         `flag:"max-body-bytes" rule:"positive" usage:"largest body of a request, in bytes"`
	MaxHeaderBytes           int           `flag:"max-header-bytes" rule:"positive" usage:"largest size of the headers of a request, in bytes"`
	MaxHeaderFields          int           `flag:"max-header-fields" rule:"positive" usage:"largest number of header fields of a request"`
	MaxConnectionsPerAddress int           `flag:"max-connections-per-address" rule:"positive" usage:"connections of callers from one IP address; more helps callers behind one proxy, fewer keeps one address from taking all"`
	StallTimeout             time.Duration `flag:"stall-timeout" rule:"positive" usage:"time that a caller may take to read a part of its answer; a shorter one frees slots sooner and cuts slower callers off"`

	CertificateFile string `flag:"certificate-file" rule:"optional file" usage:"PEM file with the certificate of this host, which names it as wasabiport://ZONE/HOST"`
	KeyFile         string `flag:"key-file" rule:"optional file" usage:"PEM file with the private key of the certificate"`
	AuthorityFile   string `flag:"authority-file" rule:"optional file" usage:"PEM file with the certificates of the authorities that are trusted between nodes"`
	Plaintext       bool   `flag:"plaintext" rule:"bool" usage:"true opens sessions between nodes without TLS: whoever reaches the peer address can pass for a node"`

	LogFormat events.Format `flag:"log-format" rule:"format" usage:"form of log lines: text or json"`
	LogLevel  events.Level  `flag:"log-level" rule:"level" usage:"least important level that is logged: error, info or debug"`
}

// DefaultNode returns the default settings. Fields without a default are empty.
func DefaultNode() Node {
	library := wasabiport.DefaultConfig()
	return Node{
		CallerAddress:            "0.0.0.0:8080",
		OperatorAddress:          "127.0.0.1:9090",
		LeaveTimeout:             defaultLeaveTimeout,
		OfferInterval:            library.OfferInterval,
		KeySettle:                library.KeySettle,
		ExpectedHosts:            library.ExpectedHosts,
		SourceRetryInterval:      library.SourceRetryInterval,
		HandshakeTimeout:         library.HandshakeTimeout,
		RedialInterval:           library.RedialInterval,
		LeaveDelay:               library.LeaveDelay,
		MemoryBytes:              library.MemoryBytes,
		Descriptors:              library.Descriptors,
		MaxBodyBytes:             library.MaxBodyBytes,
		MaxHeaderBytes:           library.MaxHeaderBytes,
		MaxHeaderFields:          library.MaxHeaderFields,
		MaxConnectionsPerAddress: library.MaxConnectionsPerAddress,
		StallTimeout:             library.StallTimeout,
		LogFormat:                events.FormatText,
		LogLevel:                 events.LevelInfo,
	}
}
