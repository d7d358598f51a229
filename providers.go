package wasabiport

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/wasabiport/wasabiport/coordination/admission"
	"github.com/wasabiport/wasabiport/coordination/callerlimit"
	"github.com/wasabiport/wasabiport/coordination/callrecord"
	"github.com/wasabiport/wasabiport/coordination/clientretry"
	"github.com/wasabiport/wasabiport/coordination/control"
	"github.com/wasabiport/wasabiport/coordination/intake"
	"github.com/wasabiport/wasabiport/coordination/keyowner"
	"github.com/wasabiport/wasabiport/coordination/latebinding"
	"github.com/wasabiport/wasabiport/coordination/picking"
	"github.com/wasabiport/wasabiport/coordination/quarantine"
	"github.com/wasabiport/wasabiport/coordination/repeats"
	"github.com/wasabiport/wasabiport/coordination/retry"
	"github.com/wasabiport/wasabiport/protocol/httpmap"
	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/boundedserver"
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
	if err := metrics.RegisterDroppedLines(registry, countOrZero(config.Adapter.DroppedLogLines)); err != nil {
		return nil, err
	}
	if err := metrics.RegisterIgnoredValues(registry, countOrZero(config.Adapter.IgnoredValues)); err != nil {
		return nil, err
	}
	return registry, nil
}

// countOrZero returns count, or a function that returns 0 if count is nil.
func countOrZero(count func() int64) func() int64 {
	if count == nil {
		return func() int64 { return 0 }
	}
	return count
}

// newRandom returns the random number generator of one component. Each component
// has its own, as a generator is not safe for concurrent use.
func newRandom(config Config, stream uint64) *rand.Rand {
	seed := config.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	return rand.New(rand.NewPCG(seed, stream))
}

// Streams of random numbers, one for each component that needs a generator.
const (
	planeStream uint64 = iota + 1
	pickerStream
	retryStream
	poolStream
	limiterStream
)

func newPlane(
	config Config,
	started incarnation,
	snapshots *state.SnapshotStore,
	policies guard.Policies,
) *control.Plane {
	settings := control.Config{
		Suspects:            policies.Suspects,
		Self:                config.Self,
		Incarnation:         uint64(started),
		OfferInterval:       config.OfferInterval,
		ExpectedHosts:       config.ExpectedHosts,
		SourceRetryInterval: config.SourceRetryInterval,
		SourceFallbackRate:  config.Adapter.SourceFallbackRate,
		FullStateSource:     config.Adapter.FullStateSource,

		MaxSourceRetryInterval: config.Adapter.MaxSourceRetryInterval,
		TicketWatchPause:       config.Adapter.TicketWatchPause,
		HostListWatchPause:     config.Adapter.HostListWatchPause,

		HostListFallbackAfter:    config.Adapter.HostListFallbackAfter,
		HostListFallbackSpread:   config.Adapter.HostListFallbackSpread,
		FallbackRetryInterval:    config.Adapter.FallbackRetryInterval,
		MaxFallbackRetryInterval: config.Adapter.MaxFallbackRetryInterval,
	}
	return control.NewPlane(settings, snapshots, newRandom(config, planeStream))
}

func newPicker(config Config, plane *control.Plane) *picking.Picker {
	settings := picking.Config{Host: config.Self.Name, Zone: config.Self.Zone, Region: config.Self.Region, Regions: plane}
	return picking.NewPicker(settings, plane, newRandom(config, pickerStream))
}

func newSource(config Config) controlloop.Source {
	if config.Adapter.Source != nil {
		return config.Adapter.Source
	}
	return source.NewClient(config.PlatformURL, config.HTTPClient, config.Logger)
}

func newLogger(config Config) logr.Logger { return config.Logger }

// keyOwnerRetention is the time for which a guard keeps the history of its key
// ownership. It is longer than the retention time of any call record.
const keyOwnerRetention = 24 * time.Hour

func newGuardPolicies(config Config, started incarnation) guard.Policies {
	ownership := keyowner.NewHistory(keyOwnerRetention)
	settings := callrecord.Config{KeyOwnership: ownership, Started: time.Unix(0, int64(started)), PropagationTime: config.KeySettle}
	return guard.Policies{
		Records:   callrecord.New(settings),
		Suspects:  quarantine.NewTracker(quarantine.Config{}),
		KeyOwners: ownership,
		Link:      admission.NewLink(float64(config.LinkBytesPerSecond)),

		ConfirmCrashes: config.Adapter.ConfirmCrashes,
	}
}

