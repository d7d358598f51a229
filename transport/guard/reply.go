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

// newReply returns the reply of a backend server. It calls cut when the body
// breaks off, and release once it is closed.
func newReply(
	id state.CallID,
	response *http.Response,
	shed bool,
	cut func(),
	release func(admission.Result),
) *callstream.Reply {
	body := &releasingBody{
		ReadCloser: response.Body,
		cut:        cut,
		release:    release,
		result:     admission.ResultAborted,
		whole:      admission.ResultSuccess,
	}
	if response.StatusCode >= http.StatusInternalServerError {
		body.whole = admission.ResultFailed
	}
	if shed {
		body.result = admission.ResultShed
	}
	return &callstream.Reply{
		Head: call.ReplyHead{
			ID:            id,
			Status:        response.StatusCode,
			Fields:        httpmap.Fields(response.Header),
			ContentLength: response.ContentLength,
		},
		Body:     body,
		Trailers: func() []call.Field { return httpmap.Fields(response.Trailer) },
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

// releasingBody gives the slot back when the body is closed.
type releasingBody struct {
	io.ReadCloser
	cut     func()
	release func(admission.Result)
	// result says how the call has ended so far, and whole how it ends when
	// the body is read to its end.
	result, whole admission.Result

	once sync.Once
}

func (b *releasingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == nil:
	case !errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		b.cut()
	case b.result == admission.ResultAborted:
		b.result = b.whole
	}
	return n, err
}

func (b *releasingBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() { b.release(b.result) })
	return err
}
