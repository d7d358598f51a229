package entry

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiport/wasabiport/protocol/httpmap"
	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/callstream"
)

const (
	// maxPrefixBytes is how much of a request body is kept, so that the call
	// can be sent to another guard when the first did not run it.
	maxPrefixBytes = 64 << 10
	// smallReplyBytes is the length of replies that the server writes at once
	// when the handler returns.
	smallReplyBytes = 1 << 10
)

// requestBody is the body of a caller's request.
type requestBody struct {
	callstream.Body
}

// readBody reads the prefix of a request body. The whole body has to come
// before the deadline.
func (h *Handler) readBody(
	controller *http.ResponseController,
	r *http.Request,
	deadline time.Time,
) (*requestBody, *state.Refusal) {
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return &requestBody{}, nil
	}
	if r.ContentLength > h.config.MaxBodyBytes {
		return nil, tooLarge()
	}
	// An error means that the connection is gone, which the read shows.
	_ = controller.SetReadDeadline(deadline)
	limited := http.MaxBytesReader(nil, r.Body, h.config.MaxBodyBytes)
	var prefix bytes.Buffer
	_, err := io.CopyN(&prefix, limited, maxPrefixBytes)
	var overLimit *http.MaxBytesError
	switch {
	case errors.Is(err, io.EOF):
		_ = controller.SetReadDeadline(time.Time{})
		return &requestBody{callstream.Body{Prefix: prefix.Bytes()}}, nil
	case errors.As(err, &overLimit):
		return nil, tooLarge()
	case err != nil:
		return nil, state.NotRun(state.RefusedBadRequest, "the request body could not be read")
	}
	// The answer may begin before the body has ended. HTTP/2 needs no leave.
	_ = controller.EnableFullDuplex()
	return &requestBody{callstream.Body{Prefix: prefix.Bytes(), Rest: limited}}, nil
}

// release ends a read of the body that may still wait for the caller.
func (b *requestBody) release(controller *http.ResponseController) {
	if b.Rest != nil && !b.FullyRead() {
		_ = controller.SetReadDeadline(time.Unix(1, 0))
	}
}

func tooLarge() *state.Refusal {
	return state.NotRun(state.RefusedTooLarge, "the request body is larger than this node accepts")
}

// writeReply streams a reply to the caller. A reply that is cut aborts the
// connection, so that the caller can't take it for whole.
func (h *Handler) writeReply(
	w http.ResponseWriter,
	controller *http.ResponseController,
	reply *callstream.Reply,
) {
	defer func() { _ = reply.Body.Close() }()
	header := w.Header()
	httpmap.SetFields(header, reply.Head.Fields)
	h.front.SetReplyHeader(header, reply.Head.ID)
	if reply.Head.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(reply.Head.ContentLength, 10))
	}
	w.WriteHeader(reply.Head.Status)
	paced := &pacedWriter{
		writer:     w,
		controller: controller,
		timeout:    h.config.StallTimeout,
		small:      reply.Head.ContentLength >= 0 && reply.Head.ContentLength <= smallReplyBytes,
	}
	if _, err := io.Copy(paced, reply.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	for _, trailer := range reply.Trailers() {
		header.Add(http.TrailerPrefix+trailer.Name, trailer.Value)
	}
}

// pacedWriter passes each part of a reply on at once, and fails when the
// caller does not read it in time.
type pacedWriter struct {
	writer     io.Writer
	controller *http.ResponseController
	timeout    time.Duration
	small      bool
}

func (w *pacedWriter) Write(p []byte) (int, error) {
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
