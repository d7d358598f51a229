package callstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/protocol/callwire"
	"github.com/wasabiport/wasabiport/protocol/frame"
	"github.com/wasabiport/wasabiport/protocol/wirepb"
	"github.com/wasabiport/wasabiport/state"
)

// headTimeout bounds the time from opening a stream to receiving the head.
const headTimeout = 5 * time.Second

// Serve handles the call of one stream and closes the stream. It returns an
// error if the stream was lost or the peer violated the protocol.
func Serve(ctx context.Context, stream net.Conn, handler Handler) error {
	defer closeStream(stream)
	server := &server{stream: stream, reader: frame.NewReader(stream), withdrawn: make(chan struct{})}
	head, err := server.readHead()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, head.Deadline)
	defer cancel()
	stopWatch := context.AfterFunc(ctx, func() { _ = stream.SetWriteDeadline(time.Now().Add(refusalGrace)) })
	defer stopWatch()

	body := server.receiveBody(cancel)
	defer func() { _ = body.Close() }()
	reply, refusal := handler.Handle(ctx, head, body)
	if refusal != nil {
		return server.sendRefusal(head, refusal, handler.Load(head.BackendServer))
	}
	defer func() { _ = reply.Body.Close() }()
	return server.sendReply(reply)
}

// closeStream closes the stream and unblocks the goroutine that still reads
// from it.
func closeStream(stream net.Conn) {
	_ = stream.SetReadDeadline(time.Unix(1, 0))
	_ = stream.Close()
}

// shortReplyBytes is the length up to which replies are sent in one write.
const shortReplyBytes = 16 << 10

func isShort(head call.ReplyHead) bool {
	return head.ContentLength >= 0 && head.ContentLength <= shortReplyBytes
}

// writerPool holds writers that buffer one short reply or one body chunk.
var writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bodyChunkBytes+1<<10) }}

// refusalGrace is the time to send a refusal to the entry node after the
// deadline has passed.
const refusalGrace = 100 * time.Millisecond

type server struct {
	stream        net.Conn
	reader        *frame.Reader
	awaitsProceed bool
	// withdrawn is closed when the entry node has withdrawn the call. Only the
	// reading goroutine closes it and accesses isWithdrawn, which prevents a
	// second close.
	withdrawn   chan struct{}
	isWithdrawn bool
}

func (s *server) withdraw() {
	if !s.isWithdrawn {
		s.isWithdrawn = true
		close(s.withdrawn)
	}
}

func (s *server) readHead() (call.Head, error) {
	if err := s.stream.SetReadDeadline(time.Now().Add(headTimeout)); err != nil {
		return call.Head{}, errors.Wrap(err, "set the read deadline for the call head")
	}
	var message wirepb.CallFrame
	if err := frame.Read(s.reader, &message, maxFrameBytes); err != nil {
		return call.Head{}, errors.Wrap(err, "read call head")
	}
	if message.GetHead() == nil {
		return call.Head{}, errors.Mark(errors.New("first frame of the call is not a head"), frame.ErrMalformed)
	}
	head, err := callwire.DecodeHead(time.Now(), message.GetHead())
	if err != nil {
		return call.Head{}, err
	}
	s.awaitsProceed = message.GetHead().GetAwaitsProceed()
	return head, s.stream.SetReadDeadline(time.Time{})
}

// receiveBody starts a goroutine that reads the body and then waits for the end
// of the stream. The stream ends when the entry node drops the call; the
// goroutine then calls cancel.
func (s *server) receiveBody(cancel context.CancelFunc) *requestBody {
	reader, writer := io.Pipe()
	go func() {
		defer cancel()
		if err := s.copyBody(writer); err != nil {
			writer.CloseWithError(err)
			return
		}
		_ = writer.Close()
		s.awaitStreamEnd()
	}()
	return &requestBody{server: s, pipe: reader, reader: bufio.NewReaderSize(reader, peekBytes)}
}

// awaitStreamEnd reads until the end of the stream. Only withdrawals may follow
// the end marker of a body.
func (s *server) awaitStreamEnd() {
	for {
		var message wirepb.CallFrame
		if err := frame.Read(s.reader, &message, maxFrameBytes); err != nil || message.GetWithdraw() == nil {
			return
		}
		s.withdraw()
	}
}

func (s *server) copyBody(writer *io.PipeWriter) error {
	var received uint64
	for {
		var message wirepb.CallFrame
		if err := frame.Read(s.reader, &message, maxFrameBytes); err != nil {
			return errors.Mark(errors.Wrap(err, "read request body"), ErrTruncated)
		}
		switch part := message.GetFrame().(type) {
		case *wirepb.CallFrame_Body:
			received += uint64(len(part.Body))
			if _, err := writer.Write(part.Body); err != nil {
				return err
			}
		case *wirepb.CallFrame_End:
			if part.End.GetBodyBytes() != received {
				return errors.Mark(errors.New("request body has a different length than its end marker states"), ErrTruncated)
			}
			return nil
		case *wirepb.CallFrame_Withdraw:
			s.withdraw()
		default:
			return errors.Mark(errors.New("unexpected frame in request body"), ErrTruncated)
		}
	}
}

