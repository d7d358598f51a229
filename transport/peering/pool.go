// Package peering keeps sessions to other nodes. A session is one connection
// with many streams; each lane between two nodes has a session of its own.
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

// Handler takes what arrives from peers. Its methods are called by many
// threads.
type Handler interface {
	// Receive takes a control message.
	Receive(from state.HostName, message control.Message)
	// Connected tells that messages to a peer can be sent over one more
	// session.
	Connected(host state.HostName)
	// Disconnected tells that one session to a peer has ended.
	Disconnected(host state.HostName)
	// ServeCall handles the call of a stream, which it closes.
	ServeCall(ctx context.Context, stream net.Conn)
}

// Pool holds the sessions of a node, in shards by peer and lane.
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
	// handshaking counts the running handshakes by IP address.
	handshaking *state.ShardedMap[string, int]
	handshakes  atomic.Int64
	accepted    atomic.Int64

	ctx     context.Context
	cancel  context.CancelFunc
	threads threadGroup
}

type sessionKey struct {
	host state.HostName
	lane handshake.Lane
}

// NewPool returns a pool without sessions.
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
		config:      config,
		network:     network,
		security:    security,
		handler:     handler,
		limiter:     limiter,
		metrics:     metrics,
		sessions:    state.NewShardedMap[sessionKey, *session](state.DefaultShardCount),
		dialing:     state.NewShardedMap[sessionKey, *dial](state.DefaultShardCount),
		handshaking: state.NewShardedMap[string, int](state.DefaultShardCount),
		ctx:         ctx,
		cancel:      cancel,
	}
}

// Send queues a control message to a peer. It returns ErrNotConnected when
// there is no session, and ErrQueueFull when the peer does not keep up.
func (p *Pool) Send(to state.HostName, message control.Message) error {
	session, ok := p.sessions.Get(sessionKey{host: to, lane: handshake.LaneControl})
	if !ok {
		return errors.Wrapf(ErrNotConnected, "send to %s", to)
	}
	if !session.enqueue(outgoing{message: message}) {
		p.metrics.dropped.Inc()
		return errors.Wrapf(ErrQueueFull, "send to %s", to)
	}
	return nil
}

// Flush waits until the control messages that are queued have been written,
// or ctx ends. It does not wait for peers whose queue is full.
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
		if !session.enqueue(outgoing{written: written}) {
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

// OpenCall opens a stream for a call to a peer, over the session of the lane
// or over a new one.
func (p *Pool) OpenCall(ctx context.Context, host state.Host, lane handshake.Lane) (net.Conn, error) {
	session, err := p.session(ctx, host, lane)
	if err != nil {
		return nil, err
	}
	stream, err := session.openCall()
	if err == nil {
		return stream, nil
	}
	// The session has ended since it was found.
	p.remove(session)
	if session, err = p.session(ctx, host, lane); err != nil {
		return nil, err
	}
	stream, err = session.openCall()
	return stream, errors.Wrapf(err, "open a call to %s", host.Name)
}

// Shutdown closes all sessions and waits until all threads have ended.
func (p *Pool) Shutdown() {
	p.cancel()
	p.threads.Close()
}
