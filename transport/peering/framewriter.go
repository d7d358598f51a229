package peering

import (
	"encoding/binary"
	"io"
	"sync"
)

// Layout of the header of a multiplexer's frame.
const (
	frameHeaderBytes  = 12
	frameTypeOffset   = 1
	frameLengthOffset = 8
	frameTypeData     = 0
)

// maxJoinedBytes is the largest frame that is copied to be written at once. A second
// write costs little compared with a larger copy.
const maxJoinedBytes = 4 << 10

var joinedFrames = sync.Pool{New: func() any { return new([maxJoinedBytes]byte) }}

// frameWriter joins the header and the data of a frame, which a multiplexer writes one
// after the other, so that they are one packet and wake the peer once.
type frameWriter struct {
	// header is the header that was received and not written; held is true while
	// there is one.
	header [frameHeaderBytes]byte
	held   bool
}

// write writes p, or keeps it if it is a header whose data follow in the next call.
func (f *frameWriter) write(to io.Writer, p []byte) (int, error) {
	if !f.held {
		if f.held = announcesData(p); f.held {
			copy(f.header[:], p)
			return len(p), nil
		}
		return to.Write(p)
	}
	f.held = false
	if frameHeaderBytes+len(p) > maxJoinedBytes {
		if _, err := to.Write(f.header[:]); err != nil {
			return 0, err
		}
		return to.Write(p)
	}
	joined := joinedFrames.Get().(*[maxJoinedBytes]byte)
	defer joinedFrames.Put(joined)
	frame := append(append(joined[:0], f.header[:]...), p...)
	written, err := to.Write(frame)
	return max(0, written-frameHeaderBytes), err
}

// announcesData reports whether p is the header of a frame with data.
func announcesData(p []byte) bool {
	return len(p) == frameHeaderBytes && p[frameTypeOffset] == frameTypeData &&
		binary.BigEndian.Uint32(p[frameLengthOffset:]) > 0
}
