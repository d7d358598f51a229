// Package wasabiport is a configuration distribution system for a service
// mesh as a library. A Node is the one process that runs in the slot of each
// backend server host: it accepts callers' requests, guards the backend
// servers of its host, and takes part in the distribution of tickets.
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
	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/callstream"
	"github.com/wasabiport/wasabiport/transport/controlloop"
	"github.com/wasabiport/wasabiport/transport/entry"
	"github.com/wasabiport/wasabiport/transport/guard"
	"github.com/wasabiport/wasabiport/transport/peering"
	"github.com/wasabiport/wasabiport/transport/tlsidentity"
)

// ErrNotReady means that the node does not answer callers yet.
var ErrNotReady = errors.New("not ready for callers")

// ErrLeaving means that the node takes no new work.
var ErrLeaving = errors.New("the node is leaving")

// callerIdleTimeout is how long a caller's connection without a call is kept.
const callerIdleTimeout = 2 * time.Minute

// readHeaderTimeout bounds the time in which a caller sends its headers.
const readHeaderTimeout = 5 * time.Second

// flushTimeout bounds the time in which a leaving node tells its peers.
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
	// stop ends the threads that follow keys and configuration.
	stop      context.CancelFunc
	registry  *prometheus.Registry
	entry     *entry.Handler
	callers   *entry.Server
	operators *http.Server
	listeners listeners
	leaving   atomic.Bool
	threads   sync.WaitGroup
}

type listeners struct {
	peers     net.Listener
	callers   net.Listener
	operators net.Listener
}

// Create listens on the node's addresses and starts the node. It returns an
// error, and leaves nothing behind, when an address can't be had.
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

// Version returns how far the node has come.
func (n *Node) Version() control.Version { return n.plane.Version() }

// Snapshot returns the configuration in force.
func (n *Node) Snapshot() *state.Snapshot { return n.snapshots.Load() }

// AwaitTicket waits until a ticket is judged, and in force if it was accepted.
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

// Leave ends the node gracefully: it reports itself not ready, so that callers
// turn away, and its guard goes on for the leave delay, so that no slots stand
// idle for longer than they must. Then it tells its peers, finishes the calls
// that run, its peers' and its callers', and closes everything. When half of
// the time to the deadline of ctx is over, it withdraws its callers' calls that
// still wait. When ctx ends first it cuts what is left and returns the context's
// error.
func (n *Node) Leave(ctx context.Context) error {
	n.leaving.Store(true)
	n.entry.Drain(ctx)
	n.awaitLeaveDelay(ctx)
	n.loop.Leave()
	n.guard.Drain()
	flushCtx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	// What can't be announced in time is found out by silence.
	_ = n.pool.Flush(flushCtx)
	n.awaitLastRuns(ctx)
	err := n.callers.Shutdown(ctx)
	err = errors.CombineErrors(err, n.guard.AwaitDrained(ctx))
	n.Shutdown()
	return errors.Wrap(err, "finish calls")
}

// lastRunsShare is the share of the time left in which a leaving node still
// accepts the calls that the last runs of its backend servers make.
const lastRunsShare = 0.5

// awaitLastRuns waits until the guard has no call, as backend servers may call
// others through this node while they run one.
func (n *Node) awaitLastRuns(ctx context.Context) {
	if deadline, bounded := ctx.Deadline(); bounded {
		left := time.Duration(lastRunsShare * float64(time.Until(deadline)))
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, left)
		defer cancel()
	}
	// Calls that take longer are waited for once the callers' listener is closed.
	_ = n.guard.AwaitDrained(ctx)
}

// awaitLeaveDelay waits while callers and peers turn to other nodes.
func (n *Node) awaitLeaveDelay(ctx context.Context) {
	timer := time.NewTimer(n.config.LeaveDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Shutdown ends the node at once and cuts the calls that run.
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

// peerHandler passes what arrives from peers to the node's parts.
type peerHandler struct {
	*controlloop.Loop
	guard *guard.Guard
}

// ServeCall handles the call of a stream.
func (h peerHandler) ServeCall(ctx context.Context, stream net.Conn) {
	// A stream that is lost has told its entry node so already.
	_ = callstream.Serve(ctx, stream, h.guard)
}
