package callstream

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/wasabiport/wasabiport/coordination/call"
)

// Reply is the response of a backend server to a call.
type Reply struct {
	Head call.ReplyHead
	// Body returns io.EOF only if it is complete. It must be closed.
	Body io.ReadCloser
	// Trailers returns the trailers. It is valid after Body has returned
	// io.EOF.
	Trailers func() []call.Field
}

const (
	// maxHeldBytes is the length up to which Hold reads a reply completely.
	maxHeldBytes = 64 << 10
	// heldPartBytes is how much Hold reads at most of any other reply.
	heldPartBytes = 4 << 10
)

// Hold reads the start of the body before any part of the reply is passed on, so
// that a call whose reply is cut can still be refused or retried. A reply of up to
// maxHeldBytes is read completely. Of a longer one, or one of unknown length, the
// first part is read as soon as it arrives, as more would delay it. An error means
// that the reply was cut; its body must still be closed.
func (r *Reply) Hold() error {
	if length := r.Head.ContentLength; length >= 0 && length <= maxHeldBytes {
		return r.holdWhole(length)
	}
	return r.holdPart()
}

func (r *Reply) holdWhole(length int64) error {
	whole := bytes.NewBuffer(make([]byte, 0, length+bytes.MinRead))
	if _, err := whole.ReadFrom(r.Body); err != nil {
		return errors.Wrap(err, "read a short reply")
	}
	r.Body = heldBody{Reader: whole, Closer: r.Body}
	return nil
}

func (r *Reply) holdPart() error {
	part := make([]byte, heldPartBytes)
	n, err := io.ReadAtLeast(r.Body, part, 1)
	if err != nil && (errors.Is(err, ErrTruncated) || !errors.Is(err, io.EOF)) {
		return errors.Wrap(err, "read the first part of a reply")
	}
	r.Body = heldBody{Reader: io.MultiReader(bytes.NewReader(part[:n]), r.Body), Closer: r.Body}
	return nil
}

// HoldMost reads a reply of unknown length up to maxHeldBytes, after Hold. An error means
// that it was cut before that; its body must still be closed.
func (r *Reply) HoldMost() error {
	if r.Head.ContentLength >= 0 {
		return nil
	}
	var held bytes.Buffer
	_, err := io.CopyN(&held, r.Body, maxHeldBytes)
	if err != nil && (errors.Is(err, ErrTruncated) || !errors.Is(err, io.EOF)) {
		return errors.Wrap(err, "read a reply of unknown length")
	}
	r.Body = heldBody{Reader: io.MultiReader(&held, r.Body), Closer: r.Body}
	return nil
}

// heldBody is a reply body of which the start, or all, was read.
type heldBody struct {
	io.Reader
	io.Closer
}
