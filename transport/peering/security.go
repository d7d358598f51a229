package peering

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"

	"github.com/wasabiport/wasabiport/protocol/handshake"
	"github.com/wasabiport/wasabiport/state"
)

// Identity is what a peer has proved of itself.
type Identity struct {
	Host state.HostName
	Zone state.AvailabilityZone
}

// Security protects connections between nodes and proves who is at the other
// end. It does not set deadlines.
type Security interface {
	// Client protects a connection that this node has opened.
	Client(ctx context.Context, conn net.Conn) (net.Conn, Identity, error)
	// Server protects a connection that this node has accepted.
	Server(ctx context.Context, conn net.Conn) (net.Conn, Identity, error)
}

// Plaintext is a Security without protection: each peer is who it says it is.
type Plaintext struct{}

// Client returns the connection as it is.
func (Plaintext) Client(_ context.Context, conn net.Conn) (net.Conn, Identity, error) {
	return conn, Identity{}, nil
}

// Server returns the connection as it is.
func (Plaintext) Server(_ context.Context, conn net.Conn) (net.Conn, Identity, error) {
	return conn, Identity{}, nil
}

// checkIdentity compares what a peer says with what it has proved.
func checkIdentity(hello handshake.Hello, proved Identity) error {
	said := Identity{Host: hello.Host, Zone: hello.Zone}
	if proved != (Identity{}) && proved != said {
		return errors.Wrapf(ErrIdentityMismatch, "peer says %s in %s and has keys of %s in %s",
			said.Host, said.Zone, proved.Host, proved.Zone)
	}
	return nil
}
