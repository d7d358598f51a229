package peering

import (
	"context"
	"math"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// callStream is a stream that counts as an open call of its session until it
// is closed.
type callStream struct {
	*stream
	session   *session
	closeOnce sync.Once
}

// retired replaces the call count of an idle session that is about to close.
// The count then stays negative, so beginCall fails.
const retired = math.MinInt32

// beginCall adds a call to the count. It returns false when the session is
// retired.
func (s *session) beginCall() bool {
	s.recordUse()
	if s.calls.Add(1) > 0 {
		return true
	}
	s.calls.Add(-1)
	return false
}

func (s *session) endCall() {
	s.recordUse()
	s.calls.Add(-1)
}

// retire prevents new calls on the session. It returns false while calls are
// open.
func (s *session) retire() bool { return s.calls.CompareAndSwap(0, retired) }

// Close removes the call from the count of its session and closes the stream. It
// does not wait for a peer that reads nothing.
func (c *callStream) Close() error {
	c.closeOnce.Do(func() {
		c.session.endCall()
		go c.dispose()
	})
	return nil
}

func (s *session) openCall(ctx context.Context) (net.Conn, error) {
	if !s.beginCall() {
		return nil, errors.New("session is closing after its idle timeout")
	}
	opened, err := s.opener.openWithin(ctx)
	if err != nil {
		s.endCall()
		return nil, err
	}
	return &callStream{stream: opened, session: s}, nil
}

// serveCalls accepts call streams until the session ends. Only the side that
// dialed closes an idle session.
func (p *Pool) serveCalls(session *session) {
	defer p.remove(session)
	if session.dialedBy(p.config.Self.Name) {
		p.goroutines.Go(func() { p.closeWhenIdle(session) })
	}
	for {
		accepted, err := session.mux.accept(p.ctx)
		if err != nil {
			return
		}
		if session.calls.Load() >= int64(p.config.MaxStreams) || !session.beginCall() {
			p.metrics.refused.Inc()
			accepted.dispose()
			continue
		}
		call := &callStream{stream: accepted, session: session}
		p.goroutines.Go(func() {
			defer func() { _ = call.Close() }()
			p.handler.ServeCall(p.ctx, call)
		})
	}
}

// closeWhenIdle closes a session that had no call for IdleTimeout. A call that
// races with the close fails in beginCall and opens a new session.
func (p *Pool) closeWhenIdle(session *session) {
	timer := time.NewTimer(p.config.IdleTimeout)
	defer timer.Stop()
	for {
		select {
		case <-session.mux.CloseChan():
			return
		case <-timer.C:
		}
		remaining := p.config.IdleTimeout - session.idleTime()
		if remaining <= 0 && session.retire() {
			p.remove(session)
			return
		}
		timer.Reset(max(remaining, minIdleCheck))
	}
}
