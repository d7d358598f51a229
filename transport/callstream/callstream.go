// Package callstream carries one call over one stream between the entry node
// and the guard node.
package callstream

import (
	"bytes"
	"context"
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/state"
)

// Sizes of what is read from a stream.
const (
	// maxFrameBytes bounds one frame.
	maxFrameBytes = 1 << 20
	// bodyChunkBytes is the size of the body frames that are written.
	bodyChunkBytes = 32 << 10
)

// ErrTruncated means that a body ended before its end marker or with another length
// than its sender announced. What was read of it must not be passed on as
// whole.
var ErrTruncated = errors.New("body was cut")

// Body is the body of a request at the entry node. It must not be copied after
// its first use.
type Body struct {
	// Prefix holds the first bytes, so that a call that was not run can be
	// sent again.
	Prefix []byte
	// Rest is nil when Prefix is the whole body. It is read only after the
	// guard has given the call its slot.
	Rest io.Reader

	taken atomic.Bool
	ended atomic.Bool
}

// Reader returns the whole body.
func (b *Body) Reader() io.Reader {
	if b.Rest == nil {
		return bytes.NewReader(b.Prefix)
	}
	return io.MultiReader(bytes.NewReader(b.Prefix), takenReader{body: b})
}

// Consumed reports whether a part of Rest has been read, so that the body can't
// be sent again.
func (b *Body) Consumed() bool { return b.taken.Load() }

// CallFinished reports whether Rest has been read to its end.
func (b *Body) FullyRead() bool { return b.ended.Load() }

// takenReader reads the rest of a body.
type takenReader struct{ body *Body }

func (r takenReader) Read(p []byte) (int, error) {
	r.body.taken.Store(true)
	n, err := r.body.Rest.Read(p)
	if errors.Is(err, io.EOF) {
		r.body.ended.Store(true)
	}
	return n, err
}

// Reply is the answer to a call.
type Reply struct {
	Head call.ReplyHead
	// Body ends with io.EOF only when it is whole. It must be closed.
	Body io.ReadCloser
	// Trailers returns the trailers once Body has ended with io.EOF.
	Trailers func() []call.Field
}

// StartConfirmer is the body of a call that must not run before its entry node has
// confirmed the start.
type StartConfirmer interface {
	// NotifyQueued tells the entry node that the call waits for a slot.
	NotifyQueued() error
	// ConfirmStart asks the entry node to confirm that the call may run now. After an
	// error the call must not run.
	ConfirmStart() error
}

// Withdrawable is the body of a call that its entry node may withdraw.
type Withdrawable interface {
	// Withdrawn returns a channel that is closed when the call is not wanted
	// any more, unless it has its slot.
	Withdrawn() <-chan struct{}
}

// LocalBody is the body of a call to a guard on the same node.
type LocalBody struct {
	io.Reader
	withdrawn <-chan struct{}
}

// NewLocalBody returns a body that is withdrawn when the channel is closed.
func NewLocalBody(body io.Reader, withdrawn <-chan struct{}) LocalBody {
	return LocalBody{Reader: body, withdrawn: withdrawn}
}

// Withdrawn implements Withdrawable.
func (b LocalBody) Withdrawn() <-chan struct{} { return b.withdrawn }

// Handler runs calls at the guard. A returned Reply is closed by the caller.
type Handler interface {
	// Handle runs one call. Reading from body asks the entry node for it. A
	// body may be StartConfirmer and Withdrawable.
	Handle(ctx context.Context, head call.Head, body io.Reader) (*Reply, *state.Refusal)
	// Load returns the hint that goes with a refusal.
	Load(server state.BackendServerName) call.LoadHint
}
