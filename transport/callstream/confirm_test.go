package callstream_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/internal/virtualtime"
	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/callstream"
)

// guardFunc adapts a function to callstream.Handler.
type guardFunc func(ctx context.Context, body io.Reader) (*callstream.Reply, *state.Refusal)

func (f guardFunc) Handle(ctx context.Context, _ call.Head, body io.Reader) (*callstream.Reply, *state.Refusal) {
	return f(ctx, body)
}

func (guardFunc) Load(state.BackendServerName) call.LoadHint { return call.LoadHint{} }

// sendToGuard sends a call that is not idempotent to a guard. If handle returns
// true, the guard's side of the stream is closed as if the guard was lost.
func sendToGuard(t *testing.T, handle func(body callstream.StartConfirmer, all io.Reader) (lost bool)) callstream.Result {
	near, far := net.Pipe()
	go func() {
		_ = callstream.Serve(t.Context(), far, guardFunc(func(_ context.Context, body io.Reader) (*callstream.Reply, *state.Refusal) {
			if lost := handle(body.(callstream.StartConfirmer), body); lost {
				_ = far.Close()
			}
			return nil, state.NotRun(state.RefusedShed, "")
		}))
	}()
	head := call.Head{
		ID: "id-1", BackendServer: "desk-0", Deadline: time.Now().Add(10 * time.Second),
		Method: "POST", Target: "/", ContentLength: 6,
	}
	ctx, cancel := context.WithDeadline(t.Context(), head.Deadline)
	defer cancel()
	return callstream.Do(ctx, t.Context(), near, head, &callstream.Body{Prefix: []byte("notice")})
}

func TestCallWaitingAtLostGuardHasNotRun(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		result := sendToGuard(t, func(body callstream.StartConfirmer, _ io.Reader) bool {
			queueErr := body.NotifyQueued()
			time.Sleep(3 * time.Second)
			return queueErr == nil
		})
		require.Equal(t, state.OutcomeNotRun, result.Refusal.Outcome)
		require.Equal(t, state.RefusedUnreachable, result.Refusal.Reason)
	})
}

func TestConfirmedCallMayHaveRun(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		result := sendToGuard(t, func(body callstream.StartConfirmer, all io.Reader) bool {
			confirmErr := body.ConfirmStart()
			got, err := io.ReadAll(all)
			return confirmErr == nil && err == nil && string(got) == "notice"
		})
		require.Equal(t, state.OutcomeMayHaveRun, result.Refusal.Outcome)
		require.True(t, result.Refusal.ReachedBackendServer)
	})
}

func TestSilentGuardIsAbandonedAfterTimeout(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		began := time.Now()
		confirmed := make(chan error, 1)
		result := sendToGuard(t, func(body callstream.StartConfirmer, _ io.Reader) bool {
			time.Sleep(time.Second)
			confirmed <- body.ConfirmStart()
			return false
		})
		require.Less(t, time.Since(began), time.Second)
		require.Equal(t, state.OutcomeNotRun, result.Refusal.Outcome)
		require.Error(t, <-confirmed, "the call must not run after the timeout")
	})
}

// A guard that asks for the confirmation of a start must get an error if the
// entry node stops responding or closes the stream.
func TestUnconfirmedStartFails(t *testing.T) {
	t.Run("no response", func(t *testing.T) { requireNotConfirmed(t, false) })
	t.Run("closed stream", func(t *testing.T) { requireNotConfirmed(t, true) })
}

func requireNotConfirmed(t *testing.T, closes bool) {
	virtualtime.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		confirmed := make(chan error, 1)
		go func() {
			_ = callstream.Serve(t.Context(), far, guardFunc(func(_ context.Context, body io.Reader) (*callstream.Reply, *state.Refusal) {
				confirmed <- body.(callstream.StartConfirmer).ConfirmStart()
				return nil, state.NotRun(state.RefusedCanceled, "")
			}))
		}()
		go func() {
			head := call.Head{ID: "id-1", BackendServer: "desk-0", Deadline: time.Now().Add(time.Minute), Method: "POST", Target: "/"}
			_ = callstream.Do(t.Context(), t.Context(), unresponsiveConn{Conn: near, closes: closes}, head, &callstream.Body{})
		}()
		require.Error(t, <-confirmed)
		require.NoError(t, near.Close())
	})
}

// unresponsiveConn sends the head of a call and discards all incoming data, or
// closes the stream on the first data.
type unresponsiveConn struct {
	net.Conn
	closes bool
}

func (c unresponsiveConn) Read([]byte) (int, error) {
	buffer := make([]byte, 1<<10)
	for {
		if _, err := c.Conn.Read(buffer); err != nil {
			return 0, err
		}
		if c.closes {
			return 0, errors.CombineErrors(io.EOF, c.Close())
		}
	}
}

// A call that is withdrawn while it waits at the guard must be reported as not
// run, whether or not its start must be confirmed.
func TestWithdrawnWaitingCallHasNotRun(t *testing.T) {
	withdrawn := state.NotRun(state.RefusedCanceled, "withdrawn")
	guard := guardFunc(func(_ context.Context, body io.Reader) (*callstream.Reply, *state.Refusal) {
		select {
		case <-body.(callstream.Withdrawable).Withdrawn():
			return nil, withdrawn
		case <-time.After(5 * time.Second):
			return nil, state.NotRun(state.RefusedShed, "")
		}
	})
	for name, idempotent := range map[string]bool{"idempotent": true, "not idempotent": false} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				go func() { _ = callstream.Serve(t.Context(), far, guard) }()
				queueCtx, withdraw := context.WithTimeout(t.Context(), 300*time.Millisecond)
				defer withdraw()
				head := call.Head{
					ID: "id-1", BackendServer: "desk-0", Deadline: time.Now().Add(10 * time.Second),
					Method: "POST", Target: "/", Idempotent: idempotent,
				}
				began := time.Now()
				result := callstream.Do(t.Context(), queueCtx, near, head, &callstream.Body{})
				require.Equal(t, withdrawn.Outcome, result.Refusal.Outcome)
				require.Equal(t, withdrawn.Reason, result.Refusal.Reason)
				require.Equal(t, 300*time.Millisecond, time.Since(began))
			})
		})
	}
}
