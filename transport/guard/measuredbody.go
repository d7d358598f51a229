package guard

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/wasabiport/wasabiport/coordination/admission"
	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/transport/callstream"
)

// measuredBody reports the size of an answer to admission. If the answer uses the
// link of the host, it passes on the parts of a long one at the rate of the link.
type measuredBody struct {
	io.ReadCloser
	// ctx ends when nobody waits for the answer any more.
	ctx  context.Context
	link *admission.Link
	long bool
	// read is the number of bytes that were passed on.
	read   int64
	record func(bytes int64)
	once   sync.Once
}

// measure reports the size of a reply to admission: now if its head states it, and
// when its body is closed. It does nothing if the link is not limited.
func (g *gate) measure(ctx context.Context, head call.Head, reservation *admission.Reservation, reply *callstream.Reply) {
	if g.link == nil {
		return
	}
	record := func(bytes int64) {
		g.admission.RecordAnswerSize(time.Now(), reservation, bytes)
	}
	if length := reply.Head.ContentLength; length >= 0 && head.Method != http.MethodHead {
		record(length)
		g.awaitGrant()
	}
	body := &measuredBody{ReadCloser: reply.Body, ctx: ctx, record: record}
	if !head.Local {
		body.link = g.link
		body.long = g.link.IsLong(reply.Head.ContentLength)
	}
	reply.Body = body
}

// Read reads a part of the body. A part of a long answer is returned when the link
// can send it.
func (b *measuredBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	b.long = b.long || b.link.IsLong(b.read)
	if wait := b.link.Pace(time.Now(), n, b.long); wait > 0 {
		b.pause(wait)
	}
	return n, err
}

// pause waits until the link can send the next part, or nobody waits for it.
func (b *measuredBody) pause(wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-b.ctx.Done():
	}
}

// Close reports the number of bytes that were passed on.
func (b *measuredBody) Close() error {
	b.once.Do(func() { b.record(b.read) })
	return b.ReadCloser.Close()
}
