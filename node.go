// Package wasabiport is a configuration distribution system for a service mesh as a
// library. One Node runs on each host of backend servers: it accepts the requests of
// callers, guards the backend servers of its host, and takes part in the distribution
// of tickets.
package wasabiport

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wasabiport/wasabiport/coordination/control"
	"github.com/wasabiport/wasabiport/coordination/drain"
	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/callstream"
	"github.com/wasabiport/wasabiport/transport/controlloop"
	"github.com/wasabiport/wasabiport/transport/entry"
	"github.com/wasabiport/wasabiport/transport/guard"
	"github.com/wasabiport/wasabiport/transport/metrics"
	"github.com/wasabiport/wasabiport/transport/peering"
	"github.com/wasabiport/wasabiport/transport/tlsidentity"
)

// ErrNotReady means that the node does not serve callers yet.
var ErrNotReady = errors.New("not ready for callers")

// ErrLeaving means that the node is shutting down gracefully and accepts no new
// work.
var ErrLeaving = errors.New("the node is leaving")

// callerIdleTimeout is the time after which an idle connection of a caller is
// closed, unless the configuration sets another one.
const callerIdleTimeout = 2 * time.Minute

// readHeaderTimeout is the time limit for reading the headers of a request, unless the
// configuration sets another one.
const readHeaderTimeout = 5 * time.Second

// flushTimeout is the time limit for a leaving node's last messages to its peers.
const flushTimeout = 300 * time.Millisecond

// Node is one node of the fleet.
type Node struct {
	config    Config
	snapshots *state.SnapshotStore
	plane     *control.Plane
	guard     *guard.Guard
	loop      *controlloop.Loop
	pool      *peering.Pool
	keyFiles  *tlsidentity.CredentialFiles
	// stop ends the goroutines that watch the key files and the configuration.
	stop      context.CancelFunc
	registry  *prometheus.Registry
	entry     *entry.Handler
	callers   *entry.Server
	operators *http.Server
	listeners listeners
	limiters  metrics.LineLimiters
	leaving   atomic.Bool
	threads   sync.WaitGroup
}

type listeners struct {
	peers     net.Listener
	callers   net.Listener
	operators net.Listener
}

// Create listens on the node's addresses and starts the node. When it can't listen
// on one of them, it closes the others and returns an error.
func Create(ctx context.Context, config Config) (*Node, error) {
	node, err := assemble(config)
	if err != nil {
		return nil, err
	}
	if err := node.listen(ctx); err != nil {
		return nil, err
	}
	node.start()
	return node, nil
}

func (n *Node) listen(ctx context.Context) error {
	var err error
	if n.listeners.peers, err = n.config.Network.Listen(ctx, n.config.Self.PeerAddress); err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	if n.listeners.callers, err = n.config.Network.Listen(ctx, n.config.CallerAddress); err != nil {
		_ = n.listeners.peers.Close()
		return errors.Wrap(err, "listen for callers")
	}
	if n.listeners.operators, err = n.config.Network.Listen(ctx, n.config.OperatorAddress); err != nil {
		_ = n.listeners.peers.Close()
		_ = n.listeners.callers.Close()
		return errors.Wrap(err, "listen for operators")
	}
	return nil
}

func (n *Node) start() {
	n.threads.Go(func() { _ = n.pool.Serve(n.listeners.peers) })
	n.threads.Go(func() { _ = n.callers.Serve(n.listeners.callers) })
	n.threads.Go(func() { _ = n.operators.Serve(n.listeners.operators) })
	n.threads.Go(n.guard.Watch)
	var ctx context.Context
	ctx, n.stop = context.WithCancel(context.Background())
	n.threads.Go(func() { n.entry.Watch(ctx) })
	if n.keyFiles != nil {
		n.threads.Go(func() { n.keyFiles.Watch(ctx) })
	}
	n.loop.Start(n.pool)
}

// CallerAddress returns the address on which the node listens for callers.
func (n *Node) CallerAddress() string { return n.listeners.callers.Addr().String() }

// OperatorAddress returns the address on which the node listens for operators.
func (n *Node) OperatorAddress() string { return n.listeners.operators.Addr().String() }

