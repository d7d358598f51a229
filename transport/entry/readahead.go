package entry

import (
	"bytes"
	"io"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// readAheadBytes is how much of a long body is read before a guard asks for it.
	readAheadBytes = 256 << 10
	// readAheadPartBytes is the size of one read.
	readAheadPartBytes = 16 << 10
)

// errBodyDropped is returned by reads of a body that is no longer needed.
var errBodyDropped = errors.New("the request body is no longer needed")

// readAhead reads a body into a bounded buffer while its call waits for a slot. Only
// the end of a body shows that a caller has left: the HTTP server looks for it once
// the whole body was read, and a body that is cut fails to be read.
type readAhead struct {
	source io.Reader
	memory callerMemory
	// onLost is called when the caller has left before the end of the body.
	onLost func()

	mu sync.Mutex
	// changed is signaled when any of the fields below changes.
	changed  *sync.Cond
	buffered bytes.Buffer
	// err is the error of the source, io.EOF after its end.
	err     error
	dropped bool
	// held is the part of the buffer that memory accounts for.
	held int64
}

// newReadAhead starts to read a source. drop must be called in the end.
func newReadAhead(source io.Reader, memory callerMemory, onLost func()) *readAhead {
	ahead := &readAhead{source: source, memory: memory, onLost: onLost}
	ahead.changed = sync.NewCond(&ahead.mu)
	go ahead.fill()
	return ahead
}

// fill reads the source until its end. It waits while the buffer is full.
func (a *readAhead) fill() {
	part := make([]byte, readAheadPartBytes)
	for {
		n, err := a.source.Read(part)
		if !a.add(part[:n], err) {
			return
		}
		if err != nil {
			if isLost(err) {
				a.onLost()
			}
			return
		}
	}
}

// add appends a part to the buffer, and waits until there is room for another one. If
// there is no memory for the part, this is when the buffer is empty. It returns false
// when the body was dropped.
func (a *readAhead) add(part []byte, err error) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.dropped {
		return false
	}
	maxBuffered := 0
	if a.memory.tryHold(int64(len(part))) {
		a.held += int64(len(part))
		maxBuffered = readAheadBytes - readAheadPartBytes
	}
	a.buffered.Write(part)
	a.err = err
	a.changed.Broadcast()
	for a.buffered.Len() > maxBuffered && a.err == nil && !a.dropped {
		a.changed.Wait()
	}
	return !a.dropped
}

// releaseRead ends the accounting of n bytes.
func (a *readAhead) releaseRead(n int) {
	released := min(int64(n), a.held)
	a.held -= released
	a.memory.release(released)
}

// isLost reports whether the error of a body means that its caller has left.
func isLost(err error) bool {
	var overLimit *http.MaxBytesError
	return !errors.Is(err, io.EOF) && !errors.As(err, &overLimit)
}

// Read returns buffered bytes, and the error of the source after the last one.
func (a *readAhead) Read(p []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for a.buffered.Len() == 0 && a.err == nil && !a.dropped {
		a.changed.Wait()
	}
	switch {
	case a.dropped:
		return 0, errBodyDropped
	case a.buffered.Len() == 0:
		return 0, a.err
	}
	defer a.changed.Broadcast()
	n, err := a.buffered.Read(p)
	a.releaseRead(n)
	return n, err
}

// drop ends the use of the body. It reports whether a read of the source may be
// pending.
func (a *readAhead) drop() (pending bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dropped = true
	a.releaseRead(a.buffered.Len())
	a.changed.Broadcast()
	return a.err == nil
}
