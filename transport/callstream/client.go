package callstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/protocol/callwire"
	"github.com/wasabiport/wasabiport/protocol/frame"
	"github.com/wasabiport/wasabiport/protocol/httpmap"
	"github.com/wasabiport/wasabiport/protocol/wirepb"
	"github.com/wasabiport/wasabiport/state"
)

// Result is the outcome of a call at a guard: a reply or a refusal.
type Result struct {
	Reply   *Reply
	Refusal *state.Refusal
	Load    call.LoadHint
}

// Do sends one call over a stream and returns the result. A reply that is cut before
// its start has arrived is a refusal, see Reply.Hold. Do closes the stream when it
// returns a refusal; otherwise closing the body of the reply does. When
// ctx ends, the stream is closed and the guard cancels the call. When queueCtx
// ends, the guard drops the call unless it already has a slot.
func Do(ctx, queueCtx context.Context, stream net.Conn, head call.Head, body *Body) Result {
	client := &client{
		stream:   stream,
		reader:   frame.NewReader(stream),
		head:     head,
		queueCtx: queueCtx,

		headWritten: make(chan struct{}),
	}
	client.stopAbort = context.AfterFunc(ctx, client.abort)
	result := hold(client.do(ctx, body))
	if result.Reply == nil {
		client.close()
	}
	if result.Refusal != nil && ctx.Err() != nil {
		result.Refusal = contextRefusal(ctx.Err(), result.Refusal)
	}
	return result
}

// hold reads the start of the reply of a result.
func hold(result Result) Result {
	if result.Reply == nil {
		return result
	}
	if err := result.Reply.Hold(); err == nil {
		return result
	}
	// The error of the truncated body takes precedence.
	_ = result.Reply.Body.Close()
	refusal := state.MayHaveRun(state.RefusedBackendServerFailed, "the answer was cut before any of it was passed on")
	return Result{Refusal: refusal, Load: result.Load}
}

// contextRefusal returns the refusal of a call whose context ended while its stream
// was lost.
func contextRefusal(err error, lost *state.Refusal) *state.Refusal {
	refusal := *lost
	refusal.Reason = state.RefusedCanceled
	if errors.Is(err, context.DeadlineExceeded) {
		refusal.Reason = state.RefusedDeadline
	}
	refusal.Detail = "the call ended before its answer came"
	refusal.RetryAfter = 0
	return &refusal
}

type client struct {
	stream    net.Conn
	reader    *frame.Reader
	head      call.Head
	stopAbort func() bool
	queueCtx  context.Context
	// headWritten is closed when the head was written, or could not be.
	headWritten chan struct{}
	// unconfirmed means that the guard must not run the call yet.
	unconfirmed bool
}

// firstFrameTimeout bounds the time until the guard sends its first frame for a
// call whose start must be confirmed.
const firstFrameTimeout = 400 * time.Millisecond

// needsConfirmation reports whether the guard must ask before it runs a call. A
// call that is not idempotent is then certain not to have run while it waits,
// even if the guard is lost. Calls with an idempotency key don't need this, as
// the guard keeps a record of them.
func needsConfirmation(head call.Head) bool { return !head.Idempotent && head.IdempotencyKey == "" }

func (c *client) do(ctx context.Context, body *Body) Result {
	c.unconfirmed = body.Rest != nil || needsConfirmation(c.head)
	if c.unconfirmed {
		// An error means that the stream is closed, which the write reports.
		_ = c.stream.SetReadDeadline(time.Now().Add(firstFrameTimeout))
	}
	head, err := c.encodeHead(body)
	if err != nil {
		return Result{Refusal: c.lostRefusal()}
	}
	go c.sendHead(head)
	defer context.AfterFunc(c.queueCtx, c.withdraw)()
	for {
		var reply wirepb.ReplyFrame
		if err := frame.Read(c.reader, &reply, maxFrameBytes); err != nil {
			return Result{Refusal: c.lostRefusal()}
		}
		if c.unconfirmed {
			_ = c.stream.SetReadDeadline(time.Time{})
		}
		switch message := reply.GetFrame().(type) {
		case *wirepb.ReplyFrame_Queued:
		case *wirepb.ReplyFrame_Proceed:
			c.unconfirmed = false
			go c.sendBody(body)
		case *wirepb.ReplyFrame_Refusal:
			return c.handleRefusal(message.Refusal)
		case *wirepb.ReplyFrame_Head:
			return c.handleReplyHead(ctx, message.Head)
		default:
			return Result{Refusal: c.lostRefusal()}
		}
	}
}

