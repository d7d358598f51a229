package tlsidentity

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiport/wasabiport/state"
)

// serialBits is the size of a certificate's random serial number in bits.
const serialBits = 120

// Authority is a certificate authority for tests and trials. Its private key is
// held only in memory.
type Authority struct {
	certificate *x509.Certificate
	key         crypto.Signer
}

// KeyPair is a certificate and its private key, PEM-encoded.
type KeyPair struct {
	Certificate []byte
	Key         []byte
}

// NewAuthority returns an authority whose certificate is valid from now for the
// given time.
func NewAuthority(now time.Time, validity time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate authority key")
	}
	template, err := newTemplate("wasabiport test authority", now, validity)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	raw, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, errors.Wrap(err, "create authority certificate")
	}
	certificate, err := x509.ParseCertificate(raw)
	return &Authority{certificate: certificate, key: key}, errors.Wrap(err, "parse authority certificate")
}

// Certificate returns the authority's certificate, PEM-encoded.
func (a *Authority) Certificate() []byte { return encodePEM("CERTIFICATE", a.certificate.Raw) }

// Issue returns a key pair for a host whose certificate is valid from now for
// the given time.
func (a *Authority) Issue(host state.Host, now time.Time, validity time.Duration) (KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, errors.Wrap(err, "generate host key")
	}
	template, err := newTemplate(string(host.Name), now, validity)
	if err != nil {
		return KeyPair{}, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.URIs = []*url.URL{HostURI(host.Zone, host.Name)}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		return KeyPair{}, errors.Wrap(err, "create host certificate")
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyPair{}, errors.Wrap(err, "encode host key")
	}
	return KeyPair{Certificate: encodePEM("CERTIFICATE", raw), Key: encodePEM("PRIVATE KEY", encoded)}, nil
}

func newTemplate(name string, now time.Time, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "generate serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now,
		NotAfter:     now.Add(validity),
	}, nil
}

func encodePEM(kind string, raw []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw})
}
