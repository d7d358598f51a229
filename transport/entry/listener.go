package entry

import (
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// callerListener accepts the connections of callers, up to a limit for each IP
// address. When it is told to finish, it still accepts the connections that
// wait already: closing the listener would reset them.
type callerListener struct {
	net.Listener
	connections *callerConns
	finishing   atomic.Bool
	// finishBy is when the listener closes at the latest, and emptyRounds the
	// number of rounds in a row that found no connection since finish. Only
	// Accept uses them.
	finishBy    time.Time
	emptyRounds int
}

// deadlineListener is a listener whose Accept can be given a deadline.
type deadlineListener interface {
	SetDeadline(deadline time.Time) error
}

const (
	// finishRound is how long Accept looks for one more connection after
	// finish.
	finishRound = 20 * time.Millisecond
	// finishRounds is how many such looks in a row have to find none: a process
	// that is short of processor time may miss the end of one.
	finishRounds = 3
	// finishTimeout bounds the looks while connections keep coming.
	finishTimeout = 150 * time.Millisecond
)

// Accept returns the next connection that is within the limit. After finish it
// returns net.ErrClosed once no more connections wait, or when they have kept
// coming for finishTimeout.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.accept()
		if err != nil {
			return nil, err
		}
		if added := l.connections.add(conn); added != nil {
			return added, nil
		}
		_ = conn.Close()
	}
}

func (l *callerListener) accept() (net.Conn, error) {
	for {
		if l.finishing.Load() && !l.beginRound() {
			return nil, errors.CombineErrors(net.ErrClosed, l.Close())
		}
		conn, err := l.Listener.Accept()
		if err == nil {
			l.emptyRounds = 0
			return conn, nil
		}
		if !l.finishing.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
		l.emptyRounds++
	}
}

// beginRound gives the next Accept a deadline. It returns false when the
// listener is to close.
func (l *callerListener) beginRound() bool {
	now := time.Now()
	if l.finishBy.IsZero() {
		l.finishBy = now.Add(finishTimeout)
	}
	if l.emptyRounds > finishRounds || !now.Before(l.finishBy) {
		return false
	}
	if listener, ok := l.Listener.(deadlineListener); ok {
		// An error means that the listener is closed, which Accept shows.
		_ = listener.SetDeadline(now.Add(finishRound))
	}
	return true
}

// finish makes Accept end when no connection waits any more, or soon when they
// keep coming.
func (l *callerListener) finish() {
	l.finishing.Store(true)
	if listener, ok := l.Listener.(deadlineListener); ok && listener.SetDeadline(longAgo) == nil {
		return
	}
	// Accept returns the error of a listener that is closed.
	_ = l.Close()
}
