package peering

import (
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// interrupted is a deadline in the past.
var interrupted = time.Unix(1, 0)

// stream is a stream of a session. Once the session ends, its reads return what has
// been received and then fail, and its writes fail.
type stream struct {
	*yamux.Stream
	// streams holds the stream while it is in use.
	streams *streamSet

	mu sync.Mutex
	// interrupted is true when the session has ended. The deadlines are then in
	// the past and don't change any more.
	interrupted bool
}

func (s *stream) interrupt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.interrupted = true
	// The only possible error is that of an unsupported operation.
	_ = s.Stream.SetDeadline(interrupted)
}

// dispose closes a stream that is no longer in use. It waits until the peer reads,
// at most for writeTimeout.
func (s *stream) dispose() {
	s.streams.remove(s)
	// An error means that the session has ended.
	_ = s.Close()
}

// SetDeadline sets the deadlines of reads and writes.
func (s *stream) SetDeadline(deadline time.Time) error {
	return s.setUnlessInterrupted(s.Stream.SetDeadline, deadline)
}

// SetReadDeadline sets the deadline of reads.
func (s *stream) SetReadDeadline(deadline time.Time) error {
	return s.setUnlessInterrupted(s.Stream.SetReadDeadline, deadline)
}

// SetWriteDeadline sets the deadline of writes.
func (s *stream) SetWriteDeadline(deadline time.Time) error {
	return s.setUnlessInterrupted(s.Stream.SetWriteDeadline, deadline)
}

func (s *stream) setUnlessInterrupted(set func(time.Time) error, deadline time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.interrupted {
		return nil
	}
	return set(deadline)
}

// streamSet holds the streams of one session that are in use.
type streamSet struct {
	mu sync.Mutex
	// interrupted is true when the session has ended.
	interrupted bool
	streams     map[*stream]struct{}
}

func newStreamSet() *streamSet { return &streamSet{streams: make(map[*stream]struct{})} }

// add returns a stream that is interrupted when the session ends.
func (s *streamSet) add(opened *yamux.Stream) *stream {
	added := &stream{Stream: opened, streams: s}
	s.mu.Lock()
	ended := s.interrupted
	if !ended {
		s.streams[added] = struct{}{}
	}
	s.mu.Unlock()
	if ended {
		added.interrupt()
	}
	return added
}

// remove forgets a stream that is no longer in use.
func (s *streamSet) remove(closed *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, closed)
}

// interrupt ends the reads and writes of all streams.
func (s *streamSet) interrupt() {
	s.mu.Lock()
	s.interrupted = true
	streams := s.streams
	s.streams = nil
	s.mu.Unlock()
	for stream := range streams {
		stream.interrupt()
	}
}
