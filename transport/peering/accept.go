package peering

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiport/wasabiport/protocol/frame"
	"github.com/wasabiport/wasabiport/protocol/handshake"
	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/events"
)

// Serve accepts connections from peers until the listener is closed, and runs
// each handshake on a goroutine of its own.
func (p *Pool) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return errors.Wrap(err, "accept peer connection")
		}
		address := remoteIP(conn)
		if !p.beginHandshake(address) {
			p.metrics.handshakes.WithLabelValues(resultFlood).Inc()
			_ = conn.Close()
			continue
		}
		running := p.goroutines.Go(func() {
			err := p.acceptSession(conn)
			p.endHandshake(address)
			if err != nil {
				_ = conn.Close()
				p.recordHandshakeFailure("", address, err)
			}
		})
		if !running {
			p.endHandshake(address)
			_ = conn.Close()
		}
	}
}

func remoteIP(conn net.Conn) string {
	address := conn.RemoteAddr().String()
	if host, _, err := net.SplitHostPort(address); err == nil {
		return host
	}
	return address
}

// beginHandshake reserves room for one handshake. It returns false when the
// limit of the node or of the address is reached.
func (p *Pool) beginHandshake(address string) bool {
	if p.handshakes.Add(1) > int64(p.config.MaxHandshakes) {
		p.handshakes.Add(-1)
		return false
	}
	admitted := false
	p.handshakesByAddress.Update(address, func(running int, _ bool) (int, bool) {
		admitted = running < p.config.MaxHandshakesPerAddress
		if admitted {
			running++
		}
		return running, true
	})
	if !admitted {
		p.handshakes.Add(-1)
	}
	return admitted
}

func (p *Pool) endHandshake(address string) {
	p.handshakes.Add(-1)
	p.handshakesByAddress.Update(address, func(running int, _ bool) (int, bool) { return running - 1, running > 1 })
}

// acceptSession runs the handshake of an accepted connection and starts the
// session. If a limit is exceeded, it sends a refusal to the peer.
func (p *Pool) acceptSession(conn net.Conn) error {
	ctx, cancel := context.WithTimeout(p.ctx, p.config.HandshakeTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	secured, authenticated, err := p.security.Server(ctx, conn)
	if err != nil {
		return err
	}
	reader := newHelloReader(secured)
	peer, err := handshake.Receive(reader)
	if err != nil {
		return err
	}
	if err := checkIdentity(peer, authenticated); err != nil {
		return err
	}
	if refusal := p.admit(); refusal != nil {
		if err := handshake.Refuse(secured, refusal.Reason, refusal.RetryAfter); err != nil {
			return err
		}
		return errors.Wrapf(refusal, "refuse %s", peer.Host)
	}
	if err := handshake.Send(secured, p.localHello(peer.Lane)); err != nil {
		return err
	}
	peerConn := peerConn{conn: &helloConn{Conn: secured, hello: reader, below: conn}, peer: peer, dialer: peer.Host}
	_, err = p.startSession(ctx, peerConn)
	return err
}

// admit returns the refusal for one more accepted session, or nil when it is
// within the limits.
func (p *Pool) admit() *handshake.RefusedError {
	if p.acceptedSessions.Load() >= int64(p.config.MaxSessions) {
		return &handshake.RefusedError{Reason: "too many sessions", RetryAfter: sessionRetryAfter}
	}
	if decision := p.limiter.Admit(time.Now()); !decision.Admitted {
		return &handshake.RefusedError{Reason: "too many handshakes", RetryAfter: decision.RetryAfter}
	}
	return nil
}

// recordHandshakeFailure counts and logs a handshake that failed or was refused.
// The peer is empty when it is not known. Nothing is recorded during shutdown.
func (p *Pool) recordHandshakeFailure(peer state.HostName, address string, err error) {
	if p.ctx.Err() != nil {
		return
	}
	var refused *handshake.RefusedError
	switch {
	case errors.As(err, &refused):
		p.metrics.handshakes.WithLabelValues(resultRefused).Inc()
		events.Log(p.config.Logger, events.PeerRefused{Peer: peer, Reason: refused.Reason, RetryAfter: refused.RetryAfter})
		return
	case errors.Is(err, frame.ErrMalformed):
		p.metrics.handshakes.WithLabelValues(resultMalformed).Inc()
	case errors.Is(err, ErrIdentityMismatch):
		p.metrics.handshakes.WithLabelValues(resultIdentity).Inc()
	default:
		p.metrics.handshakes.WithLabelValues(resultFailed).Inc()
	}
	events.Log(p.config.Logger, events.HandshakeFailed{Peer: peer, Address: address, Error: err})
}
