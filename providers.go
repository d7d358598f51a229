package wasabiport

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/wasabiport/wasabiport/coordination/callerlimit"
	"github.com/wasabiport/wasabiport/coordination/callrecord"
	"github.com/wasabiport/wasabiport/coordination/clientretry"
	"github.com/wasabiport/wasabiport/coordination/control"
	"github.com/wasabiport/wasabiport/coordination/keyowner"
	"github.com/wasabiport/wasabiport/coordination/picking"
	"github.com/wasabiport/wasabiport/coordination/quarantine"
	"github.com/wasabiport/wasabiport/coordination/retry"
	"github.com/wasabiport/wasabiport/protocol/httpmap"
	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/calllog"
	"github.com/wasabiport/wasabiport/transport/callstream"
	"github.com/wasabiport/wasabiport/transport/controlloop"
	"github.com/wasabiport/wasabiport/transport/entry"
	"github.com/wasabiport/wasabiport/transport/guard"
	"github.com/wasabiport/wasabiport/transport/metrics"
	"github.com/wasabiport/wasabiport/transport/operator"
	"github.com/wasabiport/wasabiport/transport/peering"
	"github.com/wasabiport/wasabiport/transport/source"
)

// snapshotShardCount is the number of shards of the snapshot store.
const snapshotShardCount = 16

// incarnation is the start time of the node in nanoseconds since 1970.
type incarnation uint64

func newIncarnation() incarnation { return incarnation(time.Now().UnixNano()) }

func newSnapshotStore() *state.SnapshotStore { return state.NewSnapshotStore(snapshotShardCount) }

func newRegistry(config Config) (*prometheus.Registry, error) {
	registry := prometheus.NewRegistry()
	if err := registry.Register(collectors.NewGoCollector()); err != nil {
		return nil, errors.Wrap(err, "register runtime metrics")
	}
	dropped := config.Adapter.DroppedLogLines
	if dropped == nil {
		dropped = func() int64 { return 0 }
	}
	if err := metrics.RegisterDroppedLines(registry, dropped); err != nil {
		return nil, err
	}
	return registry, nil
}

// newRandom returns a random source of its own for one part of the node, since
// a source must not be shared by threads.
func newRandom(config Config, part uint64) *rand.Rand {
	seed := config.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	return rand.New(rand.NewPCG(seed, part))
}

// Parts of the node that have a random source.
const (
	randomOfPlane uint64 = iota + 1
	randomOfPicker
	randomOfRetries
	randomOfPool
	randomOfLimiter
)

func newPlane(
	config Config,
	started incarnation,
	snapshots *state.SnapshotStore,
	decisions guard.Policies,
) *control.Plane {
	settings := control.Config{
		Suspects:            decisions.Suspects,
		Self:                config.Self,
		Incarnation:         uint64(started),
		OfferInterval:       config.OfferInterval,
		ExpectedHosts:       config.ExpectedHosts,
		SourceRetryInterval: config.SourceRetryInterval,
		SourceFallbackRate:  config.Adapter.SourceFallbackRate,
		FullStateSource:     config.Adapter.FullStateSource,

		MaxSourceRetryInterval: config.Adapter.MaxSourceRetryInterval,
		ReadersPerZone:         config.Adapter.ReadersPerZone,
		TicketWatchPause:       config.Adapter.TicketWatchPause,
		HostListWatchPause:     config.Adapter.HostListWatchPause,
	}
	return control.NewPlane(settings, snapshots, newRandom(config, randomOfPlane))
}

func newPicker(config Config, plane *control.Plane) *picking.Picker {
	settings := picking.Config{Zone: config.Self.Zone, Region: config.Self.Region, Regions: plane}
	return picking.NewPicker(settings, plane, newRandom(config, randomOfPicker))
}

func newSource(config Config) controlloop.Source {
	if config.Adapter.Source != nil {
		return config.Adapter.Source
	}
	return source.NewClient(config.PlatformURL, config.HTTPClient)
}

func newLogger(config Config) logr.Logger { return config.Logger }

// ownerMemory is how far back a guard knows which keys it had to answer for.
// It is longer than any record is kept.
const ownerMemory = 24 * time.Hour

