package peering

import (
	"math"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
)

// callStream is a stream that is counted as a call until it is closed.
type callStream struct {
	*yamux.Stream
	session *session
	once    sync.Once
}

// retired is added to the number of calls of a session that is to be closed,
// so that no call begins any more.
const retired = math.MinInt32

// beginCall counts a call. It returns false when the session is retired.
func (s *session) beginCall() bool {
	s.touch()
	if s.calls.Add(1) > 0 {
		return true
	}
	s.calls.Add(-1)
	return false
}

func (s *session) endCall() {
	s.touch()
	s.calls.Add(-1)
}

// retire makes sure that no call begins any more. It returns false when calls
// run.
func (s *session) retire() bool { return s.calls.CompareAndSwap(0, retired) }

// Close ends the call.
func (c *callStream) Close() error {
	c.once.Do(c.session.endCall)
	return c.Stream.Close()
}

func (s *session) openCall() (net.Conn, error) {
	if !s.beginCall() {
		return nil, errors.New("the session is idle and ends")
	}
	stream, err := s.mux.OpenStream()
	if err != nil {
		s.endCall()
		return nil, errors.Wrap(err, "open a stream")
	}
	return &callStream{Stream: stream, session: s}, nil
}

// serveCalls accepts calls until the session has ended. The side that has
// opened the session ends it when it is idle.
func (p *Pool) serveCalls(session *session) {
	defer p.remove(session)
	if session.dialedBy(p.config.Self.Name) {
		p.threads.Go(func() { p.closeWhenIdle(session) })
	}
	for {
		stream, err := session.mux.AcceptStream()
		if err != nil {
			return
		}
		if session.calls.Load() >= int64(p.config.MaxStreams) || !session.beginCall() {
			p.metrics.refused.Inc()
			_ = stream.Close()
			continue
		}
		call := &callStream{Stream: stream, session: session}
		p.threads.Go(func() {
			defer func() { _ = call.Close() }()
			p.handler.ServeCall(p.ctx, call)
		})
	}
}

// closeWhenIdle closes a session once it has had no call for IdleTimeout. A
// call that begins just then is sent over a new session.
func (p *Pool) closeWhenIdle(session *session) {
	timer := time.NewTimer(p.config.IdleTimeout)
	defer timer.Stop()
	for {
		select {
		case <-session.mux.CloseChan():
			return
		case <-timer.C:
		}
		left := p.config.IdleTimeout - session.idleFor()
		if left <= 0 && session.retire() {
			p.remove(session)
			return
		}
		timer.Reset(max(left, minIdleCheck))
	}
}
