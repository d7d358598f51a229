package entry

import (
	"bytes"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/wasabiport/wasabiport/protocol/httpmap"
	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/callstream"
)

// maxPrefixBytes is how much of a request body is kept, so that the call can
// be sent to another guard when the first did not run it.
const maxPrefixBytes = 64 << 10

// readBody reads the prefix of a request body.
func readBody(r *http.Request) (callstream.Body, error) {
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return callstream.Body{}, nil
	}
	var prefix bytes.Buffer
	_, err := io.CopyN(&prefix, r.Body, maxPrefixBytes)
	if errors.Is(err, io.EOF) {
		return callstream.Body{Prefix: prefix.Bytes()}, nil
	}
	if err != nil {
		return callstream.Body{}, errors.Wrap(err, "read request body")
	}
	return callstream.Body{Prefix: prefix.Bytes(), Rest: r.Body}, nil
}

// writeReply streams a reply to the caller. A reply that is cut aborts the
// connection, so that the caller can't take it for whole.
func writeReply(w http.ResponseWriter, reply *callstream.Reply) {
	defer func() { _ = reply.Body.Close() }()
	header := w.Header()
	httpmap.SetFields(header, reply.Head.Fields)
	header.Set(httpmap.HeaderOutcome, state.OutcomeDone.String())
	header.Set(httpmap.HeaderCallID, string(reply.Head.ID))
	if reply.Head.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(reply.Head.ContentLength, 10))
	}
	w.WriteHeader(reply.Head.Status)
	flushing := &flushWriter{writer: w, controller: http.NewResponseController(w)}
	if _, err := io.Copy(flushing, reply.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	for _, trailer := range reply.Trailers() {
		header.Add(http.TrailerPrefix+trailer.Name, trailer.Value)
	}
}

// flushWriter passes each part of a reply on at once.
type flushWriter struct {
	writer     io.Writer
	controller *http.ResponseController
}

func (f *flushWriter) Write(p []byte) (int, error) {
	n, err := f.writer.Write(p)
	if err != nil {
		return n, err
	}
	return n, f.controller.Flush()
}
