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
	"github.com/wasabiport/wasabiport/protocol/wirepb"
	"github.com/wasabiport/wasabiport/state"
)

// Result is what a guard says to a call: a reply or a refusal.
type Result struct {
	Reply   *Reply
	Refusal *state.Refusal
	Load    call.LoadHint
}

// Do sends one call over a stream that it takes over, and returns the answer.
// When ctx ends, the stream is closed and the guard cancels the call. When
// wanted ends, the guard gives the call up unless it has its slot.
func Do(ctx, wanted context.Context, stream net.Conn, head call.Head, body *Body) Result {
	client := &client{
		stream: stream,
		reader: frame.NewReader(stream),
		head:   head,
		wanted: wanted,
	}
	client.stopWatch = context.AfterFunc(ctx, client.abort)
	answer := client.do(body)
	if answer.Reply == nil {
		client.close()
	}
	if answer.Refusal != nil && ctx.Err() != nil {
		answer.Refusal = refusalOf(ctx.Err(), answer.Refusal.Outcome)
	}
	return answer
}

func refusalOf(err error, outcome state.Outcome) *state.Refusal {
	reason := state.RefusedCanceled
	if errors.Is(err, context.DeadlineExceeded) {
		reason = state.RefusedDeadline
	}
	return &state.Refusal{Reason: reason, Outcome: outcome, Detail: "the call ended before its answer came"}
}

type client struct {
	stream    net.Conn
	reader    *frame.Reader
	head      call.Head
	stopWatch func() bool
	wanted    context.Context
	// unconfirmed says that the guard must not run the call yet.
	unconfirmed bool
}

// signTimeout bounds the time in which a guard gives a first sign of a call
// whose start is to be confirmed.
const signTimeout = 400 * time.Millisecond

// confirmsStart reports whether the guard has to ask before it runs a call: one
// that may run once is then known not to have run while it waits, even when its
// guard is lost. Records answer for the calls with keys.
func confirmsStart(head call.Head) bool { return !head.Idempotent && head.IdempotencyKey == "" }

func (c *client) do(body *Body) Result {
	c.unconfirmed = body.Rest != nil || confirmsStart(c.head)
	if c.unconfirmed {
		// An error means that the stream is gone, which the write shows.
		_ = c.stream.SetReadDeadline(time.Now().Add(signTimeout))
	}
	if err := c.sendHead(body); err != nil {
		return Result{Refusal: c.lost()}
	}
	defer context.AfterFunc(c.wanted, c.withdraw)()
	for {
		var reply wirepb.ReplyFrame
		if err := frame.Read(c.reader, &reply, maxFrameBytes); err != nil {
			return Result{Refusal: c.lost()}
		}
		if c.unconfirmed {
			_ = c.stream.SetReadDeadline(time.Time{})
		}
		switch message := reply.GetFrame().(type) {
		case *wirepb.ReplyFrame_Queued:
		case *wirepb.ReplyFrame_Proceed:
			c.unconfirmed = false
			go c.sendRest(body)
		case *wirepb.ReplyFrame_Refusal:
			return c.refused(message.Refusal)
		case *wirepb.ReplyFrame_Head:
			return c.replied(message.Head)
		default:
			return Result{Refusal: c.lost()}
		}
	}
}

// lost is the answer when the guard can't be heard any more after the head
// was sent.
func (c *client) lost() *state.Refusal {
	if c.unconfirmed {
		return state.NotRun(state.RefusedUnreachable, "the guard was lost before it ran the call")
	}
	return state.MayHaveRun(state.RefusedUnreachable, "the connection to the guard was lost during the call")
}

func (c *client) refused(message *wirepb.Refusal) Result {
	if state.CallID(message.GetId()) != c.head.ID {
		return Result{Refusal: c.lost()}
	}
	refusal, load := callwire.DecodeRefusal(message)
	return Result{Refusal: refusal, Load: load}
}

func (c *client) replied(message *wirepb.ReplyHead) Result {
	head := callwire.DecodeReplyHead(message)
	if head.ID != c.head.ID || !finalStatus(head.Status) {
		return Result{Refusal: c.lost()}
	}
	reader := &bodyReader{client: c}
	reply := &Reply{Head: head, Body: reader, Trailers: reader.trailersOfEnd}
	return Result{Reply: reply, Load: head.Load}
}

// finalStatus reports whether a status can end an HTTP exchange.
func finalStatus(status int) bool { return status >= 200 && status <= 999 }

// sendHead writes the head and, when the body is short, the body with it in
// one write.
func (c *client) sendHead(body *Body) error {
	message := callwire.EncodeHead(time.Now(), c.head)
	message.AwaitsProceed = c.unconfirmed
	var buffer bytes.Buffer
	if err := frame.Write(&buffer, &wirepb.CallFrame{Frame: &wirepb.CallFrame_Head{Head: message}}); err != nil {
		return err
	}
	if !c.unconfirmed {
		if err := writeBody(&buffer, body.Reader()); err != nil {
			return err
		}
	}
	_, err := c.stream.Write(buffer.Bytes())
	return err
}

// sendRest streams a long body. An error leaves the body without an end
// marker, so the guard does not take it for whole.
func (c *client) sendRest(body *Body) {
	if err := writeBody(c.stream, body.Reader()); err != nil {
		c.abort()
	}
}

func writeBody(stream io.Writer, body io.Reader) error {
	sent, err := copyFrames(body, func(chunk []byte) error {
		return frame.Write(stream, &wirepb.CallFrame{Frame: &wirepb.CallFrame_Body{Body: chunk}})
	})
	if err != nil {
		return err
	}
	end := callwire.EncodeEnd(sent, nil)
	return frame.Write(stream, &wirepb.CallFrame{Frame: &wirepb.CallFrame_End{End: end}})
}

// withdraw tells the guard that the call is not wanted any more.
func (c *client) withdraw() {
	// An error means that the stream is gone, which the next read shows.
	_ = frame.Write(c.stream, &wirepb.CallFrame{Frame: &wirepb.CallFrame_Withdraw{Withdraw: &wirepb.Withdraw{}}})
}

// abort ends all reads and writes of the stream and closes it.
func (c *client) abort() {
	// The errors of a stream that is given up tell nothing.
	_ = c.stream.SetDeadline(time.Unix(1, 0))
	_ = c.stream.Close()
}

func (c *client) close() {
	c.stopWatch()
	c.abort()
}
