package wasabiport_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/internal/virtualtime"
)

// Guards against a leaving node that says "not run" of a call with an idempotency key:
// it has not read the record of the key, so an earlier call with it may have run.
func TestLeavingNodeDoesNotAnswerForRecordsItHasNotRead(t *testing.T) {
	const (
		// leaveTime is less than the timeout of the route, so that late calls are refused.
		leaveTime = 4 * time.Second
		late      = 1900 * time.Millisecond
	)
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		f.fileTicket(f.deskTicket(1))
		time.Sleep(10 * time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), leaveTime)
		defer cancel()
		left := make(chan error, 1)
		go func() { left <- f.nodes[0].Leave(ctx) }()
		time.Sleep(late)
		keyed := f.exchange("POST / HTTP/1.1\r\nHost: desk\r\nIdempotency-Key: notice-7\r\nContent-Length: 0\r\n\r\n")
		require.Equal(t, "may-have-run", keyed.Header.Get("Wasabiport-Outcome"))
		plain := f.exchange("POST / HTTP/1.1\r\nHost: desk\r\nContent-Length: 0\r\n\r\n")
		require.Equal(t, "not-run", plain.Header.Get("Wasabiport-Outcome"))
		require.NoError(t, <-left)
		f.nodes = f.nodes[1:]
		f.stop()
	})
}

// streamAnswer returns a handler that sends an answer of unknown length in parts, for
// the given time.
func streamAnswer(duration time.Duration) http.HandlerFunc {
	const interval = 100 * time.Millisecond
	return func(w http.ResponseWriter, r *http.Request) {
		flusher := http.NewResponseController(w)
		for began := time.Now(); time.Since(began) < duration; time.Sleep(interval) {
			if _, err := io.WriteString(w, "part"); err != nil || flusher.Flush() != nil || r.Context().Err() != nil {
				return
			}
		}
	}
}

// Guards against answers that a leaving node cut though there was time to deliver them.
func TestLeavingNodeDeliversAnswersThatHaveBegun(t *testing.T) {
	const (
		leaveTime = 4 * time.Second
		// answerTime is just short of the time in which the node leaves.
		answerTime = 3800 * time.Millisecond
	)
	for name, host := range map[string]int{"own host": 0, "other host": 1} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				f := newFleet(t, 2)
				f.serve(customBackendAddress, streamAnswer(answerTime))
				f.fileCuttingTicket(1, host)
				ctx, cancel := context.WithTimeout(t.Context(), leaveTime)
				defer cancel()
				left := make(chan error, 1)
				go func() { left <- f.nodes[0].Leave(ctx) }()
				response, err := f.client().Get("http://" + callerAddress(0) + "/")
				require.NoError(t, err)
				_, cut := io.ReadAll(response.Body)
				require.NoError(t, response.Body.Close())
				require.NoError(t, <-left)
				f.nodes = f.nodes[1:]
				f.stop()
				require.Equal(t, http.StatusOK, response.StatusCode)
				require.NoError(t, cut)
			})
		})
	}
}

// Guards against a leaving node that leaves a call without an answer while its body
// still arrives.
func TestLeavingNodeRefusesCallWhoseBodyDoesNotEnd(t *testing.T) {
	const leaveTime = 4 * time.Second
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		f.fileTicket(f.deskTicket(1))
		time.Sleep(10 * time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), leaveTime)
		defer cancel()
		began := time.Now()
		left := make(chan error, 1)
		go func() { left <- f.nodes[0].Leave(ctx) }()
		response := f.exchange("POST / HTTP/1.1\r\nHost: desk\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n")
		answered := time.Since(began)
		require.NoError(t, <-left)
		f.nodes = f.nodes[1:]
		f.stop()
		require.Equal(t, "not-run", response.Header.Get("Wasabiport-Outcome"))
		require.Less(t, answered, leaveTime-200*time.Millisecond)
	})
}
