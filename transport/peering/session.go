package peering

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiport/wasabiport/protocol/handshake"
	"github.com/wasabiport/wasabiport/state"
)

// peerConn is a connection whose handshake is complete.
type peerConn struct {
	conn net.Conn
	peer handshake.Hello
	// dialer is the host that opened the connection.
	dialer state.HostName
	// address is the address that this node dialed; empty for an accepted
	// connection.
	address string
}

// session is a multiplexed connection to a peer.
type session struct {
	peerConn
	key     sessionKey
	mux     *mux
	opener  *opener
	control *stream
	queue   chan queueEntry

	// calls counts the open call streams of both sides; lastUse is the Unix
	// time in nanoseconds at which a call last began or ended.
	calls     atomic.Int64
	lastUse   atomic.Int64
	closeOnce sync.Once
	// onClose is called exactly once, when the session is closed.
	onClose func()
}

func (s *session) dialedBy(host state.HostName) bool { return s.dialer == host }

// usable reports whether calls or messages to a host at an address may use the
// session. A session dialed by the peer is not used for a new call after half
// of the idle timeout, because the peer may close it while the call starts.
func (s *session) usable(config Config, address string) bool {
	if s.mux.IsClosed() || s.address != "" && s.address != address {
		return false
	}
	return s.key.lane == handshake.LaneControl || s.dialedBy(config.Self.Name) ||
		s.calls.Load() > 0 || s.idleTime() < config.IdleTimeout/2
}

func (s *session) idleTime() time.Duration { return time.Since(time.Unix(0, s.lastUse.Load())) }

func (s *session) recordUse() { s.lastUse.Store(time.Now().UnixNano()) }

func (s *session) close() {
	s.closeOnce.Do(func() {
		_ = s.mux.Close()
		s.onClose()
	})
}

// replaces reports whether the session replaces an existing one to the same
// peer. When both nodes dial at the same time, both keep the session dialed by
// the host with the smaller name.
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

// startSession starts the multiplexer and the goroutines of a session. It
// returns the session in use between the two nodes, which may be an existing
// one.
func (p *Pool) startSession(ctx context.Context, peerConn peerConn) (*session, error) {
	dialed := peerConn.address != ""
	mux, err := startMux(peerConn.conn, peerConn.peer.Lane, dialed)
	if err != nil {
		return nil, errors.Wrap(err, "start multiplexer")
	}
	session := &session{peerConn: peerConn, key: sessionKey{host: peerConn.peer.Host, lane: peerConn.peer.Lane}, mux: mux, opener: newOpener(mux.open)}
	session.recordUse()
	p.track(session, dialed)
	if session.key.lane == handshake.LaneControl {
		return p.startControl(ctx, session, dialed)
	}
	// Open calls of a replaced session continue; it is closed once idle.
	p.sessions.Set(session.key, session)
	p.goroutines.Go(func() { p.serveCalls(session) })
	return session, nil
}

// track counts a session in the metrics until it is closed, and closes it when
// the pool shuts down.
func (p *Pool) track(session *session, dialed bool) {
	p.metrics.handshakes.WithLabelValues(resultOpened).Inc()
	p.metrics.sessions.Inc()
	if !dialed {
		p.acceptedSessions.Add(1)
	}
	stop := context.AfterFunc(p.ctx, session.close)
	session.onClose = func() {
		stop()
		p.metrics.sessions.Dec()
		if !dialed {
			p.acceptedSessions.Add(-1)
		}
	}
}

// remove deletes a session from the pool and closes it. A session to the same
// peer that has replaced it stays.
func (p *Pool) remove(ended *session) {
	p.forget(ended)
	ended.close()
}

// removeInBackground is remove for callers that must not wait until a secured
// connection is closed.
func (p *Pool) removeInBackground(ended *session) {
	p.forget(ended)
	if !p.goroutines.Go(ended.close) {
		ended.close()
	}
}

func (p *Pool) forget(ended *session) {
	p.sessions.Update(ended.key, func(current *session, present bool) (*session, bool) {
		return current, present && current != ended
	})
}
