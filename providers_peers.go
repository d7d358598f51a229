package wasabiport

import (
	"github.com/wasabiport/wasabiport/coordination/handshake"
	"github.com/wasabiport/wasabiport/transport/controlloop"
	"github.com/wasabiport/wasabiport/transport/guard"
	"github.com/wasabiport/wasabiport/transport/network"
	"github.com/wasabiport/wasabiport/transport/peering"
)

func newPeeringConfig(config Config, started incarnation) peering.Config {
	settings := peering.DefaultConfig()
	settings.Self = config.Self
	settings.Incarnation = uint64(started)
	settings.Seed = newRandom(config, randomOfPool).Uint64()
	settings.HandshakeTimeout = config.HandshakeTimeout
	settings.Redial.Base = config.RedialInterval
	settings.Logger = config.Logger
	return settings
}

func newSecurity(Config) peering.Security { return peering.Plaintext{} }

func newHandshakeLimiter(config Config) *handshake.Limiter {
	return handshake.NewLimiter(handshake.DefaultConfig(), newRandom(config, randomOfLimiter))
}

func newPeerHandler(loop *controlloop.Loop, guard *guard.Guard) peerHandler {
	return peerHandler{Loop: loop, guard: guard}
}

func newNetwork(config Config) network.Network { return config.Network }
