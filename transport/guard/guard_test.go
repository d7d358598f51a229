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

// answerFirstRequest answers the first request of a connection, reads the
// second one completely and closes the connection without a response.
func answerFirstRequest(received *atomic.Int32) func(net.Conn) {
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

func TestCallIsNotResentWhenConnectionBreaks(t *testing.T) {
	for name, test := range map[string]struct{ method, key string }{
		"method that http.Transport retries":              {method: http.MethodGet},
		"idempotency key that makes http.Transport retry": {method: http.MethodPost, key: "notice-7"},
		"POST without a key":                              {method: http.MethodPost},
	} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				fixture := newFixture(t, 10)
				var received atomic.Int32
				fixture.serve(answerFirstRequest(&received))
				fixture.finish(fixture.do(http.MethodGet, ""))
				_, refusal := fixture.do(test.method, test.key)
				require.NotNil(t, refusal)
				require.Equal(t, state.OutcomeMayHaveRun, refusal.Outcome)
				require.EqualValues(t, 2, received.Load())
			})
		})
	}
}

// Guards against repeats by http.Transport, which no retry budget counted and no limit
// on attempts bounded.
func TestIdempotentCallIsSentOnce(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodOptions} {
		t.Run(method, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				fixture := newFixture(t, 10)
				var received atomic.Int32
				fixture.serve(answerFirstRequest(&received))
				fixture.finish(fixture.doIdempotent(http.MethodGet))
				_, refusal := fixture.doIdempotent(method)
				require.NotNil(t, refusal)
				require.Equal(t, state.RefusedBackendServerFailed, refusal.Reason)
				require.Equal(t, state.OutcomeMayHaveRun, refusal.Outcome)
				require.True(t, refusal.ReachedBackendServer)
				require.EqualValues(t, 2, received.Load())
			})
		})
	}
}

func TestOutcomeNotRunMeansNothingWasSent(t *testing.T) {
	t.Run("backend server does not listen", func(t *testing.T) {
		virtualtime.Test(t, func(t *testing.T) {
			_, refusal := newFixture(t, 10).do(http.MethodPost, "")
			require.Equal(t, state.OutcomeNotRun, refusal.Outcome)
			require.Equal(t, state.RefusedBackendServerFailed, refusal.Reason)
		})
	})
	t.Run("keep-alive connection was closed before the call", func(t *testing.T) {
		virtualtime.Test(t, func(t *testing.T) {
			fixture := newFixture(t, 10)
			var received atomic.Int32
			fixture.serve(func(conn net.Conn) {
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					received.Add(1)
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				}
			})
			fixture.finish(fixture.do(http.MethodPost, ""))
			synctest.Wait()
			fixture.finish(fixture.do(http.MethodPost, ""))
			require.EqualValues(t, 2, received.Load())
		})
	})
	t.Run("no connection was free before the deadline", func(t *testing.T) {
		virtualtime.Test(t, func(t *testing.T) {
			fixture := newFixture(t, 1)
			var received atomic.Int32
			fixture.serve(func(conn net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					received.Add(1)
					_, _ = io.Copy(io.Discard, conn)
				}
			})
			first := make(chan *state.Refusal, 1)
			go func() {
				_, refusal := fixture.do(http.MethodPost, "")
				first <- refusal
			}()
			synctest.Wait()
			_, refusal := fixture.do(http.MethodPost, "")
			require.Equal(t, state.OutcomeNotRun, refusal.Outcome)
			require.Equal(t, state.RefusedDeadline, refusal.Reason)
			require.Equal(t, state.OutcomeMayHaveRun, (<-first).Outcome)
			require.EqualValues(t, 1, received.Load())
		})
	})
	t.Run("backend server does not read before the deadline", func(t *testing.T) {
		virtualtime.Test(t, func(t *testing.T) {
			fixture := newFixture(t, 10)
			var bytes atomic.Int64
			release := make(chan struct{})
			fixture.serve(func(conn net.Conn) {
				<-release
				n, _ := io.Copy(io.Discard, conn)
				bytes.Add(n)
			})
			_, refusal := fixture.doWith(t.Context(), http.MethodPost, "", strings.NewReader("body"))
			close(release)
			synctest.Wait()
			if refusal.Outcome == state.OutcomeNotRun {
				require.Zero(t, bytes.Load())
			}
		})
	})
}

// answerSlowly answers each request after 100 ms and counts the requests.
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

func TestResendWithKeyGetsReplyOfSingleRun(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		fixture := newFixture(t, 10)
		defer fixture.guard.Shutdown()
		var received atomic.Int32
		fixture.serve(answerSlowly(&received))
		ctx, disconnect := context.WithCancel(t.Context())
		firstDone := make(chan struct{})
		go func() {
			defer close(firstDone)
			reply, refusal := fixture.doWith(ctx, http.MethodPost, "booking-7", nil)
			if refusal == nil {
				_ = reply.Body.Close()
			}
		}()
		time.Sleep(50 * time.Millisecond)
		disconnect()
		for range 2 {
			reply, refusal := fixture.do(http.MethodPost, "booking-7")
			require.Nil(t, refusal)
			require.Equal(t, http.StatusCreated, reply.Head.Status)
			body, err := io.ReadAll(reply.Body)
			require.NoError(t, err)
			require.Equal(t, "booked", string(body))
		}
		<-firstDone
		require.EqualValues(t, 1, received.Load())
	})
}

