package callstream_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/internal/virtualtime"
	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/callstream"
)

// Guards against answers that look complete although the guard was lost during them.
func TestAnswerOfLostGuardIsTruncated(t *testing.T) {
	for name, length := range map[string]int64{"long": 100 << 10, "unknown length": -1} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				guard := guardFunc(func(context.Context, io.Reader) (*callstream.Reply, *state.Refusal) {
					return &callstream.Reply{
						Head:     call.ReplyHead{ID: "id-1", Status: 200, ContentLength: length},
						Body:     &lostBody{Reader: strings.NewReader("part"), stream: far},
						Trailers: func() []call.Field { return nil },
					}, nil
				})
				go func() { _ = callstream.Serve(t.Context(), far, guard) }()
				head := call.Head{
					ID: "id-1", BackendServer: "desk-0", Deadline: time.Now().Add(time.Minute),
					Method: "GET", Target: "/", Idempotent: true,
				}
				result := callstream.Do(t.Context(), t.Context(), near, head, &callstream.Body{})
				require.Nil(t, result.Refusal)
				_, err := io.Copy(io.Discard, result.Reply.Body)
				require.Error(t, err)
				require.NoError(t, result.Reply.Body.Close())
			})
		})
	}
}

// lostBody is a body that closes the stream, as if the guard was lost, when it has
// been read.
type lostBody struct {
	io.Reader
	stream net.Conn
}

func (b *lostBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil {
		_ = b.stream.Close()
	}
	return n, err
}

func (*lostBody) Close() error { return nil }
