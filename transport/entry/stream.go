package entry

import (
	"bytes"
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
		body.abortRead(controller)
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
	if r.ContentLength > h.config.MaxBodyBytes {
		return nil, bodyTooLarge()
	}
	// An error means that the connection is closed, which the read reports.
	_ = controller.SetReadDeadline(deadline)
	limited := http.MaxBytesReader(nil, r.Body, h.config.MaxBodyBytes)
	var prefix bytes.Buffer
	_, err := io.CopyN(&prefix, limited, maxPrefixBytes)
	var overLimit *http.MaxBytesError
	switch {
	case errors.Is(err, io.EOF):
		_ = controller.SetReadDeadline(time.Time{})
		return &requestBody{Body: callstream.Body{Prefix: prefix.Bytes()}}, nil
	case errors.As(err, &overLimit):
		return nil, bodyTooLarge()
	case err != nil:
		return nil, state.NotRun(state.RefusedBadRequest, "the request body could not be read")
	}
	// The response may start before the body has ended. HTTP/2 is always
	// full-duplex and needs no call, so the error is ignored.
	_ = controller.EnableFullDuplex()
	ahead := newReadAhead(limited, cancel)
	return &requestBody{Body: callstream.Body{Prefix: prefix.Bytes(), Rest: ahead}, ahead: ahead}, nil
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
