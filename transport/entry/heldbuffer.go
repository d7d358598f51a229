package entry

import (
	"io"

	"github.com/cockroachdb/errors"
)

// errBodyMemory means that there is no memory for a request body.
var errBodyMemory = errors.New("no memory for the body")

// minHeldBytes is the initial size of a heldBuffer.
const minHeldBytes = 1 << 10

// heldBuffer is a buffer whose capacity is accounted for.
type heldBuffer struct {
	data   []byte
	memory callerMemory
	held   int64
}

// read reads up to limit bytes. Fewer are read only with an error, which is io.EOF at the
// end of the source.
func (b *heldBuffer) read(source io.Reader, limit int) error {
	for len(b.data) < limit {
		if !b.makeRoom(limit) {
			return errBodyMemory
		}
		n, err := source.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if err != nil {
			return err
		}
	}
	return nil
}

// makeRoom grows the buffer if it is full. It returns false if there is no memory.
func (b *heldBuffer) makeRoom(limit int) bool {
	if len(b.data) < cap(b.data) {
		return true
	}
	size := min(limit, max(minHeldBytes, 2*cap(b.data)))
	if !b.memory.hold(int64(size) - b.held) {
		return false
	}
	b.held = int64(size)
	grown := make([]byte, len(b.data), size)
	copy(grown, b.data)
	b.data = grown
	return true
}
