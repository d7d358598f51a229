// Package tlsidentity protects connections between nodes with TLS 1.3. Both
// ends prove their host name and availability zone with a certificate that
// names them in a URI, such as wasabiport://north/north-1.
package tlsidentity

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/peering"
)

// uriScheme is the scheme of the URI that names a host.
const uriScheme = "wasabiport"

// ErrNoIdentity means that a certificate does not name exactly one host.
var ErrNoIdentity = errors.New("the certificate does not name exactly one host")

// HostURI returns the URI that names a host of an availability zone.
func HostURI(zone state.AvailabilityZone, host state.HostName) *url.URL {
	return &url.URL{Scheme: uriScheme, Host: string(zone), Path: "/" + string(host)}
}

// identityOf returns the identity in a certificate.
func identityOf(certificate *x509.Certificate) (peering.Identity, error) {
	var found []peering.Identity
	for _, uri := range certificate.URIs {
		host := strings.TrimPrefix(uri.Path, "/")
		if uri.Scheme == uriScheme && uri.Host != "" && host != "" {
			found = append(found, peering.Identity{Host: state.HostName(host), Zone: state.AvailabilityZone(uri.Host)})
		}
	}
	if len(found) != 1 {
		return peering.Identity{}, errors.Wrapf(ErrNoIdentity, "subject %s", certificate.Subject)
	}
	return found[0], nil
}

// CredentialSource returns the keys in force. Its result is not changed afterwards.
type CredentialSource interface {
	Current() *Credentials
}

// Credentials is the certificate of a node and the authorities it trusts.
type Credentials struct {
	Certificate tls.Certificate
	Authorities *x509.CertPool
	// NotAfter is when the certificate expires.
	NotAfter time.Time
}

// Security is a peering.Security with TLS. New sessions use the keys in force
// at their handshake; open ones go on.
type Security struct {
	keys CredentialSource
}

// NewSecurity returns a Security that uses keys.
func NewSecurity(keys CredentialSource) *Security { return &Security{keys: keys} }

// Client makes the client's side of a TLS session.
func (s *Security) Client(ctx context.Context, conn net.Conn) (net.Conn, peering.Identity, error) {
	return finish(ctx, tls.Client(conn, s.config()))
}

// Server makes the server's side of a TLS session.
func (s *Security) Server(ctx context.Context, conn net.Conn) (net.Conn, peering.Identity, error) {
	return finish(ctx, tls.Server(conn, s.config()))
}

// config demands TLS 1.3 and a certificate from both sides. There are no
// session tickets, so that each session proves its identity anew and no
// handshake can be replayed.
func (s *Security) config() *tls.Config {
	material := s.keys.Current()
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{material.Certificate},
		ClientAuth:             tls.RequireAnyClientCert,
		SessionTicketsDisabled: true,
		// The name of a peer is in its URI and not in its address, so the
		// usual check of the name is replaced by verify.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verify(state.PeerCertificates, material.Authorities)
		},
	}
}

// verify checks the chain of a peer's certificate and its times.
func verify(chain []*x509.Certificate, authorities *x509.CertPool) error {
	if len(chain) == 0 {
		return errors.New("the peer has shown no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range chain[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots:         authorities,
		Intermediates: intermediates,
		CurrentTime:   time.Now(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	})
	if err != nil {
		return errors.Mark(errors.Wrap(err, "check the peer's certificate"), peering.ErrIdentityMismatch)
	}
	return nil
}

func finish(ctx context.Context, conn *tls.Conn) (net.Conn, peering.Identity, error) {
	if err := conn.HandshakeContext(ctx); err != nil {
		return nil, peering.Identity{}, errors.Wrap(err, "TLS handshake")
	}
	identity, err := identityOf(conn.ConnectionState().PeerCertificates[0])
	if err != nil {
		return nil, peering.Identity{}, errors.Mark(err, peering.ErrIdentityMismatch)
	}
	return conn, identity, nil
}
