package guard

import (
	"bytes"
	"io"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/wasabiport/wasabiport/coordination/admission"
	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/coordination/callrecord"
	"github.com/wasabiport/wasabiport/protocol/httpmap"
	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/callstream"
)

// newReply returns the reply for a response of a backend server. It calls
// onTruncated if the body ends early, and release when the body is closed.
func newReply(
	id state.CallID,
	response *http.Response,
	shed bool,
	onTruncated func(),
	release func(admission.Result),
) *callstream.Reply {
	body := &releasingBody{
		ReadCloser:     response.Body,
		response:       response,
		onTruncated:    onTruncated,
		release:        release,
		result:         admission.ResultAborted,
		completeResult: admission.ResultSuccess,
	}
	if response.StatusCode >= http.StatusInternalServerError {
		body.completeResult = admission.ResultFailed
	}
	if shed {
		body.result = admission.ResultShed
	}
	return &callstream.Reply{
		Head: call.ReplyHead{
			ID:            id,
			Status:        response.StatusCode,
			Fields:        httpmap.EndToEndFields(response.Header),
			ContentLength: response.ContentLength,
		},
		Body:     body,
		Trailers: func() []call.Field { return httpmap.EndToEndFields(response.Trailer) },
	}
}

// replay returns a recorded reply.
func replay(recorded *callrecord.Reply, load call.LoadHint) *callstream.Reply {
	head := recorded.Head
	head.Load = load
	return &callstream.Reply{
		Head:     head,
		Body:     io.NopCloser(bytes.NewReader(recorded.Body)),
		Trailers: func() []call.Field { return recorded.Trailers },
	}
}

// errInvalidTrailer means that a body ended with a trailer that is not valid.
var errInvalidTrailer = errors.New("the answer has a trailer field with an invalid name")

// releasingBody releases the slot when it is closed.
type releasingBody struct {
	io.ReadCloser
	response    *http.Response
	onTruncated func()
	release     func(admission.Result)
	// result is the result of the call so far, and completeResult the result
	// once the body was read to its end.
	result, completeResult admission.Result

	once sync.Once
}

func (b *releasingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == nil:
	case !errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		b.onTruncated()
	case !httpmap.HasValidNames(b.response.Trailer):
		return n, errInvalidTrailer
	case b.result == admission.ResultAborted:
		b.result = b.completeResult
	}
	return n, err
}

func (b *releasingBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() { b.release(b.result) })
	return err
}
