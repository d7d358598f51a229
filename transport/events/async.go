package events

import (
	"io"
	"sync/atomic"
)

// queuedLines is the number of log lines that wait to be written.
const queuedLines = 1024

// AsyncWriter writes log lines on a thread of its own, so that a slow or closed
// reader of the log never blocks a call. Lines beyond its queue are dropped and
// counted. It is safe for use by many threads.
type AsyncWriter struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
}

// NewAsyncWriter returns a writer that passes lines on to w until Close.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	writer := &AsyncWriter{lines: make(chan []byte, queuedLines), done: make(chan struct{})}
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

// Write queues one line. It never blocks and never fails.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were not written.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// Flush ends the writer once the lines that wait are written, or when done is
// closed. Lines after it are dropped.
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