func newGuard(
	config Config,
	snapshots *state.SnapshotStore,
	policies guard.Policies,
	repeats *repeats.Tracker,
	notifier guard.PeerNotifier,
	limiters metrics.LineLimiters,
	logger logr.Logger,
) *guard.Guard {
	mapper := config.Adapter.BackendMapper
	if mapper == nil {
		mapper = httpmap.BackendMapper{}
	}
	policies.Repeats = repeats
	return guard.New(config.Self.Name, mapper, snapshots, policies, notifier, config.Network, guard.Logging{
		Logger: logger, CallLineLimit: limiters.Guard, ReportLineLimit: limiters.Reports,
	})
}

func newCallObserver(
	registry *prometheus.Registry,
	guard *guard.Guard,
	plane *control.Plane,
	limiters metrics.LineLimiters,
	logger logr.Logger,
) (*calllog.Observer, error) {
	if err := metrics.RegisterGates(registry, guard); err != nil {
		return nil, err
	}
	if err := metrics.RegisterLink(registry, guard); err != nil {
		return nil, err
	}
	calls, err := metrics.NewCalls(registry)
	if err != nil {
		return nil, err
	}
	return calllog.New(calls, plane, limiters.Calls, logger), nil
}

func newRetryBudget(config Config, plane *control.Plane) *retry.Budget {
	settings := retry.BudgetConfig{Share: config.Adapter.RetryShare, Capacity: config.Adapter.RetrySlack}
	if config.Adapter.RetrySlack > 0 {
		settings.Nodes = plane.HostCount
	}
	return retry.NewBudget(settings)
}

func newEntryPolicies(
	config Config,
	picker *picking.Picker,
	budget *retry.Budget,
	repeats *repeats.Tracker,
) entry.Policies {
	policy := retry.Config{ChargeReachedOnly: config.Adapter.RetrySlack > 0, GuardsDetectCrashes: config.Adapter.ConfirmCrashes}
	return entry.Policies{
		Picker:       picker,
		Retries:      retry.NewPolicy(policy, budget, newRandom(config, retryStream)),
		LateBinding:  latebinding.NewPolicy(latebinding.Config{}),
		Budget:       budget,
		Repeats:      repeats,
		CallerLimits: callerlimit.New(callerlimit.Config{}),

		ClientRetries: clientretry.NewTracker(clientretry.Config{}),
	}
}

func newEntry(
	config Config,
	policies entry.Policies,
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
	mapper := config.Adapter.CallerMapper
	if mapper == nil {
		mapper = httpmap.CallerMapper{MaxHeaderFields: config.MaxHeaderFields}
	}
	return entry.NewHandler(settings, mapper, policies, snapshots, hosts, readiness, dialer, local, observer)
}

// newIntake returns the bounds on the connections of callers.
func newIntake(config Config, registry *prometheus.Registry) (*intake.Tracker, error) {
	tracker := intake.NewTracker(intake.ConfigFor(config.MemoryBytes, config.Descriptors))
	return tracker, metrics.RegisterIntake(registry, tracker)
}

func newIntakeObserver(limiters metrics.LineLimiters, logger logr.Logger) *calllog.IntakeObserver {
	return calllog.NewIntakeObserver(limiters.Intake, logger)
}

// limitsInForce returns the limits of the configuration, and those of the node for what
// it does not set.
func limitsInForce(config Config, snapshots *state.SnapshotStore) func() state.RequestLimits {
	defaults := state.RequestLimits{
		MaxHeaderBytes: config.MaxHeaderBytes,
		MaxBodyBytes:   config.MaxBodyBytes,
		HeaderTimeout:  readHeaderTimeout,
		IdleTimeout:    callerIdleTimeout,
	}
	return func() state.RequestLimits {
		limits := snapshots.Load().Limits().Or(defaults)
		limits.MaxHeaderBytes = min(limits.MaxHeaderBytes, defaults.MaxHeaderBytes)
		return limits
	}
}

func newCallerServer(
	config Config,
	snapshots *state.SnapshotStore,
	tracker *intake.Tracker,
	observer *calllog.IntakeObserver,
	handler *entry.Handler,
) *entry.Server {
	settings := entry.ServerConfig{
		Limits:                   limitsInForce(config, snapshots),
		Intake:                   tracker,
		Observer:                 observer,
		StallTimeout:             config.StallTimeout,
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
	limiters metrics.LineLimiters,
	policies entry.Policies,
) (*Node, error) {
	if err := metrics.RegisterDistribution(registry, plane); err != nil {
		return nil, err
	}
	if err := metrics.RegisterRetryBudget(registry, policies.Budget, policies.Repeats); err != nil {
		return nil, err
	}
	if err := metrics.RegisterLeaving(registry, handler, guard); err != nil {
		return nil, err
	}
	if err := metrics.RegisterPipelinedCalls(registry, callers.PipelinedCalls); err != nil {
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
		limiters:  limiters,
	}
	node.operators = boundedserver.New(operator.NewHandler(config.Self, node, registry))
	return node, nil
}