// lostRefusal returns the refusal for a stream that was lost after the head was
// sent.
func (c *client) lostRefusal() *state.Refusal {
	if c.unconfirmed {
		return state.NotRun(state.RefusedUnreachable, "the guard was lost before it ran the call")
	}
	return state.MayHaveRun(state.RefusedUnreachable, "the connection to the guard was lost during the call")
}

func (c *client) handleRefusal(message *wirepb.Refusal) Result {
	if state.CallID(message.GetId()) != c.head.ID {
		return Result{Refusal: c.lostRefusal()}
	}
	refusal, load := callwire.DecodeRefusal(message)
	return Result{Refusal: refusal, Load: load}
}

func (c *client) handleReplyHead(ctx context.Context, message *wirepb.ReplyHead) Result {
	head := callwire.DecodeReplyHead(message)
	if head.ID != c.head.ID || !httpmap.IsFinalStatus(head.Status) {
		return Result{Refusal: c.lostRefusal()}
	}
	reader := &bodyReader{client: c}
	reply := &Reply{Head: head, Body: reader, Trailers: reader.receivedTrailers}
	if !isShort(head) {
		reply.Body = relay(ctx, reader)
	}
	return Result{Reply: reply, Load: head.Load}
}

// encodeHead returns the head for one write, together with the body unless the
// start of the call must be confirmed.
func (c *client) encodeHead(body *Body) ([]byte, error) {
	message := callwire.EncodeHead(time.Now(), c.head)
	message.AwaitsProceed = c.unconfirmed
	var buffer bytes.Buffer
	if err := frame.Write(&buffer, &wirepb.CallFrame{Frame: &wirepb.CallFrame_Head{Head: message}}); err != nil {
		return nil, err
	}
	if c.unconfirmed {
		return buffer.Bytes(), nil
	}
	if err := writeBody(&buffer, body.Reader()); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// sendHead writes the head. The write may block beyond the deadline of the call
// while the guard reads nothing, so the call does not wait for it.
func (c *client) sendHead(head []byte) {
	defer close(c.headWritten)
	if _, err := c.stream.Write(head); err != nil {
		c.abort()
	}
}

// sendBody streams the body after the guard has requested it. On an error the
// end marker is missing, so that the guard does not treat the body as complete.
func (c *client) sendBody(body *Body) {
	if err := writeBody(c.stream, body.Reader()); err != nil {
		c.abort()
	}
}

func writeBody(stream io.Writer, body io.Reader) error {
	sent, err := copyChunks(body, func(chunk []byte) error {
		return frame.Write(stream, &wirepb.CallFrame{Frame: &wirepb.CallFrame_Body{Body: chunk}})
	})
	if err != nil {
		return err
	}
	end := callwire.EncodeEnd(sent, nil)
	return frame.Write(stream, &wirepb.CallFrame{Frame: &wirepb.CallFrame_End{End: end}})
}

// withdraw informs the guard that the call must be dropped unless it already
// has a slot.
func (c *client) withdraw() {
	<-c.headWritten
	// An error means that the stream is closed, which the next read reports.
	_ = frame.Write(c.stream, &wirepb.CallFrame{Frame: &wirepb.CallFrame_Withdraw{Withdraw: &wirepb.Withdraw{}}})
}

// abort unblocks all reads and writes of the stream and closes it.
func (c *client) abort() {
	// Errors are irrelevant, as the stream is discarded.
	_ = c.stream.SetDeadline(time.Unix(1, 0))
	_ = c.stream.Close()
}

func (c *client) close() {
	c.stopAbort()
	c.abort()
}
