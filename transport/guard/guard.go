// Package guard runs calls at the backend servers of the local host. Guards are
// the only components that open connections to backend servers.
package guard

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/wasabiport/wasabiport/coordination/admission"
	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/coordination/callrecord"
	"github.com/wasabiport/wasabiport/coordination/drain"
	"github.com/wasabiport/wasabiport/coordination/keyowner"
	"github.com/wasabiport/wasabiport/coordination/quarantine"
	"github.com/wasabiport/wasabiport/coordination/repeats"
	"github.com/wasabiport/wasabiport/coordination/retry"
	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/callstream"
	"github.com/wasabiport/wasabiport/transport/events"
	"github.com/wasabiport/wasabiport/transport/network"
)

// Guard admits and runs the calls to the backend servers of one host. Each
// backend server has a gate, which is a shard with its own lock.
type Guard struct {
	host      state.HostName
	mapper    BackendMapper
	network   network.Network
	snapshots *state.SnapshotStore
	policies  Policies
	notifier  PeerNotifier
	logger    logr.Logger
	// lineLimiter bounds the log lines on refused calls.
	lineLimiter *events.LineLimiter
	// reportLimiter bounds the log lines on rate limits.
	reportLimiter *events.LineLimiter
	gates         *state.ShardedMap[state.BackendServerName, *gate]
	draining      atomic.Bool
	// peerCalls counts the calls of other nodes.
	peerCalls *drain.PeerCalls
	// leaving is nil until Leave is called.
	leaving atomic.Pointer[drain.Record]
	// drainStarted is closed when Drain is first called.
	drainStarted chan struct{}

	// ctx ends on Shutdown.
	ctx    context.Context
	cancel context.CancelFunc
	// probes waits for the goroutines of crash probes.
	probes sync.WaitGroup
	health *healthChecks
	// started is when the guard was created, with its node.
	started time.Time
}

// BackendMapper maps calls to HTTP requests to backend servers, and assesses
// their responses. Its methods must be safe for concurrent use.
type BackendMapper interface {
	// SetHeader adds the header fields that the system sets on a request.
	SetHeader(header http.Header, head call.Head, remaining time.Duration)
	// Classify determines the meaning of a response from its status and header.
	Classify(head call.Head, response *http.Response) call.ResponseAssessment
	// SetHealthHeader adds the header fields that the system sets on a health check.
	SetHealthHeader(header http.Header, server state.BackendServerName)
	// Health returns what a response to a health check says. It returns false if it does
	// not come from the backend server, or says nothing that can be used.
	Health(response *http.Response) (call.ServerHealth, bool)
}

// PeerNotifier sends messages to the other guards of the fleet.
type PeerNotifier interface {
	// NotifyGuards reports requests that may crash backend servers to all other
	// guards. It must not block.
	NotifyGuards(notices []quarantine.Notice)
}

// Policies are the components of package coordination that a Guard consults,
// apart from admission.
type Policies struct {
	Records  *callrecord.Records
	Suspects *quarantine.Tracker
	// KeyOwners is the source from which Records obtains the owners of
	// idempotency keys.
	KeyOwners *keyowner.History
	// Repeats records the runs in progress, and admits repeats.
	Repeats *repeats.Tracker
	// Link is the link of the host, or nil if it is not limited.
	Link *admission.Link
	// ConfirmCrashes is set if a crashed backend server refuses connections for
	// a while. A lost connection then counts as a crash only if the backend
	// server also accepts no new one.
	ConfirmCrashes bool
}

// Logging holds the logger of a guard and its limit.
type Logging struct {
	Logger logr.Logger
	// CallLineLimit bounds the log lines on refused calls.
	CallLineLimit *events.LineLimiter
	// ReportLineLimit bounds the log lines on rate limits.
	ReportLineLimit *events.LineLimiter
}

// New returns a guard for the backend servers of a host.
func New(
	host state.HostName,
	mapper BackendMapper,
	snapshots *state.SnapshotStore,
	policies Policies,
	notifier PeerNotifier,
	network network.Network,
	logging Logging,
) *Guard {
	ctx, cancel := context.WithCancel(context.Background())
	gates := state.NewShardedMap[state.BackendServerName, *gate](state.DefaultShardCount)
	return &Guard{
		host:          host,
		mapper:        mapper,
		network:       network,
		snapshots:     snapshots,
		policies:      policies,
		notifier:      notifier,
		logger:        logging.Logger,
		lineLimiter:   logging.CallLineLimit,
		reportLimiter: logging.ReportLineLimit,
		gates:         gates,
		peerCalls:     new(drain.PeerCalls),
		drainStarted:  make(chan struct{}),
		ctx:           ctx,
		cancel:        cancel,
		health:        &healthChecks{ctx: ctx, gates: gates},
		started:       time.Now(),
	}
}

