package peering

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrUnresponsive is returned when a peer does not accept a stream in time. Its
// session stays open, as the peer may respond again.
var ErrUnresponsive = errors.New("the peer does not respond")

// stallTimeout is how long it may take to open a stream before the peer counts as
// unresponsive, and further calls to it fail immediately.
const stallTimeout = 400 * time.Millisecond

// opener opens the streams of a session. A multiplexer blocks when the peer reads
// nothing, or has not accepted acceptBacklog streams yet; the calls that wait for a
// stream don't block with it.
type opener struct {
	open func() (*stream, error)
	// running holds a token for each stream that is being opened.
	running chan struct{}
	// stalled is the number of streams that have been opening for stallTimeout.
	stalled atomic.Int32
}

func newOpener(open func() (*stream, error)) *opener {
	return &opener{open: open, running: make(chan struct{}, acceptBacklog)}
}

type openedStream struct {
	stream *stream
	err    error
}

// openWithin opens a stream. It returns ErrUnresponsive when ctx ends first, and
// immediately while other streams have been opening for stallTimeout.
func (o *opener) openWithin(ctx context.Context) (*stream, error) {
	if o.stalled.Load() > 0 {
		return nil, errors.Wrap(ErrUnresponsive, "open stream")
	}
	select {
	case o.running <- struct{}{}:
	case <-ctx.Done():
		return nil, unresponsive(ctx)
	}
	results := make(chan openedStream)
	go o.run(ctx, results)
	select {
	case result := <-results:
		return result.stream, result.err
	case <-ctx.Done():
		return nil, unresponsive(ctx)
	}
}

// run opens a stream, and closes it if the call that needs it has ended.
func (o *opener) run(ctx context.Context, results chan<- openedStream) {
	stall := time.AfterFunc(stallTimeout, func() { o.stalled.Add(1) })
	opened, err := o.open()
	if !stall.Stop() {
		o.stalled.Add(-1)
	}
	<-o.running
	select {
	case results <- openedStream{stream: opened, err: err}:
	case <-ctx.Done():
		if err == nil {
			opened.dispose()
		}
	}
}

func unresponsive(ctx context.Context) error {
	return errors.Wrapf(ErrUnresponsive, "open stream: %v", ctx.Err())
}
