// Package tlsidentity secures connections between nodes with mutual TLS 1.3. The
// certificate of a node holds its availability zone and host name in a URI, such
// as wasabiport://north/north-1.
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

// uriScheme is the scheme of host URIs.
const uriScheme = "wasabiport"

// ErrNoIdentity is returned for a certificate that does not hold exactly one
// host URI.
var ErrNoIdentity = errors.New("the certificate does not name exactly one host")

// HostURI returns the URI that identifies a host and its availability zone in a
// certificate.
func HostURI(zone state.AvailabilityZone, host state.HostName) *url.URL {
	return &url.URL{Scheme: uriScheme, Host: string(zone), Path: "/" + string(host)}
}

// identityOf returns the identity in a certificate's host URI.
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

// CredentialSource provides the current credentials. Callers must not modify the
// result.
type CredentialSource interface {
	Current() *Credentials
}

// Credentials holds the certificate of a node and the authorities it trusts.
type Credentials struct {
	Certificate tls.Certificate
	Authorities *x509.CertPool
	// NotAfter is when the certificate expires.
	NotAfter time.Time
}

// Security implements peering.Security with TLS. Each handshake uses the
// credentials current at that time; reloading does not affect open sessions.
type Security struct {
	source CredentialSource
}

// NewSecurity returns a Security that uses the current credentials of source.
func NewSecurity(source CredentialSource) *Security { return &Security{source: source} }

// Client runs the client side of a TLS handshake.
func (s *Security) Client(ctx context.Context, conn net.Conn) (net.Conn, peering.Identity, error) {
	return completeHandshake(ctx, tls.Client(conn, s.config()))
}

// Server runs the server side of a TLS handshake.
func (s *Security) Server(ctx context.Context, conn net.Conn) (net.Conn, peering.Identity, error) {
	return completeHandshake(ctx, tls.Server(conn, s.config()))
}

// config requires TLS 1.3 and a certificate from both sides. Session tickets are
// disabled so that every session authenticates in full and no handshake can be
// replayed.
func (s *Security) config() *tls.Config {
	credentials := s.source.Current()
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{credentials.Certificate},
		ClientAuth:             tls.RequireAnyClientCert,
		SessionTicketsDisabled: true,
		// A peer is identified by the URI in its certificate, not by its
		// address, so verify replaces the default host name check.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verify(state.PeerCertificates, credentials.Authorities)
		},
	}
}

// verify checks the certificate chain of a peer and its validity period.
func verify(chain []*x509.Certificate, authorities *x509.CertPool) error {
	if len(chain) == 0 {
		return errors.New("peer presented no certificate")
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
		return errors.Mark(errors.Wrap(err, "verify peer certificate"), peering.ErrIdentityMismatch)
	}
	return nil
}

func completeHandshake(ctx context.Context, conn *tls.Conn) (net.Conn, peering.Identity, error) {
	if err := conn.HandshakeContext(ctx); err != nil {
		return nil, peering.Identity{}, errors.Wrap(err, "TLS handshake")
	}
	identity, err := identityOf(conn.ConnectionState().PeerCertificates[0])
	if err != nil {
		return nil, peering.Identity{}, errors.Mark(err, peering.ErrIdentityMismatch)
	}
	return conn, identity, nil
}
