package peering

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"

	"github.com/wasabiport/wasabiport/protocol/handshake"
	"github.com/wasabiport/wasabiport/state"
)

// Identity is the authenticated identity of a peer. The zero value means that
// the peer was not authenticated.
type Identity struct {
	Host state.HostName
	Zone state.AvailabilityZone
}

// Security encrypts connections between nodes and authenticates the peer. It
// does not set deadlines.
type Security interface {
	// Client secures a connection that this node dialed.
	Client(ctx context.Context, conn net.Conn) (net.Conn, Identity, error)
	// Server secures a connection that this node accepted.
	Server(ctx context.Context, conn net.Conn) (net.Conn, Identity, error)
}

// Plaintext is a Security without encryption or authentication: the host and
// zone in a peer's hello are trusted.
type Plaintext struct{}

// Client returns the connection unchanged.
func (Plaintext) Client(_ context.Context, conn net.Conn) (net.Conn, Identity, error) {
	return conn, Identity{}, nil
}

// Server returns the connection unchanged.
func (Plaintext) Server(_ context.Context, conn net.Conn) (net.Conn, Identity, error) {
	return conn, Identity{}, nil
}

// checkIdentity compares the identity claimed in a hello with the authenticated
// one, if there is one.
func checkIdentity(hello handshake.Hello, authenticated Identity) error {
	claimed := Identity{Host: hello.Host, Zone: hello.Zone}
	if authenticated != (Identity{}) && authenticated != claimed {
		return errors.Wrapf(ErrIdentityMismatch, "peer claims to be %s in %s but its certificate names %s in %s",
			claimed.Host, claimed.Zone, authenticated.Host, authenticated.Zone)
	}
	return nil
}
