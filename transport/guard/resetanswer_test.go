package guard_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/internal/loopback"
	"github.com/wasabiport/wasabiport/protocol/httpmap"
	"github.com/wasabiport/wasabiport/transport/network"
)

const (
	// answerWithoutLength ends with its connection.
	answerWithoutLength = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	answerPart          = "the first part of the answer"
	// uploadBytes is more than the buffers of a connection hold.
	uploadBytes = 16 << 20
	// earlyAnswerRounds is the number of calls in a test of an answer that is ahead of its
	// upload. Which of a read and a write notices a reset is up to the scheduler.
	earlyAnswerRounds = 20
	// resetDelay is the time between a part of an answer and the reset.
	resetDelay = 5 * time.Millisecond
	// realCallTime is the timeout of a call over real sockets.
	realCallTime = 30 * time.Second
)

// fixedAddressNetwork is a TCP network on which the backend server has another address
// than its configuration states.
type fixedAddressNetwork struct {
	network.TCP
	address string
}

func (n fixedAddressNetwork) Dial(ctx context.Context, _ string) (net.Conn, error) {
	return n.TCP.Dial(ctx, n.address)
}

// newTCPFixture returns a fixture whose backend server is reached over TCP. It runs handle for
// each connection to it, once the head of the request was read.
func newTCPFixture(t *testing.T, handle func(conn *net.TCPConn, request *http.Request)) *fixture {
	listener, err := network.TCP{}.Listen(t.Context(), net.JoinHostPort(loopback.NewHostIP(), "0"))
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	serveConns(listener, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		handle(conn.(*net.TCPConn), request)
	})
	return newFixtureOn(t, fixedAddressNetwork{address: listener.Addr().String()}, 10, httpmap.BackendMapper{}, nil)
}

// upload sends a call with a long body and returns the body of the answer, and the error
// that ended it. A refusal is an error, too.
func (f *fixture) upload() (string, error) {
	head := newHead(http.MethodPost, "")
	head.Deadline = time.Now().Add(realCallTime)
	head.ContentLength = uploadBytes
	reply, refusal := f.doHead(f.t.Context(), head, strings.NewReader(strings.Repeat("x", uploadBytes)))
	if refusal != nil {
		return "", errors.New(refusal.Detail)
	}
	defer func() { _ = reply.Body.Close() }()
	body, err := io.ReadAll(reply.Body)
	return string(body), err
}

// Guards against an answer without a length that is taken for complete though its
// connection was reset: if the write of the rest of the upload gets the error of the reset,
// the read of the answer gets the end of the stream.
func TestResetBeforeTheEndOfAnUploadIsNotTheEndOfItsAnswer(t *testing.T) {
	tests := map[string]int64{"upload is not read": 0, "half of the upload is read": uploadBytes / 2}
	for name, readBytes := range tests {
		t.Run(name, func(t *testing.T) {
			reset := func(conn *net.TCPConn, request *http.Request) {
				_, _ = io.WriteString(conn, answerWithoutLength+answerPart)
				time.Sleep(resetDelay)
				_, _ = io.CopyN(io.Discard, request.Body, readBytes)
				_ = conn.SetLinger(0)
			}
			for round := range earlyAnswerRounds {
				// A guard refuses a request that has broken several connections.
				fixture := newTCPFixture(t, reset)
				body, err := fixture.upload()
				fixture.guard.Shutdown()
				require.Error(t, err, "round %d: %d bytes taken for a complete answer", round, len(body))
			}
		})
	}
}

// Guards against a sound answer that is taken for a broken one: its connection ends in
// order, whether its upload is not read, or read after, while or before it ends.
func TestAnswerThatEndsInOrderAheadOfItsUploadIsComplete(t *testing.T) {
	ended := make(chan struct{})
	defer close(ended)
	tests := map[string]func(conn *net.TCPConn, request *http.Request){
		"the upload is not read": func(conn *net.TCPConn, _ *http.Request) {
			_, _ = io.WriteString(conn, answerWithoutLength+answerPart)
			_ = conn.CloseWrite()
			<-ended
		},
		"before the upload is read": func(conn *net.TCPConn, request *http.Request) {
			_, _ = io.WriteString(conn, answerWithoutLength+answerPart)
			_ = conn.CloseWrite()
			time.Sleep(resetDelay)
			_, _ = io.Copy(io.Discard, request.Body)
		},
		"while the upload is read": func(conn *net.TCPConn, request *http.Request) {
			_, _ = io.WriteString(conn, answerWithoutLength+answerPart)
			_, _ = io.CopyN(io.Discard, request.Body, uploadBytes/2)
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, request.Body)
		},
		"after the upload was read": func(conn *net.TCPConn, request *http.Request) {
			_, _ = io.WriteString(conn, answerWithoutLength+answerPart)
			_, _ = io.Copy(io.Discard, request.Body)
		},
	}
	for name, handle := range tests {
		t.Run(name, func(t *testing.T) {
			fixture := newTCPFixture(t, handle)
			defer fixture.guard.Shutdown()
			for range earlyAnswerRounds {
				body, err := fixture.upload()
				require.NoError(t, err)
				require.Equal(t, answerPart, body)
			}
		})
	}
}