// requestBody is the body of a call at the guard. The first read requests it
// from the entry node.
type requestBody struct {
	server    *server
	pipe      *io.PipeReader
	reader    *bufio.Reader
	requested bool
}

const (
	// peekBytes is the size of the buffer for awaiting the first byte of a
	// body.
	peekBytes = 512
	// confirmTimeout bounds the time for the entry node to confirm the start of
	// a call. The call occupies a slot meanwhile.
	confirmTimeout = 400 * time.Millisecond
)

// Withdrawn implements Withdrawable.
func (b *requestBody) Withdrawn() <-chan struct{} { return b.server.withdrawn }

// NotifyQueued implements StartConfirmer.
func (b *requestBody) NotifyQueued() error {
	if !b.server.awaitsProceed {
		return nil
	}
	return b.server.send(&wirepb.ReplyFrame{Frame: &wirepb.ReplyFrame_Queued{Queued: &wirepb.Queued{}}})
}

// ConfirmStart implements StartConfirmer. It requests the body from the entry
// node and waits for its first byte.
func (b *requestBody) ConfirmStart() error {
	if !b.server.awaitsProceed || b.requested {
		return nil
	}
	b.requested = true
	timer := time.AfterFunc(confirmTimeout, func() { b.pipe.CloseWithError(errNotConfirmed) })
	defer timer.Stop()
	if err := b.server.sendProceed(); err != nil {
		return err
	}
	// io.EOF alone is an empty body. A stream that ended without the end marker
	// is marked with ErrTruncated.
	if _, err := b.reader.Peek(1); err != nil && (errors.Is(err, ErrTruncated) || !errors.Is(err, io.EOF)) {
		return errors.Wrap(err, "confirm the start of a call")
	}
	return nil
}

// errNotConfirmed means that the entry node did not confirm the start of a call
// in time.
var errNotConfirmed = errors.New("the entry node has not confirmed the start of the call")

func (b *requestBody) Read(p []byte) (int, error) {
	if !b.requested {
		b.requested = true
		if err := b.server.sendProceed(); err != nil {
			return 0, err
		}
	}
	return b.reader.Read(p)
}

func (b *requestBody) Close() error { return b.pipe.Close() }

func (s *server) sendProceed() error {
	if !s.awaitsProceed {
		return nil
	}
	return s.send(&wirepb.ReplyFrame{Frame: &wirepb.ReplyFrame_Proceed{Proceed: &wirepb.Proceed{}}})
}

func (s *server) sendRefusal(head call.Head, refusal *state.Refusal, load call.LoadHint) error {
	message := callwire.EncodeRefusal(head.ID, refusal, load)
	return s.send(&wirepb.ReplyFrame{Frame: &wirepb.ReplyFrame_Refusal{Refusal: message}})
}

// sendReply writes a short reply in one write. The chunks of a long reply, or
// of one with unknown length, are flushed as they arrive.
func (s *server) sendReply(reply *Reply) error {
	short := isShort(reply.Head)
	writer := writerPool.Get().(*bufio.Writer)
	writer.Reset(s.stream)
	defer func() {
		writer.Reset(nil)
		writerPool.Put(writer)
	}()
	head := callwire.EncodeReplyHead(reply.Head)
	if err := frame.Write(writer, &wirepb.ReplyFrame{Frame: &wirepb.ReplyFrame_Head{Head: head}}); err != nil {
		return err
	}
	if !short {
		if err := writer.Flush(); err != nil {
			return errors.Wrap(err, "send reply head")
		}
	}
	sent, err := copyChunks(reply.Body, func(chunk []byte) error {
		part := &wirepb.ReplyFrame{Frame: &wirepb.ReplyFrame_Body{Body: chunk}}
		if err := frame.Write(writer, part); err != nil || short {
			return err
		}
		return writer.Flush()
	})
	if err != nil {
		// The entry node detects the truncated body by its missing end marker.
		// The part before it is still flushed, so that the caller receives as
		// much as is available.
		return errors.CombineErrors(errors.Wrap(err, "send reply body"), writer.Flush())
	}
	end := callwire.EncodeEnd(sent, reply.Trailers())
	if err := frame.Write(writer, &wirepb.ReplyFrame{Frame: &wirepb.ReplyFrame_End{End: end}}); err != nil {
		return err
	}
	return errors.Wrap(writer.Flush(), "send reply")
}

func (s *server) send(message *wirepb.ReplyFrame) error {
	return frame.Write(s.stream, message)
}
