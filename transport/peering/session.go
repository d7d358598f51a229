package peering

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"

	"github.com/wasabiport/wasabiport/coordination/control"
	"github.com/wasabiport/wasabiport/protocol/frame"
	"github.com/wasabiport/wasabiport/protocol/handshake"
	"github.com/wasabiport/wasabiport/protocol/peerwire"
	"github.com/wasabiport/wasabiport/protocol/wirepb"
	"github.com/wasabiport/wasabiport/state"
)

// Bounds of a control session.
const (
	// sendQueueLength is the number of control messages that wait for one
	// peer.
	sendQueueLength = 256
	// maxControlBytes bounds one control message.
	maxControlBytes = 16 << 20
)

// ErrQueueFull means that a control message was dropped because the peer does
// not keep up. Digest repair makes up for it.
var ErrQueueFull = errors.New("the peer's send queue is full")

// session is one connection to a peer.
type session struct {
	key     sessionKey
	mux     *yamux.Session
	control net.Conn
	queue   chan control.Message
	once    sync.Once
}

func (s *session) enqueue(message control.Message) error {
	select {
	case s.queue <- message:
		return nil
	default:
		return errors.Wrapf(ErrQueueFull, "send to %s", s.key.host)
	}
}

func (s *session) close() {
	s.once.Do(func() { _ = s.mux.Close() })
}

// openSession makes the dialing side of a session: the hello travels before
// the multiplexer starts.
func (p *Pool) openSession(conn net.Conn, host state.HostName, lane handshake.Lane) (*session, error) {
	if err := conn.SetDeadline(time.Now().Add(p.config.HandshakeTimeout)); err != nil {
		return nil, errors.Wrap(err, "bound the time for the handshake")
	}
	if err := handshake.Send(conn, p.hello(lane)); err != nil {
		return nil, err
	}
	reader := frame.NewReader(conn)
	peer, err := handshake.Receive(reader)
	if err != nil {
		return nil, err
	}
	if peer.Host != host {
		return nil, errors.Newf("the peer is %q, want %q", peer.Host, host)
	}
	return p.startSession(conn, reader, peer, dialingSide)
}

// Serve accepts sessions until the listener is closed.
func (p *Pool) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return errors.Wrap(err, "accept a peer")
		}
		p.threads.Go(func() {
			if err := p.acceptSession(conn); err != nil {
				_ = conn.Close()
			}
		})
	}
}

func (p *Pool) acceptSession(conn net.Conn) error {
	if err := conn.SetDeadline(time.Now().Add(p.config.HandshakeTimeout)); err != nil {
		return errors.Wrap(err, "bound the time for the handshake")
	}
	reader := frame.NewReader(conn)
	peer, err := handshake.Receive(reader)
	if err != nil {
		return err
	}
	if err := handshake.Send(conn, p.hello(peer.Lane)); err != nil {
		return err
	}
	_, err = p.startSession(conn, reader, peer, acceptingSide)
	return err
}

func (p *Pool) hello(lane handshake.Lane) handshake.Hello {
	return handshake.Hello{
		Host:        p.config.Self.Name,
		Zone:        p.config.Self.Zone,
		Incarnation: p.config.Incarnation,
		Lane:        lane,
	}
}

func (p *Pool) startSession(
	conn net.Conn,
	reader *frame.Reader,
	peer handshake.Hello,
	own side,
) (*session, error) {
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return nil, errors.Wrap(err, "end the handshake")
	}
	mux, err := startMux(bufferedConn{Conn: conn, reader: reader}, own)
	if err != nil {
		return nil, errors.Wrap(err, "start the multiplexer")
	}
	session := &session{key: sessionKey{host: peer.Host, lane: peer.Lane}, mux: mux}
	context.AfterFunc(p.ctx, session.close)
	if peer.Lane != handshake.LaneControl {
		p.sessions.Set(session.key, session)
		p.threads.Go(func() { p.serveCalls(session) })
		return session, nil
	}
	session.queue = make(chan control.Message, sendQueueLength)
	session.control, err = openControl(mux, own)
	if err != nil {
		session.close()
		return nil, err
	}
	p.sessions.Set(session.key, session)
	p.threads.Go(func() { p.writeControl(session) })
	p.threads.Go(func() { p.readControl(session) })
	p.handler.Connected(peer.Host)
	return session, nil
}

func (p *Pool) serveCalls(session *session) {
	defer func() { p.remove(session) }()
	for {
		stream, err := session.mux.AcceptStream()
		if err != nil {
			return
		}
		p.threads.Go(func() { p.handler.ServeCall(p.ctx, stream) })
	}
}

func (p *Pool) writeControl(session *session) {
	for {
		select {
		case message := <-session.queue:
			if err := writeMessage(session.control, message); err != nil {
				session.close()
				return
			}
		case <-session.mux.CloseChan():
			return
		}
	}
}

func writeMessage(stream net.Conn, message control.Message) error {
	encoded, err := peerwire.Encode(message)
	if err != nil {
		return err
	}
	return frame.Write(stream, encoded)
}

func (p *Pool) readControl(session *session) {
	defer func() {
		if p.remove(session) {
			p.handler.Disconnected(session.key.host)
		}
	}()
	reader := frame.NewReader(session.control)
	for {
		var encoded wirepb.PeerMessage
		if err := frame.Read(reader, &encoded, maxControlBytes); err != nil {
			return
		}
		message, err := peerwire.Decode(&encoded)
		if err != nil {
			return
		}
		p.handler.Receive(session.key.host, message)
	}
}

// remove closes a session and forgets it. It returns false when a newer
// session to the same peer has taken its place.
func (p *Pool) remove(ended *session) bool {
	ended.close()
	removed := false
	p.sessions.Update(ended.key, func(current *session, present bool) (*session, bool) {
		removed = present && current == ended
		return current, present && !removed
	})
	return removed
}
