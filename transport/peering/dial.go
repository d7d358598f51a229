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

// dial is one try to open a session that several threads may wait for.
type dial struct {
	done    chan struct{}
	session *session
	err     error
}

// MaintainSession holds a control session to a host until ctx ends: it dials again when
// the session is lost. It then closes the session if this node has opened it.
func (p *Pool) MaintainSession(ctx context.Context, host state.Host) {
	random := rand.New(rand.NewPCG(p.config.Seed, xxhash.Sum64String(string(host.Name))))
	failures := 0
	for ctx.Err() == nil {
		start := time.Now()
		err := p.hold(ctx, host)
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

// hold opens a control session and waits until it is lost or ctx ends.
func (p *Pool) hold(ctx context.Context, host state.Host) error {
	session, err := p.session(ctx, host, handshake.LaneControl)
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

// session returns the session to a peer, dialing at most once at a time.
func (p *Pool) session(ctx context.Context, host state.Host, lane handshake.Lane) (*session, error) {
	key := sessionKey{host: host.Name, lane: lane}
	if session, ok := p.sessions.Get(key); ok {
		if session.usable(p.config, host.PeerAddress) {
			return session, nil
		}
		if session.address != "" && session.address != host.PeerAddress {
			// The host has moved: what answers at its old address is not it.
			p.remove(session)
		}
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
		dialed := func() {
			p.dialing.Delete(key)
			close(current.done)
		}
		running := p.threads.Go(func() {
			defer dialed()
			current.session, current.err = p.dial(host, lane)
		})
		if !running {
			current.err = errors.Wrapf(ErrNotConnected, "reach %s from a node that shuts down", host.Name)
			dialed()
		}
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
	session, err := p.openSession(ctx, conn, host, lane)
	if err != nil {
		_ = conn.Close()
		p.noteHandshake(host.Name, host.PeerAddress, err)
		return nil, errors.Wrapf(err, "open a session to %s", host.Name)
	}
	return session, nil
}

// openSession makes the dialing side of a session: the hello travels before
// the multiplexer starts.
func (p *Pool) openSession(ctx context.Context, conn net.Conn, host state.Host, lane handshake.Lane) (*session, error) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	secured, proved, err := p.security.Client(ctx, conn)
	if err != nil {
		return nil, err
	}
	if err := handshake.Send(secured, p.hello(lane)); err != nil {
		return nil, err
	}
	reader := newHelloReader(secured)
	peer, err := handshake.Receive(reader)
	if err != nil {
		return nil, err
	}
	if err := checkIdentity(peer, proved); err != nil {
		return nil, err
	}
	if peer.Host != host.Name {
		return nil, errors.Wrapf(ErrIdentityMismatch, "the peer is %q, want %q", peer.Host, host.Name)
	}
	link := link{conn: &helloConn{Conn: secured, hello: reader}, peer: peer, dialer: p.config.Self.Name, address: host.PeerAddress}
	return p.startSession(ctx, link)
}

func (p *Pool) hello(lane handshake.Lane) handshake.Hello {
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