// Handle runs one call and returns the reply of the backend server, or a
// refusal that states whether the call may have run.
func (g *Guard) Handle(ctx context.Context, head call.Head, body io.Reader) (*callstream.Reply, *state.Refusal) {
	arrivedAt := time.Now()
	load := g.Load(head.BackendServer)
	reply, refusal := g.handle(ctx, head, body)
	if refusal != nil && refusal.Reason != state.RefusedBusy {
		g.logRefused(arrivedAt, head, load, refusal)
	}
	return reply, refusal
}

func (g *Guard) handle(ctx context.Context, head call.Head, body io.Reader) (*callstream.Reply, *state.Refusal) {
	gate, refusal := g.lookupGate(head)
	if refusal != nil {
		return nil, refusal
	}
	if retry.RunsAtMostOnce(head) {
		return g.handleKeyed(ctx, gate, head, body)
	}
	if refusal := g.admitPeerCall(head, body); refusal != nil {
		return nil, refusal
	}
	return gate.handle(ctx, ctx, head, body, func() {})
}

// logRefused logs a refused call, within the limit on log lines. A call that this node
// has broken off is always logged.
func (g *Guard) logRefused(arrivedAt time.Time, head call.Head, load call.LoadHint, refusal *state.Refusal) {
	now := time.Now()
	arrived, ended, brokenOff := g.leavingTimes(arrivedAt, now, head, refusal)
	suppressed, ok := g.allowLine(now, brokenOff)
	if !ok {
		return
	}
	var untilSoftDeadline time.Duration
	if !head.SoftDeadline.IsZero() {
		untilSoftDeadline = head.SoftDeadline.Sub(arrivedAt)
	}
	events.Log(g.logger, events.GuardRefused{
		Call:              head.ID,
		BackendServer:     head.BackendServer,
		Class:             head.Class,
		Remaining:         head.Deadline.Sub(arrivedAt).Round(time.Millisecond),
		UntilSoftDeadline: untilSoftDeadline.Round(time.Millisecond),
		Duration:          now.Sub(arrivedAt).Round(time.Microsecond),
		Outcome:           refusal.Outcome.String(),
		Reason:            refusal.Reason.String(),
		Detail:            refusal.Detail,
		Running:           load.Running,
		Waiting:           load.Waiting,
		Slots:             load.Slots,
		Suppressed:        suppressed,
		LeavingArrived:    arrived,
		LeavingEnded:      ended,
		BrokenOff:         brokenOff,
	})
}

func (g *Guard) allowLine(now time.Time, brokenOff bool) (suppressed int64, ok bool) {
	if brokenOff {
		return g.lineLimiter.Force(), true
	}
	return g.lineLimiter.Allow(now)
}

// Load returns the load hint of a backend server.
func (g *Guard) Load(server state.BackendServerName) call.LoadHint {
	gate, ok := g.gates.Get(server)
	if !ok {
		return call.LoadHint{BackendServer: server}
	}
	return gate.admission.Load()
}

// Occupancies returns the numbers of running and waiting calls of all backend
// servers that have received a call.
func (g *Guard) Occupancies() []admission.Occupancy {
	var occupancies []admission.Occupancy
	for _, gate := range g.allGates() {
		occupancies = append(occupancies, gate.admission.Occupancy())
	}
	return occupancies
}

// LinkUse returns the use of the link of the host, or false if it is not limited.
func (g *Guard) LinkUse(now time.Time) (use admission.LinkUse, limited bool) {
	if g.policies.Link == nil {
		return admission.LinkUse{}, false
	}
	return g.policies.Link.Use(now), true
}

func (g *Guard) allGates() []*gate {
	var gates []*gate
	g.gates.Range(func(_ state.BackendServerName, gate *gate) bool {
		gates = append(gates, gate)
		return true
	})
	return gates
}

// Drain refuses all waiting and new calls from now on. Running calls finish.
func (g *Guard) Drain() {
	first := !g.draining.Swap(true)
	if first {
		close(g.drainStarted)
	}
	for _, gate := range g.allGates() {
		gate.admission.Drain(time.Now())
	}
	if first {
		g.peerCalls.Drain()
	}
}

// AwaitDrained waits after Drain until no call is running. If ctx ends first,
// it returns the error of ctx.
func (g *Guard) AwaitDrained(ctx context.Context) error {
	for _, gate := range g.allGates() {
		select {
		case <-gate.admission.Drained():
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "wait for the running calls of %s", gate.server.Name)
		}
	}
	return nil
}

// Shutdown aborts the running calls and closes the idle connections to the
// backend servers.
func (g *Guard) Shutdown() {
	g.Drain()
	g.cancel()
	for _, gate := range g.allGates() {
		gate.transport.CloseIdleConnections()
	}
	g.probes.Wait()
	g.health.close()
}
