package peering

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiport/wasabiport/coordination/control"
	"github.com/wasabiport/wasabiport/protocol/frame"
	"github.com/wasabiport/wasabiport/protocol/peerwire"
	"github.com/wasabiport/wasabiport/protocol/wirepb"
	"github.com/wasabiport/wasabiport/transport/events"
)

// outgoing is an entry of a send queue: a message, or a mark whose channel is
// closed when all messages before it were written.
type outgoing struct {
	message control.Message
	written chan struct{}
}

// enqueue returns false when the queue is full.
func (s *session) enqueue(entry outgoing) bool {
	select {
	case s.queue <- entry:
		return true
	default:
		return false
	}
}

// startControl opens the control stream of a session. Of two sessions to the
// same peer both nodes keep the same one.
func (p *Pool) startControl(ctx context.Context, own *session, dialed bool) (*session, error) {
	var err error
	own.queue = make(chan outgoing, p.config.SendQueueLength)
	if own.control, err = openControl(ctx, own.mux, dialed); err != nil {
		own.close()
		return nil, err
	}
	var kept, dropped *session
	p.sessions.Update(own.key, func(old *session, present bool) (*session, bool) {
		kept, dropped = own, old
		if present && !own.replaces(old) {
			kept, dropped = old, own
		}
		return kept, true
	})
	if dropped != nil {
		dropped.close()
	}
	if kept == own {
		p.handler.Connected(own.key.host)
		events.Log(p.config.Logger, events.PeerConnected{Peer: own.key.host})
		p.threads.Go(func() { p.writeControl(own) })
		p.threads.Go(func() { p.readControl(own) })
	}
	return kept, nil
}

func (p *Pool) writeControl(session *session) {
	for {
		select {
		case entry := <-session.queue:
			if err := p.write(session, entry); err != nil {
				session.close()
				return
			}
		case <-session.mux.CloseChan():
			return
		}
	}
}

// write sends one entry. A peer that takes nothing for writeTimeout loses its
// session.
func (p *Pool) write(session *session, entry outgoing) error {
	if entry.written != nil {
		close(entry.written)
		return nil
	}
	encoded, err := p.encoder.Encode(entry.message)
	if err != nil {
		return err
	}
	if err := session.control.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return errors.Wrap(err, "bound the time for a message")
	}
	return frame.Write(session.control, encoded)
}

func (p *Pool) readControl(session *session) {
	err := p.readMessages(session)
	p.remove(session)
	p.handler.Disconnected(session.key.host)
	events.Log(p.config.Logger, events.PeerDisconnected{Peer: session.key.host})
	if errors.Is(err, frame.ErrMalformed) {
		p.metrics.malformed.Inc()
		events.Log(p.config.Logger, events.PeerMalformed{Peer: session.key.host, Error: err})
	}
}

func (p *Pool) readMessages(session *session) error {
	reader := frame.NewReader(session.control)
	for {
		var encoded wirepb.PeerMessage
		if err := frame.Read(reader, &encoded, maxControlBytes); err != nil {
			return err
		}
		message, err := peerwire.Decode(&encoded)
		if err != nil {
			return err
		}
		p.handler.Receive(session.key.host, message)
	}
}
