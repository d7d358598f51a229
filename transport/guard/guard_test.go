package guard_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/internal/virtualtime"
	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/callstream"
)

// answerOnce answers the first request of a connection, takes the second one
// whole and breaks the connection without an answer.
func answerOnce(received *atomic.Int32) func(net.Conn) {
	return func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for i := range 2 {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			received.Add(1)
			if i == 0 {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
		}
	}
}

func TestCallReachesTheBackendServerOnceWhenItsConnectionBreaks(t *testing.T) {
	for name, test := range map[string]struct{ method, key string }{
		"method that the client would send again": {method: http.MethodGet},
		"key that makes the client send again":    {method: http.MethodPost, key: "notice-7"},
		"plain post":                              {method: http.MethodPost},
	} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				r := newRig(t, 10)
				var received atomic.Int32
				r.serve(answerOnce(&received))
				r.finish(r.do(http.MethodGet, ""))
				_, refusal := r.do(test.method, test.key)
				require.NotNil(t, refusal)
				require.Equal(t, state.OutcomeMayHaveRun, refusal.Outcome)
				require.EqualValues(t, 2, received.Load())
			})
		})
	}
}

func TestNotRunIsTrue(t *testing.T) {
	t.Run("nobody listens", func(t *testing.T) {
		virtualtime.Test(t, func(t *testing.T) {
			_, refusal := newRig(t, 10).do(http.MethodPost, "")
			require.Equal(t, state.OutcomeNotRun, refusal.Outcome)
			require.Equal(t, state.RefusedBackendServerFailed, refusal.Reason)
		})
	})
	t.Run("kept connection was closed before the call", func(t *testing.T) {
		virtualtime.Test(t, func(t *testing.T) {
			r := newRig(t, 10)
			var received atomic.Int32
			r.serve(func(conn net.Conn) {
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					received.Add(1)
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				}
			})
			r.finish(r.do(http.MethodPost, ""))
			synctest.Wait()
			r.finish(r.do(http.MethodPost, ""))
			require.EqualValues(t, 2, received.Load())
		})
	})
	t.Run("no connection came free before the deadline", func(t *testing.T) {
		virtualtime.Test(t, func(t *testing.T) {
			r := newRig(t, 1)
			var received atomic.Int32
			r.serve(func(conn net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					received.Add(1)
					_, _ = io.Copy(io.Discard, conn)
				}
			})
			first := make(chan *state.Refusal, 1)
			go func() {
				_, refusal := r.do(http.MethodPost, "")
				first <- refusal
			}()
			synctest.Wait()
			_, refusal := r.do(http.MethodPost, "")
			require.Equal(t, state.OutcomeNotRun, refusal.Outcome)
			require.Equal(t, state.RefusedDeadline, refusal.Reason)
			require.Equal(t, state.OutcomeMayHaveRun, (<-first).Outcome)
			require.EqualValues(t, 1, received.Load())
		})
	})
	t.Run("backend server does not read and the call is given up", func(t *testing.T) {
		virtualtime.Test(t, func(t *testing.T) {
			r := newRig(t, 10)
			var bytes atomic.Int64
			release := make(chan struct{})
			r.serve(func(conn net.Conn) {
				<-release
				n, _ := io.Copy(io.Discard, conn)
				bytes.Add(n)
			})
			_, refusal := r.doWith(t.Context(), http.MethodPost, "", strings.NewReader("body"))
			close(release)
			synctest.Wait()
			if refusal.Outcome == state.OutcomeNotRun {
				require.Zero(t, bytes.Load())
			}
		})
	})
}

// answerSlowly answers each request after a second and counts them.
func answerSlowly(received *atomic.Int32) func(net.Conn) {
	return func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			received.Add(1)
			time.Sleep(100 * time.Millisecond)
			_, _ = io.WriteString(conn, "HTTP/1.1 201 Created\r\nContent-Length: 6\r\n\r\nbooked")
		}
	}
}

func TestResendWithAKeyGetsTheAnswerOfTheOnlyRun(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		r := newRig(t, 10)
		defer r.guard.Shutdown()
		var received atomic.Int32
		r.serve(answerSlowly(&received))
		ctx, leave := context.WithCancel(t.Context())
		gone := make(chan struct{})
		go func() {
			defer close(gone)
			reply, refusal := r.doWith(ctx, http.MethodPost, "booking-7", nil)
			if refusal == nil {
				_ = reply.Body.Close()
			}
		}()
		time.Sleep(50 * time.Millisecond)
		leave()
		for range 2 {
			reply, refusal := r.do(http.MethodPost, "booking-7")
			require.Nil(t, refusal)
			require.Equal(t, http.StatusCreated, reply.Head.Status)
			body, err := io.ReadAll(reply.Body)
			require.NoError(t, err)
			require.Equal(t, "booked", string(body))
		}
		<-gone
		require.EqualValues(t, 1, received.Load())
	})
}

