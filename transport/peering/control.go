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

// queueEntry is an entry of a send queue: a message, or a flush marker whose
// channel is closed once all earlier messages are written.
type queueEntry struct {
	message control.Message
	written chan struct{}
}

// enqueue adds an entry to the send queue without blocking. It returns false
// when the queue is full.
func (s *session) enqueue(entry queueEntry) bool {
	select {
	case s.queue <- entry:
		return true
	default:
		return false
	}
}

// startControl opens the control stream of a new session. When there already
// is a session to the peer, both nodes close the same one of the two.
func (p *Pool) startControl(ctx context.Context, created *session, dialed bool) (*session, error) {
	var err error
	created.queue = make(chan queueEntry, p.config.SendQueueLength)
	if created.control, err = openControl(ctx, created.mux, dialed); err != nil {
		created.close()
		return nil, err
	}
	var kept, dropped *session
	p.sessions.Update(created.key, func(old *session, present bool) (*session, bool) {
		kept, dropped = created, old
		if present && !created.replaces(old) {
			kept, dropped = old, created
		}
		return kept, true
	})
	if dropped != nil {
		dropped.close()
	}
	if kept == created {
		p.handler.Connected(created.key.host)
		events.Log(p.config.Logger, events.PeerConnected{Peer: created.key.host})
		p.goroutines.Go(func() { p.writeControl(created) })
		p.goroutines.Go(func() { p.readControl(created) })
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

// write sends one entry. It fails, which closes the session, when the peer
// reads nothing for writeTimeout.
func (p *Pool) write(session *session, entry queueEntry) error {
	if entry.written != nil {
		close(entry.written)
		return nil
	}
	encoded, err := p.encoder.Encode(entry.message)
	if err != nil {
		return err
	}
	if err := session.control.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return errors.Wrap(err, "set write deadline")
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
