// Package peering keeps sessions to other nodes. A session is one connection
// with many streams; each lane between two nodes has a session of its own.
package peering

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"

	"github.com/wasabiport/wasabiport/coordination/control"
	"github.com/wasabiport/wasabiport/protocol/handshake"
	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/network"
)

// Config holds the settings of a Pool.
type Config struct {
	Self state.Host
	// Incarnation is the start time of the node in nanoseconds since 1970.
	Incarnation uint64
	// HandshakeTimeout bounds the time for a session's handshake.
	HandshakeTimeout time.Duration
	// RedialInterval is the time between two tries to reach a wanted peer.
	RedialInterval time.Duration
}

// Handler takes what arrives from peers. Its methods are called by many
// threads.
type Handler interface {
	// Receive takes a control message.
	Receive(from state.HostName, message control.Message)
	// Connected tells that messages to a peer can be sent.
	Connected(host state.HostName)
	// Disconnected tells that messages to a peer can't be sent any more.
	Disconnected(host state.HostName)
	// ServeCall handles the call of a stream, which it closes.
	ServeCall(ctx context.Context, stream net.Conn)
}

// ErrNotConnected means that there is no session to a peer.
var ErrNotConnected = errors.New("no session to the peer")

// Pool holds the sessions of a node, in shards by peer and lane.
type Pool struct {
	config   Config
	network  network.Network
	handler  Handler
	sessions *state.ShardedMap[sessionKey, *session]
	dialing  *state.ShardedMap[sessionKey, *dial]

	ctx     context.Context
	cancel  context.CancelFunc
	threads sync.WaitGroup
}

type sessionKey struct {
	host state.HostName
	lane handshake.Lane
}

// dial is one try to open a session that several threads may wait for.
type dial struct {
	done    chan struct{}
	session *session
	err     error
}

// NewPool returns a pool without sessions.
func NewPool(config Config, network network.Network, handler Handler) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{
		config:   config,
		network:  network,
		handler:  handler,
		sessions: state.NewShardedMap[sessionKey, *session](state.DefaultShardCount),
		dialing:  state.NewShardedMap[sessionKey, *dial](state.DefaultShardCount),
		ctx:      ctx,
		cancel:   cancel,
	}
}

// Send queues a control message to a peer. It returns ErrNotConnected when
// there is no session, and ErrQueueFull when the peer does not keep up.
func (p *Pool) Send(to state.HostName, message control.Message) error {
	session, ok := p.sessions.Get(sessionKey{host: to, lane: handshake.LaneControl})
	if !ok {
		return errors.Wrapf(ErrNotConnected, "send to %s", to)
	}
	return session.enqueue(message)
}

// OpenCall opens a stream for a call to a peer, over the session of the lane
// or over a new one.
func (p *Pool) OpenCall(ctx context.Context, host state.Host, lane handshake.Lane) (net.Conn, error) {
	session, err := p.session(ctx, host, lane)
	if err != nil {
		return nil, err
	}
	stream, err := session.mux.OpenStream()
	if err != nil {
		return nil, errors.Wrapf(err, "open a call to %s", host.Name)
	}
	return stream, nil
}

// Keep holds a control session to a host until ctx ends: it dials again when
// the session is lost.
func (p *Pool) Keep(ctx context.Context, host state.Host) {
	for ctx.Err() == nil {
		session, err := p.session(ctx, host, handshake.LaneControl)
		if err == nil {
			select {
			case <-session.mux.CloseChan():
			case <-ctx.Done():
				return
			}
		}
		if !sleep(ctx, p.config.RedialInterval) {
			return
		}
	}
}

// Shutdown closes all sessions and waits until all threads have ended.
func (p *Pool) Shutdown() {
	p.cancel()
	p.threads.Wait()
}

// session returns the session to a peer, dialing at most once at a time.
func (p *Pool) session(ctx context.Context, host state.Host, lane handshake.Lane) (*session, error) {
	key := sessionKey{host: host.Name, lane: lane}
	if session, ok := p.sessions.Get(key); ok {
		return session, nil
	}
	mine := false
	var current *dial
	p.dialing.Update(key, func(running *dial, present bool) (*dial, bool) {
		if !present {
			running = &dial{done: make(chan struct{})}
			mine = true
		}
		current = running
		return running, true
	})
	if mine {
		p.threads.Go(func() {
			current.session, current.err = p.dial(host, lane)
			p.dialing.Delete(key)
			close(current.done)
		})
	}
	select {
	case <-current.done:
		return current.session, current.err
	case <-ctx.Done():
		return nil, errors.Wrapf(ctx.Err(), "reach %s", host.Name)
	}
}

func (p *Pool) dial(host state.Host, lane handshake.Lane) (*session, error) {
	ctx, cancel := context.WithTimeout(p.ctx, p.config.HandshakeTimeout)
	defer cancel()
	conn, err := p.network.Dial(ctx, host.PeerAddress)
	if err != nil {
		return nil, errors.Wrapf(err, "reach %s", host.Name)
	}
	session, err := p.openSession(conn, host.Name, lane)
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrapf(err, "open a session to %s", host.Name)
	}
	return session, nil
}

func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// muxConfig returns the settings of the multiplexer.
func muxConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = true
	config.KeepAliveInterval = keepAliveInterval
	config.ConnectionWriteTimeout = writeTimeout
	config.LogOutput = discard{}
	return config
}

// Settings of the multiplexer.
const (
	keepAliveInterval = 10 * time.Second
	writeTimeout      = 10 * time.Second
)

// discard drops the multiplexer's own log: what matters reaches the node as
// errors.
type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }
