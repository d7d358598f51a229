package peering

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/wasabiport/wasabiport/coordination/backoff"
	"github.com/wasabiport/wasabiport/state"
)

// Config holds the settings of a Pool. DefaultConfig fills all but Self and
// Incarnation.
type Config struct {
	Self state.Host
	// Incarnation is the start time of the node in nanoseconds since 1970.
	Incarnation uint64
	// Seed makes the redial delays repeatable.
	Seed uint64
	// HandshakeTimeout bounds the time for a session's handshake, TLS
	// included.
	HandshakeTimeout time.Duration
	// RedialBackoff spreads the tries to reach a wanted peer.
	RedialBackoff backoff.Policy
	// IdleTimeout ends a session for calls that has had none for this long.
	// A longer one saves handshakes and costs memory.
	IdleTimeout time.Duration
	// MaxSessions bounds the sessions that other nodes have opened.
	MaxSessions int
	// MaxHandshakes bounds the handshakes that run at the same time, and
	// MaxHandshakesPerAddress those from one IP address. Connections beyond
	// are closed at once, before they cost a TLS handshake.
	MaxHandshakes           int
	MaxHandshakesPerAddress int
	// MaxStreams bounds the calls that run at the same time over one
	// session.
	MaxStreams int
	// SendQueueLength is the number of control messages that wait for one
	// peer. Those beyond are dropped and counted.
	SendQueueLength int
	// Logger takes the events of the pool.
	Logger logr.Logger
}

// DefaultConfig returns the settings for a fleet of the design size.
func DefaultConfig() Config {
	return Config{
		HandshakeTimeout:        3 * time.Second,
		RedialBackoff:           backoff.Policy{Base: time.Second, Max: 10 * time.Second},
		IdleTimeout:             time.Minute,
		MaxSessions:             8192,
		MaxHandshakes:           256,
		MaxHandshakesPerAddress: 64,
		MaxStreams:              1024,
		SendQueueLength:         256,
	}
}

// Bounds of a session.
const (
	// maxControlBytes bounds one control message.
	maxControlBytes = 16 << 20
	// controlKeepAliveInterval and writeTimeout together bound the time
	// until a half-open control session is noticed, 10 s.
	controlKeepAliveInterval = 5 * time.Second
	writeTimeout             = 5 * time.Second
	// callKeepAliveInterval is longer, since calls have deadlines of their
	// own and most sessions are for calls.
	callKeepAliveInterval = 30 * time.Second
	// minIdleCheck is the least time between two checks whether a session
	// is idle.
	minIdleCheck = time.Second
	// acceptBacklog is the number of streams that wait to be served.
	acceptBacklog = 64
	// sessionRetryAfter is when a peer comes back that was refused because
	// of MaxSessions.
	sessionRetryAfter = 5 * time.Second
	// stableTime is how long a session lives until the failures before it
	// are forgotten.
	stableTime = 10 * time.Second
)

// Errors of a Pool.
var (
	// ErrNotConnected means that there is no session to a peer.
	ErrNotConnected = errors.New("no session to the peer")
	// ErrQueueFull means that a control message was dropped because the
	// peer does not keep up. Digest repair makes up for it.
	ErrQueueFull = errors.New("the peer's send queue is full")
	// ErrIdentityMismatch means that a peer is not who it has to be.
	ErrIdentityMismatch = errors.New("the peer has another identity")
)