// Withdrawing a call must remove it from the queue but not abort it once it
// runs: of seven withdrawn calls, the six that have a slot finish and only the
// waiting one is refused.
func TestWithdrawalAffectsOnlyWaitingCalls(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		fixture := newFixture(t, 10)
		defer fixture.guard.Shutdown()
		var received atomic.Int32
		fixture.serve(answerSlowly(&received))
		withdrawn := make(chan struct{})
		refusals := make(chan *state.Refusal, 7)
		for range 7 {
			go func() {
				body := callstream.NewLocalBody(http.NoBody, withdrawn)
				reply, refusal := fixture.doWith(t.Context(), http.MethodPost, "", body)
				if refusal == nil {
					_ = reply.Body.Close()
				}
				refusals <- refusal
			}()
		}
		synctest.Wait()
		close(withdrawn)
		waiting := <-refusals
		require.Equal(t, state.OutcomeNotRun, waiting.Outcome)
		require.Equal(t, state.RefusedCanceled, waiting.Reason)
		for range 6 {
			require.Nil(t, <-refusals)
		}
		require.EqualValues(t, 6, received.Load())
	})
}

func TestDrainFinishesRunningCalls(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		fixture := newFixture(t, 10)
		defer fixture.guard.Shutdown()
		var received atomic.Int32
		fixture.serve(answerSlowly(&received))
		running := make(chan *callstream.Reply, 1)
		go func() {
			reply, _ := fixture.do(http.MethodPost, "")
			running <- reply
		}()
		time.Sleep(50 * time.Millisecond)
		fixture.guard.Drain()
		_, refusal := fixture.do(http.MethodPost, "")
		require.Equal(t, state.RefusedDraining, refusal.Reason)
		require.Equal(t, state.OutcomeNotRun, refusal.Outcome)
		drained := make(chan error, 1)
		go func() { drained <- fixture.guard.AwaitDrained(t.Context()) }()
		reply := <-running
		synctest.Wait()
		require.Empty(t, drained, "drained before the body was read")
		fixture.finish(reply, nil)
		require.NoError(t, <-drained)
	})
}

func TestRequestIsQuarantinedAfterTwoCrashes(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		fixture := newFixture(t, 10)
		defer fixture.guard.Shutdown()
		var received atomic.Int32
		fixture.serve(func(conn net.Conn) {
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				received.Add(1)
			}
			_ = conn.Close()
		})
		for range 2 {
			_, refusal := fixture.do(http.MethodPost, "")
			require.Equal(t, state.OutcomeMayHaveRun, refusal.Outcome)
			time.Sleep(2 * time.Second)
		}
		_, refusal := fixture.do(http.MethodPost, "")
		require.Equal(t, state.RefusedQuarantined, refusal.Reason)
		require.Equal(t, state.OutcomeNotRun, refusal.Outcome)
		require.EqualValues(t, 2, received.Load())
	})
}

// Calls that wait for a slot while their backend server is removed from the
// configuration must be refused at once and must not run on it afterwards.
func TestQueuedCallsDoNotReachABackendServerThatIsGone(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		fixture := newFixture(t, 100)
		var received atomic.Int32
		fixture.serve(answerSlowly(&received))
		go fixture.guard.Watch()
		defer fixture.guard.Shutdown()
		const slots, calls = 6, 8
		refusals := make(chan *state.Refusal, calls)
		for range calls {
			go func() {
				reply, refusal := fixture.do(http.MethodGet, "")
				if refusal == nil {
					_, _ = io.Copy(io.Discard, reply.Body)
					_ = reply.Body.Close()
				}
				refusals <- refusal
			}()
		}
		synctest.Wait()
		require.True(t, fixture.snapshots.Swap(state.NewSnapshotBuilder(nil).Build(2, 2)))
		synctest.Wait()
		require.Len(t, refusals, calls-slots, "waiting calls must be refused immediately")
		for range calls - slots {
			refusal := <-refusals
			require.Equal(t, state.RefusedDraining, refusal.Reason)
			require.Equal(t, state.OutcomeNotRun, refusal.Outcome)
		}
		for range slots {
			require.Nil(t, <-refusals, "running calls must finish")
		}
		require.Equal(t, int32(slots), received.Load())
	})
}

// A backend server that closes the connection in the middle of a short response
// must produce a refusal, not a reply that looks complete to the entry node.
func TestTruncatedShortReplyIsRefusal(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		fixture := newFixture(t, 100)
		defer fixture.guard.Shutdown()
		fixture.serve(func(conn net.Conn) {
			defer func() { _ = conn.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nbo")
			}
		})
		reply, refusal := fixture.do(http.MethodGet, "")
		require.Nil(t, reply)
		require.Equal(t, state.OutcomeMayHaveRun, refusal.Outcome)
		require.True(t, refusal.ReachedBackendServer)
	})
}
