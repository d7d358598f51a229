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

// Config holds the paths of a node's PEM files and the settings for reloading
// them.
type Config struct {
	// CertificateFile, KeyFile and AuthorityFile are the paths of the node's
	// certificate chain, its private key and the certificates of the trusted
	// authorities.
	CertificateFile string
	KeyFile         string
	AuthorityFile   string
	// CheckInterval is the interval at which the files are checked for
	// changes. A shorter one applies new keys sooner. Default 30 s.
	CheckInterval time.Duration
	// WarnBefore is how long before the expiry of its certificate the node
	// starts to log warnings. Default 7 days.
	WarnBefore time.Duration
	// Logger receives the events.
	Logger logr.Logger
}

// Defaults of Config.
const (
	defaultCheckInterval = 30 * time.Second
	defaultWarnBefore    = 7 * 24 * time.Hour
	// warnInterval is the interval between expiry warnings.
	warnInterval = 24 * time.Hour
)

// CredentialFiles loads credentials from files and reloads them when the files
// change. Current may be called concurrently with Watch.
type CredentialFiles struct {
	config   Config
	self     peering.Identity
	current  atomic.Pointer[Credentials]
	modified [3]time.Time
	warnedAt time.Time
}

// Load reads the files. It fails unless the certificate names the host self and
// its availability zone.
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
	credentials, err := files.read()
	if err != nil {
		return nil, err
	}
	files.modified = modified
	files.current.Store(credentials)
	return files, nil
}

// Current returns the latest valid credentials.
func (f *CredentialFiles) Current() *Credentials { return f.current.Load() }

// Watch reloads changed files and logs expiry warnings until ctx ends. When the
// changed files are invalid, the previous credentials stay in use.
func (f *CredentialFiles) Watch(ctx context.Context) {
	ticker := time.NewTicker(f.config.CheckInterval)
	defer ticker.Stop()
	for {
		f.warnExpiry(time.Now())
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
	var credentials *Credentials
	if err == nil {
		f.modified = modified
		credentials, err = f.read()
	}
	if err != nil {
		events.Log(f.config.Logger, events.KeysRejected{Error: err})
		return
	}
	f.current.Store(credentials)
	f.warnedAt = time.Time{}
	events.Log(f.config.Logger, events.KeysReloaded{NotAfter: credentials.NotAfter})
}

func (f *CredentialFiles) warnExpiry(now time.Time) {
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
			return times, errors.Wrap(err, "stat key file")
		}
		times[i] = info.ModTime()
	}
	return times, nil
}

func (f *CredentialFiles) read() (*Credentials, error) {
	certificate, err := tls.LoadX509KeyPair(f.config.CertificateFile, f.config.KeyFile)
	if err != nil {
		return nil, errors.Wrap(err, "load certificate")
	}
	authorities := x509.NewCertPool()
	pem, err := os.ReadFile(f.config.AuthorityFile)
	if err != nil {
		return nil, errors.Wrap(err, "read trusted authorities")
	}
	if !authorities.AppendCertsFromPEM(pem) {
		return nil, errors.Newf("%s contains no certificate", f.config.AuthorityFile)
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
