package entry

import (
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// callerListener accepts connections of callers, up to a limit per IP address.
// While it drains it still accepts the connections in the backlog of the
// socket, because closing the listener would reset them.
type callerListener struct {
	net.Listener
	connections *callerConns
	draining    atomic.Bool
	// drainDeadline is the latest time at which a draining listener closes, and
	// emptyPolls the number of consecutive polls that found no connection since
	// drain. Only Accept accesses them.
	drainDeadline time.Time
	emptyPolls    int
}

// deadlineListener is implemented by listeners whose Accept supports a
// deadline.
type deadlineListener interface {
	SetDeadline(deadline time.Time) error
}

const (
	// drainPollInterval is how long one Accept call waits for a connection
	// while the listener drains.
	drainPollInterval = 20 * time.Millisecond
	// maxEmptyPolls is how many consecutive polls may find no connection before
	// the listener closes. One would not be enough: a process that is short of
	// CPU time may miss the end of a poll.
	maxEmptyPolls = 3
	// drainTimeout bounds draining while new connections keep arriving.
	drainTimeout = 150 * time.Millisecond
)

// Accept returns the next connection within the limit. After drain it returns
// net.ErrClosed once the backlog is empty, or after drainTimeout if new
// connections keep arriving.
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
		if l.draining.Load() && !l.startPoll() {
			return nil, errors.CombineErrors(net.ErrClosed, l.Close())
		}
		conn, err := l.Listener.Accept()
		if err == nil {
			l.emptyPolls = 0
			return conn, nil
		}
		if !l.draining.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
		l.emptyPolls++
	}
}

// startPoll sets the deadline of the next Accept. It returns false when the
// listener must close.
func (l *callerListener) startPoll() bool {
	now := time.Now()
	if l.drainDeadline.IsZero() {
		l.drainDeadline = now.Add(drainTimeout)
	}
	if l.emptyPolls > maxEmptyPolls || !now.Before(l.drainDeadline) {
		return false
	}
	if listener, ok := l.Listener.(deadlineListener); ok {
		// An error means that the listener is closed, which Accept reports.
		_ = listener.SetDeadline(now.Add(drainPollInterval))
	}
	return true
}

// drainBacklog makes Accept return net.ErrClosed once the backlog is empty, or
// after drainTimeout.
func (l *callerListener) drainBacklog() {
	l.draining.Store(true)
	if listener, ok := l.Listener.(deadlineListener); ok && listener.SetDeadline(pastDeadline) == nil {
		return
	}
	// Accept reports that the listener is closed.
	_ = l.Close()
}
