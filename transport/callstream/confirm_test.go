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

// guardFunc handles calls as a guard does.
type guardFunc func(ctx context.Context, body io.Reader) (*callstream.Reply, *state.Refusal)

func (f guardFunc) Handle(ctx context.Context, _ call.Head, body io.Reader) (*callstream.Reply, *state.Refusal) {
	return f(ctx, body)
}

func (guardFunc) Load(state.BackendServerName) call.LoadHint { return call.LoadHint{} }

// do sends a call that may run once to a guard. The guard's side of the stream
// is closed when handle says that the guard is lost.
func do(t *testing.T, handle func(body callstream.StartConfirmer, all io.Reader) (lost bool)) callstream.Result {
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

func TestCallThatWaitsAtALostGuardHasNotRun(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		answer := do(t, func(body callstream.StartConfirmer, _ io.Reader) bool {
			queued := body.NotifyQueued()
			time.Sleep(3 * time.Second)
			return queued == nil
		})
		require.Equal(t, state.OutcomeNotRun, answer.Refusal.Outcome)
		require.Equal(t, state.RefusedUnreachable, answer.Refusal.Reason)
	})
}

func TestCallWhoseStartIsConfirmedMayHaveRun(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		answer := do(t, func(body callstream.StartConfirmer, all io.Reader) bool {
			confirmed := body.ConfirmStart()
			got, err := io.ReadAll(all)
			return confirmed == nil && err == nil && string(got) == "notice"
		})
		require.Equal(t, state.OutcomeMayHaveRun, answer.Refusal.Outcome)
	})
}

func TestGuardWithoutASignIsGivenUpSoon(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		began := time.Now()
		confirmed := make(chan error, 1)
		answer := do(t, func(body callstream.StartConfirmer, _ io.Reader) bool {
			time.Sleep(time.Second)
			confirmed <- body.ConfirmStart()
			return false
		})
		require.Less(t, time.Since(began), time.Second)
		require.Equal(t, state.OutcomeNotRun, answer.Refusal.Outcome)
		require.Error(t, <-confirmed, "it must not run any more")
	})
}

// TestStartThatNobodyConfirmsIsGivenUp has the entry node fall silent, or end
// the stream, when it is asked.
func TestStartThatNobodyConfirmsIsGivenUp(t *testing.T) {
	t.Run("silent", func(t *testing.T) { requireNotConfirmed(t, false) })
	t.Run("ended", func(t *testing.T) { requireNotConfirmed(t, true) })
}

func requireNotConfirmed(t *testing.T, ends bool) {
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
			_ = callstream.Do(t.Context(), t.Context(), deafConn{Conn: near, ends: ends}, head, &callstream.Body{})
		}()
		require.Error(t, <-confirmed)
		require.NoError(t, near.Close())
	})
}

// deafConn writes the head of a call and takes everything that comes without
// passing it on, or ends the stream then.
type deafConn struct {
	net.Conn
	ends bool
}

func (c deafConn) Read([]byte) (int, error) {
	buffer := make([]byte, 1<<10)
	for {
		if _, err := c.Conn.Read(buffer); err != nil {
			return 0, err
		}
		if c.ends {
			return 0, errors.CombineErrors(io.EOF, c.Close())
		}
	}
}

// TestWithdrawnCallThatWaitsHasNotRun withdraws calls of both kinds while they
// wait, and one that runs.
func TestWithdrawnCallThatWaitsHasNotRun(t *testing.T) {
	withdrawn := state.NotRun(state.RefusedCanceled, "withdrawn")
	guard := guardFunc(func(_ context.Context, body io.Reader) (*callstream.Reply, *state.Refusal) {
		select {
		case <-body.(callstream.Withdrawable).Withdrawn():
			return nil, withdrawn
		case <-time.After(5 * time.Second):
			return nil, state.NotRun(state.RefusedShed, "")
		}
	})
	for name, idempotent := range map[string]bool{"idempotent": true, "runs once": false} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				go func() { _ = callstream.Serve(t.Context(), far, guard) }()
				wanted, withdraw := context.WithTimeout(t.Context(), 300*time.Millisecond)
				defer withdraw()
				head := call.Head{
					ID: "id-1", BackendServer: "desk-0", Deadline: time.Now().Add(10 * time.Second),
					Method: "POST", Target: "/", Idempotent: idempotent,
				}
				began := time.Now()
				answer := callstream.Do(t.Context(), wanted, near, head, &callstream.Body{})
				require.Equal(t, withdrawn.Outcome, answer.Refusal.Outcome)
				require.Equal(t, withdrawn.Reason, answer.Refusal.Reason)
				require.Equal(t, 300*time.Millisecond, time.Since(began))
			})
		})
	}
}
