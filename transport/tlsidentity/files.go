package tlsidentity

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/events"
	"github.com/wasabiport/wasabiport/transport/peering"
)

// Config names the key files of a node. They hold PEM.
type Config struct {
	// CertificateFile, KeyFile and AuthorityFile hold the node's
	// certificate with its chain, its private key and the certificates of
	// the trusted authorities.
	CertificateFile string
	KeyFile         string
	AuthorityFile   string
	// CheckInterval is the time between two looks for changed files. A
	// shorter one takes new keys into use sooner. Default 30 s.
	CheckInterval time.Duration
	// WarnBefore is how long before its certificate expires the node logs
	// it. Default 7 days.
	WarnBefore time.Duration
	// Logger takes the events.
	Logger logr.Logger
}

// Defaults of Config.
const (
	defaultCheckInterval = 30 * time.Second
	defaultWarnBefore    = 7 * 24 * time.Hour
	// warnInterval is the time between two warnings.
	warnInterval = 24 * time.Hour
)

// CredentialFiles holds the keys in files and loads them again when they change. It is
// safe for use by many threads.
type CredentialFiles struct {
	config   Config
	self     peering.Identity
	current  atomic.Pointer[Credentials]
	modified [3]time.Time
	warnedAt time.Time
}

// Load reads the files. The certificate has to name the host self.
func Load(config Config, self state.Host) (*CredentialFiles, error) {
	if config.CheckInterval == 0 {
		config.CheckInterval = defaultCheckInterval
	}
	if config.WarnBefore == 0 {
		config.WarnBefore = defaultWarnBefore
	}
	files := &CredentialFiles{config: config, self: peering.Identity{Host: self.Name, Zone: self.Zone}}
	modified, err := files.modificationTimes()
	if err != nil {
		return nil, err
	}
	material, err := files.read()
	if err != nil {
		return nil, err
	}
	files.modified = modified
	files.current.Store(material)
	return files, nil
}

// Current returns the keys in force.
func (f *CredentialFiles) Current() *Credentials { return f.current.Load() }

// Watch looks for changed files until ctx ends. CredentialFiles that can't be used leave
// the earlier keys in force.
func (f *CredentialFiles) Watch(ctx context.Context) {
	ticker := time.NewTicker(f.config.CheckInterval)
	defer ticker.Stop()
	for {
		f.warn(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f.reload()
		}
	}
}

func (f *CredentialFiles) reload() {
	modified, err := f.modificationTimes()
	if err == nil && modified == f.modified {
		return
	}
	var material *Credentials
	if err == nil {
		f.modified = modified
		material, err = f.read()
	}
	if err != nil {
		events.Log(f.config.Logger, events.KeysRejected{Error: err})
		return
	}
	f.current.Store(material)
	f.warnedAt = time.Time{}
	events.Log(f.config.Logger, events.KeysReloaded{NotAfter: material.NotAfter})
}

func (f *CredentialFiles) warn(now time.Time) {
	notAfter := f.Current().NotAfter
	if now.Add(f.config.WarnBefore).Before(notAfter) || now.Sub(f.warnedAt) < warnInterval {
		return
	}
	f.warnedAt = now
	events.Log(f.config.Logger, events.KeysExpire{NotAfter: notAfter})
}

func (f *CredentialFiles) modificationTimes() ([3]time.Time, error) {
	var times [3]time.Time
	for i, name := range []string{f.config.CertificateFile, f.config.KeyFile, f.config.AuthorityFile} {
		info, err := os.Stat(name)
		if err != nil {
			return times, errors.Wrap(err, "look at key file")
		}
		times[i] = info.ModTime()
	}
	return times, nil
}

func (f *CredentialFiles) read() (*Credentials, error) {
	certificate, err := tls.LoadX509KeyPair(f.config.CertificateFile, f.config.KeyFile)
	if err != nil {
		return nil, errors.Wrap(err, "read the certificate")
	}
	authorities := x509.NewCertPool()
	pem, err := os.ReadFile(f.config.AuthorityFile)
	if err != nil {
		return nil, errors.Wrap(err, "read the authorities")
	}
	if !authorities.AppendCertsFromPEM(pem) {
		return nil, errors.Newf("%s holds no certificate", f.config.AuthorityFile)
	}
	identity, err := identityOf(certificate.Leaf)
	if err != nil {
		return nil, err
	}
	if identity != f.self {
		return nil, errors.Newf("the certificate names %s in %s, but this node is %s in %s",
			identity.Host, identity.Zone, f.self.Host, f.self.Zone)
	}
	return &Credentials{Certificate: certificate, Authorities: authorities, NotAfter: certificate.Leaf.NotAfter}, nil
}
