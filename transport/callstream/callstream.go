// Package callstream transfers one call over one stream between the entry node
// and the guard.
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

// Sizes of frames.
const (
	// maxFrameBytes is the maximum size of a frame.
	maxFrameBytes = 1 << 20
	// bodyChunkBytes is the maximum size of the body chunks that are sent.
	bodyChunkBytes = 32 << 10
)

// ErrTruncated means that a body ended before its end marker, or with another
// length than its sender stated. The part that was read must not be forwarded
// as complete.
var ErrTruncated = errors.New("body was truncated")

// Body is the body of a request at the entry node. It must not be copied after
// first use.
type Body struct {
	// Prefix holds the buffered start of the body, so that a call that was not
	// run can be sent again.
	Prefix []byte
	// Rest is the remainder of the body, or nil if Prefix is the whole body. It
	// is read only after the guard has assigned a slot to the call.
	Rest io.Reader

	consumed atomic.Bool
}

// Reader returns a reader of the whole body.
func (b *Body) Reader() io.Reader {
	if b.Rest == nil {
		return bytes.NewReader(b.Prefix)
	}
	return io.MultiReader(bytes.NewReader(b.Prefix), restReader{body: b})
}

// Consumed reports whether a part of Rest has been read, after which the body
// can't be sent again.
func (b *Body) Consumed() bool { return b.consumed.Load() }

// restReader reads the rest of a body and records that it was read.
type restReader struct{ body *Body }

func (r restReader) Read(p []byte) (int, error) {
	r.body.consumed.Store(true)
	return r.body.Rest.Read(p)
}

// StartConfirmer is implemented by bodies of calls that must not run before the
// entry node has confirmed the start.
type StartConfirmer interface {
	// NotifyQueued informs the entry node that the call is waiting for a slot.
	NotifyQueued() error
	// ConfirmStart asks the entry node to confirm that the call may run now.
	// The call must not run if it returns an error.
	ConfirmStart() error
}

// Withdrawable is implemented by bodies of calls that the entry node may
// withdraw.
type Withdrawable interface {
	// Withdrawn returns a channel that is closed when the call must be dropped
	// unless it already has a slot.
	Withdrawn() <-chan struct{}
}

// LocalBody is the body of a call to the guard of the same node.
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

// Handler runs calls at the guard. The caller of Handle must close the returned
// Reply's body.
type Handler interface {
	// Handle runs one call. The first read of body requests it from the entry
	// node. The body may implement StartConfirmer and Withdrawable.
	Handle(ctx context.Context, head call.Head, body io.Reader) (*Reply, *state.Refusal)
	// Load returns the load hint that is sent with a refusal.
	Load(server state.BackendServerName) call.LoadHint
}
