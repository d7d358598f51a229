package entry

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/protocol/httpmap"
	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/callstream"
)

const (
	// maxPrefixBytes is how much of a request body is buffered, so that the
	// call can be sent to another guard if the first one did not run it.
	maxPrefixBytes = 64 << 10
	// smallReplyBytes is the length up to which replies are not flushed part by
	// part: the HTTP server writes them when the handler returns.
	smallReplyBytes = 1 << 10
)

// requestBody is the body of a caller's request.
type requestBody struct {
	callstream.Body
	// ahead is nil if Prefix is the whole body.
	ahead *readAhead
	// memory accounts for prefixBytes.
	memory      callerMemory
	prefixBytes int64
}

// release ends the use of the body.
func (b *requestBody) release(controller *http.ResponseController) {
	b.abortRead(controller)
	b.memory.release(b.prefixBytes)
}

// receiveBody is readBody within the deadline of head. It refuses the call if this node
// has become too late to take it while its body arrived.
func (h *Handler) receiveBody(
	controller *http.ResponseController,
	r *http.Request,
	head call.Head,
	cancel func(),
) (*requestBody, *state.Refusal) {
	body, refusal := h.readBody(controller, r, h.capBody(head.Deadline), cancel)
	tooLate := h.admit(head)
	if tooLate == nil {
		return body, refusal
	}
	if refusal == nil {
		body.release(controller)
	}
	return nil, tooLate
}

// readBody buffers the prefix of a request body, and reads ahead in the rest. The
// whole body must arrive before the deadline. cancel is called when the caller leaves
// before that.
func (h *Handler) readBody(
	controller *http.ResponseController,
	r *http.Request,
	deadline time.Time,
	cancel func(),
) (*requestBody, *state.Refusal) {
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return &requestBody{}, nil
	}
	maxBytes := h.maxBodyBytes()
	if r.ContentLength > maxBytes {
		return nil, bodyTooLarge()
	}
	// An error means that the connection is closed, which the read reports.
	_ = controller.SetReadDeadline(deadline)
	limited := http.MaxBytesReader(nil, r.Body, maxBytes)
	prefix := heldBuffer{memory: memoryOf(r.Context())}
	err := prefix.read(limited, maxPrefixBytes)
	body := &requestBody{Body: callstream.Body{Prefix: prefix.data}, memory: prefix.memory, prefixBytes: prefix.held}
	if errors.Is(err, io.EOF) {
		_ = controller.SetReadDeadline(time.Time{})
		return body, nil
	}
	if err != nil {
		prefix.memory.release(prefix.held)
		return nil, refusalOfBody(err)
	}
	// The response may start before the body has ended. HTTP/2 is always
	// full-duplex and needs no call, so the error is ignored.
	_ = controller.EnableFullDuplex()
	body.ahead = newReadAhead(limited, body.memory, cancel)
	body.Rest = body.ahead
	return body, nil
}

// maxBodyBytes returns the limit in force.
func (h *Handler) maxBodyBytes() int64 {
	defaults := state.RequestLimits{MaxBodyBytes: h.config.MaxBodyBytes}
	return h.snapshots.Load().Limits().Or(defaults).MaxBodyBytes
}

// refusalOfBody returns the refusal of a call whose body could not be read.
func refusalOfBody(err error) *state.Refusal {
	var overLimit *http.MaxBytesError
	switch {
	case errors.As(err, &overLimit):
		return bodyTooLarge()
	case errors.Is(err, errBodyMemory):
		return state.NotRun(state.RefusedQueueFull, "the node has no memory for the request body")
	default:
		return state.NotRun(state.RefusedBadRequest, "the request body could not be read")
	}
}

// abortRead ends a pending read of a body that the caller has not sent
// completely.
func (b *requestBody) abortRead(controller *http.ResponseController) {
	if b.ahead != nil && b.ahead.drop() {
		_ = controller.SetReadDeadline(time.Unix(1, 0))
	}
}

func bodyTooLarge() *state.Refusal {
	return state.NotRun(state.RefusedTooLarge, "the request body is larger than this node accepts")
}

// writeReply streams a reply to the caller. If the reply is truncated, it
// aborts the connection so that the caller does not treat the response as
// complete.
func (h *Handler) writeReply(
	w http.ResponseWriter,
	controller *http.ResponseController,
	reply *callstream.Reply,
) {
	defer func() { _ = reply.Body.Close() }()
	header := w.Header()
	httpmap.SetFields(header, reply.Head.Fields)
	h.mapper.SetReplyHeader(header, reply.Head.ID)
	if reply.Head.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(reply.Head.ContentLength, 10))
	}
	w.WriteHeader(reply.Head.Status)
	flushing := &flushWriter{
		writer:     w,
		controller: controller,
		timeout:    h.config.StallTimeout,
		small:      reply.Head.ContentLength >= 0 && reply.Head.ContentLength <= smallReplyBytes,
	}
	if _, err := io.Copy(flushing, reply.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	for _, trailer := range reply.Trailers() {
		header.Add(http.TrailerPrefix+trailer.Name, trailer.Value)
	}
}

// flushWriter flushes each part of a reply immediately, and fails if the caller
// does not read it within the timeout.
type flushWriter struct {
	writer     io.Writer
	controller *http.ResponseController
	timeout    time.Duration
	small      bool
}

func (w *flushWriter) Write(p []byte) (int, error) {
	if w.small {
		return w.writer.Write(p)
	}
	if err := w.controller.SetWriteDeadline(time.Now().Add(w.timeout)); err != nil {
		return 0, err
	}
	n, err := w.writer.Write(p)
	if err != nil {
		return n, err
	}
	return n, w.controller.Flush()
}
