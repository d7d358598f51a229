// Package frame writes and reads protobuf messages on a stream. Each message is
// preceded by its length as a varint.
package frame

import (
	"bufio"
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// Reader is a stream from which frames can be read. It is buffered, so that
// reading a frame usually takes a single read of the underlying stream.
type Reader = bufio.Reader

// readBufferBytes is the size of a Reader's buffer. The length prefix of a frame
// and the start of its message are read at once.
const readBufferBytes = 16 << 10

// NewReader returns a Reader on a stream.
func NewReader(stream io.Reader) *Reader {
	return bufio.NewReaderSize(stream, readBufferBytes)
}

// Write writes one message with a single write to the stream.
func Write(stream io.Writer, message proto.Message) error {
	if _, err := protodelim.MarshalTo(stream, message); err != nil {
		return errors.Wrap(err, "write frame")
	}
	return nil
}

// Read reads one message of at most maxBytes. It returns io.EOF if the stream
// ends before the first byte of a frame, and an error marked with ErrMalformed if
// the message is too large or can't be decoded.
func Read(stream *Reader, message proto.Message, maxBytes int64) error {
	err := protodelim.UnmarshalOptions{MaxSize: maxBytes}.UnmarshalFrom(stream, message)
	if err == nil || errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		return err
	}
	var tooLarge *protodelim.SizeTooLargeError
	if errors.As(err, &tooLarge) || errors.Is(err, proto.Error) {
		return errors.Mark(errors.Wrap(err, "read frame"), ErrMalformed)
	}
	return errors.Wrap(err, "read frame")
}

// ErrMalformed marks errors that are caused by a peer that violates the
// protocol, as opposed to a lost connection.
var ErrMalformed = errors.New("malformed message")
