package peering

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"

	"github.com/wasabiport/wasabiport/protocol/handshake"
	"github.com/wasabiport/wasabiport/state"
)

// link is a connection whose handshake is over.
type link struct {
	conn net.Conn
	peer handshake.Hello
	// dialer is the host that has opened the connection.
	dialer state.HostName
	// address is where this node has dialed; empty when it has accepted.
	address string
}

// session is one connection to a peer.
type session struct {
	link
	key     sessionKey
	mux     *yamux.Session
	control net.Conn
	queue   chan outgoing

	// calls counts the open streams for calls of both sides; lastUse is the
	// time in Unix nanoseconds at which the latest began or ended.
	calls   atomic.Int64
	lastUse atomic.Int64
	once    sync.Once
	// released is called once when the session is closed.
	released func()
}

func (s *session) dialedBy(host state.HostName) bool { return s.dialer == host }

// usable reports whether a call or message to a host at an address may use
// the session. A session that the peer has opened is left alone once it is
// idle for half of the time after which the peer closes it, so that no call
// meets the end of its session.
func (s *session) usable(config Config, address string) bool {
	if s.mux.IsClosed() || s.address != "" && s.address != address {
		return false
	}
	return s.key.lane == handshake.LaneControl || s.dialedBy(config.Self.Name) ||
		s.calls.Load() > 0 || s.idleFor() < config.IdleTimeout/2
}

func (s *session) idleFor() time.Duration { return time.Since(time.Unix(0, s.lastUse.Load())) }

func (s *session) touch() { s.lastUse.Store(time.Now().UnixNano()) }

func (s *session) close() {
	s.once.Do(func() {
		_ = s.mux.Close()
		s.released()
	})
}

// replaces reports whether a session takes the place of an older one. When
// both nodes have dialed at the same time, both keep the session that the
// host with the smaller name has opened.
func (s *session) replaces(old *session) bool {
	switch {
	case old.mux.IsClosed():
		return true
	case s.peer.Incarnation != old.peer.Incarnation:
		return s.peer.Incarnation > old.peer.Incarnation
	case s.dialer == old.dialer:
		return true
	default:
		return s.dialer < old.dialer
	}
}

// startSession starts the multiplexer and the threads of a session. It returns
// the session that is in use between the two nodes, which may be another one.
func (p *Pool) startSession(ctx context.Context, link link) (*session, error) {
	dialed := link.address != ""
	mux, err := startMux(link.conn, link.peer.Lane, dialed)
	if err != nil {
		return nil, errors.Wrap(err, "start the multiplexer")
	}
	session := &session{link: link, key: sessionKey{host: link.peer.Host, lane: link.peer.Lane}, mux: mux}
	session.touch()
	p.track(session, dialed)
	if session.key.lane == handshake.LaneControl {
		return p.startControl(ctx, session, dialed)
	}
	// Calls that run over an earlier session go on; it ends when it is idle.
	p.sessions.Set(session.key, session)
	p.threads.Go(func() { p.serveCalls(session) })
	return session, nil
}

// track counts a session until it is closed, and closes it with the pool.
func (p *Pool) track(session *session, dialed bool) {
	p.metrics.handshakes.WithLabelValues(resultOpened).Inc()
	p.metrics.sessions.Inc()
	if !dialed {
		p.accepted.Add(1)
	}
	stop := context.AfterFunc(p.ctx, session.close)
	session.released = func() {
		stop()
		p.metrics.sessions.Dec()
		if !dialed {
			p.accepted.Add(-1)
		}
	}
}

// remove closes a session and forgets it, unless another one to the same peer
// has taken its place.
func (p *Pool) remove(ended *session) {
	ended.close()
	p.sessions.Update(ended.key, func(current *session, present bool) (*session, bool) {
		return current, present && current != ended
	})
}
