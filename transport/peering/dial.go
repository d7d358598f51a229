package peering

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/wasabiport/wasabiport/protocol/handshake"
	"github.com/wasabiport/wasabiport/state"
)

// dial is an attempt to open a session. Several goroutines may wait for the
// result.
type dial struct {
	done    chan struct{}
	session *session
	err     error
}

// MaintainSession keeps a control session to a host open until ctx ends. When
// the session is lost, it redials with backoff, or after the delay that a
// refusing peer asks for. When ctx ends, it closes the session if this node
// dialed it.
func (p *Pool) MaintainSession(ctx context.Context, host state.Host) {
	random := rand.New(rand.NewPCG(p.config.Seed, xxhash.Sum64String(string(host.Name))))
	failures := 0
	for ctx.Err() == nil {
		start := time.Now()
		err := p.holdSession(ctx, host)
		if err == nil && time.Since(start) >= stableTime {
			failures = 0
		}
		failures++
		delay := p.config.RedialBackoff.Delay(failures, random)
		var refused *handshake.RefusedError
		if errors.As(err, &refused) && refused.RetryAfter > 0 {
			delay = refused.RetryAfter
		}
		if !sleep(ctx, delay) {
			return
		}
	}
}

// holdSession opens a control session and waits until it is closed or ctx ends.
func (p *Pool) holdSession(ctx context.Context, host state.Host) error {
	session, err := p.getOrDialSession(ctx, host, handshake.LaneControl)
	if err != nil {
		return err
	}
	select {
	case <-session.mux.CloseChan():
	case <-ctx.Done():
		if session.dialedBy(p.config.Self.Name) {
			session.close()
		}
	}
	return nil
}

// getOrDialSession returns the session to a peer, dialing if there is none.
// Concurrent calls share one attempt.
func (p *Pool) getOrDialSession(ctx context.Context, host state.Host, lane handshake.Lane) (*session, error) {
	key := sessionKey{host: host.Name, lane: lane}
	if session, ok := p.sessions.Get(key); ok {
		if session.usable(p.config, host.PeerAddress) {
			return session, nil
		}
		if session.address != "" && session.address != host.PeerAddress {
			// The host has a new address; whatever answers at the old one is
			// a different host.
			p.removeInBackground(session)
		}
	}
	owner := false
	var current *dial
	p.dialing.Update(key, func(running *dial, present bool) (*dial, bool) {
		if !present {
			running = &dial{done: make(chan struct{})}
			owner = true
		}
		current = running
		return running, true
	})
	if owner {
		dialed := func() {
			p.dialing.Delete(key)
			close(current.done)
		}
		running := p.goroutines.Go(func() {
			defer dialed()
			current.session, current.err = p.dial(host, lane)
		})
		if !running {
			current.err = errors.Wrapf(ErrNotConnected, "dial %s during shutdown", host.Name)
			dialed()
		}
	}
	select {
	case <-current.done:
		return current.session, current.err
	case <-ctx.Done():
		return nil, errors.Wrapf(ctx.Err(), "dial %s", host.Name)
	}
}

func (p *Pool) dial(host state.Host, lane handshake.Lane) (*session, error) {
	ctx, cancel := context.WithTimeout(p.ctx, p.config.HandshakeTimeout)
	defer cancel()
	conn, err := p.network.Dial(ctx, host.PeerAddress)
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", host.Name)
	}
	session, err := p.openSession(ctx, conn, host, lane)
	if err != nil {
		_ = conn.Close()
		p.recordHandshakeFailure(host.Name, host.PeerAddress, err)
		return nil, errors.Wrapf(err, "open session to %s", host.Name)
	}
	return session, nil
}

// openSession runs the dialing side of the handshake and starts the session.
// The hellos are exchanged before the multiplexer starts.
func (p *Pool) openSession(ctx context.Context, conn net.Conn, host state.Host, lane handshake.Lane) (*session, error) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	secured, authenticated, err := p.security.Client(ctx, conn)
	if err != nil {
		return nil, err
	}
	if err := handshake.Send(secured, p.localHello(lane)); err != nil {
		return nil, err
	}
	reader := newHelloReader(secured)
	peer, err := handshake.Receive(reader)
	if err != nil {
		return nil, err
	}
	if err := checkIdentity(peer, authenticated); err != nil {
		return nil, err
	}
	if peer.Host != host.Name {
		return nil, errors.Wrapf(ErrIdentityMismatch, "connected to host %q, want %q", peer.Host, host.Name)
	}
	peerConn := peerConn{conn: &helloConn{Conn: secured, hello: reader, below: conn}, peer: peer, dialer: p.config.Self.Name, address: host.PeerAddress}
	return p.startSession(ctx, peerConn)
}

func (p *Pool) localHello(lane handshake.Lane) handshake.Hello {
	return handshake.Hello{
		Host:        p.config.Self.Name,
		Zone:        p.config.Self.Zone,
		Incarnation: p.config.Incarnation,
		Lane:        lane,
	}
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