// Ready returns nil when the node serves callers.
func (n *Node) Ready() error {
	if n.leaving.Load() {
		return ErrLeaving
	}
	if ready, reason := n.plane.Ready(time.Now()); !ready {
		return errors.Wrap(ErrNotReady, reason)
	}
	return nil
}

// Version returns the numbers of the latest evaluated and the latest accepted
// ticket, and the digest of the configuration in force.
func (n *Node) Version() control.Version { return n.plane.Version() }

// Snapshot returns the configuration in force.
func (n *Node) Snapshot() *state.Snapshot { return n.snapshots.Load() }

// AwaitTicket waits until a ticket is evaluated, and in force if it was accepted.
// It returns the context's error when ctx ends first.
func (n *Node) AwaitTicket(ctx context.Context, number state.TicketNumber) error {
	for {
		snapshot, changed := n.snapshots.Watch()
		if snapshot.Evaluated() >= number {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "wait for ticket %d", number)
		}
	}
}

// Leave shuts the node down gracefully. It first reports that the node is not ready,
// so that callers use other nodes. Its guard continues to serve for the leave delay;
// otherwise the slots of its backend servers would be idle longer than needed. Then
// Leave notifies the peers, finishes the running calls of peers and callers, and
// closes all connections. When half of the time to the deadline of ctx has passed, it
// withdraws the calls of its callers that still wait for a slot. When ctx ends first,
// it aborts the remaining calls and returns the context's error. Leave logs its schedule
// at the beginning, and at the end what became of the calls.
func (n *Node) Leave(ctx context.Context) error {
	n.leaving.Store(true)
	record := n.entry.Drain(ctx)
	n.guard.Leave(record)
	n.logLeaving(ctx, record)
	n.awaitLeaveDelay(ctx, record)
	n.loop.Leave()
	n.guard.Drain()
	flushCtx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	// Peers that don't receive the message in time detect the missing heartbeats.
	_ = n.pool.Flush(flushCtx)
	n.awaitLastCalls(ctx)
	err := n.callers.Shutdown(ctx)
	err = errors.CombineErrors(err, n.guard.AwaitDrained(ctx))
	// Shutdown breaks off the calls that are counted as running.
	callers, peers := n.entry.LeavingCounts(), n.guard.PeerCallCounts()
	n.Shutdown()
	err = errors.Wrap(err, "finish calls")
	n.logStopped(record, callers, peers, err)
	return err
}

// lastCallsShare is the share of the remaining time for which a leaving node still
// accepts calls that its backend servers make while they run their last calls.
const lastCallsShare = 0.5

// awaitLastCalls waits until the guard has no calls. The callers' listener stays open
// until then, as a backend server may call others through this node while it runs a
// call.
func (n *Node) awaitLastCalls(ctx context.Context) {
	if deadline, bounded := ctx.Deadline(); bounded {
		remaining := time.Duration(lastCallsShare * float64(time.Until(deadline)))
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, remaining)
		defer cancel()
	}
	// Leave waits for longer calls after it has closed the callers' listener.
	_ = n.guard.AwaitDrained(ctx)
}

// awaitLeaveDelay gives callers and peers the time to switch to other nodes.
func (n *Node) awaitLeaveDelay(ctx context.Context, record *drain.Record) {
	timer := time.NewTimer(record.LeaveDelay(n.config.LeaveDelay))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Shutdown ends the node immediately and aborts the running calls.
func (n *Node) Shutdown() {
	_ = n.callers.Close()
	_ = n.operators.Close()
	_ = n.listeners.peers.Close()
	n.loop.Shutdown()
	n.guard.Shutdown()
	n.pool.Shutdown()
	n.stop()
	n.threads.Wait()
}

// peerHandler dispatches messages of peers to the control loop and their calls to
// the guard.
type peerHandler struct {
	*controlloop.Loop
	guard *guard.Guard
}

// ServeCall serves the call of a stream.
func (h peerHandler) ServeCall(ctx context.Context, stream net.Conn) {
	// The error is ignored: when the stream is lost, the entry node notices it
	// too.
	_ = callstream.Serve(ctx, stream, h.guard)
}
