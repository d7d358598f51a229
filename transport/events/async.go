package events

import (
	"io"
	"sync/atomic"
)

// queueCapacity is the capacity of the queue of log lines.
const queueCapacity = 1024

// AsyncWriter writes log lines in a separate goroutine, so that a slow or closed
// reader of the log never blocks a call. Lines are dropped and counted while its
// queue is full. It is safe for concurrent use.
type AsyncWriter struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
}

// NewAsyncWriter returns a writer that forwards lines to w until Flush.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	writer := &AsyncWriter{lines: make(chan []byte, queueCapacity), done: make(chan struct{})}
	go writer.run(w)
	return writer
}

func (a *AsyncWriter) run(w io.Writer) {
	defer close(a.done)
	for line := range a.lines {
		if line == nil {
			return
		}
		if _, err := w.Write(line); err != nil {
			a.dropped.Add(1)
		}
	}
}

// Write queues a copy of one line. It never blocks and never fails.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped or could not be written.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// Flush stops the writer and waits until the queued lines are written or done is
// closed. Lines written after Flush are lost.
func (a *AsyncWriter) Flush(done <-chan struct{}) {
	select {
	case a.lines <- nil:
	case <-done:
		return
	}
	select {
	case <-a.done:
	case <-done:
	}
}
