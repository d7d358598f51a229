// Package handshake implements the messages by which two nodes open a session.
package handshake

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiport/wasabiport/protocol/frame"
	"github.com/wasabiport/wasabiport/protocol/wirepb"
	"github.com/wasabiport/wasabiport/state"
)

// Version is the version of the protocol between nodes. Peers with another
// version are rejected.
const Version = 1

// maxHelloBytes limits the first message of a peer, which is not yet trusted.
const maxHelloBytes = 4 << 10

// Lane is the kind of traffic that a session carries. Each lane has a separate
// connection, so that a large body never delays a small urgent reply.
type Lane uint8

// The lanes between two nodes.
const (
	// LaneControl carries control messages.
	LaneControl Lane = iota + 1
	// LaneUrgent carries calls of the classes critical and high.
	LaneUrgent
	// LaneBulk carries all other calls.
	LaneBulk
)

// LaneOf returns the lane for calls of a priority class.
func LaneOf(class state.PriorityClass) Lane {
	if class <= state.ClassHigh {
		return LaneUrgent
	}
	return LaneBulk
}

// Hello identifies a node at the start of a session.
type Hello struct {
	Host        state.HostName
	Zone        state.AvailabilityZone
	Incarnation uint64
	Lane        Lane
}

// RefusedError is returned when the peer refuses the session.
type RefusedError struct {
	Reason string
	// RetryAfter is the time after which to try again; 0 if the peer gave none.
	RetryAfter time.Duration
}

// Error returns the reason that the peer gave.
func (e *RefusedError) Error() string { return "session refused by peer: " + e.Reason }

// Send writes a hello.
func Send(stream io.Writer, hello Hello) error {
	return frame.Write(stream, &wirepb.Hello{
		Version:     Version,
		Host:        string(hello.Host),
		Zone:        string(hello.Zone),
		Incarnation: hello.Incarnation,
		Lane:        wirepb.Lane(hello.Lane),
	})
}

// Refuse writes a refusal instead of a hello.
func Refuse(stream io.Writer, reason string, retryAfter time.Duration) error {
	return frame.Write(stream, &wirepb.Hello{
		Version:          Version,
		Refusal:          reason,
		RetryAfterMillis: uint32(retryAfter.Milliseconds()),
	})
}

// Receive reads the peer's hello. It returns a *RefusedError if the peer refuses
// the session, and an error marked with frame.ErrMalformed if the peer violates
// the protocol.
func Receive(stream *frame.Reader) (Hello, error) {
	var message wirepb.Hello
	if err := frame.Read(stream, &message, maxHelloBytes); err != nil {
		return Hello{}, errors.Wrap(err, "read hello")
	}
	if message.GetRefusal() != "" {
		return Hello{}, &RefusedError{
			Reason:     message.GetRefusal(),
			RetryAfter: time.Duration(message.GetRetryAfterMillis()) * time.Millisecond,
		}
	}
	if message.GetVersion() != Version {
		return Hello{}, malformed("peer has protocol version %d, want %d", message.GetVersion(), Version)
	}
	if message.GetHost() == "" {
		return Hello{}, malformed("hello has no host name")
	}
	lane := Lane(message.GetLane())
	if lane < LaneControl || lane > LaneBulk {
		return Hello{}, malformed("peer %q requests unknown lane %d", message.GetHost(), message.GetLane())
	}
	return Hello{
		Host:        state.HostName(message.GetHost()),
		Zone:        state.AvailabilityZone(message.GetZone()),
		Incarnation: message.GetIncarnation(),
		Lane:        lane,
	}, nil
}

func malformed(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), frame.ErrMalformed)
}
