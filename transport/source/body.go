package source

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Limits of the body of a response.
const (
	// maxResponseBytes is the maximum size of a body.
	maxResponseBytes = 8 << 20
	// bodyStallTimeout is how long a body may deliver no byte.
	bodyStallTimeout = 1500 * time.Millisecond
	// bodyTimeout is how long a body may take in all. A body of the maximum size
	// that a platform allows for a value takes 2 s on a link of 7 Mbit/s.
	bodyTimeout = 10 * time.Second
)

// ErrTooLarge marks the errors of answers that exceed their maximum size.
var ErrTooLarge = errors.New("the answer is too large")

// Reasons why a read is canceled.
var (
	errNoAnswer = errors.Wrap(context.DeadlineExceeded, "no answer")
	errStalled  = errors.Wrap(context.DeadlineExceeded, "the answer stalled")
)

// readBody reads the body of a response to its end. Cancel is called when the body
// stalls or takes too long; it has to make reads fail. A body that is announced as
// too large is not read.
func readBody(response *http.Response, maxBytes int64, cancel context.CancelCauseFunc) ([]byte, error) {
	if maxBytes == 0 || maxBytes > maxResponseBytes {
		maxBytes = maxResponseBytes
	}
	if response.ContentLength > maxBytes {
		return nil, tooLarge(maxBytes)
	}
	limit := time.AfterFunc(bodyTimeout, func() { cancel(errStalled) })
	defer limit.Stop()
	stall := time.AfterFunc(bodyStallTimeout, func() { cancel(errStalled) })
	defer stall.Stop()
	body := &progressReader{Reader: io.LimitReader(response.Body, maxBytes+1), stall: stall}
	content, err := io.ReadAll(body)
	if err == nil && int64(len(content)) > maxBytes {
		return nil, tooLarge(maxBytes)
	}
	return content, err
}

func tooLarge(maxBytes int64) error {
	return errors.Mark(errors.Newf("the response has more than %d bytes", maxBytes), ErrTooLarge)
}

// progressReader restarts a timer with every byte that it reads.
type progressReader struct {
	io.Reader
	stall *time.Timer
}

func (p *progressReader) Read(buffer []byte) (int, error) {
	n, err := p.Reader.Read(buffer)
	if n > 0 {
		p.stall.Reset(bodyStallTimeout)
	}
	return n, err
}