func newGuardDecisions(config Config, started incarnation) guard.Policies {
	owners := keyowner.NewHistory(ownerMemory)
	settings := callrecord.Config{KeyOwnership: owners, Started: time.Unix(0, int64(started)), PropagationTime: config.KeySettle}
	return guard.Policies{
		Records:   callrecord.New(settings),
		Suspects:  quarantine.NewTracker(quarantine.Config{}),
		KeyOwners: owners,

		ConfirmCrashes: config.Adapter.ConfirmCrashes,
	}
}

func newGuard(
	config Config,
	snapshots *state.SnapshotStore,
	decisions guard.Policies,
	others guard.PeerNotifier,
	lines metrics.LineLimiters,
	logger logr.Logger,
) *guard.Guard {
	back := config.Adapter.BackendMapper
	if back == nil {
		back = httpmap.Back{}
	}
	return guard.New(config.Self.Name, back, snapshots, decisions, others, config.Network, guard.Logging{Logger: logger, CallLineLimit: lines.Guard})
}

func newCallObserver(
	registry *prometheus.Registry,
	guard *guard.Guard,
	plane *control.Plane,
	lines metrics.LineLimiters,
	logger logr.Logger,
) (*calllog.Observer, error) {
	if err := metrics.RegisterGates(registry, guard); err != nil {
		return nil, err
	}
	calls, err := metrics.NewCalls(registry)
	if err != nil {
		return nil, err
	}
	return calllog.New(calls, plane, lines.Calls, logger), nil
}

func newDecisions(config Config, picker *picking.Picker, plane *control.Plane) entry.Policies {
	settings := retry.BudgetConfig{Share: config.Adapter.RetryShare, Capacity: config.Adapter.RetrySlack}
	if config.Adapter.RetrySlack > 0 {
		settings.Nodes = plane.HostCount
	}
	budget := retry.NewBudget(settings)
	policy := retry.Config{ChargeReachedOnly: config.Adapter.RetrySlack > 0, GuardsDetectCrashes: config.Adapter.ConfirmCrashes}
	return entry.Policies{
		Picker:       picker,
		Retries:      retry.NewPolicy(policy, budget, newRandom(config, randomOfRetries)),
		Budget:       budget,
		CallerLimits: callerlimit.New(callerlimit.Config{}),

		ClientRetries: clientretry.NewTracker(clientretry.Config{}),
	}
}

func newEntry(
	config Config,
	decisions entry.Policies,
	snapshots *state.SnapshotStore,
	hosts entry.Hosts,
	readiness entry.Readiness,
	dialer entry.Dialer,
	local callstream.Handler,
	observer entry.Observer,
) *entry.Handler {
	settings := entry.Config{
		LocalHost:    config.Self.Name,
		MaxBodyBytes: config.MaxBodyBytes,
		StallTimeout: config.StallTimeout,
	}
	front := config.Adapter.CallerMapper
	if front == nil {
		front = httpmap.Front{MaxHeaderFields: config.MaxHeaderFields}
	}
	return entry.NewHandler(settings, front, decisions, snapshots, hosts, readiness, dialer, local, observer)
}

func newCallerServer(config Config, handler *entry.Handler) *entry.Server {
	settings := entry.ServerConfig{
		HeaderTimeout:            readHeaderTimeout,
		IdleTimeout:              callerIdleTimeout,
		MaxHeaderBytes:           config.MaxHeaderBytes,
		MaxConnectionsPerAddress: config.MaxConnectionsPerAddress,
	}
	return entry.NewServer(settings, handler)
}

func newNode(
	config Config,
	snapshots *state.SnapshotStore,
	plane *control.Plane,
	guard *guard.Guard,
	loop *controlloop.Loop,
	pool *peering.Pool,
	security peerSecurity,
	handler *entry.Handler,
	callers *entry.Server,
	registry *prometheus.Registry,
	decisions entry.Policies,
) (*Node, error) {
	if err := metrics.RegisterDistribution(registry, plane); err != nil {
		return nil, err
	}
	if err := metrics.RegisterRetryBudget(registry, decisions.Budget); err != nil {
		return nil, err
	}
	node := &Node{
		config:    config,
		snapshots: snapshots,
		plane:     plane,
		guard:     guard,
		loop:      loop,
		pool:      pool,
		keyFiles:  security.files,
		registry:  registry,
		entry:     handler,
		callers:   callers,
	}
	node.operators = &http.Server{
		Handler:           operator.NewHandler(config.Self, node, registry),
		ReadHeaderTimeout: readHeaderTimeout,
	}
	return node, nil
}
