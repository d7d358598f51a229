package faults

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// direction carries the bytes of one direction of a connection. Writes never
// block; reads block until the first bytes have arrived and the link is not
// cut. Bytes written at the same instant arrive at the same instant, so that a
// reader that has received the head of a message does not have to wait for the
// clock to advance to read the rest.
type direction struct {
	network *Network
	link    link

	mu       sync.Mutex
	chunks   []chunk
	deadline time.Time
	// writeClosed is set once the writer has closed its end; aborted is set
	// once the connection is lost at both ends.
	writeClosed bool
	aborted     bool
	// changed is closed and replaced whenever one of the fields above changes.
	changed chan struct{}
}

type chunk struct {
	data    []byte
	arrival time.Time
}

func newDirection(network *Network, l link) *direction {
	return &direction{network: network, link: l, changed: make(chan struct{})}
}

func (d *direction) write(p []byte, latency time.Duration) error {
	return d.update(func() error {
		if d.writeClosed || d.aborted {
			return net.ErrClosed
		}
		arrival := time.Now().Add(latency)
		if count := len(d.chunks); count > 0 && d.chunks[count-1].arrival.After(arrival) {
			arrival = d.chunks[count-1].arrival
		}
		d.chunks = append(d.chunks, chunk{data: append([]byte(nil), p...), arrival: arrival})
		return nil
	})
}

func (d *direction) setDeadline(t time.Time) {
	_ = d.update(func() error { d.deadline = t; return nil })
}

func (d *direction) closeWrite() {
	_ = d.update(func() error { d.writeClosed = true; return nil })
}

func (d *direction) abort() {
	_ = d.update(func() error { d.aborted = true; return nil })
}

func (d *direction) update(update func() error) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := update(); err != nil {
		return err
	}
	close(d.changed)
	d.changed = make(chan struct{})
	return nil
}

func (d *direction) read(p []byte) (int, error) {
	for {
		state, linkChanged := d.network.linkStatus(d.link)
		n, wait, err := d.tryRead(p, state.cut)
		if n > 0 || err != nil {
			return n, err
		}
		wait.await(linkChanged)
	}
}

// tryRead returns bytes that have arrived, or the condition to wait for.
func (d *direction) tryRead(p []byte, cut bool) (int, waitCondition, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if d.aborted {
		return 0, waitCondition{}, net.ErrClosed
	}
	if !d.deadline.IsZero() && !now.Before(d.deadline) {
		return 0, waitCondition{}, os.ErrDeadlineExceeded
	}
	if !cut && len(d.chunks) > 0 && !now.Before(d.chunks[0].arrival) {
		return d.consume(p), waitCondition{}, nil
	}
	if d.writeClosed && len(d.chunks) == 0 {
		return 0, waitCondition{}, io.EOF
	}
	wait := waitCondition{changed: d.changed, at: d.deadline}
	if !cut && len(d.chunks) > 0 && (wait.at.IsZero() || d.chunks[0].arrival.Before(wait.at)) {
		wait.at = d.chunks[0].arrival
	}
	return 0, wait, nil
}

func (d *direction) consume(p []byte) int {
	first := &d.chunks[0]
	n := copy(p, first.data)
	first.data = first.data[n:]
	if len(first.data) == 0 {
		d.chunks = d.chunks[1:]
	}
	return n
}

// waitCondition describes what a blocked reader waits for.
type waitCondition struct {
	changed <-chan struct{}
	// at is the time at which to try again; zero means no such time.
	at time.Time
}

func (w waitCondition) await(linkChanged <-chan struct{}) {
	var due <-chan time.Time
	if !w.at.IsZero() {
		timer := time.NewTimer(time.Until(w.at))
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-w.changed:
	case <-linkChanged:
	case <-due:
	}
}
