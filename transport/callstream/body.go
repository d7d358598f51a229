package callstream

import (
	"context"
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/protocol/callwire"
	"github.com/wasabiport/wasabiport/protocol/frame"
	"github.com/wasabiport/wasabiport/protocol/wirepb"
)

// chunkPool holds buffers of one body chunk.
var chunkPool = sync.Pool{New: func() any {
	buffer := make([]byte, bodyChunkBytes)
	return &buffer
}}

// copyChunks passes a body to write in chunks and returns the number of bytes
// written. A body that was truncated is an error, also when it ended with io.EOF.
func copyChunks(body io.Reader, write func(chunk []byte) error) (uint64, error) {
	pooled := chunkPool.Get().(*[]byte)
	defer chunkPool.Put(pooled)
	buffer := *pooled
	var sent uint64
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if writeErr := write(buffer[:n]); writeErr != nil {
				return sent, writeErr
			}
			sent += uint64(n)
		}
		if errors.Is(err, io.EOF) && !errors.Is(err, ErrTruncated) {
			return sent, nil
		}
		if err != nil {
			return sent, err
		}
	}
}

// bodyReader reads the body of a reply at the entry node.
type bodyReader struct {
	client   *client
	chunk    []byte
	received uint64
	trailers []call.Field
	err      error
}

// Read returns io.EOF only after an end marker with the correct length.
func (r *bodyReader) Read(p []byte) (int, error) {
	for len(r.chunk) == 0 && r.err == nil {
		r.err = r.readFrame()
	}
	if len(r.chunk) == 0 {
		return 0, r.err
	}
	n := copy(p, r.chunk)
	r.chunk = r.chunk[n:]
	return n, nil
}

func (r *bodyReader) readFrame() error {
	var reply wirepb.ReplyFrame
	if err := frame.Read(r.client.reader, &reply, maxFrameBytes); err != nil {
		return errors.Mark(errors.Wrap(err, "read reply"), ErrTruncated)
	}
	switch message := reply.GetFrame().(type) {
	case *wirepb.ReplyFrame_Body:
		r.chunk = message.Body
		r.received += uint64(len(message.Body))
		return nil
	case *wirepb.ReplyFrame_End:
		return r.checkEnd(message.End)
	default:
		return errors.Mark(errors.New("unexpected frame in reply body"), ErrTruncated)
	}
}

func (r *bodyReader) checkEnd(message *wirepb.End) error {
	if message.GetBodyBytes() != r.received {
		return errors.Mark(errors.Newf("reply body has %d bytes, its end marker states %d", r.received, message.GetBodyBytes()), ErrTruncated)
	}
	r.trailers = callwire.DecodeTrailers(message)
	return io.EOF
}

func (r *bodyReader) receivedTrailers() []call.Field { return r.trailers }

// Close closes the stream. A guard that is still running the call cancels it.
func (r *bodyReader) Close() error {
	r.client.close()
	return nil
}

// relayedBody is the body of a long reply. A goroutine reads it from the stream,
// because such a read may block beyond the deadline of the call: it also tells the
// guard how much was read, and waits until the guard's node accepts that.
type relayedBody struct {
	*io.PipeReader
	body *bodyReader
	stop func() bool
}

// relay returns a body whose reads fail when ctx ends.
func relay(ctx context.Context, body *bodyReader) relayedBody {
	reader, writer := io.Pipe()
	go func() {
		_, err := copyChunks(body, func(chunk []byte) error {
			_, err := writer.Write(chunk)
			return err
		})
		writer.CloseWithError(err)
	}()
	stop := context.AfterFunc(ctx, func() {
		writer.CloseWithError(errors.Mark(errors.Wrap(ctx.Err(), "read reply"), ErrTruncated))
	})
	return relayedBody{PipeReader: reader, body: body, stop: stop}
}

// Close ends the goroutine and closes the stream.
func (r relayedBody) Close() error {
	r.stop()
	// Close of a pipe never fails.
	_ = r.PipeReader.Close()
	return r.body.Close()
}
