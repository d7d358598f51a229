//go:build wireinject

package wasabiport

import (
	"github.com/google/wire"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wasabiport/wasabiport/coordination/control"
	"github.com/wasabiport/wasabiport/coordination/repeats"
	"github.com/wasabiport/wasabiport/transport/calllog"
	"github.com/wasabiport/wasabiport/transport/callstream"
	"github.com/wasabiport/wasabiport/transport/controlloop"
	"github.com/wasabiport/wasabiport/transport/entry"
	"github.com/wasabiport/wasabiport/transport/guard"
	"github.com/wasabiport/wasabiport/transport/metrics"
	"github.com/wasabiport/wasabiport/transport/peering"
)

var peerProviders = wire.NewSet(
	newNetwork,
	newPeerSecurity,
	wire.Bind(new(peering.Security), new(peerSecurity)),
	newHandshakeLimiter,
	newPeeringConfig,
	newPeerHandler,
	peering.NewMetrics,
	peering.NewPool,
	wire.Bind(new(peering.Handler), new(peerHandler)),
)

var providers = wire.NewSet(
	peerProviders,
	newIncarnation,
	newSnapshotStore,
	newRegistry,
	wire.Bind(new(prometheus.Registerer), new(*prometheus.Registry)),
	newPlane,
	newPicker,
	newSource,
	newGuardPolicies,
	newLogger,
	newGuard,
	metrics.NewLineLimiters,
	newCallObserver,
	newRetryBudget,
	repeats.NewTracker,
	newEntryPolicies,
	newEntry,
	newIntake,
	newIntakeObserver,
	newCallerServer,
	newNode,
	metrics.NewSourceReads,
	wire.Bind(new(controlloop.ReadObserver), new(*metrics.SourceReads)),
	controlloop.New,
	wire.Bind(new(entry.Hosts), new(*control.Plane)),
	wire.Bind(new(entry.Readiness), new(*control.Plane)),
	wire.Bind(new(guard.PeerNotifier), new(*controlloop.Loop)),
	wire.Bind(new(entry.Dialer), new(*peering.Pool)),
	wire.Bind(new(entry.Observer), new(*calllog.Observer)),
	wire.Bind(new(callstream.Handler), new(*guard.Guard)),
)

// assemble creates the components of a node and connects them.
func assemble(config Config) (*Node, error) {
	wire.Build(providers)
	return nil, nil
}
