// Package peering maintains multiplexed sessions to other nodes. A session is
// one connection with many streams; each lane between two nodes uses a session
// of its own.
package peering

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/wasabiport/wasabiport/coordination/control"
	limit "github.com/wasabiport/wasabiport/coordination/handshake"
	"github.com/wasabiport/wasabiport/protocol/handshake"
	"github.com/wasabiport/wasabiport/protocol/peerwire"
	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/network"
)

// Handler receives messages, session changes and calls from peers. Its methods
// are called concurrently.
type Handler interface {
	// Receive handles a control message.
	Receive(from state.HostName, message control.Message)
	// Connected is called when a control session to a peer has opened.
	Connected(host state.HostName)
	// Disconnected is called when a control session to a peer has ended.
	Disconnected(host state.HostName)
	// ServeCall handles the call on a stream and closes the stream.
	ServeCall(ctx context.Context, stream net.Conn)
}

// Pool holds the sessions of a node, sharded by peer and lane.
type Pool struct {
	config   Config
	network  network.Network
	security Security
	handler  Handler
	limiter  *limit.Limiter
	metrics  *Metrics
	encoder  peerwire.Encoder

	sessions *state.ShardedMap[sessionKey, *session]
	dialing  *state.ShardedMap[sessionKey, *dial]
	// handshakesByAddress counts the running handshakes by remote IP address.
	handshakesByAddress *state.ShardedMap[string, int]
	handshakes          atomic.Int64
	acceptedSessions    atomic.Int64

	ctx        context.Context
	cancel     context.CancelFunc
	goroutines goroutineGroup
}

type sessionKey struct {
	host state.HostName
	lane handshake.Lane
}

// NewPool returns a pool with no sessions.
func NewPool(
	config Config,
	network network.Network,
	security Security,
	handler Handler,
	limiter *limit.Limiter,
	metrics *Metrics,
) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{
		config:              config,
		network:             network,
		security:            security,
		handler:             handler,
		limiter:             limiter,
		metrics:             metrics,
		sessions:            state.NewShardedMap[sessionKey, *session](state.DefaultShardCount),
		dialing:             state.NewShardedMap[sessionKey, *dial](state.DefaultShardCount),
		handshakesByAddress: state.NewShardedMap[string, int](state.DefaultShardCount),
		ctx:                 ctx,
		cancel:              cancel,
	}
}

// Send queues a control message for a peer. It returns ErrNotConnected when
// there is no session, and ErrQueueFull when the peer's send queue is full.
func (p *Pool) Send(to state.HostName, message control.Message) error {
	session, ok := p.sessions.Get(sessionKey{host: to, lane: handshake.LaneControl})
	if !ok {
		return errors.Wrapf(ErrNotConnected, "send to %s", to)
	}
	if !session.enqueue(queueEntry{message: message}) {
		p.metrics.dropped.Inc()
		return errors.Wrapf(ErrQueueFull, "send to %s", to)
	}
	return nil
}

// Flush waits until the queued control messages are written or ctx ends. It
// does not wait for peers whose queue is full.
func (p *Pool) Flush(ctx context.Context) error {
	var sessions []*session
	p.sessions.Range(func(key sessionKey, session *session) bool {
		if key.lane == handshake.LaneControl {
			sessions = append(sessions, session)
		}
		return true
	})
	for _, session := range sessions {
		written := make(chan struct{})
		if !session.enqueue(queueEntry{written: written}) {
			continue
		}
		select {
		case <-written:
		case <-session.mux.CloseChan():
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "flush control messages")
		}
	}
	return nil
}

// OpenCall opens a stream for a call to a peer, over the existing session of
// the lane or a new one. It returns ErrUnresponsive if the peer accepts none, and
// never waits longer than ctx.
func (p *Pool) OpenCall(ctx context.Context, host state.Host, lane handshake.Lane) (net.Conn, error) {
	session, err := p.getOrDialSession(ctx, host, lane)
	if err != nil {
		return nil, err
	}
	stream, err := session.openCall(ctx)
	if err == nil || errors.Is(err, ErrUnresponsive) {
		return stream, err
	}
	// The session ended after the lookup: try once more with another one.
	p.removeInBackground(session)
	if session, err = p.getOrDialSession(ctx, host, lane); err != nil {
		return nil, err
	}
	stream, err = session.openCall(ctx)
	return stream, errors.Wrapf(err, "open call to %s", host.Name)
}

// Shutdown closes all sessions and waits for all goroutines to end.
func (p *Pool) Shutdown() {
	p.cancel()
	p.goroutines.Close()
}
