package peering

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/wasabiport/wasabiport/coordination/backoff"
	"github.com/wasabiport/wasabiport/state"
)

// Config holds the settings of a Pool. DefaultConfig sets every limit; Self,
// Incarnation, Seed and Logger are set by the caller.
type Config struct {
	Self state.Host
	// Incarnation is the start time of the node in nanoseconds since 1970.
	Incarnation uint64
	// Seed makes the jitter of the redial delays reproducible.
	Seed uint64
	// HandshakeTimeout is the timeout of a session's handshake, including
	// TLS.
	HandshakeTimeout time.Duration
	// RedialBackoff is the backoff between attempts to dial a peer.
	RedialBackoff backoff.Policy
	// IdleTimeout is how long a call session may have no calls before it is
	// closed. A longer timeout saves handshakes but costs memory.
	IdleTimeout time.Duration
	// MaxSessions limits the sessions opened by other nodes.
	MaxSessions int
	// MaxHandshakes limits concurrent handshakes, and MaxHandshakesPerAddress
	// those from one IP address. Excess connections are closed immediately,
	// before they cost a TLS handshake.
	MaxHandshakes           int
	MaxHandshakesPerAddress int
	// MaxStreams limits the concurrent calls of one session.
	MaxStreams int
	// SendQueueLength is the capacity of the control message queue of one
	// peer. Messages are dropped and counted while it is full.
	SendQueueLength int
	// Logger receives the events of the pool.
	Logger logr.Logger
}

// DefaultConfig returns the limits and timeouts for a fleet of the design size.
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

// Limits and timeouts of a session.
const (
	// maxControlBytes is the maximum size of a control message.
	maxControlBytes = 16 << 20
	// A half-open control session is detected within
	// controlKeepAliveInterval + writeTimeout, which is 10 s.
	controlKeepAliveInterval = 5 * time.Second
	writeTimeout             = 5 * time.Second
	// callKeepAliveInterval is longer than that of control sessions: calls
	// have their own deadlines, and most sessions carry calls.
	callKeepAliveInterval = 30 * time.Second
	// minIdleCheck is the minimum interval between idle checks of a session.
	minIdleCheck = time.Second
	// acceptBacklog is the number of incoming streams that may wait to be
	// accepted.
	acceptBacklog = 64
	// sessionRetryAfter is the retry delay sent to a peer that is refused
	// because of MaxSessions.
	sessionRetryAfter = 5 * time.Second
	// stableTime is how long a session must last for the redial backoff to
	// reset.
	stableTime = 10 * time.Second
)

// Errors of a Pool.
var (
	// ErrNotConnected is returned when there is no session to a peer.
	ErrNotConnected = errors.New("no session to the peer")
	// ErrQueueFull is returned when a control message is dropped because the
	// peer is too slow. Digest repair recovers the lost content.
	ErrQueueFull = errors.New("the peer's send queue is full")
	// ErrIdentityMismatch is returned when a peer's identity is not the
	// expected or claimed one.
	ErrIdentityMismatch = errors.New("peer identity mismatch")
)
