// Package guard runs calls at the backend servers of its own host. It is the
// only one that opens connections to them.
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
	"github.com/wasabiport/wasabiport/coordination/keyowner"
	"github.com/wasabiport/wasabiport/coordination/quarantine"
	"github.com/wasabiport/wasabiport/coordination/retry"
	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/callstream"
	"github.com/wasabiport/wasabiport/transport/events"
	"github.com/wasabiport/wasabiport/transport/network"
)

// Guard admits calls to the backend servers of one host. Each backend server
// has a gate, which is a shard with its own lock.
type Guard struct {
	host      state.HostName
	back      BackendMapper
	network   network.Network
	snapshots *state.SnapshotStore
	decisions Policies
	others    PeerNotifier
	logger    logr.Logger
	// lines bounds the log lines on calls.
	lines   *events.LineLimiter
	gates   *state.ShardedMap[state.BackendServerName, *gate]
	leaving atomic.Bool
	// left is closed when the guard begins to leave.
	left chan struct{}

	// ctx ends with the guard.
	ctx    context.Context
	cancel context.CancelFunc
	// probes are the threads that look for crashes.
	probes sync.WaitGroup
}

// BackendMapper maps calls to HTTP requests to backend servers, and their answers back.
// Its methods are called by many threads.
type BackendMapper interface {
	// SetHeader sets the fields of a request that the system adds.
	SetHeader(header http.Header, head call.Head, remaining time.Duration)
	// Classify says what an answer means, from its status and header.
	Classify(head call.Head, response *http.Response) call.ResponseAssessment
}

// PeerNotifier reaches the other guards of the fleet.
type PeerNotifier interface {
	// NotifyGuards tells them of requests that may crash backend servers. It
	// does not block.
	NotifyGuards(notices []quarantine.Notice)
}

// Policies are the parts that decide on calls beside the admission.
type Policies struct {
	Records  *callrecord.Records
	Suspects *quarantine.Tracker
	// KeyOwnership is what Records knows the owners of keys from.
	KeyOwners *keyowner.History
	// ConfirmCrashes says that a backend server that has crashed refuses
	// connections for a while, so that a lost connection alone is no crash.
	ConfirmCrashes bool
}

// Logging is where a guard tells of its decisions.
type Logging struct {
	Logger logr.Logger
	// CallLineLimit bounds the lines on calls.
	CallLineLimit *events.LineLimiter
}

// New returns a guard for the backend servers of a host.
func New(
	host state.HostName,
	back BackendMapper,
	snapshots *state.SnapshotStore,
	decisions Policies,
	others PeerNotifier,
	network network.Network,
	log Logging,
) *Guard {
	ctx, cancel := context.WithCancel(context.Background())
	return &Guard{
		host:      host,
		back:      back,
		network:   network,
		snapshots: snapshots,
		decisions: decisions,
		others:    others,
		logger:    log.Logger,
		lines:     log.CallLineLimit,
		gates:     state.NewShardedMap[state.BackendServerName, *gate](state.DefaultShardCount),
		left:      make(chan struct{}),
		ctx:       ctx,
		cancel:    cancel,
	}
}

// Handle runs one call and returns the answer of the backend server, or a
// refusal that says whether the call may have run.
func (g *Guard) Handle(ctx context.Context, head call.Head, body io.Reader) (*callstream.Reply, *state.Refusal) {
	came := time.Now()
	load := g.Load(head.BackendServer)
	reply, refusal := g.handle(ctx, head, body)
	if refusal != nil {
		g.logRefused(came, head, load, refusal)
	}
	return reply, refusal
}

func (g *Guard) handle(ctx context.Context, head call.Head, body io.Reader) (*callstream.Reply, *state.Refusal) {
	gate, refusal := g.gate(head)
	if refusal != nil {
		return nil, refusal
	}
	if retry.RunsAtMostOnce(head) {
		return g.handleKeyed(ctx, gate, head, body)
	}
	return gate.handle(ctx, ctx, head, body, func() {})
}

// logRefused logs that a call was not answered.
func (g *Guard) logRefused(came time.Time, head call.Head, load call.LoadHint, refusal *state.Refusal) {
	now := time.Now()
	leftOut, ok := g.lines.Allow(now)
	if !ok {
		return
	}
	var wanted time.Duration
	if !head.SoftDeadline.IsZero() {
		wanted = head.SoftDeadline.Sub(came)
	}
	events.Log(g.logger, events.GuardRefused{
		Call:          head.ID,
		BackendServer: head.BackendServer,
		Class:         head.Class,
		Remaining:     head.Deadline.Sub(came).Round(time.Millisecond),
		Wanted:        wanted.Round(time.Millisecond),
		Duration:      now.Sub(came).Round(time.Microsecond),
		Outcome:       refusal.Outcome.String(),
		Reason:        refusal.Reason.String(),
		Detail:        refusal.Detail,
		Running:       load.Running,
		Waiting:       load.Waiting,
		Slots:         load.Slots,
		Suppressed:    leftOut,
	})
}

// Load returns the load hint of a backend server.
func (g *Guard) Load(server state.BackendServerName) call.LoadHint {
	gate, ok := g.gates.Get(server)
	if !ok {
		return call.LoadHint{BackendServer: server}
	}
	return gate.admission.Load()
}

// Occupancies returns what runs and waits at all backend servers that have had a
// call.
func (g *Guard) Occupancies() []admission.Occupancy {
	var occupancies []admission.Occupancy
	for _, gate := range g.allGates() {
		occupancies = append(occupancies, gate.admission.Occupancy())
	}
	return occupancies
}

func (g *Guard) allGates() []*gate {
	var gates []*gate
	g.gates.Range(func(_ state.BackendServerName, gate *gate) bool {
		gates = append(gates, gate)
		return true
	})
	return gates
}

// Drain refuses all waiting and new calls from now on. Calls that run finish.
func (g *Guard) Drain() {
	if !g.leaving.Swap(true) {
		close(g.left)
	}
	for _, gate := range g.allGates() {
		gate.admission.Drain(time.Now())
	}
}

// AwaitDrained waits after Leave until no call runs any more. It returns the
// context's error when ctx ends first.
func (g *Guard) AwaitDrained(ctx context.Context) error {
	for _, gate := range g.allGates() {
		select {
		case <-gate.admission.Drained():
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "finish the calls of %s", gate.server.Name)
		}
	}
	return nil
}

// Shutdown cuts the calls that run and closes the connections to the backend
// servers.
func (g *Guard) Shutdown() {
	g.Drain()
	g.cancel()
	for _, gate := range g.allGates() {
		gate.transport.CloseIdleConnections()
	}
	g.probes.Wait()
}
