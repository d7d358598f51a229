package wasabiport

import (
	"github.com/cockroachdb/errors"

	"github.com/wasabiport/wasabiport/coordination/handshake"
	"github.com/wasabiport/wasabiport/transport/controlloop"
	"github.com/wasabiport/wasabiport/transport/guard"
	"github.com/wasabiport/wasabiport/transport/network"
	"github.com/wasabiport/wasabiport/transport/peering"
	"github.com/wasabiport/wasabiport/transport/tlsidentity"
)

func newPeeringConfig(config Config, started incarnation) peering.Config {
	settings := peering.DefaultConfig()
	settings.Self = config.Self
	settings.Incarnation = uint64(started)
	settings.Seed = newRandom(config, poolStream).Uint64()
	settings.HandshakeTimeout = config.HandshakeTimeout
	settings.RedialBackoff.Base = config.RedialInterval
	settings.Logger = config.Logger
	return settings
}

// peerSecurity is the security of sessions between nodes, and the credential files
// that it is loaded from. files is nil for plaintext.
type peerSecurity struct {
	peering.Security
	files *tlsidentity.CredentialFiles
}

// ErrNoCredentials means that the configuration names no credential files and does
// not allow plaintext.
var ErrNoCredentials = errors.New("no certificate for sessions between nodes is set, and plaintext is not enabled")

func newPeerSecurity(config Config) (peerSecurity, error) {
	if config.Plaintext {
		return peerSecurity{Security: peering.Plaintext{}}, nil
	}
	if config.CertificateFile == "" {
		return peerSecurity{}, ErrNoCredentials
	}
	keys := tlsidentity.Config{
		CertificateFile: config.CertificateFile,
		KeyFile:         config.KeyFile,
		AuthorityFile:   config.AuthorityFile,
		Logger:          config.Logger,
	}
	files, err := tlsidentity.Load(keys, config.Self)
	if err != nil {
		return peerSecurity{}, errors.Wrap(err, "load the keys")
	}
	return peerSecurity{Security: tlsidentity.NewSecurity(files), files: files}, nil
}

func newHandshakeLimiter(config Config) *handshake.Limiter {
	return handshake.NewLimiter(handshake.DefaultConfig(), newRandom(config, limiterStream))
}

func newPeerHandler(loop *controlloop.Loop, guard *guard.Guard) peerHandler {
	return peerHandler{Loop: loop, guard: guard}
}

func newNetwork(config Config) network.Network { return config.Network }
