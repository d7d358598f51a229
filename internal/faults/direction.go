package faults

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// direction carries bytes one way of a connection. A write never waits; a read
// waits until the first bytes have travelled and the link is not cut. Bytes
// that are written at one instant arrive at one instant, so that a reader that
// has seen the head of a message never waits for the clock to see the rest.
type direction struct {
	network *Network
	link    link

	mu       sync.Mutex
	chunks   []chunk
	deadline time.Time
	// ended says that the writer sends no more; broken says that both ends
	// have lost the connection.
	ended  bool
	broken bool
	// changed is closed and replaced when anything above changes.
	changed chan struct{}
}

type chunk struct {
	data    []byte
	arrival time.Time
}

func newDirection(network *Network, on link) *direction {
	return &direction{network: network, link: on, changed: make(chan struct{})}
}

func (d *direction) write(p []byte, latency time.Duration) error {
	return d.change(func() error {
		if d.ended || d.broken {
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
	_ = d.change(func() error { d.deadline = t; return nil })
}

func (d *direction) end() {
	_ = d.change(func() error { d.ended = true; return nil })
}

func (d *direction) breakOff() {
	_ = d.change(func() error { d.broken = true; return nil })
}

func (d *direction) change(change func() error) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := change(); err != nil {
		return err
	}
	close(d.changed)
	d.changed = make(chan struct{})
	return nil
}

func (d *direction) read(p []byte) (int, error) {
	for {
		state, linkChanged := d.network.look(d.link)
		n, wait, err := d.tryRead(p, state.cut)
		if n > 0 || err != nil {
			return n, err
		}
		wait.until(linkChanged)
	}
}

// tryRead returns bytes that have arrived, or what to wait for.
func (d *direction) tryRead(p []byte, cut bool) (int, waiting, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if d.broken {
		return 0, waiting{}, net.ErrClosed
	}
	if !d.deadline.IsZero() && !now.Before(d.deadline) {
		return 0, waiting{}, os.ErrDeadlineExceeded
	}
	if !cut && len(d.chunks) > 0 && !now.Before(d.chunks[0].arrival) {
		return d.take(p), waiting{}, nil
	}
	if d.ended && len(d.chunks) == 0 {
		return 0, waiting{}, io.EOF
	}
	wait := waiting{changed: d.changed, at: d.deadline}
	if !cut && len(d.chunks) > 0 && (wait.at.IsZero() || d.chunks[0].arrival.Before(wait.at)) {
		wait.at = d.chunks[0].arrival
	}
	return 0, wait, nil
}

func (d *direction) take(p []byte) int {
	first := &d.chunks[0]
	n := copy(p, first.data)
	first.data = first.data[n:]
	if len(first.data) == 0 {
		d.chunks = d.chunks[1:]
	}
	return n
}

// waiting says what a reader waits for.
type waiting struct {
	changed <-chan struct{}
	// at is a time at which to look again; zero means none.
	at time.Time
}

func (w waiting) until(linkChanged <-chan struct{}) {
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
