package guard_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/internal/virtualtime"
	"github.com/wasabiport/wasabiport/protocol/httpmap"
	"github.com/wasabiport/wasabiport/state"
)

// answerWithoutEnd answers a request with begin and then sends repeated until the
// caller closes the connection. It counts the bytes that the caller has accepted.
func answerWithoutEnd(begin, repeated string, pause time.Duration, accepted *atomic.Int64) func(net.Conn) {
	return func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		for next := begin; ; next = repeated {
			n, err := io.WriteString(conn, next)
			accepted.Add(int64(n))
			if err != nil {
				return
			}
			time.Sleep(pause)
		}
	}
}

// Guards against a backend server that fills the memory of its guard, or holds a
// call beyond its deadline.
func TestBytesWithoutEndAreBoundedInMemoryAndTime(t *testing.T) {
	const (
		ok       = "HTTP/1.1 200 OK\r\n"
		callTime = time.Second // the time that the fixture gives a call
		// maxBytes is more than the limit of a head and the buffers of a
		// connection.
		maxBytes = 128 << 10
	)
	chunk := strings.Repeat("x", 4<<10)
	tests := []struct {
		name            string
		begin, repeated string
		pause           time.Duration
		within          time.Duration
		outcome         state.Outcome
	}{
		{"no answer", chunk, chunk, 0, 0, state.OutcomeMayHaveRun},
		{"header fields", ok, "X-More: " + chunk + "\r\n", 0, 0, state.OutcomeMayHaveRun},
		{"one header field", ok + "X-More: ", chunk, 0, 0, state.OutcomeMayHaveRun},
		{"status line", "HTTP/1.1 200 ", chunk, 0, 0, state.OutcomeMayHaveRun},
		{"informational answers", "", "HTTP/1.1 103 Early Hints\r\nX-More: " + chunk + "\r\n\r\n", 0, 0, state.OutcomeMayHaveRun},
		{"header fields, slowly", ok, "X-More: x\r\n", 10 * time.Millisecond, callTime, state.OutcomeMayHaveRun},
		{"body that is buffered, slowly", ok + "Content-Length: 60000\r\n\r\n", "x", 10 * time.Millisecond, callTime, state.OutcomeMayHaveRun},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				fixture := newFixture(t, 10)
				var accepted atomic.Int64
				fixture.serve(answerWithoutEnd(test.begin, test.repeated, test.pause, &accepted))
				started := time.Now()
				_, refusal := fixture.do(http.MethodGet, "")
				ended := time.Now()
				time.Sleep(callTime) // lets the backend server notice the end
				require.NotNil(t, refusal)
				require.Equal(t, test.outcome, refusal.Outcome)
				require.LessOrEqual(t, ended.Sub(started), test.within)
				require.Less(t, accepted.Load(), int64(maxBytes))
			})
		})
	}
}

// refusingMapper takes status 503 for a refusal.
type refusingMapper struct{ httpmap.BackendMapper }

func (m refusingMapper) Classify(head call.Head, response *http.Response) call.ResponseAssessment {
	if response.StatusCode == http.StatusServiceUnavailable {
		return call.ResponseAssessment{Refusal: state.NotRun(state.RefusedShed, "the backend server is full")}
	}
	return m.BackendMapper.Classify(head, response)
}

// Guards against a refusal that waits for the rest of a body that nobody reads.
func TestRefusalOfBackendServerDoesNotWaitForItsBody(t *testing.T) {
	heads := map[string]string{
		"length":    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 3000\r\n\r\n",
		"no length": "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n\r\n",
	}
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				fixture := newFixtureWithMapper(t, 10, refusingMapper{})
				var accepted atomic.Int64
				fixture.serve(answerWithoutEnd(head, "x", 10*time.Millisecond, &accepted))
				started := time.Now()
				_, refusal := fixture.do(http.MethodGet, "")
				ended := time.Now()
				time.Sleep(time.Second) // lets the backend server notice the end
				require.NotNil(t, refusal)
				require.Equal(t, state.OutcomeNotRun, refusal.Outcome)
				require.LessOrEqual(t, ended.Sub(started), 100*time.Millisecond)
			})
		})
	}
}

func TestBodyWithoutEndIsForwardedUntilTheDeadline(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		fixture := newFixture(t, 10)
		var accepted atomic.Int64
		chunk := "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"
		fixture.serve(answerWithoutEnd("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", chunk, 10*time.Millisecond, &accepted))
		started := time.Now()
		reply, refusal := fixture.do(http.MethodGet, "")
		require.Nil(t, refusal)
		_, err := io.Copy(io.Discard, reply.Body)
		require.Error(t, err, "the answer is not complete")
		require.NoError(t, reply.Body.Close())
		require.Equal(t, time.Second, time.Since(started))
		before := accepted.Load()
		time.Sleep(time.Second)
		require.LessOrEqual(t, accepted.Load()-before, int64(len(chunk)), "the connection is closed")
	})
}