// TestWithdrawnCallGivesUpItsPlaceAndNotItsSlot withdraws all calls while six of
// them run and one waits.
func TestWithdrawnCallGivesUpItsPlaceAndNotItsSlot(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		r := newRig(t, 10)
		defer r.guard.Shutdown()
		var received atomic.Int32
		r.serve(answerSlowly(&received))
		withdrawn := make(chan struct{})
		refusals := make(chan *state.Refusal, 7)
		for range 7 {
			go func() {
				body := callstream.NewLocalBody(http.NoBody, withdrawn)
				reply, refusal := r.doWith(t.Context(), http.MethodPost, "", body)
				if refusal == nil {
					_ = reply.Body.Close()
				}
				refusals <- refusal
			}()
		}
		synctest.Wait()
		close(withdrawn)
		waited := <-refusals
		require.Equal(t, state.OutcomeNotRun, waited.Outcome)
		require.Equal(t, state.RefusedCanceled, waited.Reason)
		for range 6 {
			require.Nil(t, <-refusals)
		}
		require.EqualValues(t, 6, received.Load())
	})
}

func TestLeaveFinishesTheCallsThatRun(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		r := newRig(t, 10)
		defer r.guard.Shutdown()
		var received atomic.Int32
		r.serve(answerSlowly(&received))
		running := make(chan *callstream.Reply, 1)
		go func() {
			reply, _ := r.do(http.MethodPost, "")
			running <- reply
		}()
		time.Sleep(50 * time.Millisecond)
		r.guard.Drain()
		_, refusal := r.do(http.MethodPost, "")
		require.Equal(t, state.RefusedDraining, refusal.Reason)
		require.Equal(t, state.OutcomeNotRun, refusal.Outcome)
		drained := make(chan error, 1)
		go func() { drained <- r.guard.AwaitDrained(t.Context()) }()
		reply := <-running
		synctest.Wait()
		require.Empty(t, drained, "drained before the body was read")
		r.finish(reply, nil)
		require.NoError(t, <-drained)
	})
}

func TestRequestThatCrashesTheBackendServerTwiceIsQuarantined(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		r := newRig(t, 10)
		defer r.guard.Shutdown()
		var received atomic.Int32
		r.serve(func(conn net.Conn) {
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				received.Add(1)
			}
			_ = conn.Close()
		})
		for range 2 {
			_, refusal := r.do(http.MethodPost, "")
			require.Equal(t, state.OutcomeMayHaveRun, refusal.Outcome)
			time.Sleep(2 * time.Second)
		}
		_, refusal := r.do(http.MethodPost, "")
		require.Equal(t, state.RefusedQuarantined, refusal.Reason)
		require.Equal(t, state.OutcomeNotRun, refusal.Outcome)
		require.EqualValues(t, 2, received.Load())
	})
}

// TestQueuedCallsDoNotReachABackendServerThatIsGone lets calls wait for a slot
// while the backend server goes from the configuration.
func TestQueuedCallsDoNotReachABackendServerThatIsGone(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		rig := newRig(t, 100)
		var received atomic.Int32
		rig.serve(answerSlowly(&received))
		go rig.guard.Watch()
		defer rig.guard.Shutdown()
		const slots, calls = 6, 8
		refusals := make(chan *state.Refusal, calls)
		for range calls {
			go func() {
				reply, refusal := rig.do(http.MethodGet, "")
				if refusal == nil {
					_, _ = io.Copy(io.Discard, reply.Body)
					_ = reply.Body.Close()
				}
				refusals <- refusal
			}()
		}
		synctest.Wait()
		require.True(t, rig.snapshots.Swap(state.NewSnapshotBuilder(nil).Build(2, 2)))
		synctest.Wait()
		require.Len(t, refusals, calls-slots, "calls that wait are refused at once")
		for range calls - slots {
			refusal := <-refusals
			require.Equal(t, state.RefusedDraining, refusal.Reason)
			require.Equal(t, state.OutcomeNotRun, refusal.Outcome)
		}
		for range slots {
			require.Nil(t, <-refusals, "calls that run finish")
		}
		require.Equal(t, int32(slots), received.Load())
	})
}

// TestCutShortAnswerIsAFailureAndNoAnswer has the backend server break off a
// short answer: nothing of it may look like an answer to the entry node.
func TestCutShortAnswerIsAFailureAndNoAnswer(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		rig := newRig(t, 100)
		defer rig.guard.Shutdown()
		rig.serve(func(conn net.Conn) {
			defer func() { _ = conn.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nbo")
			}
		})
		reply, refusal := rig.do(http.MethodGet, "")
		require.Nil(t, reply)
		require.Equal(t, state.OutcomeMayHaveRun, refusal.Outcome)
		require.True(t, refusal.ReachedBackendServer)
	})
}
